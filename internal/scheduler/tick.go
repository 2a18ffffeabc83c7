package scheduler

import (
	"slices"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Orders are the pending orders for one agent.
type Orders struct {
	Worker            units.WorkerID
	RunnerID          string // of the runner that the orders are for
	Starts            []runner.StartOrder
	Stops             []Stop
	Descriptions      []runner.StartOrder     // of runs that the agent has only seen in its runner's lists
	Estimates         []interference.Estimate // interference estimates for the images on the worker
	RunnerStartUnixMs int64                   // start of the runner's incarnation that the starts and DurableEnds are for
	DurableEnds       uint64                  // the ends of runs up to this number are durable
}

// Stop is an order to end a run.
type Stop struct {
	Task    workflow.TaskID
	Attempt workflow.Attempt
}

// Tick applies all rules to the tables: it opens due occurrences, releases tasks
// whose leases have expired, updates the records of stray leases, drains workers, and then places, preempts and
// relocates tasks. mayStart is false while the operators' state may be stale; then
// no task starts.
func (s *Scheduler) Tick(now Timestamp, mayStart bool) {
	for _, j := range s.activeJobs {
		if j.opened < j.Occurrences() {
			s.openDueOccurrences(j, now)
		}
	}
	s.updateStrayLeases(now)
	for _, w := range s.workers {
		s.releaseExpired(w, now)
		if w.runner.Draining {
			s.drainWorker(w, now)
		}
	}
	if mayStart {
		cache := s.newSearchCache()
		unplaced := s.placePending(now, cache)
		s.rescueStarved(unplaced, now)
		s.preempt(unplaced, now, cache)
		s.relocate(now, cache)
	}
	s.measureStarvation(now, mayStart)
}

// releaseExpired releases the tasks of a worker without a current list of runs once
// the worker can no longer run them.
func (s *Scheduler) releaseExpired(w *worker, now Timestamp) {
	if !w.runsKnown(now) {
		return
	}
	if w.mayHaveUnknownRuns {
		w.mayHaveUnknownRuns = false
		klog.InfoS("all runs of the worker that an earlier leader ordered are in the tables", "worker", w.id, "attached", w.attached)
	}
	if !w.synced && len(w.tasks) > 0 {
		s.giveUp(w, now)
	}
}

// giveUp releases the tasks of a worker that can no longer run them.
func (s *Scheduler) giveUp(w *worker, now Timestamp) {
	if !now.Boot.After(w.latestLeaseEnd) {
		s.releaseTasks(w, now, runnerSilent, w.decided)
		return
	}
	klog.InfoS("worker is given up", "worker", w.id, "tasks", len(w.tasks))
	s.releaseTasks(w, now, leasesEnded, func(*task) bool { return true })
}

// drainWorker stops the long-running tasks of a draining worker, which would not
// end by themselves, so that they restart elsewhere before the runner leaves.
func (s *Scheduler) drainWorker(w *worker, now Timestamp) {
	for _, t := range w.tasks {
		if t.step.LongRunning && t.stopOrderedAt == 0 && t.isListed() {
			s.stopTask(t, now)
		}
	}
}

// TakeOrders returns and clears the pending orders of all attached workers.
func (s *Scheduler) TakeOrders() []Orders {
	var all []Orders
	for _, w := range s.workers {
		if !w.attached || w.orders.empty() {
			continue
		}
		orders := Orders{Worker: w.id, RunnerID: w.runner.ID, RunnerStartUnixMs: w.runner.StartedUnixMs, DurableEnds: w.durableEnd}
		for _, t := range w.orders.starts {
			t.start.phase = startIsSent
			orders.Starts = append(orders.Starts, t.order())
		}
		if slices.ContainsFunc(w.orders.starts, func(t *task) bool { return t.step.BestEffort }) {
			orders.Estimates = s.estimates(w)
		}
		for _, t := range w.orders.descriptions {
			orders.Descriptions = append(orders.Descriptions, t.order())
		}
		for i, id := range w.orders.stops {
			orders.Stops = append(orders.Stops, Stop{id, w.orders.attempts[i]})
		}
		w.orders = pendingOrders{}
		all = append(all, orders)
	}
	return all
}

// order returns the start order of the task's current run.
func (t *task) order() runner.StartOrder {
	return runner.StartOrder{Ticket: t.step.ticket(t.worker), Task: t.id, Attempt: t.attempt, Spec: t.job.Spec, Checkpoint: t.checkpoint,
		BestEffort: t.step.BestEffort, LatencyTarget: t.step.LatencyTarget, Image: t.step.Image, Processors: t.step.Size.Processors}
}
