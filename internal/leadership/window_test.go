package leadership

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/pkg/units"
)

// at returns the instant ms milliseconds after the beginning of a test's schedule.
func at(ms int) bootclock.Instant {
	return bootclock.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond)
}

// Guards against a hole in the lease while the store answers slowly: replays a store whose
// answers take a constant time, and measures how long the lease has ended.
func TestWindowHasNoHoleWhileTheStoreIsSlow(t *testing.T) {
	for _, answer := range []time.Duration{4, 100, 400, 600, 800, 1000, 1150} {
		answer *= time.Millisecond
		w := newRenewalWindow(5)
		lease := at(0).Add(leaseDuration) // of the claim
		type reply struct {
			at   bootclock.Instant
			call renewalCall
		}
		var replies []reply
		for ms := range 20_000 {
			now := at(ms)
			if due, ok := w.nextSend(); ok && !now.Before(due) {
				replies = append(replies, reply{now.Add(answer), w.send(now)})
			}
			for len(replies) > 0 && !now.Before(replies[0].at) {
				lease = max(lease, w.succeeded(replies[0].call))
				replies = replies[1:]
			}
			if !now.Before(lease) {
				t.Errorf("answers after %v: the lease has ended at %v, want no hole", answer, now.Sub(at(0)))
				break
			}
		}
	}
}

// Guards against a lease that is extended by a renewal which was appended after the claim of
// another process: the claim took the place of an unanswered renewal.
func TestRenewalAfterUnknownRecordDoesNotCount(t *testing.T) {
	w := newRenewalWindow(5)
	first, second := w.send(at(0)), w.send(at(500))
	if first.at != 5 || second.at != 6 {
		t.Fatalf("got offsets %d and %d, want 5 and 6", first.at, second.at)
	}
	if got := w.succeeded(second); got != 0 {
		t.Errorf("second renewal with the first unanswered: got a lease until %v, want none", got)
	}
	w.failed(first, at(900))
	if got := w.confirmed(nil, 7); got != 0 { // the record at 5 is another process's, that at 6 was not listed as ours
		t.Errorf("records of others: got a lease until %v, want none", got)
	}
}

// The successor counts once the renewal before it is known to have been appended.
func TestRenewalCountsOnceItsPredecessorIsKnown(t *testing.T) {
	cases := map[string]func(w *renewalWindow, first renewalCall) bootclock.Instant{
		"answered":       func(w *renewalWindow, first renewalCall) bootclock.Instant { return w.succeeded(first) },
		"read":           func(w *renewalWindow, _ renewalCall) bootclock.Instant { return w.confirmed([]units.Offset{5, 6}, 7) },
		"first one read": func(w *renewalWindow, _ renewalCall) bootclock.Instant { return w.confirmed([]units.Offset{5}, 6) },
	}
	for name, know := range cases {
		w := newRenewalWindow(5)
		first, second := w.send(at(0)), w.send(at(500))
		w.succeeded(second)
		if got, want := know(w, first), second.sent.Add(leaseDuration); got != want {
			t.Errorf("%s: got a lease until %v, want %v", name, got, want)
		}
		if w.end != 7 {
			t.Errorf("%s: got the end %d, want 7", name, w.end)
		}
	}
}

// Guards against a lease that counts from a repeated call, although the first one may have been
// appended long before: followers count from the record.
func TestReadRenewalCountsFromItsFirstCall(t *testing.T) {
	w := newRenewalWindow(5)
	first := w.send(at(0))
	w.failed(first, at(1700))
	again := w.send(at(1800))
	if again.at != first.at {
		t.Fatalf("got offset %d, want %d again", again.at, first.at)
	}
	w.failed(again, at(1900)) // conflicts with the first one
	if got, want := w.confirmed([]units.Offset{5}, 6), first.sent.Add(leaseDuration); got != want {
		t.Errorf("got a lease until %v, want %v", got, want)
	}
}

// Guards against a leader that neither renews nor looks for another proof after failed calls.
func TestFailedRenewalIsRepeatedAndOverdue(t *testing.T) {
	w := newRenewalWindow(5)
	w.failed(w.send(at(0)), at(10))
	if due, ok := w.nextSend(); !ok || due != at(10).Add(retryDelay) {
		t.Errorf("got the next renewal at %v, %t, want %v", due, ok, at(10).Add(retryDelay))
	}
	if due, ok := w.overdueAt(); !ok || due != at(0).Add(renewTimeout) {
		t.Errorf("got overdue at %v, %t, want %v", due, ok, at(0).Add(renewTimeout))
	}
	for range maxRenewals {
		w.send(at(200))
	}
	if _, ok := w.nextSend(); ok {
		t.Errorf("got another renewal beside %d, want none", maxRenewals)
	}
}

// Guards against a leader that, after an outage of the store, expects the topic to end behind
// renewals that were never appended, and so takes seconds to lead again.
func TestRenewalsAfterAnOutageBeginAtTheEnd(t *testing.T) {
	w := newRenewalWindow(5)
	var lost []renewalCall
	for ms := 0; ms < 4000; ms += 10 { // no call is answered
		now := at(ms)
		for len(lost) > 0 && now.Sub(lost[0].sent) >= leaseDuration {
			w.failed(lost[0], now)
			lost = lost[1:]
		}
		if due, ok := w.nextSend(); ok && !now.Before(due) {
			lost = append(lost, w.send(now))
		}
	}
	for _, c := range lost { // the store is back, and nothing was appended
		w.failed(c, at(4000))
	}
	if got := w.send(at(4100)).at; got != 5 {
		t.Errorf("got a renewal that expects the end %d, want 5", got)
	}
	for _, c := range lost {
		if c.at >= 5+units.Offset(maxRenewals) {
			t.Errorf("got a renewal for offset %d, want none beyond the renewals in flight", c.at)
		}
	}
}
