package leadership

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/pkg/units"
)

// A leader without the store goes on while all other entry processes promise not to claim. So
// each process that may claim must be known to it, and one that is gone for good must not be
// asked for ever. These rules keep it alone:
//   - A renewal says how far the leader has read the members, and a request for a promise which
//     record of the process it has read. A process that is registered behind that may not claim
//     against that leader for want of renewals, nor because a claim after that is not led.
//   - A process of which the leader learns during its term waits until promises that the leader
//     has requested before have ended.
//   - A process that lacks records of the leadership does not know who leads, so it counts as not
//     known to the leader.
//   - The leader removes the record of a process that it can't reach for long while it has the
//     store. It relies on promises without that process only once a renewal that was sent after
//     it had read the removal was appended.
//   - A process leads a term only if a read of the members that began with its claim shows that
//     it is registered. Its claim expects the end of the records that it has read, among them
//     that renewal, so the read shows the removal.

// Membership is the registration of this process among the entry processes. Its methods may be
// called concurrently.
type Membership interface {
	// Registered returns the offset of this process's record, or the highest offset while it
	// has none.
	Registered() units.Offset
	// ReadEnd returns the offset below which this process knows all members.
	ReadEnd() units.Offset
	// Confirm reads the members and reports whether this process is registered.
	Confirm(ctx context.Context) bool
}

// ObserveKnown processes a request of the leader of the term for a promise, which says that it
// has read the record of this process below the given offset of the members.
func (e *Elector) ObserveKnown(term Term, end units.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observeKnown(term, end, bootclock.Now().Add(knownDelay))
}

// rival is a term that another process may lead.
type rival struct {
	term      Term
	knownFrom bootclock.Instant // the leader has no lease from then on without a promise of this process; 0 if it may not know it
	knownAs   units.Offset      // the registration by which it knows this process
}

// knownDelay is how long a leader may rely on promises that it has requested before it knew this
// process.
const knownDelay = PromiseDuration + maxClockDrift

// observeRival updates the terms that other processes may lead from a record of the term. A claim
// proves no leader: its sender may have promised not to lead. A later record of the last term does,
// and with it that the earlier terms have ended. This process runs in place of all earlier ones of
// its name. The caller holds mu.
func (e *Elector) observeRival(term Term, name string) {
	if e.leaderLed {
		e.rivals = slices.DeleteFunc(e.rivals, func(r rival) bool { return r.term < e.leader.Term })
	}
	ended := e.leaderLed && term < e.leader.Term
	known := slices.ContainsFunc(e.rivals, func(r rival) bool { return r.term == term })
	if !ended && !known && name != e.Name {
		e.rivals = append(e.rivals, rival{term: term})
	}
}

// observeKnown records that the leader of the term has read the members below end, and from then
// on has no lease without their promises. The caller holds mu.
func (e *Elector) observeKnown(term Term, end units.Offset, from bootclock.Instant) {
	if e.Membership == nil {
		return
	}
	registered := e.Membership.Registered()
	for i := range e.rivals {
		r := &e.rivals[i]
		known := r.knownFrom != 0 && r.knownAs == registered
		if r.term == term && end > registered && !known {
			r.knownFrom, r.knownAs = from, registered
		}
	}
}

// knownToRivals reports whether all processes that may lead, but for that of the ended term,
// certainly ask this process for promises. One of which no record was read may not know it. The
// caller holds mu.
func (e *Elector) knownToRivals(ended Term) bool {
	if e.Membership == nil {
		return true
	}
	registered, now := e.Membership.Registered(), bootclock.Now()
	return !e.recordsMissed && !slices.ContainsFunc(e.rivals, func(r rival) bool {
		return r.term != ended && (r.knownFrom == 0 || r.knownAs != registered || now.Before(r.knownFrom))
	})
}

// askInterval separates two calls of NobodyLeads.
const askInterval = 500 * time.Millisecond

// nobodyLeads reports whether no promise prevents a claim and all registered processes have
// answered that they don't lead, where the records leave open who does. A process without a
// registration leads nothing, and one that claims meanwhile lets this process's claim conflict.
func (e *Elector) nobodyLeads(ctx context.Context) bool {
	if e.NobodyLeads == nil || !e.mayAsk() || !e.NobodyLeads(ctx) {
		return false
	}
	klog.InfoS("leadership is vacant: no registered process leads")
	return true
}

// mayAsk reports whether only the missing knowledge of who leads prevents a claim, and the last
// call of NobodyLeads was askInterval ago.
func (e *Elector) mayAsk() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := bootclock.Now()
	if e.promiseLeft() > 0 || now.Sub(e.renewalSeenAt) <= claimTimeout || e.knownToRivals(0) || now.Before(e.askedAt.Add(askInterval)) {
		return false
	}
	e.askedAt = now
	return true
}

// MayLead reports whether this process leads a term, or may become the leader by a claim that
// has no reply yet.
func (e *Elector) MayLead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pendingClaim != 0 || e.leader.Name == e.Name && bootclock.Now().Before(e.leaseEnd)
}

// knownSince returns when the leader of a record at an offset, which is read now, has a lease only
// by the promises of all members that it had read. All that it has requested in its term follow
// its claim.
func knownSince(at units.Offset, term Term) bootclock.Instant {
	if term == claimedTerm(at) {
		return bootclock.Now()
	}
	return bootclock.Now().Add(knownDelay)
}

// membersEnd returns how far this process has read the members.
func (e *Elector) membersEnd() units.Offset {
	if e.Membership == nil {
		return 0
	}
	return e.Membership.ReadEnd()
}

// confirmMembership begins to check that this process is registered, and was not registered
// anew since the claim. The function that it returns waits for the result.
func (e *Elector) confirmMembership(ctx context.Context, c claimAttempt) (wait func() bool) {
	if e.Membership == nil {
		return func() bool { return true }
	}
	result := make(chan bool, 1)
	go func() { result <- e.Membership.Confirm(ctx) && e.Membership.Registered() == c.registered }()
	return sync.OnceValue(func() bool {
		confirmed := <-result
		e.unconfirmed = !confirmed
		return confirmed
	})
}

// registeredAt returns the offset of this process's registration.
func (e *Elector) registeredAt() units.Offset {
	if e.Membership == nil {
		return 0
	}
	return e.Membership.Registered()
}

// RenewedAt returns when the last renewal was sent that extended this process's lease, or 0.
func (e *Elector) RenewedAt() bootclock.Instant {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.renewedAt
}
