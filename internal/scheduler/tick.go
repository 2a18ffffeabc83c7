package scheduler

import (
	"slices"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Orders are the orders for one agent.
type Orders struct {
	Worker            units.WorkerID
	RunnerID          string // incarnation that they are meant for
	Starts            []runner.Start
	Stops             []Stop
	Descriptions      []runner.Start          // of runs that the agent knows only from its runner's lists
	Estimates         []interference.Estimate // of the images that run there
	RunnerStartUnixMs int64                   // incarnation to which Recorded belongs
	DurableEnds       uint64                  // ends up to this number are durable
}

// Stop is an order to end a run.
type Stop struct {
	Task    workflow.TaskID
	Attempt workflow.Attempt
}

// Tick runs every rule over the tables: due occurrences, workers whose leases
// have ended, workers that leave, then placement, preemption and moves. mayStart is false while the
// operators' state is not known to be current, so that nothing starts.
func (s *Scheduler) Tick(now Timestamp, mayStart bool) {
	for _, j := range s.activeJobs {
		if j.opened < j.Occurrences() {
			s.openDueOccurrences(j, now)
		}
	}
	for _, w := range s.workers {
		s.releaseExpired(w, now)
		if w.runner.Draining {
			s.drainWorker(w, now)
		}
	}
	if mayStart {
		short := s.newSearchCache()
		waiting := s.placePending(now, short)
		s.preempt(waiting, now, short)
		s.relocate(now, short)
	}
}

// expire releases what a worker without a session can't run any more.
func (s *Scheduler) releaseExpired(w *worker, now Timestamp) {
	if !w.runsKnown(now) {
		return
	}
	if w.mayHaveUnknownRuns {
		w.mayHaveUnknownRuns = false
		klog.InfoS("runs of an earlier leader are known", "worker", w.id, "attached", w.attached)
	}
	if !w.synced && len(w.tasks) > 0 {
		klog.InfoS("worker is given up", "worker", w.id, "tasks", len(w.tasks))
		s.releaseTasks(w, now, func(*task) bool { return true })
	}
}

// leave moves tasks off a draining worker: those that never end, so that they
// run elsewhere before it is gone.
func (s *Scheduler) drainWorker(w *worker, now Timestamp) {
	for _, t := range w.tasks {
		if t.step.LongRunning && t.stopOrderedAt == 0 && t.confirmed {
			s.stopTask(t, now)
		}
	}
}

// TakeOrders returns what has been decided since the last call.
func (s *Scheduler) TakeOrders() []Orders {
	var all []Orders
	for _, w := range s.workers {
		if !w.attached || w.orders.empty() {
			continue
		}
		orders := Orders{Worker: w.id, RunnerID: w.runner.ID, RunnerStartUnixMs: w.runner.Born, DurableEnds: w.durableEnd}
		for _, t := range w.orders.starts {
			t.startPending = true
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

// order returns what an agent must know of the task's run.
func (t *task) order() runner.Start {
	return runner.Start{Ticket: t.step.ticket(t.worker), Task: t.id, Attempt: t.attempt, Spec: t.job.Spec, Checkpoint: t.checkpoint,
		Fills: t.step.BestEffort, Target: t.step.LatencyTarget, Image: t.step.Image, Processors: t.step.Size.Processors}
}
