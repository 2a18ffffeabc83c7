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
	// leaseTimeout bounds one request; a silent session is then redialled
	// within the same lease.
	leaseTimeout = 1500 * time.Millisecond
	// firstLessorWait and firstLessorSpread are how long a worker that registered
	// when there was no other waits before it asks for a lessor. Until others have
	// registered and asked one after the other, the entries can only make two
	// workers each other's lessor, and those lose their leases together.
	firstLessorWait   = time.Second
	firstLessorSpread = 2 * time.Second
	// betterAfter is how long a term lasts before the agent changes a lessor
	// that answers for a better one, so that entries which are behind do not
	// make it change twice.
	betterAfter = 3 * time.Second
	// leaseRetry spaces requests after one that was not granted.
	leaseRetry = 400 * time.Millisecond
)

// lease is the agent's own lease. The agent acts only before its deadline.
type lease struct {
	held          time.Time // when the epoch was acquired
	registered    bool      // an entry has seen the registration of this epoch
	term          units.Term
	lessor        units.WorkerID
	lessorEpoch   units.Epoch
	lessorAddress string
	termSince     time.Time

	unbounded bool      // no other worker exists that could take over
	askAt     time.Time // when to ask for the first lessor; zero while there is none
	available bool      // an entry knows a worker that could be the lessor, or a better one
	mayGrant  time.Time // until when this epoch may grant leases to others
	deadline  time.Time // send time of the last granted request + leaseDuration
	granted   time.Time // send time of the last granted request; zero for none in this term
	wants     bool      // asked for another lessor; never renews in this term again
	wantsFrom time.Time // when it asked

	requesting bool
	nextAt     time.Time
	session    Session
}

// deadlineAt is until when the agent may act.
func (l *lease) deadlineAt(now time.Time) time.Time {
	if l.unbounded {
		return now.Add(leaseDuration)
	}
	return l.deadline
}

func (l *lease) valid(now time.Time) bool { return l.deadlineAt(now).After(now) }

// leaseFor returns the deadline to renew the worker's task leases up to.
func (a *Agent) leaseFor(now time.Time) time.Time { return a.lease.deadlineAt(now) }

// applyRegistration takes in what an entry has folded about this worker. An
// entry that is behind reports a lower term, which is ignored.
func (a *Agent) applyRegistration(reply *wire.HeartbeatReply, sent, now time.Time) {
	l := &a.lease
	if units.Epoch(reply.RegisteredEpoch) != a.epoch || !a.adopted {
		return
	}
	if reply.Expired {
		a.event("epochExpired", string(a.WorkerID), "the epoch is recorded as expired")
		a.acquire(false)
		return
	}
	if !l.registered {
		l.registered = true
		a.event("workerRegistered", string(a.WorkerID), "")
	}
	l.available = reply.LessorAvailable
	if until := sent.Add(leases.GrantWindow - leases.MaxEvidenceAge); reply.LogReachable && until.After(l.mayGrant) {
		l.mayGrant = until
	}
	if term := units.Term(reply.LeaseTerm); term > l.term {
		a.beginTerm(reply, term, now)
	}
}

// beginTerm starts over with the lessor of a newer term. A deadline granted in
// the former term stays: the new lessor waits it out.
//
// A recorded registration or change of lessor counts as a grant from when this
// agent could first have asked for it: an expiry in the new term is recorded no
// earlier than leaseDuration + leaseMargin after that record. Without this,
// agents that have all lost their leases could never grant one again.
func (a *Agent) beginTerm(reply *wire.HeartbeatReply, term units.Term, now time.Time) {
	l := &a.lease
	l.end()
	switch {
	case l.term == 0 && term == 1:
		l.deadline = l.held.Add(leaseDuration)
	case l.wants && term == l.term+1:
		l.deadline = laterOf(l.deadline, l.wantsFrom.Add(leaseDuration))
	case l.unbounded:
		// Only a request of this agent ends an unbounded lease, and asking
		// has bounded it. Any other change is answered by stopping.
		l.unbounded, l.deadline = false, now
	}
	l.term, l.termSince = term, now
	l.lessor, l.lessorEpoch, l.lessorAddress = units.WorkerID(reply.Lessor), units.Epoch(reply.LessorEpoch), reply.LessorAddress
	l.wants, l.granted, l.nextAt = false, time.Time{}, now
	l.requesting = false // an answer to a request of the former term is ignored
	l.unbounded = l.lessor == ""
	a.worker.renewSoon = true
	a.event("lessorChanged", string(a.WorkerID), string(l.lessor))
}

// tickLease requests the lease every quarter of its duration and asks for
// another lessor after half of it without a grant.
func (a *Agent) tickLease(now time.Time) {
	l := &a.lease
	if !l.registered || l.term == 0 {
		return
	}
	if l.unbounded {
		a.tickUnbounded(now)
		return
	}
	if l.wants {
		return
	}
	if l.available && now.Sub(l.termSince) > betterAfter && l.deadline.Sub(now) > leaseDuration/2 && a.logReachable(now) {
		a.wantLessor(now)
		return
	}
	since := l.granted
	if since.IsZero() {
		since = l.termSince
	}
	if now.Sub(since) >= leaseDuration/2 && a.logReachable(now) {
		a.wantLessor(now)
		return
	}
	if !l.requesting && !now.Before(l.nextAt) {
		a.requestLease()
	}
}

// tickUnbounded asks for a lessor once another worker exists that can grant.
// From then on the lease ends unless a lessor is assigned.
func (a *Agent) tickUnbounded(now time.Time) {
	l := &a.lease
	switch {
	case !l.available && !a.hasLessees() || !a.logReachable(now):
		l.askAt = time.Time{}
	case l.askAt.IsZero():
		l.askAt = now.Add(firstLessorWait + rand.N(firstLessorSpread))
	case !now.Before(l.askAt):
		l.unbounded, l.deadline = false, now.Add(leaseDuration)
		a.wantLessor(now)
	}
}

// wantLessor stops renewing with the present lessor for good and asks for
// another one. While the log is unreachable it would only give up the lessor
// without a chance of another, so it is not called then.
func (a *Agent) wantLessor(now time.Time) {
	l := &a.lease
	l.wants, l.wantsFrom = true, now
	a.beatEarly()
	a.event("lessorWanted", string(a.WorkerID), string(l.lessor))
}

func (a *Agent) requestLease() {
	l := &a.lease
	l.requesting = true
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
			a.lease.requesting = false
			a.leaseAnswered(sent, reply, err)
		})
		if !kept && session != nil {
			session.Close()
		}
	})
}

// callLessor sends one request, on a new session when there is none. A session
// that did not answer is closed.
func (a *Agent) callLessor(session Session, address string, request *wire.LeaseRequest) (Session, time.Time, *wire.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(a.ctx, leaseTimeout)
	defer cancel()
	if session != nil && closed(session.Done()) {
		session = nil
	}
	if session == nil {
		fresh, err := a.dial(ctx, address)
		if err != nil {
			return nil, time.Time{}, nil, err
		}
		session = fresh
		a.spawn(func() { // ends the session with the agent
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

// end closes the session to the lessor.
func (l *lease) end() {
	if l.session != nil {
		l.session.Close()
		l.session = nil
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (a *Agent) leaseAnswered(sent time.Time, reply *wire.LeaseReply, err error) {
	l := &a.lease
	now := time.Now()
	if err != nil || !reply.GetGranted() {
		l.nextAt = now.Add(leaseRetry)
		return
	}
	l.nextAt = sent.Add(leaseDuration / 4)
	if l.wants {
		return // the request for another lessor may be recorded already
	}
	if until := sent.Add(leaseDuration); until.After(l.deadline) {
		l.deadline, l.granted = until, sent
	}
	a.observeClock(reply.Clock)
}
