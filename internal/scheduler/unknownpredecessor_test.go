package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
)

// Guards against a next leader that takes the first list of a new agent process, which has found the
// next runner of its machine, for the end of the runs of a runner that neither has known.
func TestNextLeaderKeepsTheRunsOfAPredecessorThatNobodyKnows(t *testing.T) {
	f := startOnA(t)
	f.startNewLeader()
	f.agents["a"].sequence, f.agents["b"].sequence = 0, 0
	f.agents["a"].running = make(map[string]*wire.RunRow)
	f.agents["a"].runner = &wire.RunnerState{Id: "next", BornUnixMs: 2, Service: "desk", Domain: "north", Labels: []string{"a", "r1"},
		Millicores: 2000, MemoryBytes: 64 << 30, FoundYoung: true, StrayLeaseMs: testMaxStrayLeaseDuration.Milliseconds()}
	for id := range f.agents {
		f.scheduler.Attach(id, f.now)
		f.report(id)
	}
	f.advance(time.Second)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts of the next leader while the lease of the runner before may last: got %v, want none", got)
	}
}
