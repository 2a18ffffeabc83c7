package dispatch

import "wasabihill.example/wasabihill/pkg/units"

// minSlowdown is the slowdown below which a measured pair is treated as noise:
// the latency of an endpoint varies by a few percent with its own load.
const minSlowdown = 0.03

// addedSlowdown returns the slowdown that one task of the kind adds to the most
// affected endpoint on the worker.
func (d *Dispatcher) addedSlowdown(kind units.JobKind, r *workerRow) float64 {
	most := 0.0
	if services := d.in.Interference[kind]; len(services) > 0 {
		for _, s := range r.Services {
			if x := services[s] - 1; x > minSlowdown {
				most = max(most, x)
			}
		}
	}
	return most
}

// interferenceCost returns the cost of the slowdown that the task adds, and
// false if the worker must not be used. Above the tolerated slowdown a worker
// runs one such batch task at a time, and only if no other worker has capacity:
// the agent can throttle a single task, but several force it to evict. Urgent
// tasks are exempt from the limit of one.
func (d *Dispatcher) interferenceCost(r *workerRow, q *request) (float64, bool) {
	added := d.addedSlowdown(q.job.JobKind, r)
	if added == 0 {
		return 0, true
	}
	if !r.slowdownLoaded {
		r.slowdownLoaded = true
		for _, task := range d.in.Ledger.TasksOn(r.epoch) {
			if j := d.in.Ledger.Job(task.Job); j != nil {
				r.slowdown += d.addedSlowdown(j.JobKind, r)
			}
		}
	}
	if r.slowdown+added <= d.policy.slowdownLimit {
		return costPerSlowdown * added, true
	}
	if r.slowdown > 0 && q.batch() {
		return 0, false
	}
	return costExcessSlowdown + costPerSlowdown*added, true
}
