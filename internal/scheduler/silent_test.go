package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// silence submits a task that lasts to two workers, and makes the runner of the one that runs
// it stop answering. It returns the fixture and that worker.
func silence(t *testing.T) (*fixture, units.WorkerID) {
	f := newFixture(t)
	f.addWorker("a", 8)
	f.addWorker("b", 8)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1), LongRunning: true})
	started := f.tick()
	f.report("a")
	f.report("b")
	for _, id := range started {
		f.agents[id].runner.Silent = true
		return f, id
	}
	t.Fatal("no start was ordered")
	return nil, ""
}

// Reports of a silent runner must not defer the end of its leases, and an agent that can't
// tell when they end must not defer it either: the task would be down for as long.
func TestSilentRunnerIsGivenUpAfterItsLastLease(t *testing.T) {
	f, silent := silence(t)
	for range 6 {
		f.advance(time.Second)
		f.report(silent)
		if got := f.tick(); len(got) != 0 {
			t.Fatalf("starts while the lease may last: got %v, want none", got)
		}
	}
	f.advance(testMaxLeaseDuration - 6*time.Second + time.Millisecond)
	f.report(silent)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the last lease: got %v, want one", got)
	}
}

// A runner that has restarted under its id may hold a lease that no grant bounds. Given up
// before that ends, its task would run twice at the same time.
func TestStrayLeaseDefersTheEndOfAWorker(t *testing.T) {
	const stray = 10 * time.Second
	f, silent := silence(t)
	f.agents[silent].runner.StrayLeaseMs = stray.Milliseconds()
	f.report(silent)
	f.scheduler.Detach(silent)
	f.advance(stray - time.Millisecond)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the stray lease may last: got %v, want none", got)
	}
	f.advance(2 * time.Millisecond)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the stray lease: got %v, want one", got)
	}
}

// A run that was listed as done before its runner fell silent must not be released without its
// end: the task would run again.
func TestEndsOfASilentRunnerCount(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	f.addWorker("b", 8)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	worker := units.WorkerID("a")
	for _, worker = range f.tick() {
		a = f.agents[worker]
	}
	f.report(worker)
	a.end(anyRun(a), workflow.Done)
	a.runner.Silent = true
	f.report(worker)
	f.advance(2 * testMaxLeaseDuration)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts after the leases of the silent runner: got %v, want none", got)
	}
	f.wantState(id, workflow.Completed)
}

// The record of an absence keeps a worker without a lease until it is deleted. A runner that
// has only been silent for a moment must get its next lease at once.
func TestSilentRunnerIsNoAbsence(t *testing.T) {
	f, silent := silence(t)
	f.advance(2 * minAbsence)
	f.report(silent)
	if got := f.scheduler.Absences(f.now); len(got) != 0 {
		t.Errorf("absences while the runner is silent: got %v, want none", got)
	}
	f.scheduler.Detach(silent)
	if got := f.scheduler.Absences(f.now); len(got) != 1 {
		t.Errorf("absences after the end of the session: got %v, want one", got)
	}
}
