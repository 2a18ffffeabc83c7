package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
)

// An agent may learn of a restart under the same id by an announcement, report it and be killed
// before the runner has answered. Until the next agent's first call, late calls can still give
// the runner a lease by the clock of the life before. Guards against a leader that takes the
// incarnation for known then: after the loss of that agent, too, the task starts beside its run.
func TestStrayLeaseOfAnIncarnationThatHasNotAnsweredCounts(t *testing.T) {
	const stray = 11 * time.Second
	f := newFixture(t)
	a := f.addWorker("a", 1)
	a.runner.BornUnixMs, a.runner.Silent, a.runner.StrayLeaseMs = 2, true, stray.Milliseconds()
	f.report("a")
	f.scheduler.Detach("a")

	f.advance(8 * time.Second) // no agent calls the runner meanwhile
	a.sequence, a.runner.Silent, a.runner.FoundYoung = 0, false, true
	f.scheduler.Attach("a", f.now)
	f.report("a")
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	if got := f.tick(); len(got) != 1 {
		t.Fatalf("starts on the worker: got %v, want one", got)
	}
	f.report("a")
	f.scheduler.Detach("a")

	f.addWorker("b", 1)
	f.advance(stray - time.Second)
	f.report("b")
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the run may go on: got %v, want none", got)
	}
	f.advance(2 * time.Second)
	f.report("b")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the stray lease: got %v, want one", got)
	}
}
