package ledger

import (
	"slices"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

func (l *Ledger) submit(offset units.Offset, m *wire.JobSubmitted) error {
	if err := checkSubmitted(m); err != nil {
		return l.rejectMalformed(offset, "%w", err)
	}
	id, team := units.JobID(m.GetJob()), units.TeamName(m.GetTeam())
	c := Change{Offset: offset, Kind: "submitted", Task: units.Task{Job: id}}
	old, first := l.jobs[id], units.Attempt(0)
	if old != nil {
		// A watcher that was removed from the configuration document may be added
		// again. Its attempt numbers continue, so that none is used twice.
		if !old.IsWatcher() || old.EndSequence == 0 || m.GetSpec().GetKind() != wire.TaskKind_TASK_KIND_WATCHER {
			l.recordResult(c, ReasonDuplicateJob)
			return nil
		}
		first = old.Outcomes[0].Attempt
	}
	if _, taken := l.jobsByKey[teamKey{team, m.GetKey()}]; taken && m.GetKey() != "" {
		l.recordResult(c, ReasonDuplicateKey)
		return nil
	}
	if old != nil {
		l.removeEndedJob(old)
		l.endedJobs = slices.DeleteFunc(l.endedJobs, func(j *Job) bool { return j == old })
	}
	j := newJob(m)
	j.Sequence, j.SubmitOffset = l.nextSequence, offset
	l.nextSequence++
	for i := range j.Tasks {
		j.Tasks[i] = Task{State: Pending, StateOffset: offset, Attempt: first, Checkpoint: j.Checkpoint}
	}
	l.addJob(j)
	l.recordResult(c, "")
	return nil
}

func (l *Ledger) cancel(offset units.Offset, m *wire.JobCancelled) error {
	if !validText(m.GetJob()) {
		return l.rejectMalformed(offset, "cancelled entry: job id is empty or too long: %d bytes", len(m.GetJob()))
	}
	j := l.jobs[units.JobID(m.GetJob())]
	c := Change{Offset: offset, Kind: "cancelled", Task: units.Task{Job: units.JobID(m.GetJob())}}
	switch {
	case j == nil:
		l.recordResult(c, ReasonUnknownJob)
		return nil
	case j.EndSequence != 0:
		l.recordResult(c, ReasonJobEnded)
		return nil
	case j.Cancelled:
		l.recordResult(c, ReasonCancelled)
		return nil
	}
	j.Cancelled, j.Reason = true, truncate(m.GetReason())
	for i := range j.Tasks {
		if len(j.Tasks) == 0 { // the transition of the last task ended the job
			break
		}
		switch s := j.Tasks[i].State; {
		case s.Waiting():
			l.transition(j, uint32(i), Cancelled, offset, nil)
		case s == Assigned || s == Running:
			l.setOpenState(&j.Tasks[i], Stopping, offset)
		}
	}
	l.recordResult(c, "")
	return nil
}

// addJob adds the job and its tasks to all indexes.
func (l *Ledger) addJob(j *Job) {
	l.jobs[j.ID] = j
	if j.Key != "" {
		l.jobsByKey[teamKey{j.Team, j.Key}] = j.ID
	}
	indexes := l.teamIndexes(j.Team)
	indexes.jobs = insertJob(indexes.jobs, j)
	if j.EndSequence != 0 {
		return
	}
	if j.IsWatcher() {
		l.activeWatchers[j.ID] = j
	}
	j.unfinished = 0
	for i := range j.Tasks {
		if !j.Tasks[i].State.Terminal() {
			j.unfinished++
		}
		l.addToIndexes(j, uint32(i))
	}
}

// finishJob reduces a job whose tasks are all terminal to their outcomes, and
// removes the oldest ended jobs above the limits.
func (l *Ledger) finishJob(j *Job, offset units.Offset) {
	j.Outcomes = make([]Outcome, len(j.Tasks))
	for i := range j.Tasks {
		j.Outcomes[i] = Outcome{j.Tasks[i].State, j.Tasks[i].Attempt}
	}
	j.Tasks, j.waiting = nil, nil
	j.EndSequence, j.EndOffset = l.nextEndSequence, offset
	l.nextEndSequence++
	delete(l.activeWatchers, j.ID)
	l.endedJobs = append(l.endedJobs, j)
	l.endedTasks += len(j.Outcomes)
	for len(l.endedJobs) > MaxEndedJobs || (l.endedTasks > MaxEndedTasks && len(l.endedJobs) > 1) {
		oldest := l.endedJobs[0]
		l.endedJobs[0] = nil
		l.endedJobs = l.endedJobs[1:]
		l.removeEndedJob(oldest)
	}
}

// removeEndedJob removes an ended job from all indexes except l.endedJobs.
func (l *Ledger) removeEndedJob(j *Job) {
	l.endedTasks -= len(j.Outcomes)
	delete(l.jobs, j.ID)
	if j.Key != "" {
		delete(l.jobsByKey, teamKey{j.Team, j.Key})
	}
	indexes := l.teamIndexes(j.Team)
	indexes.jobs = removeJob(indexes.jobs, j)
	if len(indexes.jobs) == 0 {
		delete(l.teams, j.Team)
	}
}
