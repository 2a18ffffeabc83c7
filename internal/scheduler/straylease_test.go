package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
)

// A runner that has restarted under its id may hold a lease that is longer than what is granted.
// Guards against a grant that shortens the leader's count of it: when the agent is killed then,
// the task starts elsewhere beside its run.
func TestGrantDoesNotShortenAStrayLease(t *testing.T) {
	const stray = 11 * time.Second
	f := newFixture(t)
	a := f.addWorker("a", 1)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	f.report("a")
	a.runner.BornUnixMs, a.runner.StrayLeaseMs = 2, stray.Milliseconds()
	f.report("a")
	f.scheduler.Detach("a")
	f.addWorker("b", 1)
	f.advance(stray - time.Second)
	f.report("b")
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the run on the restarted runner may go on: got %v, want none", got)
	}
	f.advance(2 * time.Second)
	f.report("b")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the stray lease: got %v, want one", got)
	}
}
