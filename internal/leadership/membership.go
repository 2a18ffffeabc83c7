package leadership

import (
	"context"
	"sync"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/pkg/units"
)

// A leader without the store goes on while all other entry processes promise not to claim. So
// each process that may claim must be known to it, and one that is gone for good must not be
// asked for ever. These rules keep it alone:
//   - A renewal says how far the leader has read the members, and a request for a promise which
//     record of the process it has read. A process that is registered behind that may not claim
//     against that leader for want of renewals. One that lacks records of the leadership does not
//     know who leads, so it counts as registered behind that.
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
	e.observeKnown(term, end)
}

// observeKnown records that the leader of the term has read the members below end. The caller
// holds mu.
func (e *Elector) observeKnown(term Term, end units.Offset) {
	if term != e.leader.Term || e.Membership == nil {
		return
	}
	if registered := e.Membership.Registered(); end > registered {
		e.knownToTerm, e.knownAs = term, registered
	}
}

// knownToLeader reports whether the last leader certainly asks this process for promises. A
// leader of which no record was read may not know it. The caller holds mu.
func (e *Elector) knownToLeader() bool {
	return e.Membership == nil || !e.recordsMissed && e.knownToTerm == e.leader.Term && e.knownAs == e.Membership.Registered()
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
