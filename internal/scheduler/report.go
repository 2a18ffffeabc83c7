package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// stopRetryInterval is the time after which a stop is ordered again if the run is
	// still listed.
	stopRetryInterval = time.Second
	// rejectionBackoff is how long a worker that rejected a start for lack of capacity or
	// of a lease is avoided, which bridges the time until its next report.
	rejectionBackoff = 200 * time.Millisecond
	// failureBackoff is how long a worker is avoided after failureThreshold consecutive
	// rejections or failed runs. It doubles with each further one up to maxBackoff.
	failureBackoff   = time.Second
	maxBackoff       = 8 * time.Second
	failureThreshold = 3
)

// ApplyReport updates the tables from an agent's report on its runner. It ignores a
// report that is not newer than the last one. A partial report does not make the worker
// synced: what it lists is applied, and what it lacks decides nothing.
func (s *Scheduler) ApplyReport(id units.WorkerID, r *wire.WorkerReport, now Timestamp) {
	w := s.workers[id]
	if w == nil || r.GetSequence() <= w.reportSequence {
		return
	}
	w.reportSequence = r.GetSequence()
	for _, rejection := range r.GetRejected() {
		s.applyRejection(w, rejection, now)
	}
	if r.GetRunner() == nil {
		w.synced, w.unresponsive = false, false
		return
	}
	leaseEnd := w.latestLeaseEnd // of the runner of the last report
	s.countStrayLease(w, r.GetRunner(), now)
	s.setRunner(w, r.GetRunner(), leaseEnd, now)
	if w.unresponsive {
		w.synced = false
		s.applyEnds(w, r.GetEnded(), now) // listed before the runner fell silent
		if w.runsEnded {
			s.releaseTasks(w, now, runnerSilent, w.decided)
		}
		return
	}
	w.synced = !r.GetPartial() && !w.hasPredecessor(now)
	if !w.synced { // the runs that it lists, and those that it lacks, may go on for a lease
		w.extendLeases(now.Boot.Add(s.MaxLeaseDuration))
	}
	if w.synced && r.GetRunner().GetStrayLeaseMs() == 0 {
		s.endStrayLease(w.id)
	}
	s.applyEnds(w, r.GetEnded(), now)
	listed := s.applyRuns(w, r.GetRunning(), now)
	s.learnUsage(w, now)
	if w.synced {
		s.releasePredecessor(w, listed, now)
		s.releaseTasks(w, now, runNotListed, func(t *task) bool { return !listed[t.id] && w.decided(t) })
	}
}

// countStrayLease counts a lease that no grant bounds, and has it recorded. A new process of the
// agent that has found a runner which had just started can't know whether it has restarted under
// its id; if the process before has reported that incarnation with its lists, no call to a life
// before has given a lease since. If this leader knows of no life of the runner before, the lease
// is counted but not recorded: so it is with each new machine, whose loss would hold back recovered
// tasks for 4.5 s longer. It is called before setRunner.
func (s *Scheduler) countStrayLease(w *worker, in *wire.RunnerState, now Timestamp) {
	incarnation := incarnationOf(in)
	known := w.listedIncarnation == incarnation
	if !in.GetSilent() {
		w.listedIncarnation = incarnation
	}
	stray := time.Duration(in.GetStrayLeaseMs()) * time.Millisecond
	if stray <= 0 || known && in.GetFoundYoung() {
		return
	}
	w.latestLeaseEnd = max(w.latestLeaseEnd, now.Boot.Add(stray))
	if !in.GetFoundYoung() || w.runner.ID == in.GetId() {
		s.noteStrayLease(w.id, stray, now)
	}
}

// setRunner updates the state of the worker's runner. The runs of the previous
// incarnation, whose leases end at leaseEnd, are lost if the runner has a new id; see
// replaceRunner. A new incarnation with the same id may run tasks whose start was ordered
// for the previous one and arrived late, so its lists of runs determine which tasks are lost.
func (s *Scheduler) setRunner(w *worker, in *wire.RunnerState, leaseEnd bootclock.Instant, now Timestamp) {
	info := runner.Info{
		Incarnation: incarnationOf(in),
		Service:     units.ServiceName(in.GetService()), Domain: units.DomainName(in.GetDomain()), Labels: in.GetLabels(),
		Capacity: units.Resources{Processors: units.Millicores(in.GetMillicores()), Memory: units.Bytes(in.GetMemoryBytes()), Accelerators: in.GetAccelerators()},
		Draining: in.GetDraining(), Remaining: time.Duration(in.GetRemainingMs()) * time.Millisecond,
	}
	if w.runner.Incarnation != info.Incarnation {
		if w.runner.ID != "" {
			s.replaceRunner(w, in, leaseEnd, now)
		}
		w.durableEnd, w.unflushedEnds, w.failureStreak, w.retryAt, w.speed = 0, nil, 0, 0, speed{}
	}
	w.runner, w.capacity = info, info.Capacity
	if n := len(info.Labels); n > 1 {
		w.rack = info.Labels[n-1]
	}
	if w.unresponsive != in.GetSilent() || w.runsEnded != in.GetEmpty() {
		klog.InfoS("state of a runner changed", "worker", w.id, "runner", info.ID, "report", w.reportSequence, "unresponsive", in.GetSilent(), "runsEnded", in.GetEmpty())
	}
	w.unresponsive, w.runsEnded = in.GetSilent(), in.GetEmpty() && !w.hasPredecessor(now)
}

// releaseReason is why the tasks of a worker are released without an end of their runs.
type releaseReason string

const (
	leasesEnded    releaseReason = "leasesEnded"    // no report shows the runs, and their leases have ended
	runnerSilent   releaseReason = "runnerSilent"   // the agent reports that its silent runner has no run left
	runNotListed   releaseReason = "runNotListed"   // the runner's complete list lacks the run
	runnerReplaced releaseReason = "runnerReplaced" // another runner has taken the place of the previous one
)

// lostRun is a run that was released without an end.
type lostRun struct {
	attempt  workflow.Attempt // 0 if there is none
	reason   releaseReason
	at       bootclock.Instant // when it was released
	leaseEnd bootclock.Instant // end of the worker's leases, as counted then
}

// releaseTasks releases the tasks on w that lost reports as no longer running.
func (s *Scheduler) releaseTasks(w *worker, now Timestamp, reason releaseReason, lost func(*task) bool) {
	released := 0
	for _, t := range w.tasks {
		if lost(t) {
			klog.InfoS("run is lost", "task", t.id.String(), "attempt", t.attempt, "worker", w.id, "reason", reason, "report", w.reportSequence,
				"start", t.start.phase, "startedAfterReport", t.start.afterReport)
			s.recordEvent(t, runLost, w.reportSequence, string(reason), now)
			t.lost = lostRun{attempt: t.attempt, reason: reason, at: now.Boot, leaseEnd: w.latestLeaseEnd}
			t.release()
			s.stopGang(t, now)
			released++
		}
	}
	if released > 0 {
		klog.InfoS("runs of a worker are lost", "worker", w.id, "reason", reason, "report", w.reportSequence, "runs", released, "left", len(w.tasks))
	}
}

// applyRejection releases a task whose start was rejected. A worker without capacity or
// without a lease is avoided briefly. Other reasons count as a failure of the worker
// unless they only concern the order.
func (s *Scheduler) applyRejection(w *worker, in *wire.RejectedStart, now Timestamp) {
	id, err := workflow.ParseTaskID(in.GetTask())
	if err != nil {
		klog.ErrorS(err, "rejected start in a worker report is ignored", "worker", w.id)
		return
	}
	t := w.tasks[id]
	if t == nil || t.attempt != workflow.Attempt(in.GetAttempt()) {
		return
	}
	klog.InfoS("start was refused", "task", in.GetTask(), "attempt", t.attempt, "worker", w.id, "reason", in.GetReason())
	s.recordEvent(t, startRejected, w.reportSequence, in.GetReason(), now)
	t.release()
	s.stopGang(t, now)
	switch runner.Kind(in.GetReason()) {
	case runner.InsufficientCapacity, runner.LeaseExpired:
		w.avoid(now, rejectionBackoff)
	case runner.Superseded, runner.WrongIncarnation, runner.InvalidTicket, runner.Cancelled:
	default:
		w.recordFailure(now)
	}
}

func (w *worker) avoid(now Timestamp, d time.Duration) { w.retryAt = max(w.retryAt, now.Boot.Add(d)) }

// recordFailure counts a failure on the worker. From failureThreshold consecutive
// failures on, the worker is avoided, for twice as long with each further failure.
func (w *worker) recordFailure(now Timestamp) {
	w.failureStreak++
	if w.failureStreak >= failureThreshold {
		w.avoid(now, min(failureBackoff<<min(w.failureStreak-failureThreshold, 4), maxBackoff))
	}
}

// applyRuns updates the tables from the runs that w lists, and stops the runs that do
// not belong there. It returns the tasks whose runs match the tables.
func (s *Scheduler) applyRuns(w *worker, rows []*wire.RunRow, now Timestamp) map[workflow.TaskID]bool {
	listed := make(map[workflow.TaskID]bool, len(rows))
	for _, row := range rows {
		id, err := workflow.ParseTaskID(row.GetTask())
		if err != nil {
			klog.ErrorS(err, "run in a worker report is ignored", "worker", w.id)
			continue
		}
		attempt := workflow.Attempt(row.GetAttempt())
		t := s.reportedTask(w, id)
		if t == nil || !s.adopt(w, t, attempt, now) {
			s.orderStop(w, id, attempt)
			continue
		}
		listed[id] = true
		if !t.isListed() || t.pace != int(row.GetPace()) {
			t.paceSince = now.Boot
		}
		if !row.GetStarting() {
			s.updateSpeed(w, t, int(row.GetPercent()), int(row.GetPace()), now)
		}
		if !t.isListed() && !row.GetStarting() {
			t.start.phase = startIsListed
			t.job.started = true
			s.recordEvent(t, runListed, w.reportSequence, "", now)
		}
		t.start.accept(w.reportSequence)
		t.percent, t.load, t.pace = int(row.GetPercent()), row.GetLoad(), int(row.GetPace())
		if row.GetUnknown() {
			w.orders.descriptions = append(w.orders.descriptions, t)
		}
		s.noteCheckpoint(t, row.GetCheckpoint())
		if (t.stopOrderedAt != 0 || t.done || t.job.state.Final()) && now.Boot.Sub(t.stopOrderedAt) > stopRetryInterval {
			s.stopTask(t, now)
		}
	}
	return listed
}

// adopt reports whether the run on w is the current run of the task. It makes it the
// current run if the task has none. The highest attempt does not tell which run is
// active, because for a recovered step it is recorded only for all tasks together.
func (s *Scheduler) adopt(w *worker, t *task, attempt workflow.Attempt, now Timestamp) bool {
	if t.worker == w && t.attempt == attempt {
		return true
	}
	if t.worker != nil {
		s.logSecondRun(w, t, attempt, "run", 0, now)
		return false
	}
	if t.done || t.job.state.Final() {
		return false
	}
	t.assign(w, attempt)
	t.start.phase = startIsAccepted
	s.recordEvent(t, runAdopted, w.reportSequence, "", now)
	return true
}

// reportedTask returns the task of a run that the agent of w has reported, or nil if it does
// not exist. The run's occurrence was due by the clock of the leader that ordered it. A task on
// w exists until its run has ended, also when an earlier run has completed its occurrence.
func (s *Scheduler) reportedTask(w *worker, id workflow.TaskID) *task {
	if t := w.tasks[id]; t != nil {
		return t
	}
	if j := s.jobs[id.Job]; j != nil && !j.state.Final() {
		s.openUntil(j, id.Occurrence)
	}
	return s.task(id)
}

// task returns the task with the given id, or nil if it does not exist.
func (s *Scheduler) task(id workflow.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	o, _ := j.occurrence(id.Occurrence)
	if o == nil {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}
