package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// Workers are sampled at random until candidateCount of them can run the task
	// or maxSamples were drawn. Choosing the best of a few avoids a full scan and
	// keeps dispatchers from all choosing the emptiest worker.
	candidateCount = 3
	maxSamples     = 16
)

// request is one task to place.
type request struct {
	job          *ledger.Job
	index        uint32
	team         *teamRow // nil for a watcher
	size         units.Resources
	overQuota    bool
	mayPreempt   bool
	spread       *spreadCount // computed when the first worker with free capacity is rated
	spreadLoaded bool
	noCapacity   bool // no worker had free capacity for it, costs aside
}

func (q *request) task() units.Task         { return units.Task{Job: q.job.ID, Index: q.index} }
func (q *request) taskRow() *ledger.Task    { return &q.job.Tasks[q.index] }
func (q *request) batch() bool              { return !q.job.IsWatcher() && q.job.Priority < units.PriorityUrgent }
func (q *request) atLeast(s sizeClass) bool { return s.batch == q.batch() && s.size.Fits(q.size) }

// sizeClass is a task size for which no worker had free capacity earlier in the
// tick. Free capacity only shrinks during a tick, so tasks that are at least as
// large need not be tried again.
type sizeClass struct {
	size  units.Resources
	batch bool
}

// place proposes a worker for the task and reports whether it found one. If no
// worker has free capacity it may preempt or reclaim borrowed capacity.
func (d *Dispatcher) place(q request) bool {
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

// pickWorker returns the best of a few random workers that can run the task, or
// nil. It reads all rows only if the random samples include no good worker.
func (d *Dispatcher) pickWorker(q *request) *workerRow {
	for _, s := range d.noCapacityFor {
		if q.atLeast(s) {
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
	start, anyFits := d.Random.IntN(n), false
	for i := range n {
		r := &d.rows[d.available[(start+i)%n]]
		anyFits = anyFits || d.fits(r, q)
		consider(r)
		if n > 2*maxSamples && found >= candidateCount && least < costAvoidThreshold {
			return best
		}
	}
	if q.noCapacity = !anyFits; q.noCapacity {
		d.noCapacityFor = append(d.noCapacityFor, sizeClass{q.size, q.batch()})
	}
	return best
}

// fits reports whether the worker has free capacity for the task now. Batch
// tasks leave the headroom of endpoints free and stay below the worker's commit
// limit.
func (d *Dispatcher) fits(r *workerRow, q *request) bool {
	if r.launching >= r.launchLimit || !q.size.Fits(r.free) || !d.reservationAllows(r, q) {
		return false
	}
	if !q.batch() {
		return true
	}
	if q.size.Processors > r.free.Processors-r.headroom {
		return false
	}
	return r.Capacity.Sub(r.free).Add(q.size).Fits(r.commitLimit)
}

// assign proposes the task for the worker and subtracts its size from the free
// resources.
func (d *Dispatcher) assign(q *request, r *workerRow, mayEvict bool, victims []TaskAttempt) {
	task, attempt := q.task(), q.taskRow().Attempt+1
	d.proposals = append(d.proposals, Proposal{Action: Assign, Task: task, Attempt: attempt, WorkerEpoch: r.epoch,
		Committed: q.size, Borrowed: q.overQuota, MayEvict: mayEvict, Victims: victims})
	f := inFlightProposal{attempt: attempt, epoch: r.epoch, size: q.size, proposedAt: d.in.Now, team: q.job.Team, priority: q.job.Priority, kind: q.job.JobKind}
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
		s.probe, s.probeAttempt, s.probeSince = task, attempt, d.in.Now
	}
	d.addToSpread(q, r)
	d.recordSmallestAssigned(q)
	delete(d.unplacedSince, task)
	d.Stats.Assigned++
}
