package scheduler

import (
	"testing"

	"wasabihill.example/wasabihill/internal/workflow"
)

// Guards against a takeover that waits for a whole lease although the agent says that no run is
// left on its silent runner.
func TestTakeoverDoesNotWaitForAnEmptyRunner(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 1)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	f.startNewLeader()
	f.scheduler.Attach("a", f.now)
	a.sequence, a.runner.Silent, a.runner.Empty = 0, true, true
	f.report("a")
	f.addWorker("b", 1)
	if got := f.tick(); len(got) != 1 || f.scheduler.hasUnknownRuns() {
		t.Errorf("after the report of an empty runner: got starts %v, unknown runs %t; want one, none", got, f.scheduler.hasUnknownRuns())
	}
}

// Guards against a task that stays down for good: its start was sent and never acknowledged, and
// the runner falls silent.
func TestUnacknowledgedStartEndsWithTheLease(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 1)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.scheduler.Tick(f.now, true)
	if got := f.scheduler.TakeOrders(); len(got) != 1 {
		t.Fatalf("orders: got %d, want one", len(got))
	}
	a.runner.Silent = true
	f.report("a")
	f.addWorker("b", 1)
	f.advance(testMaxLeaseDuration)
	f.report("a")
	f.report("b")
	if got := f.tick(); len(got) != 0 {
		t.Fatalf("starts at the end of the lease: got %v, want none", got)
	}
	f.advance(1)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the lease: got %v, want one", got)
	}
}
