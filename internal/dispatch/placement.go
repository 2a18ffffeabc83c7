package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// Workers are sampled until candidates of them have room: the better of a
	// few avoids both the herd towards the emptiest worker and a full scan.
	candidates = 3
	maxProbes  = 16
)

// request is one task to place.
type request struct {
	job      *ledger.Job
	index    uint32
	team     *teamRow // nil for a watcher
	size     units.Resources
	borrowed bool
	preempt  bool
	spread   *placed // read when a worker with room is first rated
	rated    bool
	noRoom   bool // no worker had room, whatever else spoke against it
}

func (q *request) task() units.Task       { return units.Task{Job: q.job.ID, Index: q.index} }
func (q *request) row() *ledger.Task      { return &q.job.Tasks[q.index] }
func (q *request) batch() bool            { return !q.job.IsWatcher() && q.job.Priority < units.PriorityUrgent }
func (q *request) covers(s shortage) bool { return s.batch == q.batch() && s.size.Fits(q.size) }

// shortage is a size for which no worker had room earlier in the tick. Room
// only shrinks during a tick, so anything as large need not be tried again.
type shortage struct {
	size  units.Resources
	batch bool
}

// place proposes the best worker for the task and reports whether there is one.
func (d *Dispatcher) place(q request) bool {
	if best := d.sample(&q); best != nil {
		d.assign(&q, best, false, nil)
		return true
	}
	if q.preempt && d.preempt(&q) {
		return true
	}
	d.miss(&q)
	return !q.borrowed && d.reclaim(&q)
}

// sample returns the best of a few workers with room, or nil. Only when random
// probes find none are all rows read.
func (d *Dispatcher) sample(q *request) *row {
	for _, s := range d.noRoom {
		if q.covers(s) {
			q.noRoom = true
			return nil
		}
	}
	d.scans++
	n := len(d.roomy)
	if n == 0 {
		q.noRoom = true
		return nil
	}
	var best *row
	var least float64
	found := 0
	consider := func(r *row) {
		d.Stats.WorkersScanned++
		if !d.fits(r, q) {
			return
		}
		cost, ok := d.cost(r, q)
		if !ok {
			return
		}
		if found++; best == nil || cost < least {
			best, least = r, cost
		}
	}
	if n > 2*maxProbes {
		for range maxProbes {
			consider(&d.rows[d.roomy[d.Random.IntN(n)]])
			if found == candidates {
				return best
			}
		}
		if best != nil && least < costAvoid {
			return best
		}
	}
	start, roomy := d.Random.IntN(n), false
	for i := range n {
		r := &d.rows[d.roomy[(start+i)%n]]
		roomy = roomy || d.fits(r, q)
		consider(r)
		if n > 2*maxProbes && found >= candidates && least < costAvoid {
			return best
		}
	}
	if q.noRoom = !roomy; q.noRoom {
		d.noRoom = append(d.noRoom, shortage{q.size, q.batch()})
	}
	return best
}

// fits reports whether the worker has room for the task now. Batch leaves the
// headroom of the endpoints beside it and stays below the ramp's ceiling.
func (d *Dispatcher) fits(r *row, q *request) bool {
	if r.launching >= r.mayLaunch || !q.size.Fits(r.free) || !d.mayUseReserved(r, q) {
		return false
	}
	if !q.batch() {
		return true
	}
	if q.size.Processors > r.free.Processors-r.headroom {
		return false
	}
	return r.Capacity.Sub(r.free).Add(q.size).Fits(r.ceiling)
}

// assign proposes the task for the worker and takes it out of the room.
func (d *Dispatcher) assign(q *request, r *row, mayEvict bool, victims []TaskAttempt) {
	task, attempt := q.task(), q.row().Attempt+1
	d.proposals = append(d.proposals, Proposal{Action: Assign, Task: task, Attempt: attempt, WorkerEpoch: r.epoch,
		Committed: q.size, Borrowed: q.borrowed, MayEvict: mayEvict, Victims: victims})
	f := flight{attempt: attempt, epoch: r.epoch, size: q.size, at: d.in.Now, team: q.job.Team, priority: q.job.Priority, kind: q.job.JobKind}
	if q.team != nil {
		q.team.charge(q.size, q.job.Priority)
		d.budget--
	}
	d.inFlight[task] = f
	r.free = r.free.Sub(q.size)
	r.launching++
	r.excess += d.excess(q.job.JobKind, r)
	if r.probe {
		s := d.suspects[r.ID]
		s.probe, s.attempt, s.since = task, attempt, d.in.Now
	}
	d.addPlaced(q, r)
	d.noteSmallest(q)
	delete(d.unplaced, task)
	d.Stats.Assigned++
}
