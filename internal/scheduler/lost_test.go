package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
)

// The tests in this file guard against the ways to lose an accepted job that
// docs/guarantees.md lists and that no other test covers.

// Only ends by the task's own fault count as attempts. A job whose runs are stopped, lapse
// or end with another member must not be shown as failed, and must run again.
func TestOnlyFailedRunsCountAsAttempts(t *testing.T) {
	for _, end := range []workflow.End{workflow.Stopped, workflow.LeaseExpired, workflow.GangBroken, workflow.GangIncomplete} {
		t.Run(string(end), func(t *testing.T) {
			f := newFixture(t)
			a := f.addWorker("a", 4)
			id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
			for range 5 { // the queue allows two attempts
				if got := f.tick(); len(got) != 1 {
					t.Fatalf("starts after an end %q: got %v, want one", end, got)
				}
				a.end(anyRun(a), end)
				f.report("a")
			}
			f.wantState(id, workflow.Running)
		})
	}
}

// Runs that are lost with their worker are no attempts either.
func TestLostRunsAreNoAttempts(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	for range 5 {
		if got := f.tick(); len(got) != 1 {
			t.Fatalf("starts after a lost run: got %v, want one", got)
		}
		f.report("a")
		delete(a.running, anyRun(a))
		f.report("a")
	}
	f.wantState(id, workflow.Running)
}

// A long-running task must start again however its run has ended.
func TestLongRunningTaskRestartsAfterAnyEnd(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	f.addWorker("b", 4)
	f.addWorker("c", 4)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1), LongRunning: true})
	for _, end := range []workflow.End{workflow.Done, workflow.Errored, workflow.Stopped, workflow.LeaseExpired, workflow.Errored, workflow.Errored} {
		for _, worker := range f.tick() {
			a = f.agents[worker]
		}
		run := anyRun(a)
		if run == "" {
			t.Fatalf("no run before an end %q, want the task running", end)
		}
		a.end(run, end)
		for worker := range f.agents {
			f.report(worker)
		}
	}
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after all ends: got %v, want one", got)
	}
	f.wantState(id, workflow.Running)
}

// Orders that are lost with a session must be given again on the next one, or their tasks
// would count as starting for ever.
func TestOrdersLostWithSessionAreRepeated(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.scheduler.Tick(f.now, true)
	if got := len(f.scheduler.TakeOrders()); got != 1 { // and never delivered
		t.Fatalf("workers with orders: got %d, want 1", got)
	}
	f.scheduler.Detach("a")
	f.scheduler.Attach("a", f.now)
	f.agents["a"].sequence = 0
	f.report("a")
	if got := f.tick(); len(got) != 2 {
		t.Errorf("starts on the next session: got %v, want both tasks", got)
	}
}

// After a takeover a run that an agent lists as starting counts as under way. If the start
// never takes effect, the agent drops the run, and the task must start again.
func TestStartUnderWayAtTakeoverMayFail(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	run := anyRun(a)
	a.running[run].Starting = true
	f.startNewLeader()
	f.scheduler.Attach("a", f.now)
	a.sequence = 0
	f.report("a")
	if got := f.tick(); len(got) != 0 {
		t.Fatalf("starts while the run of the earlier leader is starting: got %v, want none", got)
	}
	delete(a.running, run)
	f.report("a")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after that start has failed: got %v, want one", got)
	}
}

// All processes and runners lose power right after jobs were accepted, so only the records
// of the jobs exist. The next leader must know all of them and start each as soon as a
// runner is back, without waiting for leases.
func TestJobsKnownOnlyToTheStoreStart(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 8)
	jobs := []workflow.JobID{
		f.submit("quick", workflow.Step{Count: 2, Size: cores(1)}),
		f.submit("quick", workflow.Step{Count: 1, Size: cores(1), LongRunning: true}),
		f.submit("runs", workflow.Step{Count: 1, Size: cores(1)}, workflow.Step{Count: 1, Size: cores(1), After: []int{0}}),
	}
	f.startNewLeader() // before any rule ran, so no progress is recorded
	for _, id := range jobs {
		f.wantState(id, workflow.Queued)
	}
	f.scheduler.Attach("a", f.now)
	f.agents["a"].sequence, f.agents["a"].runner.BornUnixMs = 0, 2
	f.report("a")
	if got := f.tick(); len(got) != 4 {
		t.Errorf("starts once the runner is back: got %v, want 4 tasks", got)
	}
	f.report("a")
	for _, id := range jobs {
		f.wantState(id, workflow.Running)
	}
}

// A machine that never comes back delays recovered jobs by at most the leases that an
// earlier leader may have granted, and new jobs not at all.
func TestMachineThatNeverReturnsDelaysTakeoverByOneLease(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	f.addWorker("gone", 4)
	recovered := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.startNewLeader()
	f.scheduler.Attach("a", f.now)
	f.agents["a"].sequence = 0
	f.report("a")
	added := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	if got, ok := f.firstStart(added); !ok || got != 0 {
		t.Errorf("first start of a new job: got %v, started %t; want it at once", got, ok)
	}
	f.wantState(recovered, workflow.Queued)
	f.advance(testMaxLeaseDuration - f.now.Boot.Sub(f.scheduler.workers["gone"].latestLeaseEnd.Add(-testMaxLeaseDuration)) + time.Millisecond)
	if got, ok := f.firstStart(recovered); !ok || got != 0 {
		t.Errorf("first start of the recovered job after the leases: got %v, started %t; want it at once", got, ok)
	}
}
