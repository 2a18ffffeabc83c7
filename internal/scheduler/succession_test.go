package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// startOnA runs a task on worker a, beside which there is b, and returns the fixture.
func startOnA(t *testing.T) *fixture {
	f := newFixture(t)
	f.addWorker("a", 2)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	if got := f.tick(); len(got) != 1 {
		t.Fatalf("starts: got %v, want one on a", got)
	}
	f.report("a")
	f.addWorker("b", 2)
	return f
}

// succeedOnA lets the agent of a report the next runner, and who has ended by its word.
func (f *fixture) succeedOnA(predecessorEnded string) {
	f.agents["a"].runner = &wire.RunnerState{Id: "next", BornUnixMs: 2, Service: "desk", Domain: "north", Labels: []string{"a", "r1"},
		Millicores: 2000, MemoryBytes: 64 << 30, PredecessorEnded: predecessorEnded, FoundYoung: true, StrayLeaseMs: 2 * testMaxLeaseDuration.Milliseconds()}
	f.agents["a"].running = make(map[string]*wire.RunRow)
	f.report("a")
}

// Guards against tasks that start elsewhere beside their runs, because a new process of the agent
// has found the next runner: it can't know whether the runs of the one before have ended.
func TestRunsOfAnUnknownPredecessorLastUntilTheirLease(t *testing.T) {
	f := startOnA(t)
	f.restartAgent("a")
	f.succeedOnA("")
	for waited := time.Duration(0); waited < testMaxLeaseDuration-time.Second; waited += time.Second {
		if got := f.tick(); len(got) != 0 {
			t.Fatalf("starts %v after the report of the next runner: got %v, want none", waited, got)
		}
		f.advance(time.Second)
		f.report("a")
		f.report("b")
	}
	f.advance(time.Second)
	f.report("a")
	f.report("b")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts once the leases of the runner before have ended: got %v, want one", got)
	}
}

// Guards against a release before the leases have ended by the word of an agent whose next runner is silent.
func TestSilentSuccessorReleasesNoRunOfItsPredecessor(t *testing.T) {
	f := startOnA(t)
	f.restartAgent("a")
	f.succeedOnA("")
	f.agents["a"].runner.Silent, f.agents["a"].runner.Empty = true, true
	f.report("a")
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts after the report of a silent successor: got %v, want none", got)
	}
}

// Guards against tasks that are down for the length of a lease although the agent says that the
// runs of the runner before have ended.
func TestRunsOfAnEndedPredecessorStartAtOnce(t *testing.T) {
	f := startOnA(t)
	f.succeedOnA("runner-a")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the end of the runner before: got %v, want one", got)
	}
}

// Guards against a worker that takes no task for the length of a lease although nothing ran there.
func TestSuccessorOfAnIdlePredecessorTakesTasks(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 2)
	f.succeedOnA("")
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts on the next runner: got %v, want one", got)
	}
}
