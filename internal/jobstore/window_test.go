package jobstore

import (
	"errors"
	"slices"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
)

// storeModel replays a store to a window: each call is executed when it is sent, in order of
// the sequence numbers, and answered after a time, or never.
type storeModel struct {
	window   appendWindow
	answer   time.Duration
	loses    func(call int) bool
	resets   func(call int) bool // the call is not executed and fails at once
	failures int
	calls    int
	next     uint64 // sequence number that the store expects
	replies  []modelReply
	durable  map[uint64]time.Duration // when each append was known to be durable, from its arrival
	arrived  map[uint64]bootclock.Instant
}

type modelReply struct {
	at   bootclock.Instant
	call appendCall
	err  error
}

var errOrder = errors.New("out of order")

// run replays records that arrive at the given interval for a time.
func (m *storeModel) run(interval, duration time.Duration) {
	m.next, m.durable, m.arrived = 1, make(map[uint64]time.Duration), make(map[uint64]bootclock.Instant)
	var queued []bootclock.Instant
	sequence := uint64(0)
	begin := bootclock.Instant(time.Hour)
	for now, last := begin, begin; now.Sub(begin) < duration+3*time.Second; now = now.Add(time.Millisecond) {
		if now.Sub(begin) < duration && now.Sub(last) >= interval {
			queued, last = append(queued, now), now
		}
		if ok, _ := m.window.mayAdd(now); ok && len(queued) > 0 {
			sequence++
			m.arrived[sequence] = queued[0]
			queued = nil
			m.window.add(&pendingAppend{sequence: sequence, records: make([]durable.Record, 1)})
		}
		for a, call := m.window.takeDue(now); a != nil; a, call = m.window.takeDue(now) {
			m.execute(now, call)
		}
		for len(m.replies) > 0 && !now.Before(m.replies[0].at) {
			r := m.replies[0]
			m.replies = m.replies[1:]
			m.handle(r, now)
		}
	}
}

func (m *storeModel) execute(now bootclock.Instant, call appendCall) {
	m.calls++
	r := modelReply{now.Add(m.answer), call, nil}
	if m.resets != nil && m.resets(m.calls) {
		m.replies = append(m.replies, modelReply{now, call, errors.New("reset")})
		return
	}
	switch {
	case call.sequence == m.next:
		m.next++
	case call.sequence > m.next:
		r.err = errOrder
	}
	if m.loses != nil && m.loses(m.calls) {
		r.at, r.err = now.Add(2*time.Second), errors.New("no answer")
	}
	m.replies = append(m.replies, r)
	slices.SortStableFunc(m.replies, func(a, b modelReply) int { return int(a.at - b.at) })
}

func (m *storeModel) handle(r modelReply, now bootclock.Instant) {
	if r.err != nil {
		m.failures++
		m.window.failed(r.call, r.err == errOrder, now)
		return
	}
	before := m.window.appends
	m.window.succeeded(r.call, now)
	for _, a := range before[:len(before)-len(m.window.appends)] {
		m.durable[a.sequence] = now.Sub(m.arrived[a.sequence])
	}
}

func (m *storeModel) longest() time.Duration {
	longest := time.Duration(0)
	for _, d := range m.durable {
		longest = max(longest, d)
	}
	return longest
}

// Guards against records that wait for two answers of a slow store: the wait is one answer and
// the spacing of the appends.
func TestRecordWaitsForAboutOneAnswer(t *testing.T) {
	for _, answer := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		m := storeModel{answer: answer}
		m.run(10*time.Millisecond, 8*time.Second)
		delete(m.durable, 1) // nothing else is in flight beside the first append of a term
		delete(m.durable, 2)
		if got, want := m.longest(), answer+max(2*minSpacing, answer/2); got > want || len(m.durable) == 0 {
			t.Errorf("answers after %v: got a record that waits %v, want at most %v", answer, got, want)
		}
		if len(m.window.appends) != 0 {
			t.Errorf("answers after %v: got %d appends that are never durable, want none", answer, len(m.window.appends))
		}
	}
}

// Guards against a lost answer that costs a whole timeout, for its record and all behind it.
func TestLostAnswerCostsLittle(t *testing.T) {
	m := storeModel{answer: 20 * time.Millisecond, loses: func(call int) bool { return call%3 == 0 }}
	m.run(10*time.Millisecond, 8*time.Second)
	if got, want := m.longest(), 2*minRepeatDelay+100*time.Millisecond; got > want {
		t.Errorf("got a record that waits %v, want at most %v", got, want)
	}
	if len(m.window.appends) != 0 {
		t.Errorf("got %d appends that are never durable, want none", len(m.window.appends))
	}
}

// Guards against calls without need: while the store answers fast, one append is in flight.
func TestFastStoreGetsOneAppendAtATime(t *testing.T) {
	m := storeModel{answer: 20 * time.Millisecond}
	m.run(time.Millisecond, 2*time.Second)
	if got, want := m.calls, 105; got > want {
		t.Errorf("got %d calls in 2 s, want at most %d", got, want)
	}
}

// Guards against an append that counts as durable because of a later one, although the store
// does not check the order of the first appends of an epoch.
func TestFirstAppendOfAnEpochIsAlone(t *testing.T) {
	w := appendWindow{}
	now := bootclock.Instant(time.Hour)
	w.add(&pendingAppend{sequence: 1}) // the fence has no records
	_, fence := w.takeDue(now)
	w.succeeded(fence, now)
	w.add(&pendingAppend{sequence: 2, records: make([]durable.Record, 1)})
	_, first := w.takeDue(now)
	if ok, at := w.mayAdd(now.Add(time.Minute)); ok || at != 0 {
		t.Errorf("got %t at %v, want no append beside the first one of the epoch", ok, at)
	}
	w.succeeded(first, now)
	w.add(&pendingAppend{sequence: 3, records: make([]durable.Record, 1)})
	w.takeDue(now)
	if ok, _ := w.mayAdd(now.Add(time.Minute)); !ok {
		t.Error("got no append beside one that is in flight, want one")
	}
}

// Guards against a term that ends because an append overtook the one before it.
func TestOvertakingAppendIsSentAgain(t *testing.T) {
	w := appendWindow{established: true}
	now := bootclock.Instant(time.Hour)
	for sequence := uint64(1); sequence <= 2; sequence++ {
		w.add(&pendingAppend{sequence: sequence, records: make([]durable.Record, 1)})
	}
	_, first := w.takeDue(now)
	_, second := w.takeDue(now)
	if !first.first || second.first {
		t.Fatalf("got first %t and %t, want only the oldest to be the first", first.first, second.first)
	}
	w.failed(second, true, now)
	w.succeeded(first, now)
	if a, again := w.takeDue(now); a == nil || a.sequence != 2 || !again.first {
		t.Errorf("got %+v, %+v, want append 2 again", a, again)
	}
}

// Guards against a failed call that makes every later append overtake the one before it: each
// is then rejected once, and sent again just after the next one was sent.
func TestOneFailedCallDoesNotSpread(t *testing.T) {
	const failing = 40
	m := storeModel{answer: 20 * time.Millisecond}
	m.resets = func(call int) bool { return call == failing }
	m.run(10*time.Millisecond, 8*time.Second)
	if got, want := m.failures, maxAppends; got > want {
		t.Errorf("got %d failed calls after one reset, want at most %d", got, want)
	}
	if len(m.window.appends) != 0 {
		t.Errorf("got %d appends that are never durable, want none", len(m.window.appends))
	}
}
