package scheduler

import (
	"testing"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// reportPartial sends what a new agent knows from a truncated list: the given runs, ends, and
// that others may be missing. It extends the lease.
func (f *fixture) reportPartial(id units.WorkerID, running []*wire.RunRow, ended []*wire.EndRow) {
	a := f.agents[id]
	a.sequence++
	report := &wire.WorkerReport{Sequence: a.sequence, Runner: a.runner, Running: running, Ended: ended, Partial: true}
	f.scheduler.ApplyReport(id, report, f.now)
	f.scheduler.ExtendLease(id, report, f.now)
}

// restartAgent begins a session with a new process of the agent.
func (f *fixture) restartAgent(id units.WorkerID) {
	f.scheduler.Detach(id)
	f.scheduler.Attach(id, f.now)
	f.agents[id].sequence = 0
}

// Guards against tasks that run again although they are done: the list of ends of a new
// agent was truncated, and the rest of them came with the next list.
func TestPartialReportReleasesNoTask(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 2)
	f.addWorker("b", 2)
	id := f.submit("quick", workflow.Step{Count: 4, Size: cores(1)})
	if got := f.tick(); len(got) != 4 {
		t.Fatalf("starts: got %v, want 4", got)
	}
	f.report("a")
	f.report("b")
	for len(a.running) > 0 {
		a.end(anyRun(a), workflow.Done)
	}
	f.restartAgent("a")
	f.reportPartial("a", nil, a.ended[:1])
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts after a report that lacks an end: got %v, want none", got)
	}
	if _, got := f.scheduler.DurableEnds("a"); got != 1 {
		t.Errorf("ends of the partial report that are durable: got up to %d, want 1, so that the runner lists the next", got)
	}
	f.report("a")
	for len(f.agents["b"].running) > 0 {
		f.agents["b"].end(anyRun(f.agents["b"]), workflow.Done)
	}
	f.report("b")
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts after the report with all ends: got %v, want none", got)
	}
	f.wantState(id, workflow.Completed)
}

// Guards against a task that stays down because its run is in no list: the first complete
// list decides.
func TestReportAfterAPartialOneDecides(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.tick()
	f.report("a")
	a.end(anyRun(a), workflow.Done)
	delete(a.running, anyRun(a)) // the second run is lost
	f.restartAgent("a")
	f.reportPartial("a", nil, a.ended)
	if got := f.tick(); len(got) != 0 {
		t.Fatalf("starts after a partial report: got %v, want none", got)
	}
	f.report("a")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after a complete report: got %v, want the lost task", got)
	}
}

// Guards against a new leader that starts a recovered task which has run on a worker whose
// list of ends it has not seen to the end.
func TestTakeoverWaitsForCompleteReport(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 1)
	f.addWorker("b", 1)
	f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.tick()
	f.startNewLeader()
	a.end(anyRun(a), workflow.Done)
	for _, id := range []units.WorkerID{"a", "b"} {
		f.scheduler.Attach(id, f.now)
		f.agents[id].sequence = 0
	}
	f.report("b")
	for range 3 { // the reports extend the lease, so its end does not decide either
		f.reportPartial("a", nil, nil)
		f.advance(testMaxLeaseDuration / 2)
		f.report("b")
		if got := f.tick(); len(got) != 0 {
			t.Fatalf("starts after a partial report: got %v, want none", got)
		}
		if !f.scheduler.hasUnknownRuns() {
			t.Fatal("after a partial report: got all runs of the earlier leader known, want some unknown")
		}
	}
	f.report("a")
	if got := f.tick(); len(got) != 0 || f.scheduler.hasUnknownRuns() {
		t.Errorf("after a complete report: got starts %v and unknown runs %t, want neither", got, f.scheduler.hasUnknownRuns())
	}
}

// Guards against a worker that gets tasks, or holds back those of others for good, while its
// agent has stopped reporting in the middle of the lists.
func TestPartialReportHoldsNoLongerThanTheLease(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 1)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	f.report("a")
	f.restartAgent("a")
	f.reportPartial("a", nil, nil)
	f.addWorker("b", 1)
	f.advance(testMaxLeaseDuration)
	f.report("b")
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts at the end of the lease: got %v, want none", got)
	}
	f.advance(1)
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the lease: got %v, want the task on the other worker", got)
	}
}

// Guards against a run that is given up because of its worker's last lease while a partial
// report lists it: the leader may not grant a lease yet to an agent that returns.
func TestRunInAPartialReportIsNotGivenUp(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 1)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	f.report("a")
	f.addWorker("b", 1)
	f.scheduler.Detach("a")
	f.advance(testMaxLeaseDuration + 1)
	f.report("b")
	f.scheduler.Attach("a", f.now)
	report := &wire.WorkerReport{Sequence: 1, Runner: a.runner, Running: runRows(a), Partial: true}
	f.scheduler.ApplyReport("a", report, f.now)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts beside the run in a partial report: got %v, want none", got)
	}
}
