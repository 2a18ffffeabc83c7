package leadership

import (
	"context"
	"slices"
	"sync"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/pkg/units"
)

// A leader without the store goes on while all other entry processes promise not to claim. So
// each process that may claim must be known to it, and one that is gone for good must not be
// asked for ever. These rules keep it alone:
//   - A renewal says how far the leader has read the members, and a request for a promise which
//     record of the process it has read. A process that is registered behind that may not claim
//     against that leader for want of renewals, nor because a claim after that is not led. One
//     that lacks records of the leadership does not know who leads, so it counts as registered
//     behind that.
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

// rival is a term that another process may lead.
type rival struct {
	term    Term
	knows   bool         // its leader knows this process
	knownAs units.Offset // by this registration
}

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

// observeKnown records that the leader of the term has read the members below end. The caller
// holds mu.
func (e *Elector) observeKnown(term Term, end units.Offset) {
	if e.Membership == nil {
		return
	}
	registered := e.Membership.Registered()
	for i := range e.rivals {
		if r := &e.rivals[i]; r.term == term && end > registered {
			r.knows, r.knownAs = true, registered
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
	registered := e.Membership.Registered()
	return !e.recordsMissed && !slices.ContainsFunc(e.rivals, func(r rival) bool {
		return r.term != ended && !(r.knows && r.knownAs == registered)
	})
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
