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
type workerRow struct {
	*Worker
	epoch          ledger.WorkerEpoch
	free           units.Resources
	evictable      units.Resources
	reserved       units.Resources // by the endpoints beside it
	headroom       units.Millicores
	launching      int
	launchLimit    int             // starts allowed now
	commitLimit    units.Resources // ramp: batch may commit up to this
	eligible       bool
	probe          bool // a suspect that may run one task
	slowdown       float64
	slowdownLoaded bool
}

// flight is a proposed assignment that the fold has not shown yet.
type inFlightProposal struct {
	attempt    units.Attempt
	epoch      ledger.WorkerEpoch
	team       units.TeamName
	priority   units.Priority
	size       units.Resources
	kind       units.JobKind
	proposedAt time.Time
}

// buildRows copies the table of workers and decides who may get tasks.
func (d *Dispatcher) buildWorkerRows() {
	d.rows, d.eligible, d.capacities = d.rows[:0], d.eligible[:0], d.capacities[:0]
	clear(d.byWorker)
	for i := range d.input.Workers {
		w := &d.input.Workers[i]
		h := ledger.WorkerEpoch{Worker: w.ID, Epoch: w.Epoch}
		launching := d.input.Ledger.LaunchingOn(h)
		r := workerRow{Worker: w, epoch: h, launching: launching.Count, launchLimit: maxLaunching, commitLimit: w.Capacity,
			free: w.Capacity.Sub(w.Committed).Sub(launching.Committed), evictable: w.Evictable}
		for _, s := range w.Services {
			r.reserved = r.reserved.Add(d.policy.services[s])
		}
		if len(w.Services) > 0 {
			r.headroom = headroom(w, r.reserved)
		}
		d.byWorker[w.ID] = int32(len(d.rows))
		d.rows = append(d.rows, r)
		d.addCapacity(w.Capacity.Sub(r.reserved))
	}
	d.Stats.WorkersScanned += len(d.rows)
	d.updateSuspects()
	for i := range d.rows {
		r := &d.rows[i]
		r.eligible = d.usable(r) && d.applyRamp(r) && d.allowSuspect(r)
		if r.eligible {
			d.eligible = append(d.eligible, int32(i))
		}
	}
	d.pruneUsableHistories()
}

// headroom is what batch leaves free beside an endpoint on top of the
// endpoint's reservation: a little always, more when its slots fill up.
func headroom(w *Worker, reserved units.Resources) units.Millicores {
	extra := float64(reserved.Processors) * max(0, w.EndpointLoad-highEndpointLoad)
	return min(w.Capacity.Processors/headroomDivisor+units.Millicores(extra), w.Capacity.Processors/2)
}

// usable reports whether a launch could be delivered and would be admitted.
func (d *Dispatcher) usable(r *workerRow) bool {
	return r.Epoch != 0 && r.HasSession && !r.Draining && r.HeartbeatAge <= maxHeartbeatAge && d.policy.inService(r.Domain) &&
		!d.policy.drained[r.ID] && (d.input.EpochEnded == nil || !d.input.EpochEnded(r.epoch))
}

func (d *Dispatcher) addCapacity(c units.Resources) {
	for _, s := range d.capacities {
		if c == s {
			return
		}
	}
	d.capacities = append(d.capacities, c)
}

// findRoom lists the workers that are not full, so that a full cluster costs
// no scans.
func (d *Dispatcher) listAvailable() {
	d.available = d.available[:0]
	for _, i := range d.eligible {
		if r := &d.rows[i]; r.free.Processors > 0 && r.free.Memory > 0 && r.launching < r.launchLimit {
			d.available = append(d.available, i)
		}
	}
}

// settleInFlight drops the proposals that the fold has decided or that were
// lost, and takes the rest out of the room.
func (d *Dispatcher) pruneInFlight() {
	for task, f := range d.inFlight {
		t := d.input.Ledger.Task(task)
		if t == nil || t.Attempt >= f.attempt || !t.State.Waiting() || d.input.Now.Sub(f.proposedAt) > proposalTimeout {
			delete(d.inFlight, task)
			continue
		}
		if i, ok := d.byWorker[f.epoch.Worker]; ok && d.rows[i].Epoch == f.epoch.Epoch {
			r := &d.rows[i]
			r.free = r.free.Sub(f.size)
			r.launching++
			r.slowdown += d.addedSlowdown(f.kind, r)
		}
	}
}
