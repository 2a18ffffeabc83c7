package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// A task that has found no room for reserveAfter gets the next room on one
	// worker, so that a stream of small tasks cannot starve a large one.
	reserveAfter    = time.Minute
	reservationFor  = 2 * time.Minute
	maxReservations = 8
	maxUnplaced     = 20_000
)

// reservation keeps a worker free of other batch until the task fits.
type reservation struct {
	task  units.Task
	until time.Time
}

// miss notes that the task found no worker, and reserves one if it has waited
// long enough for room. Interference may last; a reservation would not end it.
func (d *Dispatcher) miss(q *request) {
	// A task that higher priorities keep out does not wait for want of size.
	d.missed = max(d.missed, q.job.Priority)
	task := q.task()
	first, known := d.unplaced[task]
	if !known {
		if len(d.unplaced) < maxUnplaced {
			d.unplaced[task] = d.in.Now
		}
		return
	}
	if !q.noRoom || !d.overtaken(q.size) || q.borrowed || q.job.Priority < d.missed || d.in.Now.Sub(first) < reserveAfter || len(d.reserved) >= min(maxReservations, len(d.eligible)/16+1) {
		return
	}
	for _, r := range d.reserved {
		if r.task == task {
			return
		}
	}
	var best *row
	var least float64
	for _, i := range d.eligible {
		r := &d.rows[i]
		d.Stats.WorkersScanned++
		if _, taken := d.reserved[r.ID]; taken || r.probe || !q.size.Fits(r.Capacity.Sub(r.reserved)) {
			continue
		}
		if _, ok := d.cost(r, q); !ok {
			continue
		}
		if c := dominantShare(missing(q.size, r.free), r.Capacity); best == nil || c < least {
			best, least = r, c
		}
	}
	if best != nil {
		d.reserved[best.ID] = reservation{task, d.in.Now.Add(reservationFor)}
	}
}

// noteSmallest keeps the smallest batch size assigned in this window of
// reserveAfter and the one before.
func (d *Dispatcher) noteSmallest(q *request) {
	if !q.batch() {
		return
	}
	if d.in.Now.Sub(d.windowAt) >= reserveAfter {
		d.windowAt, d.windows[1], d.windows[0] = d.in.Now, d.windows[0], units.Resources{}
	}
	if w := &d.windows[0]; w.IsZero() {
		*w = q.size
	} else {
		*w = units.Resources{Processors: min(w.Processors, q.size.Processors), Memory: min(w.Memory, q.size.Memory),
			Accelerators: min(w.Accelerators, q.size.Accelerators)}
	}
}

// overtaken reports whether smaller tasks have found room lately.
func (d *Dispatcher) overtaken(size units.Resources) bool {
	for _, w := range d.windows {
		if !w.IsZero() && !size.Fits(w) {
			return true
		}
	}
	return false
}

// settleReservations drops those that are served, stale or on a worker that
// may not be used.
func (d *Dispatcher) settleReservations() {
	for id, r := range d.reserved {
		i, ok := d.byWorker[id]
		t := d.in.Ledger.Task(r.task)
		if !ok || !d.rows[i].ok || t == nil || !t.State.Waiting() || !d.in.Now.Before(r.until) {
			delete(d.reserved, id)
		}
	}
}

// serveReservations starts the tasks whose reserved worker has room now. They
// may be far back in their queues, where a walk would not reach them.
func (d *Dispatcher) serveReservations() {
	for _, i := range d.eligible {
		r := &d.rows[i]
		s, taken := d.reserved[r.ID]
		if !taken {
			continue
		}
		j := d.in.Ledger.Job(s.task.Job)
		t := d.teamRow(j.Team)
		if t == nil || !d.ready(j, s.task.Index) {
			continue
		}
		q := request{job: j, index: s.task.Index, team: t, size: d.size(j, &j.Tasks[s.task.Index])}
		q.borrowed = !t.within(q.size, j.Priority)
		switch _, ok := d.cost(r, &q); {
		case !ok || (q.borrowed && !t.borrows):
			delete(d.reserved, r.ID) // room is no longer all that it lacks
		case d.fits(r, &q):
			d.assign(&q, r, false, nil)
		}
	}
}

// mayUseReserved reports whether the worker is free of another task's
// reservation. Urgent work and watchers do not wait for one.
func (d *Dispatcher) mayUseReserved(r *row, q *request) bool {
	if len(d.reserved) == 0 || !q.batch() {
		return true
	}
	s, taken := d.reserved[r.ID]
	return !taken || s.task == q.task()
}
