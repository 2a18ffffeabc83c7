package agent

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// lesseeRetention is how long a lessee is kept that no entry process lists. One
// that is still a lessee is listed again.
const lesseeRetention = time.Minute

// lessee is a worker whose lease this agent grants.
type lessee struct {
	worker         units.WorkerID
	epoch          units.Epoch
	term           units.Term
	learnedAt      time.Time
	lastGrantAt    time.Time // zero for none
	expired        bool      // the lease has expired; it is not granted again in this term
	expiryRecorded bool      // an entry process has acknowledged the expiry
	expirySent     bool      // the expiry was sent, so an entry process may have recorded it
	listedAt       time.Time // send time of the last heartbeat whose reply listed it
	omittedAt      time.Time // send time of the last heartbeat whose reply did not
}

// listedByAll reports whether every entry process that answered recently lists
// the lessee. One that does not may have applied a change of lessor that the
// others have not applied yet.
func (l *lessee) listedByAll(now time.Time) bool {
	return now.Sub(l.listedAt) < maxReplyAge && now.Sub(l.omittedAt) >= maxReplyAge
}

// applyLessees applies the lessees that an entry process lists. A lower epoch or
// term comes from an entry process that lags behind and is ignored.
func (a *Agent) applyLessees(listed []*wire.Lessee, sent, now time.Time) {
	present := make(map[units.WorkerID]bool, len(listed))
	for _, l := range listed {
		current := a.lessees[units.WorkerID(l.Worker)]
		epoch, term := units.Epoch(l.Epoch), units.Term(l.Term)
		switch {
		case current == nil || epoch > current.epoch || epoch == current.epoch && term > current.term:
			a.lessees[units.WorkerID(l.Worker)] = &lessee{worker: units.WorkerID(l.Worker), epoch: epoch, term: term, learnedAt: now, listedAt: sent}
		case epoch == current.epoch && term == current.term:
			current.listedAt = sent
		default:
			continue
		}
		present[units.WorkerID(l.Worker)] = true
	}
	for id, l := range a.lessees {
		if !present[id] {
			l.omittedAt = sent
		}
	}
}

// hasLessees reports whether any lessee has a lease that has not expired.
func (a *Agent) hasLessees() bool {
	for _, l := range a.lessees {
		if !l.expired {
			return true
		}
	}
	return false
}

// canGrantLeases reports whether this agent may act as a lessor: an entry process
// has reported recently enough that its epoch is in force, and the worker has
// just confirmed the epoch. The agent's own lease need not be valid, because an
// expiry that follows from the end of a lessor waits for leases.GrantWindow.
func (a *Agent) canGrantLeases(now time.Time) bool {
	return a.adopted && a.runError == nil && now.Before(a.lease.grantsUntil) && now.Sub(a.worker.epochConfirmedAt) < maxConfirmationAge
}

// canActivateStandbys reports whether this agent may run tasks of a lessee: it can
// grant leases, and its own lease is valid.
func (a *Agent) canActivateStandbys(now time.Time) bool {
	return a.canGrantLeases(now) && a.lease.registered && a.lease.valid(now)
}

// expiryReportDelay is the delay after which an expiry is reported even though
// reads of the log are slow, so that the tasks of the lessee need not wait for a
// fast read.
const expiryReportDelay = 10 * time.Second

// canReportExpiry reports whether the expiry may be sent to entry processes
// because the log is likely to accept it now. Once it has been sent, this agent
// cannot activate a standby of the lessee any more: if the log is down after all,
// the lessee's watchers wait for the log.
func (a *Agent) canReportExpiry(l *lessee, now time.Time) bool {
	return a.logReadRecently(now) || a.logReachable(now) && now.Sub(l.expiresAt()) > expiryReportDelay
}

// serveLease answers POST /link/lease.
func (a *Agent) serveLease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseReply, error) {
	return runOnLoop(ctx, a, func() (*wire.LeaseReply, error) {
		a.observeClock(request.Clock)
		reason := a.grantLease(request, time.Now())
		return &wire.LeaseReply{Granted: reason == "", Reason: reason, Clock: a.clock()}, nil
	})
}

// grantLease grants the lease and returns "", or returns why it was not granted.
func (a *Agent) grantLease(request *wire.LeaseRequest, now time.Time) string {
	l := a.lessees[units.WorkerID(request.Worker)]
	switch {
	case request.Lessor != string(a.WorkerID) || units.Epoch(request.LessorEpoch) != a.epoch:
		return "this is another lessor"
	case !a.canGrantLeases(now):
		return "the lessor has no recent evidence that its epoch is in force"
	case l == nil || l.epoch != units.Epoch(request.Epoch) || l.term != units.Term(request.Term):
		return "not a lessee in this epoch and term"
	case l.expired || !now.Before(l.expiresAt()):
		return "the lease has expired"
	}
	l.lastGrantAt = now
	return ""
}

// expiresAt returns the time at which the lease has certainly ended. The lessee
// counts from its own earlier send time; the margin covers clock drift.
func (l *lessee) expiresAt() time.Time {
	from := l.learnedAt
	if l.lastGrantAt.After(from) {
		from = l.lastGrantAt
	}
	return from.Add(leaseDuration + leaseMargin)
}

// tickLessees marks leases that have expired and drops former lessees.
func (a *Agent) tickLessees(now time.Time) {
	for id, l := range a.lessees {
		if now.Sub(l.listedAt) > lesseeRetention && (!l.expired || l.expiryRecorded) {
			delete(a.lessees, id)
			continue
		}
		if !l.expired && !now.Before(l.expiresAt()) && a.canGrantLeases(now) {
			l.expired = true
			a.requestHeartbeats()
			a.event("leaseExpired", string(l.worker), "no grant for the duration of the lease")
		}
	}
}

// reportableExpiries returns the expiries to report to entry processes. An expiry
// waits while a standby of the lessee is being activated: once the expiry is
// recorded, any entry process may assign the watcher anew, so the activation must
// be reported no later. After an expiry has been sent, no standby of the lessee
// is activated any more.
func (a *Agent) reportableExpiries(now time.Time) []*wire.LeaseExpiry {
	if !a.canGrantLeases(now) {
		return nil
	}
	var out []*wire.LeaseExpiry
	for _, l := range a.lessees {
		if l.expired && !l.expiryRecorded && !a.activatingStandbyOf(l.worker) && (l.expirySent || a.canReportExpiry(l, now)) {
			l.expirySent = true
			out = append(out, &wire.LeaseExpiry{Worker: string(l.worker), Epoch: uint64(l.epoch), Term: uint64(l.term)})
		}
	}
	return out
}

// activatingStandbyOf reports whether a standby of the holder is being activated.
func (a *Agent) activatingStandbyOf(holder units.WorkerID) bool {
	for _, t := range a.tasks {
		if t.holder == holder && t.activateAs != 0 {
			return true
		}
	}
	return false
}

// acknowledgeExpiries marks the expiries that an entry process has acknowledged.
func (a *Agent) acknowledgeExpiries(acknowledged []*wire.LeaseExpiry) {
	for _, e := range acknowledged {
		l := a.lessees[units.WorkerID(e.Worker)]
		if l != nil && l.epoch == units.Epoch(e.Epoch) && l.term == units.Term(e.Term) && l.expired {
			l.expiryRecorded = true
		}
	}
}
