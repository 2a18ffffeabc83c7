package dispatch

import (
	"slices"

	"wasabihill.example/wasabihill/pkg/units"
)

// Costs of placing a task on a worker. The load after placement is at most 1;
// the others are set against it.
const (
	costAvoidThreshold  = 10.0 // at or above: taken only when nothing else has room
	costPreviousFailure = 20.0
	costExcessSlowdown  = 12.0
	costAccelerator     = 10.0 // a worker with accelerators, for a task that asks for none
	costPerSlowdown     = 4.0  // per unit of latency ratio added
	costRack            = 1.0  // per other task of the job (or watcher) on the rack, as a share
	costDomain          = 0.5
)

// cost rates a worker that has room; lower is better. It reports false for one
// that must not be used.
func (d *Dispatcher) cost(r *workerRow, q *placementRequest) (float64, bool) {
	after := r.Capacity.Sub(r.free).Add(q.size)
	cost := dominantShare(after, r.Capacity)
	if q.size.Accelerators == 0 && r.Capacity.Accelerators > 0 {
		cost += costAccelerator
	}
	if t := q.taskRow(); len(t.FailedWorkers) > 0 && slices.Contains(t.FailedWorkers, r.ID) {
		cost += costPreviousFailure
	}
	if r.probe && (q.job.IsWatcher() || q.job.Priority >= units.PriorityHigh || q.taskRow().Failures > 0) {
		return 0, false // a probe is a task that can afford to fail
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
