package ledger

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Reason says why an entry had no effect.
type Reason string

// The reasons.
const (
	ReasonMalformed      Reason = "malformed"
	ReasonDuplicateJob   Reason = "duplicateJob"
	ReasonDuplicateKey   Reason = "duplicateKey"
	ReasonUnknownJob     Reason = "unknownJob"
	ReasonUnknownTask    Reason = "unknownTask"
	ReasonJobEnded       Reason = "jobEnded"
	ReasonWrongAttempt   Reason = "attempt" // not the attempt that the state allows
	ReasonNotWaiting     Reason = "notWaiting"
	ReasonNotOpen        Reason = "notOpen"
	ReasonAlreadyStarted Reason = "alreadyStarted"
	ReasonCancelled      Reason = "cancelled"
	ReasonWrongOutcome   Reason = "outcome"
)

// entryKind indexes the rule table.
type taskEntryKind uint8

const (
	kindAssigned taskEntryKind = iota
	kindStarted
	kindReleased
	kindEnded
	kindEvicted
	kindFailed
	kindCount
)

var kindNames = [kindCount]string{"assigned", "started", "released", "ended", "evicted", "failed"}

// event is a decoded entry about one task.
type taskEntry struct {
	offset          units.Offset
	kind            taskEntryKind
	task            units.Task
	attempt         units.Attempt
	worker          units.WorkerID
	epoch           units.Epoch
	committed       units.Resources
	borrowed        bool
	reason          string
	checkpoint      string
	countsAsFailure bool
	outcome         wire.Outcome
	runTime         time.Duration
	used            units.Resources
}

// rule is what an entry does in a state: either why it has no effect, or the
// function that applies it.
type transitionRule struct {
	reason Reason
	apply  func(*Ledger, *Job, *Task, *taskEntry) Reason
}

// rules is the whole state machine: entry kind by task state. Terminal states
// share a row because nothing changes them.
var transitionRules = [kindCount][stateCount]transitionRule{
	kindAssigned: {
		Pending: {apply: (*Ledger).assign}, EvictedPending: {apply: (*Ledger).assign},
		Assigned: {reason: ReasonNotWaiting}, Running: {reason: ReasonNotWaiting}, Stopping: {reason: ReasonCancelled},
		Ended: {reason: ReasonNotWaiting}, Failed: {reason: ReasonNotWaiting}, Cancelled: {reason: ReasonCancelled},
	},
	kindStarted: {
		Pending: {reason: ReasonNotOpen}, EvictedPending: {reason: ReasonNotOpen},
		Assigned: {apply: (*Ledger).start}, Running: {reason: ReasonAlreadyStarted}, Stopping: {reason: ReasonCancelled},
		Ended: {reason: ReasonNotOpen}, Failed: {reason: ReasonNotOpen}, Cancelled: {reason: ReasonCancelled},
	},
	kindReleased: {
		Pending: {reason: ReasonNotOpen}, EvictedPending: {reason: ReasonNotOpen},
		Assigned: {apply: (*Ledger).release}, Running: {apply: (*Ledger).release}, Stopping: {apply: (*Ledger).finishCancelled},
		Ended: {reason: ReasonNotOpen}, Failed: {reason: ReasonNotOpen}, Cancelled: {reason: ReasonNotOpen},
	},
	kindEnded: {
		Pending: {reason: ReasonNotOpen}, EvictedPending: {reason: ReasonNotOpen},
		Assigned: {apply: (*Ledger).end}, Running: {apply: (*Ledger).end}, Stopping: {apply: (*Ledger).finishCancelled},
		Ended: {reason: ReasonNotOpen}, Failed: {reason: ReasonNotOpen}, Cancelled: {reason: ReasonNotOpen},
	},
	kindEvicted: {
		Pending: {reason: ReasonNotOpen}, EvictedPending: {reason: ReasonNotOpen},
		Assigned: {apply: (*Ledger).evict}, Running: {apply: (*Ledger).evict}, Stopping: {apply: (*Ledger).finishCancelled},
		Ended: {reason: ReasonNotOpen}, Failed: {reason: ReasonNotOpen}, Cancelled: {reason: ReasonNotOpen},
	},
	// A task with an open attempt cannot fail: the dispatcher that proposes it
	// lost to one that assigned the task, and the attempt may yet succeed.
	kindFailed: {
		Pending: {apply: (*Ledger).fail}, EvictedPending: {apply: (*Ledger).fail},
		Assigned: {reason: ReasonNotWaiting}, Running: {reason: ReasonNotWaiting}, Stopping: {reason: ReasonCancelled},
		Ended: {reason: ReasonNotWaiting}, Failed: {reason: ReasonNotWaiting}, Cancelled: {reason: ReasonCancelled},
	},
}

// Apply folds one entry. It returns an error only for an entry that cannot be
// decoded or breaks a limit; an entry that lost a race is counted and ignored.
func (l *Ledger) Apply(offset units.Offset, entry []byte) error {
	var m wire.JobsEntry
	if err := proto.Unmarshal(entry, &m); err != nil {
		return l.rejectMalformed(offset, "%w", err)
	}
	switch k := m.GetKind().(type) {
	case *wire.JobsEntry_Submitted:
		return l.submit(offset, k.Submitted)
	case *wire.JobsEntry_Cancelled:
		return l.cancel(offset, k.Cancelled)
	}
	e, err := decodeTaskEntry(offset, &m)
	if err != nil {
		return l.rejectMalformed(offset, "%w", err)
	}
	l.recordResult(Change{Offset: offset, Kind: kindNames[e.kind], Task: e.task, Attempt: e.attempt}, l.applyTaskEntry(e))
	return nil
}

func (l *Ledger) applyTaskEntry(e *taskEntry) Reason {
	j := l.jobs[e.task.Job]
	switch {
	case j == nil:
		return ReasonUnknownJob
	case j.EndSequence != 0:
		return ReasonJobEnded
	case int64(e.task.Index) >= int64(len(j.Tasks)):
		return ReasonUnknownTask
	}
	t := &j.Tasks[e.task.Index]
	r := transitionRules[e.kind][t.State]
	if r.apply == nil {
		return r.reason
	}
	want := t.Attempt
	if e.kind == kindAssigned {
		want++
	}
	if e.kind != kindFailed && e.attempt != want {
		return ReasonWrongAttempt
	}
	return r.apply(l, j, t, e)
}

func (l *Ledger) rejectMalformed(offset units.Offset, format string, args ...any) error {
	l.recordResult(Change{Offset: offset}, ReasonMalformed)
	return fault.New("apply", Malformed, format, args...)
}

func (l *Ledger) recordResult(c Change, r Reason) {
	if r != "" {
		l.rejections[r]++
	}
	if l.Observe != nil {
		c.Reason = r
		l.Observe(c)
	}
}

// move changes the state of a task and keeps the indexes and the job's end.
func (l *Ledger) transition(j *Job, index uint32, to State, offset units.Offset, change func(*Task)) {
	t := &j.Tasks[index]
	l.removeFromIndexes(j, index)
	if change != nil {
		change(t)
	}
	t.State, t.StateOffset = to, offset
	if to.Waiting() && j.Failed {
		t.State = Failed
	}
	if !t.State.Open() {
		t.Committed, t.Borrowed = units.Resources{}, false
	}
	l.addToIndexes(j, index)
	if t.State.Terminal() {
		j.unfinished--
		if j.unfinished == 0 {
			l.finishJob(j, offset)
		}
	}
}

func (l *Ledger) assign(j *Job, t *Task, e *taskEntry) Reason {
	l.transition(j, e.task.Index, Assigned, e.offset, func(t *Task) {
		t.Attempt, t.Worker, t.Epoch = e.attempt, e.worker, e.epoch
		t.Committed, t.Borrowed = e.committed, e.borrowed
		if e.committed.IsZero() {
			t.Committed = j.Size
		}
	})
	return ""
}

func (l *Ledger) start(j *Job, t *Task, e *taskEntry) Reason {
	l.setOpenState(t, Running, e.offset)
	return ""
}

// leaveAssigned changes between open states: the attempt keeps its holder and
// what it commits.
func (l *Ledger) setOpenState(t *Task, to State, offset units.Offset) {
	if t.State == Assigned {
		l.addLaunching(WorkerEpoch{t.Worker, t.Epoch}, t.Committed, -1)
	}
	t.State, t.StateOffset = to, offset
}

func (l *Ledger) release(j *Job, t *Task, e *taskEntry) Reason {
	if e.countsAsFailure {
		l.recordFailure(t.Worker, j.ID, e.offset)
	}
	l.transition(j, e.task.Index, Pending, e.offset, func(t *Task) {
		t.Reason = e.reason
		if e.checkpoint != "" {
			t.Checkpoint = e.checkpoint
		}
		if e.countsAsFailure {
			t.Failures++
			if len(t.FailedWorkers) < 8 && !slices.Contains(t.FailedWorkers, t.Worker) {
				t.FailedWorkers = append(t.FailedWorkers, t.Worker)
			}
		}
	})
	return ""
}

func (l *Ledger) end(j *Job, t *Task, e *taskEntry) Reason {
	if e.outcome != wire.Outcome_OUTCOME_COMPLETED {
		return ReasonWrongOutcome // "stopped" needs a cancellation first
	}
	l.recordSuccess(t.Worker)
	if j.IsWatcher() { // a watcher runs until it is cancelled
		l.transition(j, e.task.Index, Pending, e.offset, func(t *Task) { t.Reason = "watcher exited" })
		return ""
	}
	l.recordUsage(j.JobKind, e.offset, e.used, e.runTime)
	l.transition(j, e.task.Index, Ended, e.offset, func(t *Task) { t.Reason = "" })
	return ""
}

func (l *Ledger) evict(j *Job, t *Task, e *taskEntry) Reason {
	l.transition(j, e.task.Index, EvictedPending, e.offset, func(t *Task) {
		t.Reason = e.reason
		if e.checkpoint != "" {
			t.Checkpoint = e.checkpoint
		}
	})
	return ""
}

// stop closes the attempt of a cancelled task, whatever its outcome was: the
// cancellation came first in the log, so no output is published.
func (l *Ledger) finishCancelled(j *Job, t *Task, e *taskEntry) Reason {
	l.transition(j, e.task.Index, Cancelled, e.offset, nil)
	return ""
}

func (l *Ledger) fail(j *Job, t *Task, e *taskEntry) Reason {
	j.Failed, j.Reason = true, e.reason
	l.transition(j, e.task.Index, Failed, e.offset, func(t *Task) { t.Reason = e.reason })
	for len(j.waiting) > 0 { // siblings that have not started cannot complete the job
		l.transition(j, j.waiting[0], Failed, e.offset, func(t *Task) { t.Reason = "another task of the job failed" })
	}
	return ""
}

func (l *Ledger) submit(offset units.Offset, m *wire.JobSubmitted) error {
	if err := checkSubmitted(m); err != nil {
		return l.rejectMalformed(offset, "%w", err)
	}
	id, tm := units.JobID(m.GetJob()), units.TeamName(m.GetTeam())
	c := Change{Offset: offset, Kind: "submitted", Task: units.Task{Job: id}}
	old, first := l.jobs[id], units.Attempt(0)
	if old != nil {
		// A watcher that was removed from the document may be added again. Its
		// attempts go on counting, so that none is named twice.
		if !old.IsWatcher() || old.EndSequence == 0 || m.GetSpec().GetKind() != wire.TaskKind_TASK_KIND_WATCHER {
			l.recordResult(c, ReasonDuplicateJob)
			return nil
		}
		first = old.Outcomes[0].Attempt
	}
	if _, taken := l.jobsByKey[teamKey{tm, m.GetKey()}]; taken && m.GetKey() != "" {
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
		return l.rejectMalformed(offset, "cancelled: job id of %d bytes", len(m.GetJob()))
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
		if len(j.Tasks) == 0 { // the move of the last task ended the job
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

// add enters the job and its tasks into every index.
func (l *Ledger) addJob(j *Job) {
	l.jobs[j.ID] = j
	if j.Key != "" {
		l.jobsByKey[teamKey{j.Team, j.Key}] = j.ID
	}
	tm := l.teamIndexes(j.Team)
	tm.jobs = insertJob(tm.jobs, j)
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

// finish compacts a job whose tasks are all terminal and forgets the oldest
// ended jobs beyond the limits.
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

// forget drops an ended job from every table but l.ended.
func (l *Ledger) removeEndedJob(j *Job) {
	l.endedTasks -= len(j.Outcomes)
	delete(l.jobs, j.ID)
	if j.Key != "" {
		delete(l.jobsByKey, teamKey{j.Team, j.Key})
	}
	tm := l.teamIndexes(j.Team)
	tm.jobs = removeJob(tm.jobs, j)
	if len(tm.jobs) == 0 {
		delete(l.teams, j.Team)
	}
}

func validText(s string) bool { return s != "" && len(s) <= MaxTextBytes }

// cut bounds a text for display without splitting a rune.
func truncate(s string) string {
	if len(s) <= MaxReasonBytes {
		return s
	}
	return strings.ToValidUTF8(s[:MaxReasonBytes], "")
}
