package leadership

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
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
	for leadCtx.Err() == nil {
		result := e.renew(leadCtx, term)
		if result == lost {
			break
		}
		pause.For(leadCtx, renewDelays[result])
	}
	cancel()
	<-ended
	e.resign(term)
}

// renewalResult is the result of an attempt to renew the leadership.
type renewalResult int

const (
	renewed    renewalResult = iota
	retryNow                 // it conflicted with an earlier renewal of this leader, which has been read since
	unanswered               // the store did not reply, or the records can't be read
	lost
)

// renewDelays is the delay before the next attempt, by the result of the last one.
var renewDelays = [...]time.Duration{renewed: renewInterval, retryNow: 0, unanswered: retryDelay}

// renew tries to extend the lease, by a renewal in the store or else by promises.
func (e *Elector) renew(ctx context.Context, term Term) renewalResult {
	e.mu.Lock()
	at := e.nextOffset
	e.mu.Unlock()
	sent := bootclock.Now()
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	_, err := e.append(callCtx, at, term, false)
	cancel()
	switch {
	case err == nil:
		e.mu.Lock()
		e.nextOffset, e.storeAnsweredAt = at+1, bootclock.Now()
		e.mu.Unlock()
		return e.extendLease(term, sent.Add(leaseDuration), renewed)
	case ctx.Err() != nil:
		return lost
	case fault.Is(err, durable.Conflict):
		return e.readBack(ctx, term)
	}
	klog.InfoS("leadership is not renewed", "term", term, "err", err)
	if e.RequestPromises != nil {
		if until, ok := e.RequestPromises(ctx, term); ok {
			return e.extendLease(term, until, unanswered)
		}
	}
	return unanswered
}

// extendLease extends the lease and returns the given result, or lost if this process has
// renounced the term.
func (e *Elector) extendLease(term Term, until bootclock.Instant, result renewalResult) renewalResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term <= e.renouncedTerm {
		klog.InfoS("leadership is given up: there is a later term, or another process may lead", "term", term, "renouncedTerm", e.renouncedTerm)
		return lost
	}
	e.leaseEnd = max(e.leaseEnd, until)
	return result
}

// readBack is called if a renewal conflicts with another record: an earlier renewal whose
// reply was lost, or the claim of another leader. It determines whether this process
// still leads.
func (e *Elector) readBack(ctx context.Context, term Term) renewalResult {
	err := e.read(ctx, 0)
	if errors.Is(err, errRecordsDeleted) {
		klog.InfoS("leadership is given up: another claim may have been among the deleted records", "term", term)
		return lost
	}
	if err != nil {
		klog.InfoS("leadership records can't be read after a conflicting renewal", "term", term, "err", err)
		return unanswered
	}
	leader := e.Leader()
	if leader.Term != term {
		klog.InfoS("leadership lost", "term", term, "leader", leader.Name, "newTerm", leader.Term)
		return lost
	}
	return retryNow
}

// resign ends the lease at once. If this process is the last leader, it also appends a release
// record, so that the other processes need not wait before they claim.
func (e *Elector) resign(term Term) {
	e.mu.Lock()
	e.leaseEnd = 0
	at := e.nextOffset
	current := e.leader.Term == term && !e.recordsMissed && term > e.renouncedTerm
	e.renewalSeenAt = bootclock.Now()
	e.mu.Unlock()
	if !current {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := e.append(ctx, at, term, true); err != nil {
		klog.InfoS("leadership release failed; followers wait for the claim timeout", "term", term, "err", err)
	}
}
