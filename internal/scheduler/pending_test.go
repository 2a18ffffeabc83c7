package scheduler

import (
	"testing"

	"wasabihill.example/wasabihill/internal/workflow"
)

// The tests in this file guard against a job that is said to have begun although none of
// its tasks has started, because its start order went to a worker that does not answer.

func (f *fixture) wantPending(when string, want int) {
	f.Helper()
	if got := f.scheduler.PendingJobs("quick"); got != want {
		f.Errorf("pending jobs %s: got %d, want %d", when, got, want)
	}
}

// A placed task has not started before its agent lists the run.
func TestJobIsPendingUntilARunIsListed(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	f.wantPending("while the start is on its way", 1)
	f.wantState(id, workflow.Queued)
	a.running[anyRun(a)].Starting = true
	f.report("a")
	f.wantPending("while the runner has not confirmed the start", 1)
	a.running[anyRun(a)].Starting = false
	f.report("a")
	f.wantPending("after the run has started", 0)
	f.wantState(id, workflow.Running)
}

// A rejected start begins nothing.
func TestJobIsPendingAfterARejectedStart(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 8)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	for _, starts := range f.takeStarts() {
		f.reportLate("a", starts[0])
	}
	f.wantPending("after a rejected start", 1)
	f.wantState(id, workflow.Queued)
}

// A run may end before a report has listed it.
func TestJobHasBegunWhenOnlyItsEndIsReported(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.tick()
	a.end(anyRun(a), workflow.Done)
	for _, row := range a.running {
		row.Starting = true
	}
	f.report("a")
	f.wantPending("after the end of a run", 0)
	f.wantState(id, workflow.Running)
}
