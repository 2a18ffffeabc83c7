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
	// foreignAfter is how long this process leaves a worker or a report to its
	// owner before it acts itself; a repeated record is ignored by the fold.
	ownerTimeout = 3 * time.Second
)

// register proposes the registration of a new epoch and a lessor for an agent
// that asks for one.
func (c *control) register(w *workerState, now time.Time) {
	epoch := units.Epoch(w.heartbeat.GetEpoch())
	if epoch == 0 || w.heartbeat.GetCapacity() == nil {
		return // not described yet
	}
	var registered roster.Worker
	var found bool
	c.members.View(func(r *roster.Roster) { registered, found = r.Worker(w.id) })
	h := roster.Holder{Worker: w.id, Epoch: epoch}
	switch {
	case !found || registered.Epoch < epoch:
		if c.shouldActOn("worker/"+string(w.id), h, now) {
			c.proposeRegistration(w, h, now)
		}
	case registered.Epoch == epoch && registered.Holds() && w.heartbeat.GetWantsLessor() && units.Term(w.heartbeat.GetLeaseTerm()) == registered.Term:
		if c.shouldActOn("worker/"+string(w.id), h, now) {
			c.proposeLessor(w, registered, now)
		}
	default:
		delete(c.requestedSince, h)
	}
}

// mine reports whether this process acts on the key: as its owner, or because
// the owner has not acted for foreignAfter.
func (c *control) shouldActOn(key string, h roster.Holder, now time.Time) bool {
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

func (c *control) proposeRegistration(w *workerState, h roster.Holder, now time.Time) {
	m := w.heartbeat
	place := roster.Place{Domain: units.DomainName(m.GetFailureDomain()), Rack: units.RackName(m.GetRack()), Region: units.RegionName(m.GetRegion())}
	row := roster.Worker{
		ID: w.id, Epoch: h.Epoch, Domain: place.Domain, Rack: place.Rack, Region: place.Region,
		LinkAddress: m.GetLinkAddress(), Capacity: m.GetCapacity().Units(),
	}
	row.Lessor, _ = c.chooseLessor(w.id, place, roster.Holder{}, now)
	if c.membersOutbox.add(fmt.Sprintf("register/%s@%d", w.id, h.Epoch), now, roster.EncodeRegistered(row)) {
		c.event("worker", "registering", string(w.id), fmt.Sprintf("epoch %d, lessor %q", h.Epoch, row.Lessor.Worker), "")
	}
}

func (c *control) proposeLessor(w *workerState, registered roster.Worker, now time.Time) {
	place := roster.Place{Domain: registered.Domain, Rack: registered.Rack, Region: registered.Region}
	lessor, ok := c.chooseLessor(w.id, place, registered.Lessor, now)
	if !ok {
		// Where only two workers are left, the current lessor in a new term is
		// better than none: the lessee has given up the present term.
		lessor, ok = c.chooseLessor(w.id, place, roster.Holder{}, now)
	}
	if !ok {
		return
	}
	key := fmt.Sprintf("lessor/%s@%d/%d", w.id, registered.Epoch, registered.Term)
	if c.membersOutbox.add(key, now, roster.EncodeLessorChanged(registered.Holder(), registered.Term+1, lessor)) {
		c.event("worker", "lessorChanging", string(w.id), fmt.Sprintf("to %s, term %d", lessor.Worker, registered.Term+1), "")
	}
}

// chooseLessor picks a lessor that has been heard recently and is not the
// current one, which did not answer.
func (c *control) chooseLessor(id units.WorkerID, at roster.Place, current roster.Holder, now time.Time) (chosen roster.Holder, ok bool) {
	c.members.View(func(r *roster.Roster) {
		chosen, ok = r.ChooseLessor(id, at, func(h roster.Holder) bool {
			w := c.workers[h.Worker]
			return h != current && w != nil && w.reachable(now) && units.Epoch(w.heartbeat.GetEpoch()) == h.Epoch && !w.heartbeat.GetDraining()
		})
	})
	return chosen, ok
}

// settled reports whether the expiry is recorded or can no longer take effect.
// It is false for an epoch that the roster does not hold yet: this process may
// be behind.
func expirySettled(r *roster.Roster, x *wire.LeaseExpiry) bool {
	w, ok := r.Worker(units.WorkerID(x.GetWorker()))
	epoch, term := units.Epoch(x.GetEpoch()), units.Term(x.GetTerm())
	if !ok || w.Epoch < epoch {
		return false
	}
	return w.Epoch > epoch || w.Term > term || !w.Holds()
}

// acceptExpiries records the expiries that the agent attests as lessor. A
// watcher that the lessor has activated meanwhile is recorded in the jobs
// stream first: once the expiry is visible, any process may assign the task
// anew.
func (c *control) proposeExpiries(lessor *workerState, now time.Time) {
	for _, x := range lessor.heartbeat.GetExpiries() {
		id := units.WorkerID(x.GetWorker())
		var settled bool
		var registered roster.Worker
		c.members.View(func(r *roster.Roster) {
			settled = expirySettled(r, x)
			registered, _ = r.Worker(id)
		})
		if settled || registered.Lessor != (roster.Holder{Worker: lessor.id, Epoch: units.Epoch(lessor.heartbeat.GetEpoch())}) {
			continue
		}
		if c.unrecordedActivations(lessor) {
			continue
		}
		key := fmt.Sprintf("expire/%s@%d/%d", id, registered.Epoch, registered.Term)
		if c.membersOutbox.add(key, now, roster.EncodeLeaseExpired(registered.Holder(), registered.Term)) {
			c.counters.expiries.Inc(1)
			c.event("worker", "leaseExpired", string(id), "attested by "+string(lessor.id), "")
		}
	}
}

// expireChains records the expiry of workers whose lessor has ended and who
// have not changed lessor, once the lessor can grant nothing any more and its
// last grant has run out.
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

// chainEvery spaces the looks at all workers; the shortest wait is 9 s.
const lessorCheckInterval = time.Second

// chainedExpiry is a worker whose lessor has ended.
type dependentExpiry struct {
	term units.Term
	wait time.Duration // from when the end is known until the lease has certainly ended
}

// chained returns the workers in force whose lessor has ended.
func (c *control) lesseesOfEndedLessors() map[roster.Holder]dependentExpiry {
	expiries := make(map[roster.Holder]dependentExpiry)
	c.members.View(func(r *roster.Roster) {
		for _, w := range r.Workers() {
			if _, ok := r.ChainExpirable(w.ID); !ok || !w.Holds() {
				continue
			}
			d := dependentExpiry{w.Term, leases.ExpiredChainWait}
			if lessor, ok := r.Worker(w.Lessor.Worker); ok && lessor.Holds() {
				d.wait = leases.ReplacedChainWait
				if !c.activationsAccountedFor(lessor) {
					continue
				}
			}
			expiries[w.Holder()] = d
		}
	})
	return expiries
}

// accounted reports whether a lessor that has come back with a newer epoch has
// said what its worker runs, and everything that it activated as a standby
// before is recorded. Until then an expiry of its lessee would let a watcher
// that it runs start elsewhere.
func (c *control) activationsAccountedFor(lessor roster.Worker) bool {
	w := c.workers[lessor.ID]
	return w != nil && w.runningEpoch == lessor.Epoch && !c.unrecordedActivations(w)
}

// catchingUp reports whether the members stream may hold records that this
// process has not applied.
func (c *control) catchingUp(now time.Time) bool {
	return c.members.Staleness(now) > maxLogStaleness
}
