package dispatch

import "wasabihill.example/wasabihill/pkg/units"

// significant is the slowdown below which a pair is taken for noise: the
// latency of an endpoint varies by a few percent with its own load.
const significant = 0.03

// excess is the slowdown that one task of the kind adds to the endpoint beside
// it that suffers most.
func (d *Dispatcher) excess(kind units.JobKind, r *row) float64 {
	most := 0.0
	if services := d.in.Interference[kind]; len(services) > 0 {
		for _, s := range r.Services {
			if x := services[s] - 1; x > significant {
				most = max(most, x)
			}
		}
	}
	return most
}

// interferes returns the cost of the slowdown that the task adds. Beyond what
// the guards tolerate a worker takes one such task at a time and only when no
// other has room: the agent can throttle one, several make it evict. Urgent
// work does not wait for that.
func (d *Dispatcher) interferes(r *row, q *request) (float64, bool) {
	x := d.excess(q.job.JobKind, r)
	if x == 0 {
		return 0, true
	}
	if !r.excessRead {
		r.excessRead = true
		for _, task := range d.in.Ledger.TasksOn(r.epoch) {
			if j := d.in.Ledger.Job(task.Job); j != nil {
				r.excess += d.excess(j.JobKind, r)
			}
		}
	}
	if r.excess+x <= d.policy.slowdown {
		return costSlowdown * x, true
	}
	if r.excess > 0 && q.batch() {
		return 0, false
	}
	return costInterferes + costSlowdown*x, true
}
