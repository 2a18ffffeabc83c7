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
	stopRepeat = time.Second
	// roomBackoff keeps a worker that refused for want of room from being
	// chosen before its next report.
	roomBackoff = 200 * time.Millisecond
	// failureBackoff is how long a worker is avoided after a refusal or after
	// failuresInRow failed runs; it doubles up to longestBackoff.
	failureBackoff = time.Second
	longestBackoff = 8 * time.Second
	failuresInRow  = 3
)

// Join adds the worker of an agent that has registered in the store.
func (s *Scheduler) AddWorker(id units.WorkerID, now Timestamp) {
	if s.workers[id] == nil {
		s.workers[id] = &worker{id: id, leaseBound: now.Boot.Add(s.MaxLeaseDuration), tasks: make(map[workflow.TaskID]*task)}
	}
}

// Attach begins a session with an agent. Orders of earlier sessions that the
// agent has not carried out by now never will be.
func (s *Scheduler) Attach(id units.WorkerID, now Timestamp) {
	s.AddWorker(id, now)
	w := s.workers[id]
	w.attached, w.listed, w.silent, w.empty = true, false, false, false
	w.sequence = 0
	w.dropOrders()
	for _, t := range w.tasks {
		t.ordered, t.visibleAfter, t.stopSent = false, 0, 0
	}
}

// Detach ends a session.
func (s *Scheduler) Detach(id units.WorkerID) {
	if w := s.workers[id]; w != nil {
		w.attached, w.listed = false, false
		w.dropOrders()
	}
}

// dropOrders forgets orders that were not sent.
func (w *worker) dropOrders() {
	starts := w.orders.starts
	w.orders = pending{}
	for _, t := range starts {
		t.release()
	}
}

// Granted takes note that the agent may keep its runs from now on for the time
// of one grant. An agent that knows no runner can't extend any lease.
func (s *Scheduler) ExtendLease(id units.WorkerID, r *wire.WorkerReport, now Timestamp) {
	if w := s.workers[id]; w != nil && r.GetRunner() != nil {
		w.leaseBound = now.Boot.Add(s.MaxLeaseDuration)
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
		if t := w.tasks[task]; t != nil && t.ordered {
			t.ordered, t.visibleAfter = false, sequence
		}
	}
}

// Report takes over what an agent knows of its runner.
func (s *Scheduler) ApplyReport(id units.WorkerID, r *wire.WorkerReport, now Timestamp) {
	w := s.workers[id]
	if w == nil || r.GetSequence() <= w.sequence {
		return
	}
	w.sequence = r.GetSequence()
	for _, rejection := range r.GetRejected() {
		s.rejected(w, rejection, now)
	}
	if r.GetRunner() == nil {
		w.listed, w.silent = false, false
		return
	}
	s.setRunner(w, r.GetRunner(), now)
	if w.silent {
		w.listed = false
		if w.empty {
			s.loseTasks(w, now, func(*task) bool { return true })
		}
		return
	}
	w.listed = true
	s.ends(w, r.GetEnded(), now)
	listed := s.rows(w, r.GetRunning(), now)
	s.learn(w, now)
	s.loseTasks(w, now, func(t *task) bool {
		return !listed[t.id] && !t.ordered && t.visibleAfter < r.GetSequence()
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
	if w.info.Incarnation != info.Incarnation {
		if w.info.ID != "" {
			klog.InfoS("runner replaced", "worker", w.id, "old", w.info.ID, "new", info.ID, "born", info.Born, "tasks", len(w.tasks))
			if w.info.ID != info.ID {
				s.loseTasks(w, now, func(t *task) bool { return true })
			}
		}
		w.recordedEnd, w.ends, w.streak, w.avoidUntil, w.speed = 0, nil, 0, 0, speed{}
	}
	w.info, w.capacity = info, info.Capacity
	if n := len(info.Labels); n > 1 {
		w.rack = info.Labels[n-1]
	}
	w.silent, w.empty = in.GetSilent(), in.GetEmpty()
}

// loseTasks releases the tasks that no longer run on w.
func (s *Scheduler) loseTasks(w *worker, now Timestamp, lost func(*task) bool) {
	for _, t := range w.tasks {
		if lost(t) {
			klog.InfoS("run is lost", "task", t.id.String(), "attempt", t.attempt, "worker", w.id)
			t.release()
			s.breakGang(t, now)
		}
	}
}

func (s *Scheduler) rejected(w *worker, in *wire.RejectedStart, now Timestamp) {
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
	s.breakGang(t, now)
	switch runner.Kind(in.GetReason()) {
	case runner.NoRoom:
		w.avoid(now, roomBackoff)
	case runner.Superseded, runner.Reborn, runner.Late, runner.NoTicket:
	default:
		w.failed(now)
	}
}

func (w *worker) avoid(now Timestamp, d time.Duration) {
	w.avoidUntil = max(w.avoidUntil, now.Boot.Add(d))
}

// failed counts a failure; each failure beyond failuresInRow doubles the time
// for which the worker is avoided.
func (w *worker) failed(now Timestamp) {
	w.streak++
	if w.streak >= failuresInRow {
		w.avoid(now, min(failureBackoff<<min(w.streak-failuresInRow, 4), longestBackoff))
	}
}

// ends takes note of runs that have ended.
func (s *Scheduler) ends(w *worker, rows []*wire.EndRow, now Timestamp) {
	last := w.recordedEnd
	for _, row := range rows {
		last = max(last, row.GetNumber())
		id, err := workflow.ParseTaskID(row.GetTask())
		if err != nil {
			klog.ErrorS(err, "end is skipped", "worker", w.id)
			continue
		}
		if t := s.task(id); t != nil {
			s.end(w, t, row, now)
		}
	}
	if n := len(w.ends); last > w.recordedEnd && (n == 0 || w.ends[n-1].number < last) {
		w.ends = append(w.ends, recordedEnds{flush: s.flushed + 1, number: last})
	}
}

func (s *Scheduler) end(w *worker, t *task, row *wire.EndRow, now Timestamp) {
	attempt := workflow.Attempt(row.GetAttempt())
	t.highest = max(t.highest, attempt)
	if row.GetCheckpoint() != "" && t.step.Checkpointing && !t.done && attempt >= t.highest {
		t.checkpoint = row.GetCheckpoint()
	}
	current := t.worker == w && w.tasks[t.id] == t && t.attempt == attempt
	if current {
		t.release()
	}
	switch workflow.End(row.GetEnd()) {
	case workflow.Done:
		w.streak = 0
		s.taskDone(t, now)
		return
	case workflow.Errored:
		s.taskFailed(w, t, attempt, now)
	}
	if current {
		s.breakGang(t, now)
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
			s.stop(m, now)
		}
		if m.worker == nil {
			m.step.idle--
		}
		m.done = true
		m.step.left--
	}
	s.touch(t.job)
	if t.step.left == 0 {
		s.stepDone(t.job, t.id.Occurrence, now)
	}
}

func (s *Scheduler) stepDone(j *job, number int, now Timestamp) {
	for i, o := range j.occurrences {
		if o.number != number {
			continue
		}
		o.left--
		o.open()
		if o.left == 0 {
			j.occurrences = append(j.occurrences[:i], j.occurrences[i+1:]...)
			s.occurrenceDone(j, now)
		}
		return
	}
}

func (s *Scheduler) occurrenceDone(j *job, now Timestamp) {
	j.completed = j.begun
	for _, o := range j.occurrences {
		j.completed = min(j.completed, o.number)
	}
	if j.completed == j.Occurrences() {
		s.finish(j, workflow.Completed, now)
	}
}

// taskFailed counts a failed run, each once: a new leader may hear of the ends
// of several runs in any order.
func (s *Scheduler) taskFailed(w *worker, t *task, attempt workflow.Attempt, now Timestamp) {
	if t.done || slices.Contains(t.failed, attempt) {
		return
	}
	w.failed(now)
	if t.step.LongRunning {
		return // it runs again however often it fails
	}
	t.failed = append(t.failed, attempt)
	s.touch(t.job)
	if len(t.failed) >= max(1, s.policyOf(t.job).MaxAttempts) && !t.job.state.Final() {
		klog.InfoS("job failed", "job", t.job.ID, "task", t.id.String(), "failures", len(t.failed))
		s.finish(t.job, workflow.Failed, now)
	}
}

// rows compares what runs with the tables and returns the tasks that are as
// the tables say.
func (s *Scheduler) rows(w *worker, rows []*wire.RunRow, now Timestamp) map[workflow.TaskID]bool {
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
			s.stopRun(w, id, attempt)
			continue
		}
		listed[id] = true
		if !t.confirmed || t.pace != int(row.GetPace()) {
			t.paceSince = now.Boot
		}
		if !row.GetStarting() {
			s.measure(w, t, int(row.GetPercent()), int(row.GetPace()), now)
		}
		t.confirmed = t.confirmed || !row.GetStarting()
		t.percent, t.load, t.pace = int(row.GetPercent()), row.GetLoad(), int(row.GetPace())
		if row.GetUnknown() {
			w.orders.descriptions = append(w.orders.descriptions, t)
		}
		if row.GetCheckpoint() != "" && t.step.Checkpointing {
			t.checkpoint = row.GetCheckpoint()
		}
		if (t.stopSent != 0 || t.done || t.job.state.Final()) && now.Boot.Sub(t.stopSent) > stopRepeat {
			s.stop(t, now)
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
	for len(s.waiting) > 0 && s.waiting[0].shownBy <= flush {
		s.waiting[0].shown = s.waiting[0].state
		s.waiting = s.waiting[1:]
	}
	for _, w := range s.workers {
		for len(w.ends) > 0 && w.ends[0].flush <= flush {
			w.recordedEnd = w.ends[0].number
			w.ends = w.ends[1:]
			w.orders.record = true
		}
	}
}

// Recorded returns the number up to which the ends of a worker's incarnation
// are durable.
func (s *Scheduler) DurableEnds(id units.WorkerID) (born int64, number uint64) {
	if w := s.workers[id]; w != nil {
		return w.info.Born, w.recordedEnd
	}
	return 0, 0
}
