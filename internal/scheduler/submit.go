package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/workflow"
)

// Accept adds a job whose record is durable. A job that is known stays as it is.
func (s *Scheduler) Accept(j *workflow.Job, p workflow.Policy, now Timestamp) {
	if s.jobs[j.ID] != nil {
		return
	}
	age := min(max(now.Wall.Sub(j.Submitted), 0), time.Minute)
	row := &job{Job: j, submittedPolicy: p, state: workflow.Queued, durableState: workflow.Queued, submittedAt: now.Boot.Add(-age)}
	s.jobs[j.ID], s.activeJobs[j.ID] = row, row
	s.updateMeanWork(row)
	s.openDueOccurrences(row, now)
}

// begin opens the occurrences that are due.
func (s *Scheduler) openDueOccurrences(j *job, now Timestamp) {
	for j.opened < j.Occurrences() && !now.Wall.Before(j.Due(j.opened)) {
		o := newOccurrence(j, j.opened)
		j.occurrences = append(j.occurrences, o)
		j.opened++
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

// open marks the steps whose predecessors are done.
func (o *occurrence) openSteps() {
	for _, st := range o.steps {
		if !st.open {
			st.open = o.dependenciesDone(st)
		}
	}
}

func (o *occurrence) dependenciesDone(st *step) bool {
	for _, before := range st.After {
		if o.steps[before].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// Known reports whether the job's record is known.
func (s *Scheduler) HasJob(id workflow.JobID) bool { return s.jobs[id] != nil }

// State returns the durable state of a job and false when no such job exists.
func (s *Scheduler) JobState(id workflow.JobID) (workflow.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	if !j.durableState.Final() && j.started {
		return workflow.Running, true
	}
	return j.durableState, true
}

// Pending returns how many jobs of a queue have not begun; jobs with due times
// do not count.
func (s *Scheduler) PendingJobs(queue workflow.QueueName) int {
	n := 0
	for _, j := range s.activeJobs {
		if j.Queue == queue && !j.started && j.Repetitions == 0 {
			n++
		}
	}
	return n
}

// Cancel cancels a job that is not final, and returns the flush after which
// its final state is durable. It returns 0 when the job is unknown or its final
// state is durable already.
func (s *Scheduler) Cancel(id workflow.JobID, now Timestamp) uint64 {
	j := s.jobs[id]
	if j == nil || j.durableState.Final() {
		return 0
	}
	if !j.state.Final() {
		s.finishJob(j, workflow.Cancelled, now)
	}
	if s.dirty[id] != nil {
		return s.lastFlush + 1
	}
	return j.stateFlush
}

// finish gives a job its final state and stops what still runs of it.
func (s *Scheduler) finishJob(j *job, state workflow.State, now Timestamp) {
	j.state, j.finishedAt = state, now.Wall
	klog.InfoS("job ended", "job", j.ID, "state", state, "age", now.Boot.Sub(j.submittedAt).Round(time.Millisecond), "recovered", j.recovered)
	delete(s.activeJobs, j.ID)
	s.markDirty(j)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.worker != nil {
					s.stopTask(t, now)
				}
			}
		}
	}
}

func (s *Scheduler) markDirty(j *job) { s.dirty[j.ID] = j }

// stop orders the end of a task's run; the task stays on its worker until a
// report shows that it has ended.
func (s *Scheduler) stopTask(t *task, now Timestamp) {
	t.stopOrderedAt = now.Boot
	w := t.worker
	if slices.Contains(w.orders.starts, t) { // not sent yet
		t.release()
		return
	}
	s.orderStop(w, t.id, t.attempt)
}

func (s *Scheduler) orderStop(w *worker, id workflow.TaskID, attempt workflow.Attempt) {
	w.orders.stops = append(w.orders.stops, id)
	w.orders.attempts = append(w.orders.attempts, attempt)
}
