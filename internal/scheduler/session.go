package scheduler

import (
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// The sessions with the agents: their begin and end, the leases granted on them, and the
// orders that may be lost with them.

// AddWorker adds the worker of an agent that has registered in the store. It has no
// effect on an existing worker.
func (s *Scheduler) AddWorker(id units.WorkerID, now Timestamp) {
	if s.workers[id] == nil {
		w := &worker{id: id, tasks: make(map[workflow.TaskID]*task)}
		w.extendLeases(now.Boot.Add(s.MaxLeaseDuration))
		if stray := s.strayLeases[id]; stray != nil {
			w.latestLeaseEnd = max(w.latestLeaseEnd, stray.end)
		}
		s.workers[id] = w
	}
}

// Attach begins a session with an agent. Orders of earlier sessions that the agent has
// not executed so far are never executed.
func (s *Scheduler) Attach(id units.WorkerID, now Timestamp) {
	s.AddWorker(id, now)
	w := s.workers[id]
	w.attached, w.synced, w.granted, w.unresponsive, w.runsEnded = true, false, false, false, false
	w.reportSequence = 0
	w.discardOrders()
	for _, t := range w.tasks {
		t.start.beginSession()
		if t.stopOrderedAt != 0 { // the order may be lost; it is repeated if the run is listed
			t.stopOrderedAt = now.Boot.Add(-2 * stopRetryInterval)
		}
	}
}

// Detach ends a session.
func (s *Scheduler) Detach(id units.WorkerID) {
	if w := s.workers[id]; w != nil {
		w.attached, w.synced = false, false
		w.discardOrders()
	}
}

// discardOrders discards the pending orders and releases the tasks whose start was not
// sent.
func (w *worker) discardOrders() {
	w.withdrawStarts()
	w.orders = pendingOrders{}
}

// withdrawStarts releases the tasks whose start was not sent.
func (w *worker) withdrawStarts() {
	starts := w.orders.starts
	w.orders.starts = nil
	for _, t := range starts {
		t.release()
	}
}

// WithdrawStarts releases the tasks whose start order TakeOrders has not returned. The
// leader calls it when it sends no orders, since the decisions may be outdated before it
// sends the next ones.
func (s *Scheduler) WithdrawStarts() {
	for _, w := range s.workers {
		w.withdrawStarts()
	}
}

// MayExtendLease reports whether an agent that has made the report may be granted a lease. One
// whose runner does not answer can't extend the lease of any run before its next report, and a
// grant would only defer the time at which its runs have certainly ended.
func MayExtendLease(r *wire.WorkerReport) bool {
	return r.GetRunner() != nil && !r.GetRunner().GetSilent()
}

// ExtendLease records that the agent was granted a lease for its runs now. It never shortens
// a longer one that the runner may hold.
func (s *Scheduler) ExtendLease(id units.WorkerID, r *wire.WorkerReport, now Timestamp) {
	if w := s.workers[id]; w != nil && MayExtendLease(r) {
		w.extendLeases(now.Boot.Add(s.MaxLeaseDuration))
		w.granted = true
	}
}

// ConfirmStarts records that the agent has accepted the start orders of the tasks.
// sequence is the number of the last report that it made before.
func (s *Scheduler) ConfirmStarts(id units.WorkerID, starts []runner.StartOrder, sequence uint64, now Timestamp) {
	w := s.workers[id]
	if w == nil {
		return
	}
	for _, start := range starts {
		if t := w.tasks[start.Task]; t != nil && t.attempt == start.Attempt {
			t.start.accept(sequence)
			s.recordEvent(t, startAccepted, sequence, "", now)
		}
	}
}
