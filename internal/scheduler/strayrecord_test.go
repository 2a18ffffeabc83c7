package scheduler

import (
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

const testStrayLease = testMaxStrayLeaseDuration

// restartRunner runs one task on one of the workers "a" and "b", whose runner then restarts under
// its id and may hold a stray lease, as its agent reports. It returns the fixture and that worker.
func restartRunner(t *testing.T) (*fixture, units.WorkerID) {
	t.Helper()
	f := newFixture(t)
	f.addWorker("a", 1)
	f.addWorker("b", 1)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	for _, id := range f.tick() {
		f.agents[id].runner.BornUnixMs, f.agents[id].runner.StrayLeaseMs = 2, testStrayLease.Milliseconds()
		f.report(id)
		return f, id
	}
	t.Fatal("no start was ordered")
	return nil, ""
}

// attachOthers lets all agents but the one that is lost report to a new leader.
func (f *fixture) attachOthers(lost units.WorkerID) {
	for id, a := range f.agents {
		if id != lost {
			f.scheduler.Attach(id, f.now)
			a.sequence = 0
			f.report(id)
		}
	}
}

// strayRecords returns the workers with a record of a stray lease.
func (f *fixture) strayRecords() []string {
	var ids []string
	for key := range f.records {
		if id, ok := strings.CutPrefix(key, strayPrefix); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

func (f *fixture) wantStrayRecords(when string, want int) {
	f.Helper()
	if got := f.strayRecords(); len(got) != want {
		f.Errorf("records of stray leases %s: got %v, want %d", when, got, want)
	}
}

// Guards against a record of a runner that certainly holds no such lease any more: the next
// leader would hold back tasks for nothing.
func TestRecordOfAStrayLeaseIsDeleted(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(state *wire.RunnerState)
		elapsed time.Duration // before the next report
		want    int
	}{
		"the lease goes on": {func(*wire.RunnerState) {}, 0, 1},
		"none is reported":  {func(state *wire.RunnerState) { state.StrayLeaseMs = 0 }, 0, 0},
		"another runner":    {func(state *wire.RunnerState) { state.Id, state.StrayLeaseMs = "other", 0 }, 0, 1},
		"the one before has ended": {func(state *wire.RunnerState) {
			state.Id, state.StrayLeaseMs, state.PredecessorEnded = "other", 0, state.Id
		}, 0, 0},
		"the runner is silent":       {func(state *wire.RunnerState) { state.Silent, state.StrayLeaseMs = true, 0 }, 0, 1},
		"a new process of the agent": {func(state *wire.RunnerState) { state.FoundYoung = true }, 0, 1},
		"the lease has ended":        {func(state *wire.RunnerState) { state.Silent, state.StrayLeaseMs = true, 0 }, testStrayLease + time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, id := restartRunner(t)
			f.wantStrayRecords("after the restart", 1)
			c.change(f.agents[id].runner)
			f.advance(c.elapsed)
			f.report(id)
			f.tick()
			f.wantStrayRecords("afterwards", c.want)
		})
	}
}

// Guards against a report that may lack runs and is taken as proof that no stray lease is left.
func TestPartialReportKeepsTheRecordOfAStrayLease(t *testing.T) {
	f, id := restartRunner(t)
	f.agents[id].runner.StrayLeaseMs = 0
	f.scheduler.ApplyReport(id, &wire.WorkerReport{Sequence: f.agents[id].sequence + 1, Runner: f.agents[id].runner, Partial: true}, f.now)
	f.flush()
	f.wantStrayRecords("after a partial report", 1)
}

// Guards against a wait for 11 s after each machine that joins and is lost with the leader: a new
// process of an agent finds a runner that has just started, and nobody knows of a life before. And
// against a restart that the leader does see, by the runner's id, and that is not recorded.
func TestStrayLeaseOfAnUnknownLifeIsNotRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		known string // runner of the life before; empty if there is none
		want  int
	}{
		"a new machine":                {"", 0},
		"another runner before":        {"other", 0},
		"a life before of the same id": {"runner-a", 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			state := &wire.RunnerState{Id: "runner-a", BornUnixMs: 2, Service: "desk", Domain: "north", Millicores: 1000, MemoryBytes: 64 << 30,
				StrayLeaseMs: testStrayLease.Milliseconds(), FoundYoung: true}
			if c.known != "" {
				f.addWorker("a", 1).runner.Id = c.known
				f.report("a")
			}
			f.agents["a"] = &fakeAgent{running: map[string]*wire.RunRow{}, runner: state}
			f.scheduler.Attach("a", f.now)
			f.report("a")
			f.wantStrayRecords("after the report of the new agent", c.want)
			if got := f.scheduler.workers["a"].latestLeaseEnd.Sub(f.now.Boot); got != testStrayLease {
				t.Errorf("end of the leases by the present leader: got %v, want %v", got, testStrayLease)
			}
			f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
			if got := f.tick(); len(got) != 1 {
				t.Errorf("starts on the worker: got %v, want one", got)
			}
		})
	}
}

// Guards against a start that gets the stray lease while only this leader knows of that lease:
// if leader and agent are lost, the next leader starts the task beside the run.
func TestNothingStartsBeforeAStrayLeaseIsDurable(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 2)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	a.runner.BornUnixMs, a.runner.StrayLeaseMs = 2, testStrayLease.Milliseconds()
	a.sequence++
	report := &wire.WorkerReport{Sequence: a.sequence, Runner: a.runner}
	f.scheduler.ApplyReport("a", report, f.now)
	f.scheduler.ExtendLease("a", report, f.now)
	f.wantNoStart("before the record is written")
	records, flush, err := f.scheduler.Flush(f.now)
	if err != nil || len(records) == 0 {
		t.Fatalf("flush after the report: got %d records and error %v, want a record", len(records), err)
	}
	f.scheduler.CommitFlush(flush - 1)
	f.wantNoStart("before the record is durable")
	f.scheduler.CommitFlush(flush)
	if got := f.takeStarts(); len(got["a"]) != 1 {
		t.Errorf("starts with a durable record: got %v, want one", got)
	}
}

// Guards against a record that covers an earlier restart only: the runner restarts again, and may
// hold a lease that lasts longer than the recorded one.
func TestLongerStrayLeaseIsRecordedBeforeAnythingStarts(t *testing.T) {
	f, id := restartRunner(t)
	f.advance(time.Second)
	a := f.agents[id]
	a.runner.BornUnixMs, a.running = 3, map[string]*wire.RunRow{}
	a.sequence++
	f.scheduler.ApplyReport(id, &wire.WorkerReport{Sequence: a.sequence, Runner: a.runner}, f.now)
	if f.scheduler.strayLeaseIsDurable(id) {
		t.Error("stray lease after another restart: got durable, want not before its record is")
	}
	f.flush()
	if !f.scheduler.strayLeaseIsDurable(id) {
		t.Error("stray lease after its record was written: got not durable, want durable")
	}
	f.startNewLeader()
	f.attachOthers(id)
	f.advance(testStrayLease - time.Millisecond)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the longer lease may last: got %v, want none", got)
	}
}

// Guards against appends without need: reports on the same lease that were under way for
// different times must not each cause a record.
func TestReportsOnOneStrayLeaseCauseFewRecords(t *testing.T) {
	f, id := restartRunner(t)
	written := 0
	for elapsed := 100 * time.Millisecond; elapsed < testStrayLease-time.Second; elapsed += 100 * time.Millisecond {
		f.advance(100 * time.Millisecond)
		a := f.agents[id]
		a.sequence++
		a.runner.StrayLeaseMs = (testStrayLease - elapsed + time.Duration(elapsed.Milliseconds()/100%3)*60*time.Millisecond).Milliseconds()
		f.scheduler.ApplyReport(id, &wire.WorkerReport{Sequence: a.sequence, Runner: a.runner}, f.now)
		f.scheduler.Tick(f.now, true)
		written += len(f.scheduler.dirtyStrayLeases)
		if elapsed < strayRecordInterval && written > 0 {
			t.Fatalf("records %v after the first one: got one, want none before %v", elapsed, strayRecordInterval)
		}
		f.flush()
	}
	if want := int(testStrayLease/strayRecordInterval) + 1; written == 0 || written > want {
		t.Errorf("records of one stray lease: got %d, want 1 to %d", written, want)
	}
}
