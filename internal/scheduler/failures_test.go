package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// A partitioned leader may order a second run before the failure of the first one is
// durable, and the next leader may receive the second failure first. When only the
// highest attempt was counted, a task ran more often than its queue allows.
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
	for _, worker := range []string{"a", "b"} { // the end of the later run first
		f.scheduler.Attach(units.WorkerID(worker), f.now)
		f.report(units.WorkerID(worker))
	}
	if got := f.tick(); len(got) != 0 {
		t.Errorf("got starts %v after two failures, want none", got)
	}
	f.wantState(id, workflow.Failed)
}

// An end is reported until it is durable. Counting it more than once would fail the job
// too early.
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

// A job whose runs always fail must fail after the queue's maximum number of attempts.
// Clients must not see the state before it is durable.
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

// A worker on which all runs fail is avoided. If most workers are affected, the tasks are
// at fault, and avoiding the workers would stop all work.
func TestWorkersAreNotAvoidedWhenMostFail(t *testing.T) {
	f := newFixture(t)
	for _, id := range []units.WorkerID{"a", "b", "c"} {
		f.addWorker(id, 4)
	}
	f.scheduler.workers["a"].avoid(f.now, time.Second)
	f.submit("quick", workflow.Step{Count: 3, Size: cores(1)})
	for task, worker := range f.tick() {
		if worker == "a" {
			t.Errorf("%s started on worker a, which is avoided", task)
		}
	}
	f.scheduler.workers["b"].avoid(f.now, time.Second)
	f.scheduler.workers["c"].avoid(f.now, time.Second)
	f.submit("quick", workflow.Step{Count: 3, Size: cores(1)})
	if got := f.tick(); len(got) != 3 {
		t.Errorf("got starts %v while every worker is avoided, want three", got)
	}
}

// A runner that restarts under its id may have received a start that was in transit, so
// its lists of runs have to be read first. Starting the task elsewhere at once would run
// it twice.
func TestNewIncarnationMayRunPendingStart(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 2)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.tick()
	f.addWorker("b", 2)
	listed, lost := string(id)+".0.0.0", string(id)+".0.0.1"
	a.runner.BornUnixMs, a.runner.Silent = 2, true // its lists of runs have not been read yet
	f.report("a")
	if again := f.tick(); len(again) > 0 {
		t.Errorf("started again before the lists were read: %v", again)
	}
	a.runner.Silent = false
	delete(a.running, lost)
	f.report("a")
	again := f.tick()
	if _, ok := again[listed]; ok {
		t.Errorf("%s started again although the new incarnation runs it", listed)
	}
	if _, ok := again[lost]; !ok {
		t.Errorf("%s did not start again although no runner lists it", lost)
	}
}
