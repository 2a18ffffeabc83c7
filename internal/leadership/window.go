package leadership

import (
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/pkg/units"
)

// renewalWindow decides when the leader sends renewals and how far their answers extend its
// lease. It does no input or output.
//
// It answers this load: a store that takes from milliseconds to almost a lease to answer, or
// that loses answers. Renewals are sent at a fixed interval, up to maxRenewals beside each
// other, because waiting for each answer would leave the lease a hole as soon as two answers
// take longer than a lease. Each expects the topic to end after the one before it.
//
// A renewal counts only if every record before it is known to be this leader's: if another
// process has claimed the leadership in place of an unanswered renewal, the next one may be
// appended after that claim.
type renewalWindow struct {
	end       units.Offset                       // all records below are known, and none is a later claim
	inFlight  []renewalCall                      // sent and not answered, oldest first
	landed    map[units.Offset]bootclock.Instant // appended at or after the time, with unknown records before
	firstSent map[units.Offset]bootclock.Instant // of the first call for each offset from end on
	lastSent  bootclock.Instant
	failedAt  bootclock.Instant // when a call was last answered without an effect; 0 if none since a renewal
}

// renewalCall is a call that appends a renewal.
type renewalCall struct {
	at       units.Offset // where the topic must end
	sent     bootclock.Instant
	repeated bool // an earlier call for the same offset has no answer yet
}

const (
	// maxRenewals limits the renewals in flight: an answer that takes longer than this number
	// of intervals comes too late for the lease.
	maxRenewals = int(leaseDuration/renewInterval) + 1
	// maxRenewalCalls limits the calls in flight, repeated ones included.
	maxRenewalCalls = 2 * maxRenewals
)

func newRenewalWindow(end units.Offset) *renewalWindow {
	return &renewalWindow{end: end, landed: make(map[units.Offset]bootclock.Instant), firstSent: make(map[units.Offset]bootclock.Instant)}
}

// nextSend returns when the next renewal is due. ok is false while too many are in flight.
func (w *renewalWindow) nextSend() (at bootclock.Instant, ok bool) {
	if len(w.inFlight) >= maxRenewalCalls || w.nextOffset() >= w.end+units.Offset(maxRenewals) {
		return 0, false
	}
	if w.failedAt != 0 {
		return w.failedAt.Add(retryDelay), true
	}
	return w.lastSent.Add(renewInterval), true
}

// send returns the call to make now.
func (w *renewalWindow) send(now bootclock.Instant) renewalCall {
	call := renewalCall{at: w.nextOffset(), sent: now}
	w.inFlight = append(w.inFlight, call)
	if _, ok := w.firstSent[call.at]; !ok {
		w.firstSent[call.at] = now
	}
	w.lastSent, w.failedAt = now, 0
	return call
}

// repeat returns another call for the renewal that the topic needs next, whose answer is
// overdue: the store may not have received the first call. ok is false if too many are in
// flight.
func (w *renewalWindow) repeat(now bootclock.Instant) (call renewalCall, ok bool) {
	if _, sent := w.firstSent[w.end]; !sent || len(w.inFlight) >= maxRenewalCalls {
		return renewalCall{}, false
	}
	call = renewalCall{at: w.end, sent: now, repeated: w.isTaken(w.end)}
	w.inFlight = append(w.inFlight, call)
	return call, true
}

// nextOffset returns the lowest offset for which no renewal is in flight or has landed. A
// renewal that has failed is repeated before later ones, which expect it.
func (w *renewalWindow) nextOffset() units.Offset {
	next := w.end
	for w.isTaken(next) {
		next++
	}
	return next
}

func (w *renewalWindow) isTaken(at units.Offset) bool {
	if _, ok := w.landed[at]; ok {
		return true
	}
	return slices.ContainsFunc(w.inFlight, func(c renewalCall) bool { return c.at == at })
}

// remove removes an answered call.
func (w *renewalWindow) remove(call renewalCall) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(c renewalCall) bool { return c == call })
}

// succeeded processes the answer that a renewal was appended. It returns the end of the lease,
// or 0 while records before it are not known.
func (w *renewalWindow) succeeded(call renewalCall) bootclock.Instant {
	w.remove(call)
	if call.at < w.end {
		return 0 // a read has shown it already
	}
	w.landed[call.at] = call.sent
	return w.advance(w.end)
}

// failed processes an answer, or the lack of one, after which the renewal may not have been
// appended.
func (w *renewalWindow) failed(call renewalCall, now bootclock.Instant) {
	w.remove(call)
	if call.at >= w.end && !w.isTaken(call.at) { // otherwise it was appended, or another call for it is in flight
		w.failedAt = now
	}
}

// confirmed processes a read of the records below end, among which is no later claim, and of
// which those at the offsets own are this leader's renewals. It returns the end of the lease,
// or 0 if it is not extended. The call that appended a record is not known, so the first one
// for its offset counts.
func (w *renewalWindow) confirmed(own []units.Offset, end units.Offset) bootclock.Instant {
	until := bootclock.Instant(0)
	for _, at := range own {
		if sent, ok := w.firstSent[at]; ok {
			until = max(until, sent.Add(leaseDuration))
		}
	}
	if end > w.end {
		w.failedAt = 0
	}
	return max(until, w.advance(end))
}

// advance raises the end of the known records, also over the renewals that have landed next to
// it, and returns the end of the lease that these give.
func (w *renewalWindow) advance(end units.Offset) bootclock.Instant {
	until := bootclock.Instant(0)
	w.end = max(w.end, end)
	for sent, ok := w.landed[w.end]; ok; sent, ok = w.landed[w.end] {
		until = max(until, sent.Add(leaseDuration))
		delete(w.landed, w.end)
		w.end++
	}
	for at := range w.firstSent {
		if at < w.end {
			delete(w.firstSent, at)
		}
	}
	for at := range w.landed {
		if at < w.end {
			delete(w.landed, at)
		}
	}
	return until
}

// overdueAt returns when the renewal that the topic needs next becomes overdue, so that the
// leader looks for another proof that it leads. ok is false if it was not sent yet.
func (w *renewalWindow) overdueAt() (at bootclock.Instant, ok bool) {
	sent, ok := w.firstSent[w.end]
	return sent.Add(renewTimeout), ok
}

// until returns the time from now to at, at least the given one.
func until(at, now bootclock.Instant, least time.Duration) time.Duration {
	return max(at.Sub(now), least)
}
