package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// The ends of runs that agents report, and what becomes of the task, its step and its job.

// applyEnds processes the runs that have ended on w.
func (s *Scheduler) applyEnds(w *worker, rows []*wire.EndRow, now Timestamp) {
	last := w.durableEnd
	for _, row := range rows {
		last = max(last, row.GetNumber())
		id, err := workflow.ParseTaskID(row.GetTask())
		if err != nil {
			klog.ErrorS(err, "ended run in a worker report is ignored", "worker", w.id)
			continue
		}
		if t := s.reportedTask(w, id); t != nil {
			s.applyEnd(w, t, row, now)
		}
	}
	if n := len(w.unflushedEnds); last > w.durableEnd && (n == 0 || w.unflushedEnds[n-1].number < last) {
		w.unflushedEnds = append(w.unflushedEnds, reportedEnds{flush: s.lastFlush + 1, number: last})
	}
}

func (s *Scheduler) applyEnd(w *worker, t *task, row *wire.EndRow, now Timestamp) {
	attempt := workflow.Attempt(row.GetAttempt())
	t.highestAttempt = max(t.highestAttempt, attempt)
	t.job.started = true
	if !t.done && attempt >= t.highestAttempt {
		s.noteCheckpoint(t, row.GetCheckpoint())
	}
	current := t.worker == w && w.tasks[t.id] == t && t.attempt == attempt
	switch {
	case current:
		s.recordEvent(t, runEnded, w.reportSequence, row.GetEnd(), now)
		t.release()
	case t.worker != nil && attempt == t.lost.attempt:
		s.logSecondRun(w, t, attempt, "end "+row.GetEnd(), time.Duration(row.GetListedAgoMs())*time.Millisecond, now)
	}
	switch workflow.End(row.GetEnd()) {
	case workflow.Done:
		w.failureStreak = 0
		s.taskDone(t, now)
		return
	case workflow.Errored:
		s.taskFailed(w, t, attempt, now)
	}
	if current {
		s.stopGang(t, now)
	}
}

// maxCheckpointBytes limits the checkpoints that are kept, so that each fits a record of the store
// and a message to an agent.
const maxCheckpointBytes = 128 << 10

// noteCheckpoint keeps a reported checkpoint. Of a task with a longer one than can be kept, the one
// before is kept.
func (s *Scheduler) noteCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || !t.step.Checkpointing || checkpoint == t.checkpoint {
		return
	}
	if limit := min(maxCheckpointBytes, s.MaxRecordBytes/2); len(checkpoint) > limit {
		klog.V(1).InfoS("checkpoint is too long to be kept", "task", t.id.String(), "bytes", len(checkpoint), "limit", limit)
		return
	}
	t.checkpoint = checkpoint
}

// taskDone marks the task as done; in a gang, all tasks of the step.
func (s *Scheduler) taskDone(t *task, now Timestamp) {
	if t.done || t.step.LongRunning || t.job.state.Final() {
		return
	}
	members := []*task{t}
	if t.step.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		if m.worker != nil {
			s.stopTask(m, now)
		}
		if m.worker == nil {
			m.step.unplaced--
		}
		m.done = true
		m.step.tasksLeft--
	}
	s.markDirty(t.job)
	if t.step.tasksLeft == 0 {
		s.stepDone(t.job, t.id.Occurrence, now)
	}
}

func (s *Scheduler) stepDone(j *job, number int, now Timestamp) {
	o, _ := j.occurrence(number)
	if o == nil {
		return
	}
	o.stepsLeft--
	o.openSteps()
	if o.stepsLeft == 0 {
		s.endOccurrence(j, number, now)
	}
}

// taskFailed counts a failed run. Each attempt is counted once, whatever the order,
// because a new leader may receive the ends of several runs in any order.
func (s *Scheduler) taskFailed(w *worker, t *task, attempt workflow.Attempt, now Timestamp) {
	if t.done || slices.Contains(t.failedAttempts, attempt) {
		return
	}
	w.recordFailure(now)
	if t.step.LongRunning {
		return // restarted regardless of the number of failures
	}
	t.failedAttempts = append(t.failedAttempts, attempt)
	s.markDirty(t.job)
	if len(t.failedAttempts) >= max(1, s.currentPolicy(t.job).MaxAttempts) && !t.job.state.Final() {
		klog.InfoS("job failed", "job", t.job.ID, "task", t.id.String(), "failures", len(t.failedAttempts))
		s.finishJob(t.job, workflow.Failed, now)
	}
}

// CommitFlush records that all flushes up to the given one are durable.
func (s *Scheduler) CommitFlush(flush uint64) {
	for len(s.unflushedStates) > 0 && s.unflushedStates[0].stateFlush <= flush {
		s.unflushedStates[0].durableState = s.unflushedStates[0].state
		s.unflushedStates = s.unflushedStates[1:]
	}
	s.commitStrayLeases(flush)
	for _, w := range s.workers {
		for len(w.unflushedEnds) > 0 && w.unflushedEnds[0].flush <= flush {
			w.durableEnd = w.unflushedEnds[0].number
			w.unflushedEnds = w.unflushedEnds[1:]
			w.orders.durableEndRose = true
		}
	}
}

// DurableEnds returns the start time of the runner's incarnation, and the number up to
// which the ends of its runs are durable.
func (s *Scheduler) DurableEnds(id units.WorkerID) (startUnixMs int64, number uint64) {
	if w := s.workers[id]; w != nil {
		return w.runner.StartedUnixMs, w.durableEnd
	}
	return 0, 0
}
