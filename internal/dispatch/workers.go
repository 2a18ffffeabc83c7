package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// maxHeartbeatAge is four heartbeat intervals. Workers with an older
	// heartbeat get no tasks, because their state is too stale.
	maxHeartbeatAge = 2 * time.Second
	// maxLaunching limits the starts in progress on one worker, so that stale
	// heartbeats do not direct an entire burst to the same worker.
	maxLaunching = 6
	// proposalTimeout is the time after which a proposal that has not appeared in
	// the ledger is considered lost. An append with group commit takes well under
	// a second.
	proposalTimeout = 3 * time.Second
)

// workerRow is the working copy of a worker during one tick.
type workerRow struct {
	*Worker
	epoch          ledger.WorkerEpoch
	free           units.Resources
	evictable      units.Resources
	reserved       units.Resources // by endpoints on the worker
	headroom       units.Millicores
	launching      int
	launchLimit    int             // limit of launching
	commitLimit    units.Resources // limit for batch tasks, lower during a ramp
	eligible       bool
	probe          bool    // the worker is a suspect that may run one task
	slowdown       float64 // added by its tasks, valid if slowdownLoaded
	slowdownLoaded bool
}

// inFlightProposal is a proposal that has not appeared in the ledger yet.
type inFlightProposal struct {
	attempt    units.Attempt
	epoch      ledger.WorkerEpoch
	team       units.TeamName
	priority   units.Priority
	size       units.Resources
	kind       units.JobKind
	proposedAt time.Time
}

// buildWorkerRows copies the workers of the input and selects those that may
// get tasks.
func (d *Dispatcher) buildWorkerRows() {
	d.rows, d.eligible, d.capacities = d.rows[:0], d.eligible[:0], d.capacities[:0]
	clear(d.byWorker)
	for i := range d.in.Workers {
		w := &d.in.Workers[i]
		epoch := ledger.WorkerEpoch{Worker: w.ID, Epoch: w.Epoch}
		launching := d.in.Ledger.LaunchingOn(epoch)
		r := workerRow{Worker: w, epoch: epoch, launching: launching.Count, launchLimit: maxLaunching, commitLimit: w.Capacity,
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

// headroom returns the processors that batch tasks leave free on a worker with
// endpoints, in addition to the endpoints' reservations: a fixed share, and more
// when the slots of an endpoint fill up.
func headroom(w *Worker, reserved units.Resources) units.Millicores {
	extra := float64(reserved.Processors) * max(0, w.EndpointLoad-highEndpointLoad)
	return min(w.Capacity.Processors/headroomDivisor+units.Millicores(extra), w.Capacity.Processors/2)
}

// usable reports whether a launch can be delivered to the worker and would be
// admitted.
func (d *Dispatcher) usable(r *workerRow) bool {
	return r.Epoch != 0 && r.HasSession && !r.Draining && r.HeartbeatAge <= maxHeartbeatAge && d.policy.inService(r.Domain) &&
		!d.policy.drained[r.ID] && (d.in.EpochEnded == nil || !d.in.EpochEnded(r.epoch))
}

func (d *Dispatcher) addCapacity(c units.Resources) {
	for _, listed := range d.capacities {
		if c == listed {
			return
		}
	}
	d.capacities = append(d.capacities, c)
}

// listAvailable lists the eligible workers that are not full, so that no scans
// are needed while the cluster is full.
func (d *Dispatcher) listAvailable() {
	d.available = d.available[:0]
	for _, i := range d.eligible {
		if r := &d.rows[i]; r.free.Processors > 0 && r.free.Memory > 0 && r.launching < r.launchLimit {
			d.available = append(d.available, i)
		}
	}
}

// pruneInFlight drops the proposals that the ledger has accepted or rejected and
// those that were lost, and subtracts the remaining ones from the free resources.
func (d *Dispatcher) pruneInFlight() {
	for task, f := range d.inFlight {
		t := d.in.Ledger.Task(task)
		if t == nil || t.Attempt >= f.attempt || !t.State.Waiting() || d.in.Now.Sub(f.proposedAt) > proposalTimeout {
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
