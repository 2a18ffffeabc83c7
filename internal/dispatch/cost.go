package dispatch

import (
	"slices"

	"wasabihill.example/wasabihill/pkg/units"
)

// Costs of placing a task on a worker. They are relative to the worker's load
// after placement, which is at most 1.
const (
	costAvoidThreshold  = 10.0 // workers at or above it are used only when no other has capacity
	costPreviousFailure = 20.0
	costExcessSlowdown  = 12.0
	costAccelerator     = 10.0 // worker with accelerators for a task that requests none
	costPerSlowdown     = 4.0  // per unit of added latency ratio
	costRack            = 1.0  // times the share of the job's other tasks (or of the watchers) on the rack
	costDomain          = 0.5  // times the same share for the failure domain
)

// cost returns the cost of the placement on a worker with free capacity; lower
// is better. It returns false if the worker must not be used.
func (d *Dispatcher) cost(r *workerRow, q *request) (float64, bool) {
	after := r.Capacity.Sub(r.free).Add(q.size)
	cost := dominantShare(after, r.Capacity)
	if q.size.Accelerators == 0 && r.Capacity.Accelerators > 0 {
		cost += costAccelerator
	}
	if t := q.taskRow(); len(t.FailedWorkers) > 0 && slices.Contains(t.FailedWorkers, r.ID) {
		cost += costPreviousFailure
	}
	if r.probe && (q.job.IsWatcher() || q.job.Priority >= units.PriorityHigh || q.taskRow().Failures > 0) {
		return 0, false // a probe must be a task whose failure is tolerable
	}
	if !q.spreadLoaded {
		if q.spreadLoaded = true; q.spread == nil {
			q.spread = d.countJobTasks(q.job)
		}
	}
	cost += q.spread.cost(r)
	slow, ok := d.interferenceCost(r, q)
	return cost + slow, ok
}
