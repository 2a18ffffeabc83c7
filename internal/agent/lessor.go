package agent

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// forgetLessee is how long a lessee that no entry lists any more is kept; the
// entries list it again if it is still one.
const forgetLessee = time.Minute

// lessee is a worker whose lease this agent grants.
type lessee struct {
	worker    units.WorkerID
	epoch     units.Epoch
	term      units.Term
	learned   time.Time
	granted   time.Time // last grant; zero for none
	attested  bool      // the lease has expired; it is never granted again in this term
	recorded  bool      // an entry acknowledged the expiry
	disclosed bool      // an entry may have recorded the expiry
	mentioned time.Time // send time of the last heartbeat whose reply listed it
	omitted   time.Time // send time of the last heartbeat whose reply did not
}

// stillOurs reports whether every entry that answered lately lists the lessee.
// One that does not has seen a change of lessor that others have yet to see.
func (l *lessee) stillOurs(now time.Time) bool {
	return now.Sub(l.mentioned) < recent && now.Sub(l.omitted) >= recent
}

// applyLessees takes in the lessees that an entry lists. An entry that is
// behind lists a lower epoch or term, which is ignored.
func (a *Agent) applyLessees(listed []*wire.Lessee, sent, now time.Time) {
	present := make(map[units.WorkerID]bool, len(listed))
	for _, l := range listed {
		known := a.lessees[units.WorkerID(l.Worker)]
		epoch, term := units.Epoch(l.Epoch), units.Term(l.Term)
		switch {
		case known == nil || epoch > known.epoch || epoch == known.epoch && term > known.term:
			a.lessees[units.WorkerID(l.Worker)] = &lessee{worker: units.WorkerID(l.Worker), epoch: epoch, term: term, learned: now, mentioned: sent}
		case epoch == known.epoch && term == known.term:
			known.mentioned = sent
		default:
			continue
		}
		present[units.WorkerID(l.Worker)] = true
	}
	for id, l := range a.lessees {
		if !present[id] {
			l.omitted = sent
		}
	}
}

func (a *Agent) hasLessees() bool {
	for _, l := range a.lessees {
		if !l.attested {
			return true
		}
	}
	return false
}

// mayGrant reports whether this agent may speak as a lessor: it has had evidence
// that its epoch is in force, and the worker has just confirmed it. Its own
// lease is not needed: an expiry by chain waits for leases.GrantWindow.
func (a *Agent) mayGrant(now time.Time) bool {
	return a.adopted && a.failure == nil && now.Before(a.lease.mayGrant) && now.Sub(a.worker.confirmed) < confirmWindow
}

// inForce reports whether this agent may run tasks of a lessee: it may grant,
// and its own lease is valid.
func (a *Agent) inForce(now time.Time) bool {
	return a.mayGrant(now) && a.lease.registered && a.lease.valid(now)
}

// discloseAfter is when an expiry is disclosed although reads of the log are
// slow, so that the tasks of the lessee do not wait for a fast one.
const discloseAfter = 10 * time.Second

// mayDisclose reports whether an entry can record the expiry now. Once it is
// disclosed, this agent can no longer activate a standby of the lessee: if the
// log then turns out to be down, its watchers wait for the log.
func (a *Agent) mayDisclose(l *lessee, now time.Time) bool {
	return a.logAnswers(now) || a.logReachable(now) && now.Sub(l.expiry()) > discloseAfter
}

// serveLease answers POST /link/lease.
func (a *Agent) serveLease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseReply, error) {
	return ask(ctx, a, func() (*wire.LeaseReply, error) {
		a.observeClock(request.Clock)
		reason := a.grant(request, time.Now())
		return &wire.LeaseReply{Granted: reason == "", Reason: reason, Clock: a.clock()}, nil
	})
}

// grant records a grant and returns "", or returns why there is none.
func (a *Agent) grant(request *wire.LeaseRequest, now time.Time) string {
	l := a.lessees[units.WorkerID(request.Worker)]
	switch {
	case request.Lessor != string(a.WorkerID) || units.Epoch(request.LessorEpoch) != a.epoch:
		return "this is another lessor"
	case !a.mayGrant(now):
		return "the lessor has no recent evidence that its epoch is in force"
	case l == nil || l.epoch != units.Epoch(request.Epoch) || l.term != units.Term(request.Term):
		return "not a lessee in this epoch and term"
	case l.attested || !now.Before(l.expiry()):
		return "the lease has expired"
	}
	l.granted = now
	return ""
}

// expiry is when the lease has certainly ended. The lessee counts from its own
// earlier send time; the margin covers drift.
func (l *lessee) expiry() time.Time {
	from := l.learned
	if l.granted.After(from) {
		from = l.granted
	}
	return from.Add(leaseDuration + leaseMargin)
}

// tickLessees attests expiries.
func (a *Agent) tickLessees(now time.Time) {
	for id, l := range a.lessees {
		if now.Sub(l.mentioned) > forgetLessee && (!l.attested || l.recorded) {
			delete(a.lessees, id)
			continue
		}
		if !l.attested && !now.Before(l.expiry()) && a.mayGrant(now) {
			l.attested = true
			a.beatEarly()
			a.event("leaseExpired", string(l.worker), "no grant for the duration of the lease")
		}
	}
}

// expiries returns the attestations. One waits while a standby of the holder is
// being activated: once the expiry is recorded, any entry may assign the
// watcher anew, so its activation has to be reported no later. Once an
// attestation has been sent, no standby of the holder is activated any more.
func (a *Agent) expiries(now time.Time) []*wire.LeaseExpiry {
	if !a.mayGrant(now) {
		return nil
	}
	var out []*wire.LeaseExpiry
	for _, l := range a.lessees {
		if l.attested && !l.recorded && !a.activating(l.worker) && (l.disclosed || a.mayDisclose(l, now)) {
			l.disclosed = true
			out = append(out, &wire.LeaseExpiry{Worker: string(l.worker), Epoch: uint64(l.epoch), Term: uint64(l.term)})
		}
	}
	return out
}

func (a *Agent) activating(holder units.WorkerID) bool {
	for _, t := range a.tasks {
		if t.holder == holder && t.activateAs != 0 {
			return true
		}
	}
	return false
}

func (a *Agent) acknowledgeExpiries(acknowledged []*wire.LeaseExpiry) {
	for _, e := range acknowledged {
		l := a.lessees[units.WorkerID(e.Worker)]
		if l != nil && l.epoch == units.Epoch(e.Epoch) && l.term == units.Term(e.Term) && l.attested {
			l.recorded = true
		}
	}
}
