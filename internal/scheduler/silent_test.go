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
