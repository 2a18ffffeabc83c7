package scheduler

import (
	"testing"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// A run that has ended unseen and was started again completes its job while the second run
// goes on. Until the second run has ended as well, its worker must get no task in its place:
// the worker would hold more than its capacity.
func TestRunOfACompletedJobKeepsItsRoomUntilItEnds(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 1)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	run := anyRun(a)
	delete(a.running, run)
	f.report("a") // the run is lost
	f.tick()
	f.report("a")
	b := f.addWorker("b", 0)
	b.ended = []*wire.EndRow{{Number: 1, Task: run, Attempt: 1, End: string(workflow.Done)}}
	f.report("b")
	f.report("a") // the second run has not stopped yet
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the second run goes on: got %v, want none", got)
	}
	f.wantState(id, workflow.Completed)
	f.report("a") // it has ended now
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the end of the second run: got %v, want one", got)
	}
}
