package scheduler

import (
	"cmp"
	"slices"

	"wasabihill.example/wasabihill/internal/workflow"
)

// The open occurrences of a job: those that are due and have not ended. Of a schedule whose
// occurrences are due faster than they end only as many are open as can soon run; those that
// wait behind them are a number (job.opened), whatever the schedule's length.

const (
	// maxOpenTasks limits the tasks of a job's open occurrences, so that a schedule whose
	// occurrences come faster than they are done can't exhaust the leader's memory.
	maxOpenTasks = 100_000
	// maxWaitingOccurrences limits the open occurrences of which no task has been placed. The
	// steps of all are the same, so that where these have no room, later ones have none either.
	maxWaitingOccurrences = 1000
)

// openDueOccurrences opens the occurrences of the job that have become due, as far as they may
// be open.
func (s *Scheduler) openDueOccurrences(j *job, now Timestamp) {
	if !j.nextIsDue(now) {
		return
	}
	for waiting := j.waitingOccurrences(); waiting < maxWaitingOccurrences && j.nextIsDue(now) && s.mayOpen(j); waiting++ {
		j.openNext()
	}
}

// nextIsDue reports whether there is another occurrence, and it is due.
func (j *job) nextIsDue(now Timestamp) bool {
	return j.opened < j.Occurrences() && !now.Wall.Before(j.Due(j.opened))
}

// waitingOccurrences returns the number of open occurrences of which no task is placed or done.
func (j *job) waitingOccurrences() int {
	n := 0
	for _, o := range j.occurrences {
		if o.waits() {
			n++
		}
	}
	return n
}

func (o *occurrence) waits() bool {
	return !slices.ContainsFunc(o.steps, func(st *step) bool { return st.unplaced < st.Count })
}

// mayOpen reports whether the leader's memory and the record of the job's progress have room
// for another open occurrence.
func (s *Scheduler) mayOpen(j *job) bool {
	open := len(j.occurrences)
	return open == 0 || (open+1)*j.tasksPerOccurrence() <= maxOpenTasks && open < s.maxListedOccurrences()
}

func (j *job) tasksPerOccurrence() int {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return tasks
}

// openUntil opens the occurrences up to number, which were due by the clock of an earlier
// leader. Runs of each may exist, so they are opened also if many wait.
func (s *Scheduler) openUntil(j *job, number int) {
	for j.opened < j.Occurrences() && j.opened <= number && s.mayOpen(j) {
		j.openNext()
	}
}

func (j *job) openNext() {
	j.occurrences = append(j.occurrences, newOccurrence(j, j.opened))
	j.opened++
}

// firstOpen returns the number below which all occurrences have ended.
func (j *job) firstOpen() int {
	if len(j.occurrences) > 0 {
		return j.occurrences[0].number
	}
	return j.opened
}

// occurrence returns the open occurrence with the number, or nil, and its index.
func (j *job) occurrence(number int) (*occurrence, int) {
	i, found := slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
	if !found {
		return nil, i
	}
	return j.occurrences[i], i
}

// endOccurrence removes the occurrence, all of whose tasks are done.
func (s *Scheduler) endOccurrence(j *job, number int, now Timestamp) {
	if o, i := j.occurrence(number); o != nil {
		j.occurrences = slices.Delete(j.occurrences, i, i+1)
	}
	if j.firstOpen() == j.Occurrences() {
		s.finishJob(j, workflow.Completed, now)
	}
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number, stepsLeft: len(j.Steps)}
	for i := range j.Steps {
		st := &step{Step: &j.Steps[i], number: i, tasksLeft: j.Steps[i].Count, unplaced: j.Steps[i].Count}
		st.tasks = make([]*task, st.Count)
		for index := range st.tasks {
			st.tasks[index] = &task{id: workflow.TaskID{Job: j.ID, Occurrence: number, Step: i, Index: index}, job: j, step: st}
		}
		o.steps = append(o.steps, st)
	}
	o.openSteps()
	return o
}

// openSteps marks the steps whose dependencies are done as open.
func (o *occurrence) openSteps() {
	for _, st := range o.steps {
		if !st.open {
			st.open = o.dependenciesDone(st)
		}
	}
}

// dependenciesDone reports whether all steps that st depends on are done.
func (o *occurrence) dependenciesDone(st *step) bool {
	for _, dependency := range st.After {
		if o.steps[dependency].tasksLeft > 0 {
			return false
		}
	}
	return true
}
