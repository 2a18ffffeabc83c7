package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// A step must not start before all tasks of the steps that it depends on are done.
func TestStepsRunInDependencyOrder(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(1)}, workflow.Step{Count: 1, Size: cores(1), After: []int{0}})
	if got := f.tick(); len(got) != 2 {
		t.Fatalf("got starts %v, want the two tasks of the first step", got)
	}
	a.end(anyRun(a), workflow.Done)
	f.report("a")
	if got := f.tick(); len(got) != 0 {
		t.Fatalf("got starts %v while a task of the first step runs, want none", got)
	}
	a.end(anyRun(a), workflow.Done)
	f.report("a")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("got starts %v, want the second step", got)
	}
	a.end(anyRun(a), workflow.Done)
	f.report("a")
	f.tick()
	f.wantState(id, workflow.Completed)
}

// No task may start in a failure domain that is out of service, on a draining runner, on
// a runner without the required label, beyond the capacity, or beyond the limit per
// worker.
func TestPlacementKeepsConstraints(t *testing.T) {
	f := newFixture(t)
	f.addWorker("out", 8).runner.Domain = "south"
	f.addWorker("draining", 8).runner.Draining = true
	f.addWorker("unlabelled", 8).runner.Labels = []string{"b", "r1"}
	f.addWorker("small", 1)
	f.addWorker("good", 8)
	for id := range f.agents {
		f.report(id)
	}
	state := f.scheduler.operatorState
	state.OutOfService = map[units.DomainName]bool{"south": true}
	f.scheduler.SetOperatorState(state)
	f.submit("quick", workflow.Step{Count: 5, Size: cores(2), RequiredLabel: "a", AntiAffinity: 3})
	got := f.tick()
	for task, worker := range got {
		if worker != "good" {
			t.Errorf("%s started on %s, want good", task, worker)
		}
	}
	if len(got) != 3 {
		t.Errorf("got %d starts, want 3: at most 3 on one worker", len(got))
	}
}

// Occurrences must start at their due times and not earlier. They may overlap.
func TestOccurrencesStartWhenDue(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 8)
	job := &workflow.Job{ID: "00000000000000aa", Queue: "quick", Steps: []workflow.Step{{Count: 1, Size: cores(1)}}, Submitted: f.now.Wall,
		Repetitions: 3, FirstDue: f.now.Wall.Add(time.Second), Interval: 2 * time.Second}
	f.scheduler.Accept(job, f.scheduler.operatorState.Configuration.Queue("quick").Policy, f.now)
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {900 * time.Millisecond, 0}, {100 * time.Millisecond, 1}, {time.Second, 0}, {time.Second, 1}, {2 * time.Second, 1}, {2 * time.Second, 0}} {
		f.advance(step.after)
		if got := f.tick(); len(got) != step.want {
			t.Errorf("after another %v: got starts %v, want %d", step.after, got, step.want)
		}
	}
}

// A step whose queue requires advice may start only with a valid ticket, and only on a
// runner for which it has one.
func TestStepWaitsForTicket(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 8)
	f.addWorker("b", 8)
	route := f.scheduler.operatorState.Configuration.Queue("quick")
	route.Policy.Advice = &workflow.Advice{TicketValidity: 3 * time.Second}
	f.scheduler.SetOperatorState(f.scheduler.operatorState)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	if got := f.tick(); len(got) != 0 {
		t.Fatalf("got starts %v without advice, want none", got)
	}
	requests := f.scheduler.AdviceRequests(f.now)
	if len(requests) != 1 || len(requests[0].RunnerIDs) != 2 {
		t.Fatalf("got requests %+v, want one for two runners", requests)
	}
	if again := f.scheduler.AdviceRequests(f.now); len(again) != 0 {
		t.Errorf("got %d requests while one has no reply, want none", len(again))
	}
	f.scheduler.SetAdvice(requests[0].Step, map[string]string{"runner-b": "t"}, 3*time.Second, f.now)
	for task, worker := range f.tick() {
		if worker != "b" {
			t.Errorf("%s started on %s, want b", task, worker)
		}
	}
	f.report("b")
	f.wantState(id, workflow.Running)
}

// After a change of leader, a job must keep its done tasks and checkpoints, and a finished
// job its state. Without them, done tasks would run again.
func TestTakeoverKeepsProgress(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(1), Checkpointing: true})
	finished := f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	a.end(string(id)+".0.0.0", workflow.Done)
	a.end(string(finished)+".0.0.0", workflow.Done)
	a.running[string(id)+".0.0.1"].Checkpoint = "saved"
	a.end(string(id)+".0.0.1", workflow.Errored)
	f.report("a")
	f.tick()
	f.startNewLeader()
	f.wantState(finished, workflow.Completed)
	f.wantState(id, workflow.Running)
	task := f.scheduler.task(workflow.TaskID{Job: id, Index: 1})
	if task.checkpoint != "saved" || len(task.failedAttempts) != 1 {
		t.Errorf("got checkpoint %q and %d failures, want saved and 1", task.checkpoint, len(task.failedAttempts))
	}
	if !f.scheduler.task(workflow.TaskID{Job: id}).done {
		t.Error("the done task is not done after the change of leader")
	}
}
