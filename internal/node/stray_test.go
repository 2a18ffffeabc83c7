package node

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/bootclock"
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
