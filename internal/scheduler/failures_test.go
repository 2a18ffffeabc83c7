package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// A leader that is cut off may order a second run before the failure of the
// first is durable. Its successor hears of the second failure first; counting
// only the highest attempt allowed a run beyond the queue's limit.
func TestFailuresInAnyOrderCount(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	f.addWorker("b", 4)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.startNewLeader()
	for worker, attempt := range map[string]int64{"a": 2, "b": 1} {
		f.agents["a"].sequence, f.agents["b"].sequence = 0, 0
		f.agents[units.WorkerID(worker)].ended = []*wire.EndRow{{Number: 1, Task: string(id) + ".0.0.0", Attempt: attempt, End: string(workflow.Errored)}}
	}
	for _, worker := range []string{"a", "b"} { // the later run's end first
		f.scheduler.Attach(units.WorkerID(worker), f.now)
		f.report(units.WorkerID(worker))
	}
	if got := f.tick(); len(got) != 0 {
		t.Errorf("got starts %v after two failures, want none", got)
	}
	f.wantState(id, workflow.Failed)
}

// The same end is reported until it is recorded; it counts once.
func TestRepeatedEndCountsOnce(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	a.end(anyRun(a), workflow.Errored)
	f.report("a")
	f.report("a")
	f.wantState(id, workflow.Running)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("got starts %v, want the second attempt", got)
	}
}

// A job whose runs always fail ends after as many attempts as its queue
// allows, and the state is shown only once it is durable.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	for range 2 {
		f.tick()
		a.end(anyRun(a), workflow.Errored)
		f.report("a")
	}
	f.wantState(id, workflow.Running)
	f.tick()
	f.wantState(id, workflow.Failed)
}

// A worker that fails everything is avoided; when most workers fail it is the
// work that is bad, and avoiding them would stop everything.
func TestWorkersAreNotAvoidedWhenMostFail(t *testing.T) {
	f := newFixture(t)
	for _, id := range []units.WorkerID{"a", "b", "c"} {
		f.addWorker(id, 4)
	}
	f.scheduler.workers["a"].avoid(f.now, time.Second)
	f.submit("quick", workflow.Step{Count: 3, Size: cores(1)})
	for task, worker := range f.tick() {
		if worker == "a" {
			t.Errorf("%s started on the worker that fails", task)
		}
	}
	f.scheduler.workers["b"].avoid(f.now, time.Second)
	f.scheduler.workers["c"].avoid(f.now, time.Second)
	f.submit("quick", workflow.Step{Count: 3, Size: cores(1)})
	if got := f.tick(); len(got) != 3 {
		t.Errorf("got starts %v while every worker is avoided, want three", got)
	}
}

// A runner that is born again under its id may hold a start that was on its way:
// the lists tell, not the new life alone. Starting the task elsewhere at once
// runs it twice.
func TestNewIncarnationMayHoldPendingStart(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 2)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.tick()
	f.addWorker("b", 2)
	held, lost := string(id)+".0.0.0", string(id)+".0.0.1"
	a.runner.BornUnixMs, a.runner.Silent = 2, true // its lists have not been read yet
	f.report("a")
	if again := f.tick(); len(again) > 0 {
		t.Errorf("started again before the lists were read: %v", again)
	}
	a.runner.Silent = false
	delete(a.running, lost)
	f.report("a")
	again := f.tick()
	if _, ok := again[held]; ok {
		t.Errorf("%s runs on the new incarnation and started again", held)
	}
	if _, ok := again[lost]; !ok {
		t.Errorf("%s is not listed and did not start again", lost)
	}
}
