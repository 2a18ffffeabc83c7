package entry

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/leases"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// ownerTimeout is how long this process waits for the owner of a worker or job
	// to act before it acts itself. A duplicate record has no effect when it is
	// applied.
	ownerTimeout = 3 * time.Second
)

// register proposes the registration of a new epoch, or another lessor for an agent
// that requests one.
func (c *control) register(w *workerState, now time.Time) {
	epoch := units.Epoch(w.heartbeat.GetEpoch())
	if epoch == 0 || w.heartbeat.GetCapacity() == nil {
		return // the heartbeat does not describe the worker yet
	}
	var registered roster.Worker
	var found bool
	c.members.View(func(r *roster.Roster) { registered, found = r.Worker(w.id) })
	h := roster.WorkerEpoch{Worker: w.id, Epoch: epoch}
	switch {
	case !found || registered.Epoch < epoch:
		if c.shouldActOn("worker/"+string(w.id), h, now) {
			c.proposeRegistration(w, h, now)
		}
	case registered.Epoch == epoch && registered.Active() && w.heartbeat.GetWantsLessor() && units.Term(w.heartbeat.GetLeaseTerm()) == registered.Term:
		if c.shouldActOn("worker/"+string(w.id), h, now) {
			c.proposeLessor(w, registered, now)
		}
	default:
		delete(c.requestedSince, h)
	}
}

// shouldActOn reports whether this process must act on the key, because it owns the
// key or because the owner has not acted for ownerTimeout.
func (c *control) shouldActOn(key string, h roster.WorkerEpoch, now time.Time) bool {
	if c.ownership.Load().owns(key) {
		return true
	}
	since, ok := c.requestedSince[h]
	if !ok {
		c.requestedSince[h] = now
		return false
	}
	return now.Sub(since) > ownerTimeout
}

// proposeRegistration proposes to register the epoch, with a lessor if one is available.
func (c *control) proposeRegistration(w *workerState, h roster.WorkerEpoch, now time.Time) {
	m := w.heartbeat
	place := roster.Location{Domain: units.DomainName(m.GetFailureDomain()), Rack: units.RackName(m.GetRack()), Region: units.RegionName(m.GetRegion())}
	row := roster.Worker{
		ID: w.id, Epoch: h.Epoch, Domain: place.Domain, Rack: place.Rack, Region: place.Region,
		LinkAddress: m.GetLinkAddress(), Capacity: m.GetCapacity().Units(),
	}
	row.Lessor, _ = c.chooseLessor(w.id, place, roster.WorkerEpoch{}, now)
	if c.membersOutbox.add(fmt.Sprintf("register/%s@%d", w.id, h.Epoch), now, roster.EncodeRegistered(row)) {
		c.event("worker", "registering", string(w.id), fmt.Sprintf("epoch %d, lessor %q", h.Epoch, row.Lessor.Worker), "")
	}
}

// proposeLessor proposes another lessor in a new term.
func (c *control) proposeLessor(w *workerState, registered roster.Worker, now time.Time) {
	place := roster.Location{Domain: registered.Domain, Rack: registered.Rack, Region: registered.Region}
	lessor, ok := c.chooseLessor(w.id, place, registered.Lessor, now)
	if !ok {
		// If only two workers are left, the current lessor in a new term is
		// better than none: the lessee does not renew in the present term.
		lessor, ok = c.chooseLessor(w.id, place, roster.WorkerEpoch{}, now)
	}
	if !ok {
		return
	}
	key := fmt.Sprintf("lessor/%s@%d/%d", w.id, registered.Epoch, registered.Term)
	if c.membersOutbox.add(key, now, roster.EncodeLessorChanged(registered.WorkerEpoch(), registered.Term+1, lessor)) {
		c.event("worker", "lessorChanging", string(w.id), fmt.Sprintf("to %s, term %d", lessor.Worker, registered.Term+1), "")
	}
}

// chooseLessor chooses a lessor that is reachable, is not draining and differs from
// current.
func (c *control) chooseLessor(id units.WorkerID, at roster.Location, current roster.WorkerEpoch, now time.Time) (chosen roster.WorkerEpoch, ok bool) {
	c.members.View(func(r *roster.Roster) {
		chosen, ok = r.ChooseLessor(id, at, func(h roster.WorkerEpoch) bool {
			w := c.workers[h.Worker]
			return h != current && w != nil && w.reachable(now) && units.Epoch(w.heartbeat.GetEpoch()) == h.Epoch && !w.heartbeat.GetDraining()
		})
	})
	return chosen, ok
}

// expirySettled reports whether the expiry has been recorded or cannot take effect
// any more. It returns false for an epoch that the roster does not have yet,
// because this process may lag behind.
func expirySettled(r *roster.Roster, x *wire.LeaseExpiry) bool {
	w, ok := r.Worker(units.WorkerID(x.GetWorker()))
	epoch, term := units.Epoch(x.GetEpoch()), units.Term(x.GetTerm())
	if !ok || w.Epoch < epoch {
		return false
	}
	return w.Epoch > epoch || w.Term > term || !w.Active()
}

// proposeExpiries proposes the lease expiries that the agent reports as lessor. A
// watcher that the lessor has activated must be recorded in the jobs stream
// first, because any process may assign the task anew once the expiry is recorded.
func (c *control) proposeExpiries(lessor *workerState, now time.Time) {
	for _, x := range lessor.heartbeat.GetExpiries() {
		id := units.WorkerID(x.GetWorker())
		var settled bool
		var registered roster.Worker
		c.members.View(func(r *roster.Roster) {
			settled = expirySettled(r, x)
			registered, _ = r.Worker(id)
		})
		if settled || registered.Lessor != (roster.WorkerEpoch{Worker: lessor.id, Epoch: units.Epoch(lessor.heartbeat.GetEpoch())}) {
			continue
		}
		if c.unrecordedActivations(lessor) {
			continue
		}
		key := fmt.Sprintf("expire/%s@%d/%d", id, registered.Epoch, registered.Term)
		if c.membersOutbox.add(key, now, roster.EncodeLeaseExpired(registered.WorkerEpoch(), registered.Term)) {
			c.counters.expiries.Inc(1)
			c.event("worker", "leaseExpired", string(id), "attested by "+string(lessor.id), "")
		}
	}
}

// expireLesseesOfEndedLessors proposes the expiry of workers whose lessor has ended
// and that have not changed their lessor, once the lessor cannot grant leases any
// more and its last grant has expired.
func (c *control) expireLesseesOfEndedLessors(now time.Time) {
	if now.Before(c.nextLessorCheckAt) {
		return
	}
	c.nextLessorCheckAt = now.Add(lessorCheckInterval)
	expiries := c.lesseesOfEndedLessors()
	for h, expiry := range expiries {
		since, ok := c.lessorEndedSince[h]
		if !ok {
			c.lessorEndedSince[h] = now
			continue
		}
		if now.Sub(since) < expiry.wait || !c.ownership.Load().owns("worker/"+string(h.Worker)) || c.catchingUp(now) {
			continue
		}
		key := fmt.Sprintf("expire/%s@%d/%d", h.Worker, h.Epoch, expiry.term)
		if c.membersOutbox.add(key, now, roster.EncodeLeaseExpired(h, expiry.term)) {
			c.event("worker", "leaseExpired", string(h.Worker), "its lessor has ended before", "")
		}
	}
	for h := range c.lessorEndedSince {
		if _, ok := expiries[h]; !ok {
			delete(c.lessorEndedSince, h)
		}
	}
}

// lessorCheckInterval is the interval between two searches for workers whose lessor
// has ended. The shortest wait before such an expiry is 9 s.
const lessorCheckInterval = time.Second

// dependentExpiry is the expiry of a worker whose lessor has ended.
type dependentExpiry struct {
	term units.Term
	wait time.Duration // from the recorded end of the lessor until the lease has certainly ended
}

// lesseesOfEndedLessors returns the workers whose epoch is in force and whose lessor
// has ended.
func (c *control) lesseesOfEndedLessors() map[roster.WorkerEpoch]dependentExpiry {
	expiries := make(map[roster.WorkerEpoch]dependentExpiry)
	c.members.View(func(r *roster.Roster) {
		for _, w := range r.Workers() {
			if _, ok := r.ExpirableSince(w.ID); !ok || !w.Active() {
				continue
			}
			d := dependentExpiry{w.Term, leases.ExpiredLessorWait}
			if lessor, ok := r.Worker(w.Lessor.Worker); ok && lessor.Active() {
				d.wait = leases.ReplacedLessorWait
				if !c.activationsAccountedFor(lessor) {
					continue
				}
			}
			expiries[w.WorkerEpoch()] = d
		}
	})
	return expiries
}

// activationsAccountedFor reports whether a lessor that has returned with a newer
// epoch has listed what its worker runs, and every standby that it has activated
// is recorded. Otherwise the expiry of its lessee would allow a watcher that the
// lessor runs to start on another worker too.
func (c *control) activationsAccountedFor(lessor roster.Worker) bool {
	w := c.workers[lessor.ID]
	return w != nil && w.runningEpoch == lessor.Epoch && !c.unrecordedActivations(w)
}

// catchingUp reports whether the members stream may contain records that this
// process has not applied.
func (c *control) catchingUp(now time.Time) bool {
	return c.members.Staleness(now) > maxLogStaleness
}
