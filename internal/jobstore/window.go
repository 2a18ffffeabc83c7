package jobstore

import (
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
)

// appendWindow decides when appends are sent and repeated, and which are durable. It does no
// input or output.
//
// It answers this load: a store that answers slowly, or loses answers, while submissions and
// ends of tasks come all the time. One append at a time would let each record wait for up to
// two answers, and a lost answer for a whole timeout. So up to maxAppends are in flight, each
// is repeated before its timeout, and an answered append proves that those before it are
// durable: the store rejects a sequence number whose predecessor it has not appended.
type appendWindow struct {
	appends     []*pendingAppend // not known to be durable, oldest first
	established bool             // an append of this epoch is durable, so that the store checks the order of the others
	answerTime  time.Duration    // of the last answered append
	lastSent    bootclock.Instant
}

// pendingAppend is an append that is not known to be durable.
type pendingAppend struct {
	sequence uint64
	records  []durable.Record
	writes   []write           // whose records it contains, or that follow them
	calls    int               // in flight
	since    bootclock.Instant // when it was first sent; 0 before
	sentAt   bootclock.Instant // when it was last sent
	retryAt  bootclock.Instant // not sent again before
	overtook bool              // the last call was rejected because the append before it was missing
	dropped  int               // records that were left out
}

// appendCall is a call that sends an append.
type appendCall struct {
	sequence uint64
	first    bool // no earlier append was pending when it was sent
	repeated bool // an earlier call of the append has no answer yet
	dropped  int  // records that had been left out of the append when it was sent
	sent     bootclock.Instant
}

const (
	// maxAppends limits the appends in flight. The store repeats its answers to the last five.
	maxAppends = 4
	// maxCalls limits the calls in flight for an append.
	maxCalls = 2
	// minSpacing is the least time between two appends that are in flight beside each other.
	// While the store answers faster, an append collects all records of that time.
	minSpacing = 50 * time.Millisecond
	// minRepeatDelay is the least time without an answer after which an append is repeated.
	minRepeatDelay = 200 * time.Millisecond
	// repeatFactor is the number of answer times after which it is.
	repeatFactor = 3
)

// mayAdd reports whether another append may be sent now beside those in flight, and otherwise
// when. A zero time means that it may once one is answered.
func (w *appendWindow) mayAdd(now bootclock.Instant) (ok bool, at bootclock.Instant) {
	switch {
	case len(w.appends) == 0:
		return true, 0
	case len(w.appends) >= maxAppends || !w.established || w.waits():
		return false, 0
	}
	at = w.lastSent.Add(max(minSpacing, w.answerTime/maxAppends))
	return !now.Before(at), at
}

// waits reports whether an append is not in flight but waits to be sent again. The store rejects
// all later ones meanwhile.
func (w *appendWindow) waits() bool {
	return slices.ContainsFunc(w.appends, func(a *pendingAppend) bool { return a.calls == 0 })
}

// add adds an append. It is due at once.
func (w *appendWindow) add(a *pendingAppend) { w.appends = append(w.appends, a) }

// dueAt returns when the append is to be sent next. ok is false while enough calls of it are in
// flight.
func (w *appendWindow) dueAt(a *pendingAppend) (at bootclock.Instant, ok bool) {
	switch {
	case a.calls == 0:
		return a.retryAt, true
	case a.calls >= maxCalls:
		return 0, false
	}
	return a.sentAt.Add(max(minRepeatDelay, repeatFactor*w.answerTime)), true
}

// takeDue returns the append that is to be sent now, and the call for it, or nil. None is sent
// while one before it waits to be sent again.
func (w *appendWindow) takeDue(now bootclock.Instant) (*pendingAppend, appendCall) {
	for i, a := range w.appends {
		at, ok := w.dueAt(a)
		if a.calls == 0 && now.Before(at) {
			break
		}
		if !ok || now.Before(at) {
			continue
		}
		if a.since == 0 {
			a.since = now
		}
		a.calls++
		a.sentAt, w.lastSent = now, now
		return a, appendCall{sequence: a.sequence, first: i == 0, repeated: a.calls > 1, dropped: a.dropped, sent: now}
	}
	return nil, appendCall{}
}

// nextDue returns when takeDue returns an append next. ok is false if that depends on answers.
func (w *appendWindow) nextDue() (at bootclock.Instant, ok bool) {
	for _, a := range w.appends {
		if due, pending := w.dueAt(a); pending && (!ok || due.Before(at)) {
			at, ok = due, true
		}
		if a.calls == 0 {
			break
		}
	}
	return at, ok
}

// succeeded processes the answer that an append is durable and returns the writes that now are,
// in their order.
func (w *appendWindow) succeeded(c appendCall, now bootclock.Instant) []write {
	w.answerTime = now.Sub(c.sent)
	var done []write
	for len(w.appends) > 0 && w.appends[0].sequence <= c.sequence {
		a := w.appends[0]
		w.established = w.established || len(a.records) > 0
		done = append(done, a.writes...)
		w.appends = w.appends[1:]
	}
	if len(w.appends) > 0 && w.appends[0].overtook {
		w.appends[0].overtook, w.appends[0].retryAt = false, now
	}
	return done
}

// failed processes a call that was not executed or got no answer. The append is sent again:
// after a delay, or, if the call overtook the append before it, once that is durable.
func (w *appendWindow) failed(c appendCall, overtook bool, now bootclock.Instant) {
	for _, a := range w.appends {
		if a.sequence == c.sequence {
			a.calls--
			a.retryAt, a.overtook = now.Add(retryDelay), overtook
		}
	}
}

// placeholderKey is a key that never has a value. Its deletion takes the place of the only record of
// an append, because an append without records may not use up its sequence number.
const placeholderKey = "none"

// dropLargest processes a call whose append the store has rejected: the largest record of the
// append is left out, and it is sent again. It returns the key of that record, or an empty one if
// one has been left out since the call was sent. ok is false if the largest record is smaller
// than minBytes.
//
// The store has executed no later append meanwhile, as the sequence number of this one is missing.
func (w *appendWindow) dropLargest(c appendCall, minBytes int, now bootclock.Instant) (key string, ok bool) {
	i := slices.IndexFunc(w.appends, func(a *pendingAppend) bool { return a.sequence == c.sequence })
	if i < 0 {
		return "", true // a repeated call has succeeded
	}
	a := w.appends[i]
	a.calls--
	a.retryAt, a.overtook = now, false
	if a.dropped != c.dropped {
		return "", true
	}
	largest := -1
	for i, r := range a.records {
		if r.KeyedSize() >= minBytes && (largest < 0 || r.KeyedSize() > a.records[largest].KeyedSize()) {
			largest = i
		}
	}
	if largest < 0 {
		return "", false
	}
	key = a.records[largest].Key
	a.records = slices.Delete(slices.Clone(a.records), largest, largest+1) // calls in flight use the slice
	if len(a.records) == 0 {
		a.records = []durable.Record{{Key: placeholderKey}}
	}
	a.dropped++
	return key, true
}

// oldest returns when the oldest pending append was first sent, and false if there is none.
func (w *appendWindow) oldest() (bootclock.Instant, bool) {
	if len(w.appends) == 0 || w.appends[0].since == 0 {
		return 0, false
	}
	return w.appends[0].since, true
}
