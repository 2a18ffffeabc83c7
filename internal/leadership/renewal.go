package leadership

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// lead runs RunLeader and renews the leadership until either ends.
func (e *Elector) lead(ctx context.Context, term Term) {
	leadCtx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		e.RunLeader(leadCtx, term)
		close(ended)
		cancel()
	}()
	if e.OnChange != nil {
		e.OnChange(e.Leader())
	}
	r := newRenewer(e, term)
	r.run(leadCtx)
	cancel()
	<-ended
	r.resign()
}

// renewer extends the lease of a leader, by renewals in the store or else by promises. Its
// methods are called by one goroutine.
type renewer struct {
	e        *Elector
	term     Term
	window   *renewalWindow
	answers  chan renewalAnswer
	proofs   chan proof
	proving  bool               // a search for another proof is in progress
	provedAt bootclock.Instant  // when the last one began
	calls    context.Context    // of the calls to the store; outlives the term until it is released
	stop     context.CancelFunc // ends the calls
	wait     sync.WaitGroup     // goroutines of the calls
}

// renewalAnswer is the result of a call that appends a renewal.
type renewalAnswer struct {
	call renewalCall
	err  error
}

// proof is what a read of the records and the other processes say about the leadership while
// renewals are overdue.
type proof struct {
	lost     bool              // there is a later claim, or there may have been one
	promised bootclock.Instant // all others have promised not to claim before; 0 if not
}

func newRenewer(e *Elector, term Term) *renewer {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &renewer{e: e, term: term, window: newRenewalWindow(e.nextOffset), answers: make(chan renewalAnswer, maxRenewalCalls), proofs: make(chan proof, 1)}
	r.calls, r.stop = context.WithCancel(context.Background())
	return r
}

// run renews the leadership until ctx ends or it is lost.
func (r *renewer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.extend(0) {
		select {
		case <-ctx.Done():
			return
		case a := <-r.answers:
			if !r.handle(a) {
				return
			}
		case p := <-r.proofs:
			r.proving = false
			if p.lost || !r.confirm() || !r.extend(r.e.limitPromised(p.promised)) {
				return
			}
		case <-timer.C:
		}
		timer.Reset(r.sendDue(bootclock.Now()))
	}
}

// sendDue makes the calls that are due and returns the time until the next ones are.
func (r *renewer) sendDue(now bootclock.Instant) time.Duration {
	if at, ok := r.window.nextSend(); ok && !now.Before(at) {
		r.send(r.window.send(now))
	}
	if at, ok := r.nextProof(); ok && !now.Before(at) {
		if call, ok := r.window.repeat(now); ok {
			r.send(call)
		}
		r.prove()
	}
	next := time.Duration(renewInterval)
	if at, ok := r.window.nextSend(); ok {
		next = min(next, until(at, now, time.Millisecond))
	}
	if at, ok := r.nextProof(); ok {
		next = min(next, until(at, now, time.Millisecond))
	}
	return next
}

// nextProof returns when another proof is to be looked for. ok is false if none is needed.
func (r *renewer) nextProof() (at bootclock.Instant, ok bool) {
	at, ok = r.window.overdueAt()
	return max(at, r.provedAt.Add(proofInterval)), ok && !r.proving
}

func (r *renewer) send(call renewalCall) {
	r.wait.Go(func() {
		ctx, cancel := context.WithTimeout(r.calls, leaseDuration)
		defer cancel()
		_, err := r.e.appendCall(ctx, call, r.term, false)
		r.answers <- renewalAnswer{call, err} // the channel has room for all calls in flight
	})
}

// handle processes the answer to a renewal. It returns false if the leadership is lost.
func (r *renewer) handle(a renewalAnswer) bool {
	if a.err == nil {
		r.e.storeAnswered()
		return r.extendTo(r.window.succeeded(a.call))
	}
	oldest := a.call.at <= r.window.end
	r.window.failed(a.call, bootclock.Now())
	if fault.Is(a.err, durable.Conflict) {
		r.e.storeAnswered()
		if !oldest {
			return true // one before it has not been appended, or not yet
		}
	} else if oldest {
		klog.InfoS("leadership is not renewed", "term", r.term, "err", a.err)
	}
	if at := bootclock.Now(); !r.proving && !at.Before(r.provedAt.Add(proofInterval)) {
		r.prove()
	}
	return true
}

// proofInterval separates two searches for a proof. Promises last several times as long.
const proofInterval = 250 * time.Millisecond

// prove looks for another proof that this process leads: its renewals among the records, or
// promises of all others not to claim.
func (r *renewer) prove() {
	r.proving, r.provedAt = true, bootclock.Now()
	r.wait.Go(func() {
		ctx, cancel := context.WithTimeout(r.calls, leaseDuration)
		defer cancel()
		p := proof{}
		var wait sync.WaitGroup
		if r.e.RequestPromises != nil {
			wait.Go(func() {
				if until, ok := r.e.RequestPromises(ctx, r.term); ok {
					p.promised = until
				}
			})
		}
		lost := r.readBack(ctx)
		wait.Wait()
		p.lost = lost
		r.proofs <- p
	})
}

// readBack reads the records and reports whether another process leads or may lead.
func (r *renewer) readBack(ctx context.Context) (lost bool) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := r.e.read(ctx, 0)
	if errors.Is(err, errRecordsDeleted) {
		klog.InfoS("leadership is given up: another claim may have been among the deleted records", "term", r.term)
		return true
	}
	if err != nil {
		klog.V(1).InfoS("leadership records can't be read while a renewal is overdue", "term", r.term, "err", err)
	}
	if leader := r.e.Leader(); leader.Term != r.term {
		klog.InfoS("leadership lost", "term", r.term, "leader", leader.Name, "newTerm", leader.Term)
		return true
	}
	return false
}

// confirm extends the lease by the renewals that a read has shown. It returns false if the
// leadership is lost.
func (r *renewer) confirm() bool {
	own, end := r.e.takeOwnRecords()
	return r.extendTo(r.window.confirmed(own, end))
}

// extendTo is extend by a renewal, after the window has advanced.
func (r *renewer) extendTo(until bootclock.Instant) bool {
	r.e.advance(r.window.end)
	r.e.recordRenewal(until)
	return r.extend(until)
}

// extend extends the lease and returns false if this process has renounced the term.
func (r *renewer) extend(until bootclock.Instant) bool {
	e := r.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.term <= e.renouncedTerm {
		klog.InfoS("leadership is given up: there is a later term, or another process may lead", "term", r.term, "renouncedTerm", e.renouncedTerm)
		return false
	}
	e.leaseEnd = max(e.leaseEnd, until)
	return true
}

// resignTimeout limits the release of the leadership by a process that stops.
const resignTimeout = 1200 * time.Millisecond

// resign ends the lease at once. If this process is the last leader, it also appends a release
// record, so that the other processes need not wait before they claim. Renewals in flight are
// appended before it, so it waits for them where the release conflicts with one.
func (r *renewer) resign() {
	defer r.wait.Wait()
	defer r.stop()
	deadline := bootclock.Now().Add(resignTimeout)
	at, current := r.e.endLease(r.term)
	at = max(at, r.window.nextOffset())
	for current {
		ctx, cancel := context.WithTimeout(r.calls, deadline.Sub(bootclock.Now()))
		_, err := r.e.append(ctx, at, r.term, true)
		if err == nil {
			cancel()
			return
		}
		if !fault.Is(err, durable.Conflict) || !bootclock.Now().Before(deadline) || r.readRest(ctx) {
			klog.InfoS("leadership release failed; followers wait for the claim timeout", "term", r.term, "err", err)
			current = false
		}
		at = r.e.readOffset()
		cancel()
	}
}

// readRest reads the records that a release has conflicted with. It reports whether there is
// nothing to release.
func (r *renewer) readRest(ctx context.Context) (done bool) {
	before := r.e.readOffset()
	if err := r.e.read(ctx, retryDelay); err != nil {
		return true
	}
	return r.e.Leader().Term != r.term || r.e.readOffset() == before
}

// endLease ends this process's lease as leader of the term. It returns the offset after the
// known records, and whether this process is the last leader.
func (e *Elector) endLease(term Term) (at units.Offset, current bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseEnd = 0
	e.renewalSeenAt = bootclock.Now()
	return e.nextOffset, e.leader.Term == term && !e.recordsMissed && term > e.renouncedTerm
}

// recordRenewal records a renewal that extends the lease until the given time.
func (e *Elector) recordRenewal(until bootclock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until != 0 {
		e.renewedAt = max(e.renewedAt, until.Add(-leaseDuration))
	}
}

// limitPromised returns until, or an earlier time at which promises no longer suffice.
func (e *Elector) limitPromised(until bootclock.Instant) bootclock.Instant {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(until, e.renewedAt.Add(maxPromisedLead))
}

// storeAnswered records that the store has answered now.
func (e *Elector) storeAnswered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeAnsweredAt = bootclock.Now()
}

// advance records that all records below end are known.
func (e *Elector) advance(end units.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextOffset = max(e.nextOffset, end)
}

// takeOwnRecords returns the offsets of this leader's renewals among the records that were read
// since the last call, and the offset after the known records.
func (e *Elector) takeOwnRecords() (own []units.Offset, end units.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	own, e.ownRecords = e.ownRecords, nil
	return own, e.nextOffset
}

// readOffset returns the offset after the known records.
func (e *Elector) readOffset() units.Offset {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nextOffset
}
