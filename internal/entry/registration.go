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
	foreignAfter = 3 * time.Second
)

// register proposes the registration of a new epoch and a lessor for an agent
// that asks for one.
func (c *control) register(w *workerRow, now time.Time) {
	epoch := units.Epoch(w.beat.GetEpoch())
	if epoch == 0 || w.beat.GetCapacity() == nil {
		return // not described yet
	}
	var known roster.Worker
	var found bool
	c.members.View(func(r *roster.Roster) { known, found = r.Worker(w.id) })
	h := roster.Holder{Worker: w.id, Epoch: epoch}
	switch {
	case !found || known.Epoch < epoch:
		if c.mine("worker/"+string(w.id), h, now) {
			c.proposeRegistration(w, h, now)
		}
	case known.Epoch == epoch && known.Holds() && w.beat.GetWantsLessor() && units.Term(w.beat.GetLeaseTerm()) == known.Term:
		if c.mine("worker/"+string(w.id), h, now) {
			c.proposeLessor(w, known, now)
		}
	default:
		delete(c.asking, h)
	}
}

// mine reports whether this process acts on the key: as its owner, or because
// the owner has not acted for foreignAfter.
func (c *control) mine(key string, h roster.Holder, now time.Time) bool {
	if c.owners.Load().owns(key) {
		return true
	}
	since, ok := c.asking[h]
	if !ok {
		c.asking[h] = now
		return false
	}
	return now.Sub(since) > foreignAfter
}

func (c *control) proposeRegistration(w *workerRow, h roster.Holder, now time.Time) {
	m := w.beat
	place := roster.Place{Domain: units.DomainName(m.GetFailureDomain()), Rack: units.RackName(m.GetRack()), Region: units.RegionName(m.GetRegion())}
	row := roster.Worker{
		ID: w.id, Epoch: h.Epoch, Domain: place.Domain, Rack: place.Rack, Region: place.Region,
		LinkAddress: m.GetLinkAddress(), Capacity: m.GetCapacity().Units(),
	}
	row.Lessor, _ = c.chooseLessor(w.id, place, roster.Holder{}, now)
	if c.membersOut.add(fmt.Sprintf("register/%s@%d", w.id, h.Epoch), now, roster.EncodeRegistered(row)) {
		c.event("worker", "registering", string(w.id), fmt.Sprintf("epoch %d, lessor %q", h.Epoch, row.Lessor.Worker), "")
	}
}

func (c *control) proposeLessor(w *workerRow, known roster.Worker, now time.Time) {
	place := roster.Place{Domain: known.Domain, Rack: known.Rack, Region: known.Region}
	lessor, ok := c.chooseLessor(w.id, place, known.Lessor, now)
	if !ok {
		// Where only two workers are left, the current lessor in a new term is
		// better than none: the lessee has given up the present term.
		lessor, ok = c.chooseLessor(w.id, place, roster.Holder{}, now)
	}
	if !ok {
		return
	}
	key := fmt.Sprintf("lessor/%s@%d/%d", w.id, known.Epoch, known.Term)
	if c.membersOut.add(key, now, roster.EncodeLessorChanged(known.Holder(), known.Term+1, lessor)) {
		c.event("worker", "lessorChanging", string(w.id), fmt.Sprintf("to %s, term %d", lessor.Worker, known.Term+1), "")
	}
}

// chooseLessor picks a lessor that has been heard recently and is not the
// current one, which did not answer.
func (c *control) chooseLessor(id units.WorkerID, at roster.Place, current roster.Holder, now time.Time) (chosen roster.Holder, ok bool) {
	c.members.View(func(r *roster.Roster) {
		chosen, ok = r.ChooseLessor(id, at, func(h roster.Holder) bool {
			w := c.workers[h.Worker]
			return h != current && w != nil && w.reachable(now) && units.Epoch(w.beat.GetEpoch()) == h.Epoch && !w.beat.GetDraining()
		})
	})
	return chosen, ok
}

// settled reports whether the expiry is recorded or can no longer take effect.
// It is false for an epoch that the roster does not hold yet: this process may
// be behind.
func settled(r *roster.Roster, x *wire.LeaseExpiry) bool {
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
func (c *control) acceptExpiries(lessor *workerRow, now time.Time) {
	for _, x := range lessor.beat.GetExpiries() {
		id := units.WorkerID(x.GetWorker())
		var done bool
		var known roster.Worker
		c.members.View(func(r *roster.Roster) {
			done = settled(r, x)
			known, _ = r.Worker(id)
		})
		if done || known.Lessor != (roster.Holder{Worker: lessor.id, Epoch: units.Epoch(lessor.beat.GetEpoch())}) {
			continue
		}
		if c.unrecordedActivations(lessor) {
			continue
		}
		key := fmt.Sprintf("expire/%s@%d/%d", id, known.Epoch, known.Term)
		if c.membersOut.add(key, now, roster.EncodeLeaseExpired(known.Holder(), known.Term)) {
			c.counters.expiries.Inc(1)
			c.event("worker", "leaseExpired", string(id), "attested by "+string(lessor.id), "")
		}
	}
}

// expireChains records the expiry of workers whose lessor has ended and who
// have not changed lessor, once the lessor can grant nothing any more and its
// last grant has run out.
func (c *control) expireChains(now time.Time) {
	if now.Before(c.chainAt) {
		return
	}
	c.chainAt = now.Add(chainEvery)
	due := c.chained()
	for h, d := range due {
		since, ok := c.chain[h]
		if !ok {
			c.chain[h] = now
			continue
		}
		if now.Sub(since) < d.wait || !c.owners.Load().owns("worker/"+string(h.Worker)) || c.catchingUp(now) {
			continue
		}
		key := fmt.Sprintf("expire/%s@%d/%d", h.Worker, h.Epoch, d.term)
		if c.membersOut.add(key, now, roster.EncodeLeaseExpired(h, d.term)) {
			c.event("worker", "leaseExpired", string(h.Worker), "its lessor has ended before", "")
		}
	}
	for h := range c.chain {
		if _, ok := due[h]; !ok {
			delete(c.chain, h)
		}
	}
}

// chainEvery spaces the looks at all workers; the shortest wait is 9 s.
const chainEvery = time.Second

// chainedExpiry is a worker whose lessor has ended.
type chainedExpiry struct {
	term units.Term
	wait time.Duration // from when the end is known until the lease has certainly ended
}

// chained returns the workers in force whose lessor has ended.
func (c *control) chained() map[roster.Holder]chainedExpiry {
	due := make(map[roster.Holder]chainedExpiry)
	c.members.View(func(r *roster.Roster) {
		for _, w := range r.Workers() {
			if _, ok := r.ChainExpirable(w.ID); !ok || !w.Holds() {
				continue
			}
			d := chainedExpiry{w.Term, leases.ExpiredLessorWait}
			if lessor, ok := r.Worker(w.Lessor.Worker); ok && lessor.Holds() {
				d.wait = leases.ReplacedLessorWait
				if !c.accounted(lessor) {
					continue
				}
			}
			due[w.Holder()] = d
		}
	})
	return due
}

// accounted reports whether a lessor that has come back with a newer epoch has
// said what its worker runs, and everything that it activated as a standby
// before is recorded. Until then an expiry of its lessee would let a watcher
// that it runs start elsewhere.
func (c *control) accounted(lessor roster.Worker) bool {
	w := c.workers[lessor.ID]
	return w != nil && w.runningEpoch == lessor.Epoch && !c.unrecordedActivations(w)
}

// catchingUp reports whether the members stream may hold records that this
// process has not applied.
func (c *control) catchingUp(now time.Time) bool {
	return c.members.Staleness(now) > reachable
}
