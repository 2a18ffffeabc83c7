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
	since     time.Time // of the attestation
	recorded  bool      // an entry acknowledged the expiry
	mentioned time.Time
}

// applyLessees takes in the lessees that an entry lists. An entry that is
// behind lists a lower epoch or term, which is ignored.
func (a *Agent) applyLessees(listed []*wire.Lessee, now time.Time) {
	for _, l := range listed {
		known := a.lessees[units.WorkerID(l.Worker)]
		epoch, term := units.Epoch(l.Epoch), units.Term(l.Term)
		switch {
		case known == nil || epoch > known.epoch || epoch == known.epoch && term > known.term:
			a.lessees[units.WorkerID(l.Worker)] = &lessee{worker: units.WorkerID(l.Worker), epoch: epoch, term: term, learned: now, mentioned: now}
		case epoch == known.epoch && term == known.term:
			known.mentioned = now
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

// inForce reports whether this agent may speak as a lessor: its own lease is
// valid and the worker has just confirmed its epoch.
func (a *Agent) inForce(now time.Time) bool {
	return a.adopted && a.failure == nil && a.lease.registered && a.lease.valid(now) && now.Sub(a.worker.confirmed) < confirmWindow
}

// serveLease answers POST /link/lease.
func (a *Agent) serveLease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseReply, error) {
	reply := &wire.LeaseReply{}
	err := a.ask(ctx, func() {
		a.observeClock(request.Clock)
		reply.Clock = a.clock()
		reply.Reason = a.grant(request, time.Now())
		reply.Granted = reply.Reason == ""
	})
	return reply, err
}

// grant records a grant and returns "", or returns why there is none.
func (a *Agent) grant(request *wire.LeaseRequest, now time.Time) string {
	l := a.lessees[units.WorkerID(request.Worker)]
	switch {
	case request.Lessor != string(a.WorkerID) || units.Epoch(request.LessorEpoch) != a.epoch:
		return "this is another lessor"
	case !a.inForce(now):
		return "the lessor has no valid lease"
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
		if !l.attested && !now.Before(l.expiry()) && a.inForce(now) {
			l.attested, l.since = true, now
			a.event("leaseExpired", string(l.worker), "no grant for the duration of the lease")
		}
	}
}

// expiries returns the attestations for a peer of the given rank.
func (a *Agent) expiries(rank int, now time.Time) []*wire.LeaseExpiry {
	if !a.inForce(now) {
		return nil
	}
	var out []*wire.LeaseExpiry
	for _, l := range a.lessees {
		if l.attested && !l.recorded && due(rank, l.since, now) {
			out = append(out, &wire.LeaseExpiry{Worker: string(l.worker), Epoch: uint64(l.epoch), Term: uint64(l.term)})
		}
	}
	return out
}

func (a *Agent) acknowledgeExpiries(acknowledged []*wire.LeaseExpiry) {
	for _, e := range acknowledged {
		l := a.lessees[units.WorkerID(e.Worker)]
		if l != nil && l.epoch == units.Epoch(e.Epoch) && l.term == units.Term(e.Term) && l.attested {
			l.recorded = true
		}
	}
}
