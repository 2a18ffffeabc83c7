package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// maxHeartbeatAge is four heartbeats; an older view is not worth a start.
	maxHeartbeatAge = 2 * time.Second
	// maxLaunching bounds the starts in progress on one worker, so that stale
	// views do not send a whole burst to the same one.
	maxLaunching = 6
	// proposalTimeout is when a proposal that the fold has not shown is taken
	// for lost: an append under group commit takes well under a second.
	proposalTimeout = 3 * time.Second
)

// row is the working copy of a worker during one tick.
type row struct {
	*Worker
	epoch      ledger.WorkerEpoch
	free       units.Resources
	evictable  units.Resources
	reserved   units.Resources // by the endpoints beside it
	headroom   units.Millicores
	launching  int
	mayLaunch  int             // starts allowed now
	ceiling    units.Resources // ramp: batch may commit up to this
	ok         bool
	probe      bool // a suspect that may run one task
	excess     float64
	excessRead bool
}

// flight is a proposed assignment that the fold has not shown yet.
type flight struct {
	attempt  units.Attempt
	epoch    ledger.WorkerEpoch
	team     units.TeamName
	priority units.Priority
	size     units.Resources
	kind     units.JobKind
	at       time.Time
}

// buildRows copies the table of workers and decides who may get tasks.
func (d *Dispatcher) buildRows() {
	d.rows, d.eligible, d.sizes = d.rows[:0], d.eligible[:0], d.sizes[:0]
	clear(d.byWorker)
	for i := range d.in.Workers {
		w := &d.in.Workers[i]
		h := ledger.WorkerEpoch{Worker: w.ID, Epoch: w.Epoch}
		launching := d.in.Ledger.LaunchingOn(h)
		r := row{Worker: w, epoch: h, launching: launching.Count, mayLaunch: maxLaunching, ceiling: w.Capacity,
			free: w.Capacity.Sub(w.Committed).Sub(launching.Committed), evictable: w.Evictable}
		for _, s := range w.Services {
			r.reserved = r.reserved.Add(d.policy.services[s])
		}
		if len(w.Services) > 0 {
			r.headroom = headroom(w, r.reserved)
		}
		d.byWorker[w.ID] = int32(len(d.rows))
		d.rows = append(d.rows, r)
		d.noteCapacity(w.Capacity.Sub(r.reserved))
	}
	d.Stats.WorkersScanned += len(d.rows)
	d.updateSuspects()
	for i := range d.rows {
		r := &d.rows[i]
		r.ok = d.usable(r) && d.ramp(r) && d.trusted(r)
		if r.ok {
			d.eligible = append(d.eligible, int32(i))
		}
	}
	d.pruneHistory()
}

// headroom is what batch leaves free beside an endpoint on top of the
// endpoint's reservation: a little always, more when its slots fill up.
func headroom(w *Worker, reserved units.Resources) units.Millicores {
	extra := float64(reserved.Processors) * max(0, w.EndpointLoad-busySlots)
	return min(w.Capacity.Processors/headroomShare+units.Millicores(extra), w.Capacity.Processors/2)
}

// usable reports whether a launch could be delivered and would be admitted.
func (d *Dispatcher) usable(r *row) bool {
	return r.Epoch != 0 && r.HasSession && !r.Draining && r.HeartbeatAge <= maxHeartbeatAge && d.policy.inService(r.Domain) &&
		!d.policy.drained[r.ID] && (d.in.EpochEnded == nil || !d.in.EpochEnded(r.epoch))
}

func (d *Dispatcher) noteCapacity(c units.Resources) {
	for _, s := range d.sizes {
		if c == s {
			return
		}
	}
	d.sizes = append(d.sizes, c)
}

// findRoom lists the workers that are not full, so that a full cluster costs
// no scans.
func (d *Dispatcher) findRoom() {
	d.roomy = d.roomy[:0]
	for _, i := range d.eligible {
		if r := &d.rows[i]; r.free.Processors > 0 && r.free.Memory > 0 && r.launching < r.mayLaunch {
			d.roomy = append(d.roomy, i)
		}
	}
}

// settleInFlight drops the proposals that the fold has decided or that were
// lost, and takes the rest out of the room.
func (d *Dispatcher) settleInFlight() {
	for task, f := range d.inFlight {
		t := d.in.Ledger.Task(task)
		if t == nil || t.Attempt >= f.attempt || !t.State.Waiting() || d.in.Now.Sub(f.at) > proposalTimeout {
			delete(d.inFlight, task)
			continue
		}
		if i, ok := d.byWorker[f.epoch.Worker]; ok && d.rows[i].Epoch == f.epoch.Epoch {
			r := &d.rows[i]
			r.free = r.free.Sub(f.size)
			r.launching++
			r.excess += d.excess(f.kind, r)
		}
	}
}
