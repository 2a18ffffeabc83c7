package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// Workers are sampled until candidates of them have room: the better of a
	// few avoids both the herd towards the emptiest worker and a full scan.
	candidateCount = 3
	maxSamples     = 16
)

// request is one task to place.
type placementRequest struct {
	job          *ledger.Job
	index        uint32
	team         *teamRow // nil for a watcher
	size         units.Resources
	overQuota    bool
	mayPreempt   bool
	spread       *spreadCount // read when a worker with room is first rated
	spreadLoaded bool
	noCapacity   bool // no worker had room, whatever else spoke against it
}

func (q *placementRequest) task() units.Task      { return units.Task{Job: q.job.ID, Index: q.index} }
func (q *placementRequest) taskRow() *ledger.Task { return &q.job.Tasks[q.index] }
func (q *placementRequest) isBatch() bool {
	return !q.job.IsWatcher() && q.job.Priority < units.PriorityUrgent
}
func (q *placementRequest) needsAtLeast(s unplaceableSize) bool {
	return s.isBatch == q.isBatch() && s.size.Fits(q.size)
}

// shortage is a size for which no worker had room earlier in the tick. Room
// only shrinks during a tick, so anything as large need not be tried again.
type unplaceableSize struct {
	size    units.Resources
	isBatch bool
}

// place proposes the best worker for the task and reports whether there is one.
func (d *Dispatcher) place(q placementRequest) bool {
	if best := d.pickWorker(&q); best != nil {
		d.assign(&q, best, false, nil)
		return true
	}
	if q.mayPreempt && d.preempt(&q) {
		return true
	}
	d.recordUnplaced(&q)
	return !q.overQuota && d.reclaim(&q)
}

// sample returns the best of a few workers with room, or nil. Only when random
// probes find none are all rows read.
func (d *Dispatcher) pickWorker(q *placementRequest) *workerRow {
	for _, s := range d.noCapacityFor {
		if q.needsAtLeast(s) {
			q.noCapacity = true
			return nil
		}
	}
	d.scans++
	n := len(d.available)
	if n == 0 {
		q.noCapacity = true
		return nil
	}
	var best *workerRow
	var least float64
	found := 0
	consider := func(r *workerRow) {
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
	if n > 2*maxSamples {
		for range maxSamples {
			consider(&d.rows[d.available[d.Random.IntN(n)]])
			if found == candidateCount {
				return best
			}
		}
		if best != nil && least < costAvoidThreshold {
			return best
		}
	}
	start, roomy := d.Random.IntN(n), false
	for i := range n {
		r := &d.rows[d.available[(start+i)%n]]
		roomy = roomy || d.fits(r, q)
		consider(r)
		if n > 2*maxSamples && found >= candidateCount && least < costAvoidThreshold {
			return best
		}
	}
	if q.noCapacity = !roomy; q.noCapacity {
		d.noCapacityFor = append(d.noCapacityFor, unplaceableSize{q.size, q.isBatch()})
	}
	return best
}

// fits reports whether the worker has room for the task now. Batch leaves the
// headroom of the endpoints beside it and stays below the ramp's ceiling.
func (d *Dispatcher) fits(r *workerRow, q *placementRequest) bool {
	if r.launching >= r.launchLimit || !q.size.Fits(r.free) || !d.reservationAllows(r, q) {
		return false
	}
	if !q.isBatch() {
		return true
	}
	if q.size.Processors > r.free.Processors-r.headroom {
		return false
	}
	return r.Capacity.Sub(r.free).Add(q.size).Fits(r.commitLimit)
}

// assign proposes the task for the worker and takes it out of the room.
func (d *Dispatcher) assign(q *placementRequest, r *workerRow, mayEvict bool, victims []TaskAttempt) {
	task, attempt := q.task(), q.taskRow().Attempt+1
	d.proposals = append(d.proposals, Proposal{Action: Assign, Task: task, Attempt: attempt, WorkerEpoch: r.epoch,
		Committed: q.size, Borrowed: q.overQuota, MayEvict: mayEvict, Victims: victims})
	f := inFlightProposal{attempt: attempt, epoch: r.epoch, size: q.size, proposedAt: d.input.Now, team: q.job.Team, priority: q.job.Priority, kind: q.job.JobKind}
	if q.team != nil {
		q.team.addUsage(q.size, q.job.Priority)
		d.startsLeft--
	}
	d.inFlight[task] = f
	r.free = r.free.Sub(q.size)
	r.launching++
	r.slowdown += d.addedSlowdown(q.job.JobKind, r)
	if r.probe {
		s := d.suspects[r.ID]
		s.probe, s.probeAttempt, s.probeSince = task, attempt, d.input.Now
	}
	d.addToSpread(q, r)
	d.recordSmallestAssigned(q)
	delete(d.unplacedSince, task)
	d.Stats.Assigned++
}
