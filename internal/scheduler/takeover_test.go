package scheduler

import (
	"testing"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// A run whose attempt is lower than the highest of its step is still the
// task's only run after a takeover. Starting the task again would run it twice.
func TestTakeoverAdoptsRunOfLowerAttempt(t *testing.T) {
	f := newFixture(t)
	a, b := f.addWorker("a", 2), f.addWorker("b", 2)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(1), LongRunning: true, AntiAffinity: 1})
	if got := len(f.tick()); got != 2 {
		t.Fatalf("got %d starts, want 2", got)
	}
	// One task fails and runs again, so the step's highest attempt is 2.
	failed := string(id) + ".0.0.0"
	worker := a
	if b.running[failed] != nil {
		worker = b
	}
	worker.end(failed, workflow.Errored)
	f.report("a")
	f.report("b")
	if got := f.tick(); len(got) != 1 {
		t.Fatalf("got starts %v, want one", got)
	}
	f.startNewLeader()
	for id := range f.agents {
		f.scheduler.Attach(id, f.now)
		f.agents[id].sequence = 0
		f.report(id)
	}
	if got := f.tick(); len(got) != 0 {
		t.Errorf("got starts %v after the takeover, want none: both tasks run", got)
	}
	if got := len(a.running) + len(b.running); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
}

// Until every agent that an earlier leader knew has reported, or its leases
// have ended, a task without a known run may be running there.
func TestTakeoverWaitsForDisconnectedAgent(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 1)
	f.addWorker("b", 1)
	f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	if got := len(f.tick()); got != 2 {
		t.Fatalf("got %d starts, want 2", got)
	}
	f.startNewLeader()
	f.scheduler.Attach("a", f.now)
	f.agents["a"].sequence = 0
	f.report("a")
	f.agents["a"].end(anyRun(f.agents["a"]), workflow.Done)
	f.report("a")
	if got := f.tick(); len(got) != 0 {
		t.Errorf("got starts %v, want none before the silent agent's leases have ended", got)
	}
	f.advance(testMaxLeaseDuration + 1)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("got starts %v, want the task of the silent agent", got)
	}
}

func anyRun(a *fakeAgent) string {
	for task := range a.running {
		return task
	}
	return ""
}

// An agent whose runner is gone for good has nothing to report. It must not
// hold back every recovered job for ever.
func TestTakeoverDoesNotWaitForMissingRunner(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 1)
	f.addWorker("b", 1)
	f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.tick()
	f.startNewLeader()
	for _, id := range []units.WorkerID{"a", "b"} {
		f.scheduler.Attach(id, f.now)
		f.agents[id].sequence = 0
	}
	lost := f.agents["b"]
	lost.runner = nil
	lost.running = nil
	for range 8 {
		f.report("a")
		f.report("b")
		f.advance(testMaxLeaseDuration / 8)
	}
	f.advance(testMaxLeaseDuration / 8)
	f.agents["a"].end(anyRun(f.agents["a"]), workflow.Done)
	f.report("a")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("got starts %v, want the task of the missing runner", got)
	}
}

// A task that is lost before its start was sent must leave the orders: the
// process ended when they were taken.
func TestLostTaskLeavesPendingOrders(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.scheduler.Tick(f.now, true)
	a.runner = &wire.RunnerState{Id: "other", BornUnixMs: 2, Service: "desk", Domain: "north", Millicores: 4000, MemoryBytes: 64 << 30}
	f.report("a")
	for _, orders := range f.scheduler.TakeOrders() {
		if len(orders.Starts) != 0 {
			t.Errorf("got starts %v for a runner that was replaced, want none", orders.Starts)
		}
	}
	if got := f.tick(); len(got) != 2 {
		t.Errorf("got starts %v afterwards, want both tasks", got)
	}
}
