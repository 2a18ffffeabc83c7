package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against a record that only the next leader counts: when that one is lost before it has
// written anything, the task starts beside its run. Also against one that is never deleted.
func TestStrayLeaseSurvivesTwoChangesOfLeader(t *testing.T) {
	f, lost := restartRunner(t)
	f.startNewLeader()
	f.advance(time.Second)
	f.startNewLeader()
	f.attachOthers(lost)
	f.advance(testStrayLease - time.Second)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the run on the restarted runner may go on: got %v, want none", got)
	}
	f.wantStrayRecords("while the lease may last", 1)
	f.advance(time.Second + time.Millisecond)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the stray lease: got %v, want one", got)
	}
	f.wantStrayRecords("after the lease", 0)
}

// Guards against a lease that each leader counts anew, so that tasks stay down for good while
// leaders change: each one that leads for a few seconds records how much less is left.
func TestStrayLeaseEndsWhileLeadersChange(t *testing.T) {
	const term = 3 * time.Second
	f, lost := restartRunner(t)
	begin := f.now.Boot
	for len(f.strayRecords()) > 0 {
		f.startNewLeader()
		f.attachOthers(lost)
		for range term / time.Second {
			f.advance(time.Second)
			f.tick()
		}
		if got, want := f.now.Boot.Sub(begin), 2*testStrayLease; got > want {
			t.Fatalf("the lease is still recorded after %v, want it to have ended within %v", got, want)
		}
	}
	if got := f.now.Boot.Sub(begin); got < testStrayLease {
		t.Errorf("the record was deleted after %v, want it kept for the lease of %v", got, testStrayLease)
	}
}

// Guards against tasks that are held back for the whole lease by a record that says how much of
// it was left long ago.
func TestStrayLeaseIsRecordedAgainAsItShrinks(t *testing.T) {
	const elapsed = 5 * time.Second
	f, lost := restartRunner(t)
	for range elapsed / time.Second {
		f.advance(time.Second)
		f.tick()
	}
	f.startNewLeader()
	f.attachOthers(lost)
	f.advance(max(testStrayLease-elapsed, testMaxLeaseDuration) - time.Millisecond)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while a lease may last: got %v, want none", got)
	}
	f.advance(strayRecordInterval + strayRecordMargin + 2*time.Millisecond)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts of a leader that follows %v after the restart: got %v, want one", elapsed, got)
	}
}

// Guards against a recorded lease of an agent that registers only after the recovery.
func TestRecordedStrayLeaseOfAWorkerThatRegistersLater(t *testing.T) {
	f, id := restartRunner(t)
	f.agents = make(map[units.WorkerID]*fakeAgent)
	f.startNewLeader()
	f.scheduler.AddWorker(id, f.now)
	if got := f.scheduler.workers[id].latestLeaseEnd.Sub(f.now.Boot); got != testStrayLease {
		t.Errorf("end of the leases: got %v, want %v", got, testStrayLease)
	}
}

// Guards against a lease that is counted too short because the previous leader has written its
// record while this one was already recovering.
func TestRecordedStrayLeaseCountsFromTheReading(t *testing.T) {
	const recovery = 2 * time.Second
	s := New(testMaxLeaseDuration, time.Minute)
	s.MaxStrayLeaseDuration = testMaxStrayLeaseDuration
	f := newFixture(t)
	termBegin := f.now
	f.advance(recovery)
	s.Recover([]durable.Item{{Key: strayPrefix + "a", Value: []byte(`{"leaseLeftMs":9000}`)}}, f.now)
	s.RecoverWorker("a", testMaxLeaseDuration, termBegin)
	if got, want := s.workers["a"].latestLeaseEnd, f.now.Boot.Add(9*time.Second); got != want {
		t.Errorf("end of the leases: got %v after the reading, want %v", got.Sub(f.now.Boot), want.Sub(f.now.Boot))
	}
}

// Guards against a record of another program that holds back recovered tasks for longer than
// such a lease can last, or that ends the term.
func TestMalformedRecordOfAStrayLease(t *testing.T) {
	for value, c := range map[string]struct {
		skipped int
		want    time.Duration // until the leases of the worker end
	}{
		``:                              {1, testMaxLeaseDuration},
		`{`:                             {1, testMaxLeaseDuration},
		`null`:                          {1, testMaxLeaseDuration},
		`[11000]`:                       {1, testMaxLeaseDuration},
		`{"leaseLeftMs":"x"}`:           {1, testMaxLeaseDuration},
		`{"leaseLeftMs":-1}`:            {1, testMaxLeaseDuration},
		`{"leaseLeftMs":1e300}`:         {1, testMaxLeaseDuration},
		`{"leaseLeftMs":1}`:             {0, testMaxLeaseDuration},
		`{"leaseLeftMs":86400000}`:      {0, testMaxStrayLeaseDuration},
		"{\"leaseLeftMs\":1}\x00":       {1, testMaxLeaseDuration},
		`{"leaseLeftMs":` + maxMs + `}`: {0, testMaxStrayLeaseDuration},
	} {
		s := New(testMaxLeaseDuration, time.Minute)
		s.MaxStrayLeaseDuration = testMaxStrayLeaseDuration
		at := newFixture(t).now
		if got := s.Recover([]durable.Item{{Key: strayPrefix + "a", Value: []byte(value)}}, at); got != c.skipped {
			t.Errorf("%q: got %d skipped records, want %d", value, got, c.skipped)
		}
		s.RecoverWorker("a", testMaxLeaseDuration, at)
		if got := s.workers["a"].latestLeaseEnd.Sub(at.Boot); got != c.want {
			t.Errorf("%q: got leases that end after %v, want %v", value, got, c.want)
		}
	}
}

const maxMs = "9223372036854775807" // the largest 64-bit number

// Guards against a takeover that is slower, or starts that wait for a record, beside agents of an
// earlier version, which never tell of a stray lease.
func TestAgentsOfEarlierVersionsCauseNoRecord(t *testing.T) {
	f, lost := restartRunner(t)
	f.agents[lost].runner.StrayLeaseMs = 0
	f.records = map[string][]byte{JobKey("0000000000000001"): f.records[JobKey("0000000000000001")]}
	f.startNewLeader()
	f.attachOthers("")
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts of a new job: got %v, want one", got)
	}
	f.wantStrayRecords("with agents of an earlier version", 0)
	f.addWorker("c", 1)
	f.startNewLeader()
	f.attachOthers(lost)
	f.advance(testMaxLeaseDuration + time.Millisecond)
	if got := f.tick(); len(got) == 0 {
		t.Error("starts after the granted leases of the lost agent: got none, want its task")
	}
}

func FuzzStrayRecord(f *testing.F) {
	f.Add([]byte(`{"leaseLeftMs":11000}`))
	f.Add([]byte(`{"leaseLeftMs":` + maxMs + `}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(testMaxLeaseDuration, time.Minute)
		s.MaxStrayLeaseDuration = testMaxStrayLeaseDuration
		at := Timestamp{Boot: 1, Wall: time.UnixMilli(1_700_000_000_000)}
		s.Recover([]durable.Item{{Key: strayPrefix + "w", Value: data}}, at)
		s.RecoverWorker("w", testMaxLeaseDuration, at)
		if got := s.workers["w"].latestLeaseEnd.Sub(at.Boot); got < testMaxLeaseDuration || got > testMaxStrayLeaseDuration {
			t.Fatalf("got leases that end after %v, want %v to %v", got, testMaxLeaseDuration, testMaxStrayLeaseDuration)
		}
	})
}
