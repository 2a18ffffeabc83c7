package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// A task for which no worker had capacity for reserveAfter gets a
	// reservation on one worker, so that a stream of small tasks cannot starve a
	// large one.
	reserveAfter       = time.Minute
	reservationTimeout = 2 * time.Minute
	maxReservations    = 8
	maxUnplacedTasks   = 20_000
)

// reservation keeps other batch tasks off a worker until the task fits.
type reservation struct {
	task      units.Task
	expiresAt time.Time
}

// recordUnplaced records that no worker was found for the task, and reserves a
// worker if the task has waited for capacity for reserveAfter. A task that
// only interference keeps off the workers gets none, because a reservation would
// not end the interference.
func (d *Dispatcher) recordUnplaced(q *request) {
	// While a task of higher priority is unplaced, the size of this one is not
	// the reason why it waits.
	d.highestUnplaced = max(d.highestUnplaced, q.job.Priority)
	task := q.task()
	first, ok := d.unplacedSince[task]
	if !ok {
		if len(d.unplacedSince) < maxUnplacedTasks {
			d.unplacedSince[task] = d.in.Now
		}
		return
	}
	if !q.noCapacity || !d.smallerTasksPlaced(q.size) || q.overQuota || q.job.Priority < d.highestUnplaced || d.in.Now.Sub(first) < reserveAfter || len(d.reservations) >= min(maxReservations, len(d.eligible)/16+1) {
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
		d.reservations[best.ID] = reservation{task, d.in.Now.Add(reservationTimeout)}
	}
}

// recordSmallestAssigned updates the smallest batch size assigned in the current
// window, which lasts reserveAfter. The previous window is kept as well.
func (d *Dispatcher) recordSmallestAssigned(q *request) {
	if !q.batch() {
		return
	}
	if d.in.Now.Sub(d.windowStart) >= reserveAfter {
		d.windowStart, d.smallestAssigned[1], d.smallestAssigned[0] = d.in.Now, d.smallestAssigned[0], units.Resources{}
	}
	if w := &d.smallestAssigned[0]; w.IsZero() {
		*w = q.size
	} else {
		*w = units.Resources{Processors: min(w.Processors, q.size.Processors), Memory: min(w.Memory, q.size.Memory),
			Accelerators: min(w.Accelerators, q.size.Accelerators)}
	}
}

// smallerTasksPlaced reports whether tasks that are smaller in some dimension
// were placed in the current or previous window.
func (d *Dispatcher) smallerTasksPlaced(size units.Resources) bool {
	for _, w := range d.smallestAssigned {
		if !w.IsZero() && !size.Fits(w) {
			return true
		}
	}
	return false
}

// pruneReservations drops reservations whose task no longer waits, that have
// expired, or whose worker is no longer eligible.
func (d *Dispatcher) pruneReservations() {
	for id, r := range d.reservations {
		i, ok := d.byWorker[id]
		t := d.in.Ledger.Task(r.task)
		if !ok || !d.rows[i].eligible || t == nil || !t.State.Waiting() || !d.in.Now.Before(r.expiresAt) {
			delete(d.reservations, id)
		}
	}
}

// placeReserved places the tasks that fit on their reserved worker now. They may
// be far back in their queues, where a walk would not reach them.
func (d *Dispatcher) placeReserved() {
	for _, i := range d.eligible {
		r := &d.rows[i]
		s, taken := d.reservations[r.ID]
		if !taken {
			continue
		}
		j := d.in.Ledger.Job(s.task.Job)
		t := d.findTeam(j.Team)
		if t == nil || !d.mayPropose(j, s.task.Index) {
			continue
		}
		q := request{job: j, index: s.task.Index, team: t, size: d.commitSize(j, &j.Tasks[s.task.Index])}
		q.overQuota = !t.withinQuota(q.size, j.Priority)
		switch _, ok := d.cost(r, &q); {
		case !ok || (q.overQuota && !t.mayBorrow):
			delete(d.reservations, r.ID) // a reservation does not help: the cost or the quota rules the worker out
		case d.fits(r, &q):
			d.assign(&q, r, false, nil)
		}
	}
}

// reservationAllows reports whether the worker is not reserved for another task.
// Reservations do not apply to urgent tasks and watchers.
func (d *Dispatcher) reservationAllows(r *workerRow, q *request) bool {
	if len(d.reservations) == 0 || !q.batch() {
		return true
	}
	s, taken := d.reservations[r.ID]
	return !taken || s.task == q.task()
}
