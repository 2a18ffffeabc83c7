package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
)

// A runner that has restarted under its id may hold a lease that is longer than what is granted,
// and only its agent and the leader that had the report know. Guards against a next leader that
// counts a granted lease for an agent that is killed at the change: the task starts elsewhere
// beside its run.
func TestNextLeaderWaitsForAStrayLease(t *testing.T) {
	const stray = 11 * time.Second
	f := newFixture(t)
	a := f.addWorker("a", 1)
	f.addWorker("b", 1)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	if len(a.running) == 0 {
		a = f.agents["b"]
	}
	a.runner.BornUnixMs, a.runner.StrayLeaseMs = 2, stray.Milliseconds()
	f.report("a")
	f.report("b")
	f.startNewLeader()
	for id, agent := range f.agents {
		if agent != a {
			f.scheduler.Attach(id, f.now)
			agent.sequence = 0
			f.report(id)
		}
	}
	f.advance(stray - time.Second)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the run on the restarted runner may go on: got %v, want none", got)
	}
}
