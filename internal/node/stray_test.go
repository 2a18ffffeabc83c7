package node

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
)

// strayReport is the report of an agent whose runner has restarted under its id and does not
// answer: it may hold a lease for the given time.
func strayReport(stray time.Duration) *wire.WorkerReport {
	runnerState := proto.Clone(deskReport().Runner).(*wire.RunnerState)
	runnerState.Silent, runnerState.StrayLeaseMs = true, stray.Milliseconds()
	return &wire.WorkerReport{Sequence: 1, Runner: runnerState}
}

// Guards against a next leader that counts the usual lease for a worker of which this leader knows
// that its runner may hold a longer one: the task starts elsewhere beside its run.
func TestNextLeaderWaitsForAStrayLease(t *testing.T) {
	const stray = 11 * time.Second
	store := newStoreWithAbsentAgent(t)
	first := recoverTerm(t, store, 1, 0)
	begin := bootclock.Now()
	first.scheduler.Attach("gone", now())
	first.scheduler.ApplyReport("gone", strayReport(stray), now())
	first.scheduler.Detach("gone")
	first.record(t, begin.Add(settleTime+time.Second))
	second := recoverTerm(t, store, 3, 1)
	if got := second.orderedStarts(begin.Add(stray - time.Second)); got != 0 {
		t.Errorf("starts of the next leader while the stray lease may last: got %d, want 0", got)
	}
}

// Guards against a record that says how long a lease lasts and is kept although the agent has
// reported a longer one meanwhile: the next leader would start the task beside its run.
func TestAbsenceIsRecordedAgainForAStrayLease(t *testing.T) {
	const stray = 11 * time.Second
	store := newStoreWithAbsentAgent(t)
	l := recoverTerm(t, store, 1, 0)
	ended := scheduler.Timestamp{Boot: bootclock.Now().Add(time.Minute), Wall: time.Now()}
	l.record(t, ended.Boot)
	l.scheduler.Attach("gone", ended)
	l.scheduler.ApplyReport("gone", strayReport(stray), ended)
	l.scheduler.Detach("gone")
	l.recordAbsences(scheduler.Timestamp{Boot: ended.Boot.Add(stray / 2), Wall: time.Now()})
	if got, want := l.absences["gone"].leaseLeft, stray/2; got < want {
		t.Errorf("recorded lease with %v of the stray lease left: got %v, want at least that", want, got)
	}
}

// Guards against two faults of a chain of leaders: the one between two others is lost before it has
// written anything, and the next one counts a granted lease only; or each one counts the lease
// anew, and a task stays down for good.
func TestStrayLeaseLastsThroughTwoChangesOfLeader(t *testing.T) {
	const stray = 11 * time.Second
	store := newStoreWithAbsentAgent(t)
	first := recoverTerm(t, store, 1, 0)
	first.scheduler.Attach("gone", now())
	first.scheduler.ApplyReport("gone", strayReport(stray), now())
	first.record(t, bootclock.Now())
	recoverTerm(t, store, 3, 1)
	third := recoverTerm(t, store, 5, 3)
	begin := bootclock.Now()
	if got := third.orderedStarts(begin.Add(stray - time.Second)); got != 0 {
		t.Errorf("starts of the third leader while the stray lease may last: got %d, want 0", got)
	}
	third.record(t, begin.Add(stray-time.Second))
	if !store.holds("stray/gone") {
		t.Error("record of the lease while it may last: got none, want one")
	}
	fourth := recoverTerm(t, store, 7, 5)
	if got := fourth.orderedStarts(begin.Add(5 * time.Second)); got != 1 {
		t.Errorf("starts of a leader that follows 1 s before the end of the lease: got %d, want 1 within 5 s", got)
	}
	fourth.record(t, begin.Add(5*time.Second))
	if store.holds("stray/gone") {
		t.Error("record of the lease after its end: got one, want none")
	}
}

// Guards against a record of an absence that another program has written and that holds back
// recovered tasks for longer than the longest lease, and against a limit that is below that.
func TestRecordedAbsenceLastsNoLongerThanTheLongestLease(t *testing.T) {
	const longest = 11 * time.Second
	for value, want := range map[string]time.Duration{
		`{"term":3,"leaseLeftMs":11000}`:               longest,
		`{"term":3,"leaseLeftMs":8500}`:                8500 * time.Millisecond,
		`{"term":3,"leaseLeftMs":9223372036854775807}`: longest,
	} {
		store := newStoreWithAbsentAgent(t)
		store.jobs = append(store.jobs, durable.Item{Key: absencePrefix + "gone", Value: []byte(value)})
		l := recoverTerm(t, store, 5, 3)
		begin := bootclock.Now()
		if got := l.orderedStarts(begin.Add(want - 500*time.Millisecond)); got != 0 {
			t.Errorf("%s: got %d starts before %v, want none", value, got, want)
		}
		if got := l.orderedStarts(begin.Add(want + 500*time.Millisecond)); got != 1 {
			t.Errorf("%s: got %d starts after %v, want 1", value, got, want)
		}
	}
}
