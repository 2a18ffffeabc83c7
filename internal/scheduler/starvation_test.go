package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxStarvation is how long a job may have nothing running while its turn has come and
// there is room for it.
const maxStarvation = 3 * time.Second

// firstStart runs the rules for maxStarvation and returns when the first task of the job
// starts. Each worker reports every second.
func (f *fixture) firstStart(id workflow.JobID) (time.Duration, bool) {
	for elapsed := time.Duration(0); elapsed < maxStarvation; elapsed += 100 * time.Millisecond {
		for task := range f.tick() {
			if parsed, err := workflow.ParseTaskID(task); err == nil && parsed.Job == id {
				return elapsed, true
			}
		}
		f.advance(100 * time.Millisecond)
		if elapsed%time.Second == 0 {
			for worker := range f.agents {
				f.report(worker)
			}
		}
	}
	return maxStarvation, false
}

// A job whose only suitable worker is avoided after failures must not starve until the
// avoidance ends, which may take 8 s.
func TestStarvedJobStartsOnAvoidedWorker(t *testing.T) {
	for name, step := range map[string]workflow.Step{
		"label":        {Count: 1, Size: cores(1), RequiredLabel: "only"},
		"long-running": {Count: 1, Size: cores(1), RequiredLabel: "only", LongRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, id := range []units.WorkerID{"a", "b", "c"} {
				f.addWorker(id, 8)
			}
			f.agents["a"].runner.Labels = []string{"only", "r1"}
			f.report("a")
			f.scheduler.workers["a"].avoid(f.now, maxBackoff)
			if at, ok := f.firstStart(f.submit("quick", step)); !ok || at < rescueAfter {
				t.Errorf("first start: got %v, started %t; want one between %v and %v", at, ok, rescueAfter, maxStarvation)
			}
		})
	}
}

// A job that is starved when its queue begins to need advice must wait for its ticket: a start
// without one is rejected.
func TestStarvedJobWaitsForAdvice(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 8)
	f.agents["a"].runner.Labels = []string{"only", "r1"}
	f.report("a")
	for _, id := range []units.WorkerID{"b", "c"} {
		f.addWorker(id, 8)
	}
	f.scheduler.workers["a"].avoid(f.now, maxBackoff)
	id := f.submit("quick", workflow.Step{Count: 1, Size: cores(1), RequiredLabel: "only"})
	for range 5 {
		f.tick()
		f.advance(100 * time.Millisecond)
	}
	f.scheduler.operatorState.Configuration.Queue("quick").Policy.Advice = &workflow.Advice{TicketValidity: 3 * time.Second}
	f.scheduler.SetOperatorState(f.scheduler.operatorState)
	if at, ok := f.firstStart(id); ok {
		t.Errorf("started after %v without a ticket, want no start", at)
	}
}

// A best-effort job must not starve for ever because every latency-critical task is near
// its target: it starts, and the agents limit its pace. While half of the capacity is in
// use it waits, as the capacity may be short.
func TestStarvedBestEffortJobStarts(t *testing.T) {
	for name, c := range map[string]struct {
		watchers int
		starts   bool
	}{"under half in use": {2, true}, "over half in use": {3, false}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			a := f.addWorker("a", 32)
			f.submit("quick", latencyCritical("x", c.watchers))
			f.tick()
			for _, row := range a.running {
				row.Load = 17 // ms, of a target of 18
			}
			f.report("a")
			f.advance(time.Second)
			f.report("a")
			if at, ok := f.firstStart(f.submit("runs", bestEffort("b", 4))); ok != c.starts {
				t.Errorf("first start: got %v, started %t; want started %t", at, ok, c.starts)
			}
		})
	}
}

// A job that waits because no worker has room is not starved, and must not be started
// beyond the capacity.
func TestJobWithoutRoomDoesNotStand(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 2)
	f.submit("quick", workflow.Step{Count: 2, Size: cores(1)})
	f.tick()
	if at, ok := f.firstStart(f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})); ok {
		t.Errorf("started after %v on a full worker, want no start", at)
	}
	if got := f.scheduler.LongestStarvation(); got != 0 {
		t.Errorf("longest starvation: got %v, want 0", got)
	}
	a.end(anyRun(a), workflow.Done)
	f.report("a")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("got starts %v once there is room, want one", got)
	}
}

// The longest starvation must include tasks that the rules do not consider at all, as after
// a takeover, or a fault in the rules would not show in it.
func TestStarvationCountsBlockedTasks(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	f.addWorker("b", 4)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.startNewLeader()
	f.scheduler.Attach("a", f.now)
	f.agents["a"].sequence = 0
	f.report("a")
	for range 20 {
		f.tick()
		f.advance(100 * time.Millisecond)
	}
	if got, want := f.scheduler.LongestStarvation(), 1700*time.Millisecond; got < want {
		t.Errorf("longest starvation 2 s after a takeover that waits for an absent agent: got %v, want at least %v", got, want)
	}
}
