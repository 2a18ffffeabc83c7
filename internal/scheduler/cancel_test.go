package scheduler

import (
	"testing"

	"wasabihill.example/wasabihill/internal/workflow"
)

// A repeated cancellation must wait for the record of the first one. It was once
// answered immediately while the store was down, and the next leader ran the job again.
func TestRepeatedCancelWaitsForItsRecord(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1), LongRunning: true})
	f.tick()
	f.report("a")
	first := f.scheduler.Cancel(id, f.now)
	if second := f.scheduler.Cancel(id, f.now); first == 0 || second != first {
		t.Errorf("flush of the second cancel: got %d, want that of the first, %d", second, first)
	}
	f.scheduler.Tick(f.now, true)
	_, flush, err := f.scheduler.Flush(f.now)
	if err != nil {
		t.Fatal(err)
	}
	if got := f.scheduler.Cancel(id, f.now); got != flush {
		t.Errorf("flush of a cancel while the record is being written: got %d, want %d", got, flush)
	}
	f.wantState(id, workflow.Running)
	f.scheduler.CommitFlush(flush)
	if got := f.scheduler.Cancel(id, f.now); got != 0 {
		t.Errorf("flush of a cancel after its record is durable: got %d, want 0", got)
	}
	f.wantState(id, workflow.Cancelled)
}

// Runs of a cancelled job must be stopped, including those that an agent still lists.
func TestCancelStopsRuns(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	id := f.submit("quick", workflow.Step{Count: 3, Size: cores(1), LongRunning: true})
	f.tick()
	f.scheduler.Cancel(id, f.now)
	f.tick()
	if got := len(a.running); got != 0 {
		t.Errorf("runs after the cancel: got %d, want 0", got)
	}
}
