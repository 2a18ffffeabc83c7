package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"wasabihill.example/wasabihill/internal/leases"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// leaseRequestTimeout bounds one lease request. It is short enough to dial the
	// lessor again within the same lease.
	leaseRequestTimeout = 1500 * time.Millisecond
	// firstLessorDelay and firstLessorJitter bound how long a worker that
	// registered as the only one waits before it requests a lessor. Until other
	// workers have registered and requested theirs one after another, the entry
	// processes can only make two workers each other's lessor, and such a pair
	// loses its leases together.
	firstLessorDelay  = time.Second
	firstLessorJitter = 2 * time.Second
	// slowLogDelay is the further wait of a worker without a lessor while the log
	// counts as reachable but has not been read recently. It exceeds the 3 s after
	// which entry processes report an outage.
	slowLogDelay = 5 * time.Second
	// leaseRetryInterval is the delay after a lease request that was not granted.
	leaseRetryInterval = 400 * time.Millisecond
)

// leaseState is the agent's own lease. The agent acts only before its deadline.
type leaseState struct {
	epochAcquiredAt time.Time // local time at which the epoch was acquired
	registered      bool      // an entry process has reported the registration of this epoch
	term            units.Term
	lessor          units.WorkerID
	lessorEpoch     units.Epoch
	lessorAddress   string
	termStartedAt   time.Time

	unbounded         bool      // no lessor is needed: no other worker exists that could run the tasks
	firstRequestAt    time.Time // when to request the first lessor; zero while no worker can be one
	lessorAvailable   bool      // an entry process reports a worker that could be the lessor, or a better one
	grantsUntil       time.Time // this epoch may grant leases to others until then
	deadline          time.Time // send time of the last granted request plus leaseDuration
	lastGrantSentAt   time.Time // send time of the last granted request; zero for none in this term
	lessorRequested   bool      // another lessor was requested; the lease is not renewed in this term any more
	lessorRequestedAt time.Time // time of that request

	requestInFlight bool
	nextRequestAt   time.Time
	session         Session
}

// deadlineAt returns the time until which the agent may act.
func (l *leaseState) deadlineAt(now time.Time) time.Time {
	if l.unbounded {
		return now.Add(leaseDuration)
	}
	return l.deadline
}

func (l *leaseState) valid(now time.Time) bool { return l.deadlineAt(now).After(now) }

// taskLeaseDeadline returns the time up to which the leases of the worker's tasks
// may be renewed.
func (a *Agent) taskLeaseDeadline(now time.Time) time.Time { return a.lease.deadlineAt(now) }

// applyRegistration applies the registration of this worker as an entry process
// has it. A lower term comes from an entry process that lags behind and is ignored.
func (a *Agent) applyRegistration(reply *wire.HeartbeatReply, sent, now time.Time) {
	l := &a.lease
	if units.Epoch(reply.RegisteredEpoch) != a.epoch || !a.adopted {
		return
	}
	if reply.Expired {
		a.event("epochExpired", string(a.WorkerID), "the epoch is recorded as expired")
		a.acquireWorker(false)
		return
	}
	if !l.registered {
		l.registered = true
		a.event("workerRegistered", string(a.WorkerID), "")
	}
	if until := sent.Add(leases.GrantWindow - leases.MaxEvidenceAge); reply.LogReachable && until.After(l.grantsUntil) {
		l.grantsUntil = until
	}
	term := units.Term(reply.LeaseTerm)
	if term > l.term {
		a.beginTerm(reply, term, now)
	}
	if term == l.term {
		// An entry process that lags behind would make the worker change twice.
		l.lessorAvailable = reply.LessorAvailable
	}
}

// beginTerm begins a newer term with its lessor. A deadline granted in the former
// term remains valid: the new lessor waits until it has passed.
//
// The record of a registration or of a change of lessor counts as a grant from
// the earliest time at which this agent could have requested it, because an
// expiry in the new term is recorded no earlier than leaseDuration plus
// leaseMargin after that record. Otherwise agents that have all lost their leases
// could never grant one again.
func (a *Agent) beginTerm(reply *wire.HeartbeatReply, term units.Term, now time.Time) {
	l := &a.lease
	l.closeSession()
	switch {
	case l.term == 0 && term == 1:
		l.deadline = l.epochAcquiredAt.Add(leaseDuration)
	case l.lessorRequested && term == l.term+1:
		l.deadline = later(l.deadline, l.lessorRequestedAt.Add(leaseDuration))
	case l.unbounded:
		// Only a request of this agent replaces an unbounded lease, and the
		// request has already bounded it. After any other change the lease
		// ends at once.
		l.unbounded, l.deadline = false, now
	}
	l.term, l.termStartedAt = term, now
	l.lessor, l.lessorEpoch, l.lessorAddress = units.WorkerID(reply.Lessor), units.Epoch(reply.LessorEpoch), reply.LessorAddress
	l.lessorRequested, l.lastGrantSentAt, l.nextRequestAt = false, time.Time{}, now
	l.requestInFlight = false // the reply to a request of the former term is ignored
	l.unbounded = l.lessor == ""
	a.worker.renewSoon = true
	a.event("lessorChanged", string(a.WorkerID), string(l.lessor))
}

// tickLease requests the lease every quarter of its duration. It requests another
// lessor after half the duration without a grant, or if a better one is available
// while more than half of the lease remains. It leaves a working lessor only after
// a recent read of the log: in an outage that the entry processes do not report
// yet, no other lessor would be assigned and the lease would end.
func (a *Agent) tickLease(now time.Time) {
	l := &a.lease
	if !l.registered || l.term == 0 {
		return
	}
	if l.unbounded {
		a.tickUnboundedLease(now)
		return
	}
	if l.lessorRequested {
		return
	}
	if l.lessorAvailable && l.deadline.Sub(now) > leaseDuration/2 && a.logReadRecently(now) {
		a.requestLessor(now)
		return
	}
	since := l.lastGrantSentAt
	if since.IsZero() {
		since = l.termStartedAt
	}
	if now.Sub(since) >= leaseDuration/2 && a.logReachable(now) {
		a.requestLessor(now)
		return
	}
	if !l.requestInFlight && !now.Before(l.nextRequestAt) {
		a.requestLease()
	}
}

// tickUnboundedLease requests a lessor once another worker exists that can grant
// leases. From then on the lease is bounded and ends unless a lessor is assigned,
// so the request waits for a recent read of the log, or for slowLogDelay if reads
// are slow.
func (a *Agent) tickUnboundedLease(now time.Time) {
	l := &a.lease
	switch {
	case !l.lessorAvailable && !a.hasLessees() || !a.logReachable(now):
		l.firstRequestAt = time.Time{}
	case l.firstRequestAt.IsZero():
		l.firstRequestAt = now.Add(firstLessorDelay + rand.N(firstLessorJitter))
	case !now.Before(l.firstRequestAt) && (a.logReadRecently(now) || now.Sub(l.firstRequestAt) > slowLogDelay):
		l.unbounded, l.deadline = false, now.Add(leaseDuration)
		a.requestLessor(now)
	}
}

// requestLessor requests another lessor and stops renewing with the present one
// for the rest of the term. It must not be called while the log is unreachable,
// because no other lessor could be assigned then.
func (a *Agent) requestLessor(now time.Time) {
	l := &a.lease
	l.lessorRequested, l.lessorRequestedAt = true, now
	a.requestHeartbeats()
	a.event("lessorWanted", string(a.WorkerID), string(l.lessor))
}

// requestLease sends a lease request to the lessor. The reply is applied on the
// control loop if the epoch and the term are still the same.
func (a *Agent) requestLease() {
	l := &a.lease
	l.requestInFlight = true
	request := &wire.LeaseRequest{
		Worker: string(a.WorkerID), Epoch: uint64(a.epoch), Term: uint64(l.term),
		Lessor: string(l.lessor), LessorEpoch: uint64(l.lessorEpoch), Clock: a.clock(),
	}
	session, address, term, epoch := l.session, l.lessorAddress, l.term, a.epoch
	a.spawn(func() {
		session, sent, reply, err := a.callLessor(session, address, request)
		kept := a.post(func() {
			if epoch != a.epoch || term != a.lease.term {
				if session != nil {
					session.Close()
				}
				return
			}
			a.lease.session = session
			a.lease.requestInFlight = false
			a.handleLeaseReply(sent, reply, err)
		})
		if !kept && session != nil {
			session.Close()
		}
	})
}

// callLessor sends one request, on a new session if there is none. It closes a
// session on which the call failed.
func (a *Agent) callLessor(session Session, address string, request *wire.LeaseRequest) (Session, time.Time, *wire.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(a.ctx, leaseRequestTimeout)
	defer cancel()
	if session != nil && isClosed(session.Done()) {
		session = nil
	}
	if session == nil {
		fresh, err := a.dial(ctx, address)
		if err != nil {
			return nil, time.Time{}, nil, err
		}
		session = fresh
		a.spawn(func() { // closes the session when the agent ends
			select {
			case <-session.Done():
			case <-a.ctx.Done():
				session.Close()
			}
		})
	}
	reply := &wire.LeaseReply{}
	sent := time.Now()
	if err := session.Call(ctx, "/link/lease", request, reply); err != nil {
		session.Close()
		return nil, sent, nil, err
	}
	return session, sent, reply, nil
}

// closeSession closes the session with the lessor.
func (l *leaseState) closeSession() {
	if l.session != nil {
		l.session.Close()
		l.session = nil
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// handleLeaseReply extends the lease if it was granted and schedules the next request.
func (a *Agent) handleLeaseReply(sent time.Time, reply *wire.LeaseReply, err error) {
	l := &a.lease
	now := time.Now()
	if err != nil || !reply.GetGranted() {
		l.nextRequestAt = now.Add(leaseRetryInterval)
		return
	}
	l.nextRequestAt = sent.Add(leaseDuration / 4)
	if l.lessorRequested {
		return // another lessor may already have been assigned
	}
	if until := sent.Add(leaseDuration); until.After(l.deadline) {
		l.deadline, l.lastGrantSentAt = until, sent
	}
	a.observeClock(reply.Clock)
}
