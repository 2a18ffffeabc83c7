package leadership

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// claimAttempt is a claim that is sent.
type claimAttempt struct {
	term     Term
	at       units.Offset // where the topic must end
	sent     bootclock.Instant
	previous Term // of the last leader before; 0 if it is unknown
	// registered is the offset of this process's registration.
	registered units.Offset
}

// claimedTerm returns the term of a claim at an offset. A renewal or a release is at a
// higher offset than the claim of its term.
func claimedTerm(at units.Offset) Term { return Term(at + 1) }

// claim tries to become the leader. It returns the term if it succeeds.
func (e *Elector) claim(ctx context.Context) (Term, bool) {
	c, ok := e.beginClaim()
	if !ok {
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(ctx, leaseDuration)
	registered := e.confirmMembership(callCtx, c)
	if e.unconfirmed && !registered() {
		cancel()
		e.dropClaim()
		pause.Jittered(ctx, retryDelay)
		return 0, false
	}
	finishRead := e.readBeside(ctx, c.at)
	_, err := e.append(callCtx, c.at, c.term, false)
	if err == nil && !registered() {
		err = fault.New("claim", durable.Unavailable, "this process is not known to be registered")
	}
	cancel()
	finishRead(err)
	if err != nil {
		e.dropClaim()
		klog.InfoS("leadership claim failed", "term", c.term, "err", err)
		if !fault.Is(err, durable.Conflict) {
			pause.Jittered(ctx, retryDelay)
		}
		return 0, false // if the claim succeeded nevertheless, it is read back later and not renewed
	}
	withdrawn, ok := e.finishClaim(c)
	if !ok {
		return 0, false
	}
	if withdrawn {
		klog.InfoS("leadership won while this process stops; it is released", "term", c.term)
		newRenewer(e, c.term).resign()
		return 0, false
	}
	klog.InfoS("leadership won", "term", c.term)
	return c.term, true
}

// readBeside reads the records beside a claim, so that a claim that conflicts with records of
// which this process did not know can be repeated at once, also where the store is slow. The
// function that it returns applies them if the claim has conflicted. Until the claim is
// answered, this process must not count its own record as the claim of a leader.
func (e *Elector) readBeside(ctx context.Context, from units.Offset) (finish func(claimErr error)) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	var batch durable.Batch
	var err error
	go func() {
		defer close(done)
		batch, err = e.Store.Read(ctx, Topic, false, from, 0)
	}()
	return func(claimErr error) {
		conflict := fault.Is(claimErr, durable.Conflict)
		if !conflict {
			cancel()
		}
		<-done
		cancel()
		if conflict && err == nil {
			e.applyBatch(from, batch)
		}
	}
}

// beginClaim returns the claim to send, or false if this process has promised meanwhile
// not to claim.
func (e *Elector) beginClaim() (claimAttempt, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := e.promiseLeft(); left > 0 {
		klog.InfoS("leadership is not claimed: this process has promised not to", "promiseLeft", left)
		return claimAttempt{}, false
	}
	c := claimAttempt{term: claimedTerm(e.nextOffset), at: e.nextOffset, sent: bootclock.Now(), registered: e.registeredAt()}
	if !e.recordsMissed {
		c.previous = e.leader.Term
	}
	e.pendingClaim, e.pendingClaimUntil = c.term, c.sent.Add(pendingClaimTimeout)
	return c, true
}

func (e *Elector) dropClaim() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingClaim = 0
}

// finishClaim makes this process the leader after its claim has succeeded. It returns
// false if the claim was given up meanwhile, and also reports whether this process is
// withdrawn. A claim that was given up is not released in the store: a release would say
// that its term was led.
func (e *Elector) finishClaim(c claimAttempt) (withdrawn, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pending := e.pendingClaim == c.term
	e.pendingClaim = 0
	if !pending || c.term <= e.renouncedTerm {
		klog.InfoS("leadership claim was given up before the reply", "term", c.term, "promiseLeft", e.promiseLeft(), "renouncedTerm", e.renouncedTerm)
		return false, false
	}
	e.wonTerm, e.previousTerm, e.ownRecords = c.term, c.previous, nil
	e.renewedAt = c.sent
	e.nextOffset, e.released, e.recordsMissed, e.renewalSeenAt = c.at+1, false, false, c.sent
	e.rivals = nil
	e.leader, e.leaderLed = Leader{Name: e.Name, Address: e.Address, Term: c.term}, true
	e.leaseEnd = c.sent.Add(leaseDuration)
	return e.withdrawn, true
}

func (e *Elector) append(ctx context.Context, at units.Offset, term Term, released bool) (units.Offset, error) {
	return e.appendCall(ctx, renewalCall{at: at}, term, released)
}

// appendCall appends a record as append does, for a call that may repeat another.
func (e *Elector) appendCall(ctx context.Context, call renewalCall, term Term, released bool) (units.Offset, error) {
	value, err := proto.Marshal(&wire.LeadershipRecord{Name: e.Name, Address: e.Address, Term: uint64(term), Released: released, MembersEnd: uint64(e.membersEnd())})
	if err != nil {
		return 0, fault.Wrap("claim", durable.Invalid, err)
	}
	return e.Store.Append(ctx, durable.AppendRequest{Topic: Topic, ExpectedEnd: &call.at, Records: []durable.Record{{Value: value}}, Repeated: call.repeated})
}
