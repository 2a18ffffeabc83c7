package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// A task that has found no room for reserveAfter gets the next room on one
	// worker, so that a stream of small tasks cannot starve a large one.
	reserveAfter       = time.Minute
	reservationTimeout = 2 * time.Minute
	maxReservations    = 8
	maxUnplacedTasks   = 20_000
)

// reservation keeps a worker free of other batch until the task fits.
type reservation struct {
	task      units.Task
	expiresAt time.Time
}

// miss notes that the task found no worker, and reserves one if it has waited
// long enough for room. Interference may last; a reservation would not end it.
func (d *Dispatcher) recordUnplaced(q *placementRequest) {
	// A task that higher priorities keep out does not wait for want of size.
	d.highestUnplaced = max(d.highestUnplaced, q.job.Priority)
	task := q.task()
	first, known := d.unplacedSince[task]
	if !known {
		if len(d.unplacedSince) < maxUnplacedTasks {
			d.unplacedSince[task] = d.input.Now
		}
		return
	}
	if !q.noCapacity || !d.smallerTasksPlaced(q.size) || q.overQuota || q.job.Priority < d.highestUnplaced || d.input.Now.Sub(first) < reserveAfter || len(d.reservations) >= min(maxReservations, len(d.eligible)/16+1) {
		return
	}
	for _, r := range d.reservations {
		if r.task == task {
			return
		}
	}
	var best *workerRow
	var least float64
	for _, i := range d.eligible {
		r := &d.rows[i]
		d.Stats.WorkersScanned++
		if _, taken := d.reservations[r.ID]; taken || r.probe || !q.size.Fits(r.Capacity.Sub(r.reserved)) {
			continue
		}
		if _, ok := d.cost(r, q); !ok {
			continue
		}
		if c := dominantShare(shortfall(q.size, r.free), r.Capacity); best == nil || c < least {
			best, least = r, c
		}
	}
	if best != nil {
		d.reservations[best.ID] = reservation{task, d.input.Now.Add(reservationTimeout)}
	}
}

// noteSmallest keeps the smallest batch size assigned in this window of
// reserveAfter and the one before.
func (d *Dispatcher) recordSmallestAssigned(q *placementRequest) {
	if !q.isBatch() {
		return
	}
	if d.input.Now.Sub(d.windowStart) >= reserveAfter {
		d.windowStart, d.smallestAssigned[1], d.smallestAssigned[0] = d.input.Now, d.smallestAssigned[0], units.Resources{}
	}
	if w := &d.smallestAssigned[0]; w.IsZero() {
		*w = q.size
	} else {
		*w = units.Resources{Processors: min(w.Processors, q.size.Processors), Memory: min(w.Memory, q.size.Memory),
			Accelerators: min(w.Accelerators, q.size.Accelerators)}
	}
}

// overtaken reports whether smaller tasks have found room lately.
func (d *Dispatcher) smallerTasksPlaced(size units.Resources) bool {
	for _, w := range d.smallestAssigned {
		if !w.IsZero() && !size.Fits(w) {
			return true
		}
	}
	return false
}

// settleReservations drops those that are served, stale or on a worker that
// may not be used.
func (d *Dispatcher) pruneReservations() {
	for id, r := range d.reservations {
		i, ok := d.byWorker[id]
		t := d.input.Ledger.Task(r.task)
		if !ok || !d.rows[i].eligible || t == nil || !t.State.Waiting() || !d.input.Now.Before(r.expiresAt) {
			delete(d.reservations, id)
		}
	}
}

// serveReservations starts the tasks whose reserved worker has room now. They
// may be far back in their queues, where a walk would not reach them.
func (d *Dispatcher) placeReserved() {
	for _, i := range d.eligible {
		r := &d.rows[i]
		s, taken := d.reservations[r.ID]
		if !taken {
			continue
		}
		j := d.input.Ledger.Job(s.task.Job)
		t := d.findTeam(j.Team)
		if t == nil || !d.mayPropose(j, s.task.Index) {
			continue
		}
		q := placementRequest{job: j, index: s.task.Index, team: t, size: d.commitSize(j, &j.Tasks[s.task.Index])}
		q.overQuota = !t.withinQuota(q.size, j.Priority)
		switch _, ok := d.cost(r, &q); {
		case !ok || (q.overQuota && !t.mayBorrow):
			delete(d.reservations, r.ID) // room is no longer all that it lacks
		case d.fits(r, &q):
			d.assign(&q, r, false, nil)
		}
	}
}

// mayUseReserved reports whether the worker is free of another task's
// reservation. Urgent work and watchers do not wait for one.
func (d *Dispatcher) reservationAllows(r *workerRow, q *placementRequest) bool {
	if len(d.reservations) == 0 || !q.isBatch() {
		return true
	}
	s, taken := d.reservations[r.ID]
	return !taken || s.task == q.task()
}
