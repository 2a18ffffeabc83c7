package scheduler

import (
	"testing"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// After a change of leader, a run whose attempt is below the highest of its step may still
// be the task's only run. Starting the task again would run it twice.
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
		t.Errorf("got starts %v after the change of leader, want none: both tasks run", got)
	}
	if got := len(a.running) + len(b.running); got != 2 {
		t.Errorf("got %d runs, want 2", got)
	}
}

// A task whose run no agent has reported may be running on a worker of an earlier leader
// until that worker's agent has reported or its leases have expired. Starting the task
// earlier could run it twice.
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
		t.Errorf("got starts %v, want none before the disconnected agent's leases have expired", got)
	}
	f.advance(testMaxLeaseDuration + 1)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("got starts %v, want the task of the disconnected agent", got)
	}
}

func anyRun(a *fakeAgent) string {
	for task := range a.running {
		return task
	}
	return ""
}

// An agent whose runner is permanently lost never lists its runs. It must not block all
// recovered jobs forever.
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

// A task that is lost before its start was sent must be removed from the pending orders.
// Otherwise the process crashed when the orders were taken.
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

// A recovered gang whose first member fits nowhere must still skip the attempts that an
// earlier leader may have ordered without recording them. A runner would take a start of
// such an attempt for a repetition or reject it as superseded.
func TestRecoveredGangSkipsAttemptsAlsoAfterFailedPlacement(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 1)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(2), Gang: true})
	f.tick()
	f.startNewLeader()
	f.scheduler.Attach("a", f.now)
	f.agents["a"].sequence = 0
	f.report("a")
	if got := f.tick(); len(got) != 0 {
		t.Fatalf("got starts %v on a worker that is too small, want none", got)
	}
	b := f.addWorker("b", 4)
	if got := f.tick(); len(got) != 2 {
		t.Fatalf("got starts %v, want both members", got)
	}
	if got, want := b.running[string(id)+".0.0.0"].GetAttempt(), int64(f.term*attemptsPerTerm+1); got != want {
		t.Errorf("attempt of the first start by the new leader: got %d, want %d", got, want)
	}
}

// No task may be ordered from an agent that has no lease: it rejects every start, and the
// starts are repeated until it is granted one.
func TestNothingStartsWithoutALease(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	f.scheduler.Attach("a", f.now)
	f.scheduler.ApplyReport("a", &wire.WorkerReport{Sequence: 1, Runner: f.agents["a"].runner}, f.now)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts before the lease: got %v, want none", got)
	}
	f.agents["a"].sequence = 1
	f.report("a")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the lease: got %v, want one", got)
	}
}

// An agent repeats its rejections until a leader has received them. The rejection of a start
// that an earlier leader ordered must not release the same task's start of this leader, which
// the agent carries out: the task would run twice.
func TestRejectionOfEarlierLeadersOrderKeepsTheStart(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	var rejected *wire.RejectedStart
	for range 3 { // leaders that order the same task and record nothing
		f.attachToNewLeader("a")
		starts := f.takeStarts()["a"]
		if len(starts) != 1 {
			t.Fatalf("starts in term %d: got %v, want one", f.term, starts)
		}
		if rejected != nil { // repeated before the agent has received the new order
			f.agents["a"].sequence++
			f.scheduler.ApplyReport("a", &wire.WorkerReport{Sequence: f.agents["a"].sequence, Runner: f.agents["a"].runner, Rejected: []*wire.RejectedStart{rejected}}, f.now)
			f.wantNoStart("after the rejection of an earlier leader's order")
		}
		rejected = &wire.RejectedStart{Task: string(id) + ".0.0.0", Attempt: int64(starts[0].Attempt), Reason: "late"}
	}
}

// The attempts of a task must not fall when the leader changes, since a runner rejects a
// start that is not higher than one that it has stopped or ended.
func TestAttemptsRiseWithEachLeader(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1), LongRunning: true})
	last := workflow.Attempt(0)
	for range 4 {
		for _, start := range f.takeStarts()["a"] {
			if start.Attempt <= last {
				t.Errorf("attempt in term %d: got %d, want more than %d", f.term, start.Attempt, last)
			}
			last = start.Attempt
		}
		f.attachToNewLeader("a")
	}
}
