package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/workflow"
)

// Accept adds a job whose record is durable. It has no effect on an existing job.
func (s *Scheduler) Accept(j *workflow.Job, p workflow.Policy, now Timestamp) {
	if s.jobs[j.ID] == nil {
		s.openDueOccurrences(s.addJob(j, p, now), now)
	}
}

// addJob adds a job without occurrences.
func (s *Scheduler) addJob(j *workflow.Job, p workflow.Policy, now Timestamp) *job {
	age := min(max(now.Wall.Sub(j.Submitted), 0), time.Minute)
	row := &job{Job: j, submittedPolicy: p, state: workflow.Queued, durableState: workflow.Queued, submittedAt: now.Boot.Add(-age)}
	s.jobs[j.ID], s.activeJobs[j.ID] = row, row
	s.updateMeanWork(row)
	return row
}

// HasJob reports whether the job exists.
func (s *Scheduler) HasJob(id workflow.JobID) bool { return s.jobs[id] != nil }

// JobCount returns the number of jobs, ended ones included.
func (s *Scheduler) JobCount() int { return len(s.jobs) }

// JobState returns the durable state of a job, and false if no such job exists.
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

// PendingJobs returns the number of jobs of a queue that have not started, without
// the jobs that have due times.
func (s *Scheduler) PendingJobs(queue workflow.QueueName) int {
	n := 0
	for _, j := range s.activeJobs {
		if j.Queue == queue && !j.started && j.Repetitions == 0 {
			n++
		}
	}
	return n
}

// Cancel cancels a job that has not ended, and returns the number of the flush that
// makes its final state durable. It returns 0 if the job does not exist or its final
// state is already durable.
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

// failJob lets a job fail for a reason that is not a failure of its tasks.
func (s *Scheduler) failJob(j *job, reason string, now Timestamp) {
	j.failure = reason
	s.finishJob(j, workflow.Failed, now)
}

// RecordRejected lets the job fail of whose progress the store does not accept the record with the
// key. It returns the number of the flush that contains the final state, or 0 if no job fails: no
// flush before may count as durable, as the ends of runs that it covers may stand in that record
// alone.
func (s *Scheduler) RecordRejected(key string, now Timestamp) uint64 {
	id, _, ok := parseProgressKey(key)
	j := s.jobs[id]
	if !ok || j == nil || j.state.Final() {
		return 0
	}
	s.failJob(j, "the store does not accept the record of its progress", now)
	return s.lastFlush + 1
}

// JobFailure returns why a job has failed, if that is not a failure of its tasks.
func (s *Scheduler) JobFailure(id workflow.JobID) string {
	if j := s.jobs[id]; j != nil && j.durableState.Final() {
		return j.failure
	}
	return ""
}

// finishJob sets the final state of a job and stops its remaining runs.
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

// markDirty includes the job's progress in the next flush.
func (s *Scheduler) markDirty(j *job) { s.dirty[j.ID] = j }

// stopTask orders the stop of a task's run. The task stays on its worker until a
// report shows that the run has ended. A start that was not sent yet is withdrawn
// instead.
func (s *Scheduler) stopTask(t *task, now Timestamp) {
	t.stopOrderedAt = now.Boot
	w := t.worker
	if slices.Contains(w.orders.starts, t) { // the start was not sent yet
		t.release()
		return
	}
	s.orderStop(w, t.id, t.attempt)
}

func (s *Scheduler) orderStop(w *worker, id workflow.TaskID, attempt workflow.Attempt) {
	w.orders.stops = append(w.orders.stops, id)
	w.orders.attempts = append(w.orders.attempts, attempt)
}
