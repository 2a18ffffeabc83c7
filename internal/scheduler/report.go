package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// stopRepeat is after how long a stop is ordered again when the run is
	// still listed.
	stopRetryInterval = time.Second
	// roomBackoff keeps a worker that refused for want of room from being
	// chosen before its next report.
	noCapacityBackoff = 200 * time.Millisecond
	// failureBackoff is how long a worker is avoided after a refusal or after
	// failuresInRow failed runs; it doubles up to longestBackoff.
	failureBackoff   = time.Second
	maxBackoff       = 8 * time.Second
	failureThreshold = 3
)

// Join adds the worker of an agent that has registered in the store.
func (s *Scheduler) AddWorker(id units.WorkerID, now Timestamp) {
	if s.workers[id] == nil {
		s.workers[id] = &worker{id: id, latestLeaseEnd: now.Boot.Add(s.MaxLeaseDuration), tasks: make(map[workflow.TaskID]*task)}
	}
}

// Attach begins a session with an agent. Orders of earlier sessions that the
// agent has not carried out by now never will be.
func (s *Scheduler) Attach(id units.WorkerID, now Timestamp) {
	s.AddWorker(id, now)
	w := s.workers[id]
	w.attached, w.synced, w.unresponsive, w.runsEnded = true, false, false, false
	w.lastReport = 0
	w.discardOrders()
	for _, t := range w.tasks {
		t.startPending, t.startSequence, t.stopOrderedAt = false, 0, 0
	}
}

// Detach ends a session.
func (s *Scheduler) Detach(id units.WorkerID) {
	if w := s.workers[id]; w != nil {
		w.attached, w.synced = false, false
		w.discardOrders()
	}
}

// dropOrders forgets orders that were not sent.
func (w *worker) discardOrders() {
	starts := w.orders.starts
	w.orders = pendingOrders{}
	for _, t := range starts {
		t.release()
	}
}

// Granted takes note that the agent may keep its runs from now on for the time
// of one grant. An agent that knows no runner can't extend any lease.
func (s *Scheduler) ExtendLease(id units.WorkerID, r *wire.WorkerReport, now Timestamp) {
	if w := s.workers[id]; w != nil && r.GetRunner() != nil {
		w.latestLeaseEnd = now.Boot.Add(s.MaxLeaseDuration)
	}
}

// Sent takes note that the agent has admitted the starts; reports with a
// higher sequence show them.
func (s *Scheduler) ConfirmStarts(id units.WorkerID, tasks []workflow.TaskID, sequence uint64) {
	w := s.workers[id]
	if w == nil {
		return
	}
	for _, task := range tasks {
		if t := w.tasks[task]; t != nil && t.startPending {
			t.startPending, t.startSequence = false, sequence
		}
	}
}

// Report takes over what an agent knows of its runner.
func (s *Scheduler) ApplyReport(id units.WorkerID, r *wire.WorkerReport, now Timestamp) {
	w := s.workers[id]
	if w == nil || r.GetSequence() <= w.lastReport {
		return
	}
	w.lastReport = r.GetSequence()
	for _, rejection := range r.GetRejected() {
		s.applyRejection(w, rejection, now)
	}
	if r.GetRunner() == nil {
		w.synced, w.unresponsive = false, false
		return
	}
	s.setRunner(w, r.GetRunner(), now)
	if w.unresponsive {
		w.synced = false
		if w.runsEnded {
			s.releaseTasks(w, now, func(*task) bool { return true })
		}
		return
	}
	w.synced = true
	s.applyEnds(w, r.GetEnded(), now)
	listed := s.applyRuns(w, r.GetRunning(), now)
	s.learnUsage(w, now)
	s.releaseTasks(w, now, func(t *task) bool {
		return !listed[t.id] && !t.startPending && t.startSequence < r.GetSequence()
	})
}

// setRunner takes over the runner's own state; another incarnation holds
// nothing of what the previous one did. One under the same id may hold what was
// ordered for the previous one and arrived late, so what is lost is told by the
// lists.
func (s *Scheduler) setRunner(w *worker, in *wire.RunnerState, now Timestamp) {
	info := runner.Info{
		Incarnation: runner.Incarnation{ID: in.GetId(), Born: in.GetBornUnixMs()},
		Service:     units.ServiceName(in.GetService()), Domain: units.DomainName(in.GetDomain()), Labels: in.GetLabels(),
		Capacity: units.Resources{Processors: units.Millicores(in.GetMillicores()), Memory: units.Bytes(in.GetMemoryBytes()), Accelerators: in.GetAccelerators()},
		Draining: in.GetDraining(), Remaining: time.Duration(in.GetRemainingMs()) * time.Millisecond,
	}
	if w.runner.Incarnation != info.Incarnation {
		if w.runner.ID != "" {
			klog.InfoS("runner replaced", "worker", w.id, "old", w.runner.ID, "new", info.ID, "born", info.Born, "tasks", len(w.tasks))
			if w.runner.ID != info.ID {
				s.releaseTasks(w, now, func(t *task) bool { return true })
			}
		}
		w.durableEnd, w.unflushedEnds, w.failureStreak, w.retryAt, w.speed = 0, nil, 0, 0, speed{}
	}
	w.runner, w.capacity = info, info.Capacity
	if n := len(info.Labels); n > 1 {
		w.rack = info.Labels[n-1]
	}
	w.unresponsive, w.runsEnded = in.GetSilent(), in.GetEmpty()
}

// loseTasks releases the tasks that no longer run on w.
func (s *Scheduler) releaseTasks(w *worker, now Timestamp, lost func(*task) bool) {
	for _, t := range w.tasks {
		if lost(t) {
			klog.InfoS("run is lost", "task", t.id.String(), "attempt", t.attempt, "worker", w.id)
			t.release()
			s.stopGang(t, now)
		}
	}
}

func (s *Scheduler) applyRejection(w *worker, in *wire.RejectedStart, now Timestamp) {
	id, err := workflow.ParseTaskID(in.GetTask())
	if err != nil {
		klog.ErrorS(err, "rejection is skipped", "worker", w.id)
		return
	}
	t := w.tasks[id]
	if t == nil || t.attempt != workflow.Attempt(in.GetAttempt()) {
		return
	}
	klog.InfoS("start was refused", "task", in.GetTask(), "attempt", t.attempt, "worker", w.id, "reason", in.GetReason())
	t.release()
	s.stopGang(t, now)
	switch runner.Kind(in.GetReason()) {
	case runner.NoRoom:
		w.avoid(now, noCapacityBackoff)
	case runner.Superseded, runner.Reborn, runner.Late, runner.NoTicket:
	default:
		w.recordFailure(now)
	}
}

func (w *worker) avoid(now Timestamp, d time.Duration) { w.retryAt = max(w.retryAt, now.Boot.Add(d)) }

// failed counts a failure; each failure beyond failuresInRow doubles the time
// for which the worker is avoided.
func (w *worker) recordFailure(now Timestamp) {
	w.failureStreak++
	if w.failureStreak >= failureThreshold {
		w.avoid(now, min(failureBackoff<<min(w.failureStreak-failureThreshold, 4), maxBackoff))
	}
}

// ends takes note of runs that have ended.
func (s *Scheduler) applyEnds(w *worker, rows []*wire.EndRow, now Timestamp) {
	last := w.durableEnd
	for _, row := range rows {
		last = max(last, row.GetNumber())
		id, err := workflow.ParseTaskID(row.GetTask())
		if err != nil {
			klog.ErrorS(err, "end is skipped", "worker", w.id)
			continue
		}
		if t := s.task(id); t != nil {
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
	if row.GetCheckpoint() != "" && t.step.Checkpointing && !t.done && attempt >= t.highestAttempt {
		t.checkpoint = row.GetCheckpoint()
	}
	current := t.worker == w && w.tasks[t.id] == t && t.attempt == attempt
	if current {
		t.release()
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

// taskDone marks a task, or every task of its gang, as done.
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
	for i, o := range j.occurrences {
		if o.number != number {
			continue
		}
		o.stepsLeft--
		o.openSteps()
		if o.stepsLeft == 0 {
			j.occurrences = append(j.occurrences[:i], j.occurrences[i+1:]...)
			s.occurrenceDone(j, now)
		}
		return
	}
}

func (s *Scheduler) occurrenceDone(j *job, now Timestamp) {
	j.completed = j.opened
	for _, o := range j.occurrences {
		j.completed = min(j.completed, o.number)
	}
	if j.completed == j.Occurrences() {
		s.finishJob(j, workflow.Completed, now)
	}
}

// taskFailed counts a failed run, each once: a new leader may hear of the ends
// of several runs in any order.
func (s *Scheduler) taskFailed(w *worker, t *task, attempt workflow.Attempt, now Timestamp) {
	if t.done || slices.Contains(t.failedAttempts, attempt) {
		return
	}
	w.recordFailure(now)
	if t.step.LongRunning {
		return // it runs again however often it fails
	}
	t.failedAttempts = append(t.failedAttempts, attempt)
	s.markDirty(t.job)
	if len(t.failedAttempts) >= max(1, s.currentPolicy(t.job).MaxAttempts) && !t.job.state.Final() {
		klog.InfoS("job failed", "job", t.job.ID, "task", t.id.String(), "failures", len(t.failedAttempts))
		s.finishJob(t.job, workflow.Failed, now)
	}
}

// rows compares what runs with the tables and returns the tasks that are as
// the tables say.
func (s *Scheduler) applyRuns(w *worker, rows []*wire.RunRow, now Timestamp) map[workflow.TaskID]bool {
	listed := make(map[workflow.TaskID]bool, len(rows))
	for _, row := range rows {
		id, err := workflow.ParseTaskID(row.GetTask())
		if err != nil {
			klog.ErrorS(err, "run is skipped", "worker", w.id)
			continue
		}
		attempt := workflow.Attempt(row.GetAttempt())
		t := s.task(id)
		if t == nil || !s.adopt(w, t, attempt) {
			s.orderStop(w, id, attempt)
			continue
		}
		listed[id] = true
		if !t.confirmed || t.pace != int(row.GetPace()) {
			t.paceSince = now.Boot
		}
		if !row.GetStarting() {
			s.updateSpeed(w, t, int(row.GetPercent()), int(row.GetPace()), now)
		}
		t.confirmed = t.confirmed || !row.GetStarting()
		t.percent, t.load, t.pace = int(row.GetPercent()), row.GetLoad(), int(row.GetPace())
		if row.GetUnknown() {
			w.orders.descriptions = append(w.orders.descriptions, t)
		}
		if row.GetCheckpoint() != "" && t.step.Checkpointing {
			t.checkpoint = row.GetCheckpoint()
		}
		if (t.stopOrderedAt != 0 || t.done || t.job.state.Final()) && now.Boot.Sub(t.stopOrderedAt) > stopRetryInterval {
			s.stopTask(t, now)
		}
	}
	return listed
}

// adopt reports whether the run on w is the task's current one, and takes it
// over when the task has none. The highest attempt says nothing about which run
// is alive: of a recovered step it is known for all tasks together.
func (s *Scheduler) adopt(w *worker, t *task, attempt workflow.Attempt) bool {
	if t.worker == w && t.attempt == attempt {
		return true
	}
	if t.worker != nil || t.done || t.job.state.Final() {
		return false
	}
	t.assign(w, attempt)
	return true
}

// task returns the row of a task, or nil.
func (s *Scheduler) task(id workflow.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	for _, o := range j.occurrences {
		if o.number == id.Occurrence {
			return o.steps[id.Step].tasks[id.Index]
		}
	}
	return nil
}

// Committed takes note that everything up to a flush is durable.
func (s *Scheduler) CommitFlush(flush uint64) {
	for len(s.unflushedStates) > 0 && s.unflushedStates[0].stateFlush <= flush {
		s.unflushedStates[0].durableState = s.unflushedStates[0].state
		s.unflushedStates = s.unflushedStates[1:]
	}
	for _, w := range s.workers {
		for len(w.unflushedEnds) > 0 && w.unflushedEnds[0].flush <= flush {
			w.durableEnd = w.unflushedEnds[0].number
			w.unflushedEnds = w.unflushedEnds[1:]
			w.orders.durableEndRose = true
		}
	}
}

// Recorded returns the number up to which the ends of a worker's incarnation
// are durable.
func (s *Scheduler) DurableEnds(id units.WorkerID) (born int64, number uint64) {
	if w := s.workers[id]; w != nil {
		return w.runner.Born, w.durableEnd
	}
	return 0, 0
}
