package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
)

// A runner that has restarted under its id may hold a lease that is longer than what is granted.
// Guards against a grant that shortens the leader's count of it: when the agent is killed then,
// the task starts elsewhere beside its run.
func TestGrantDoesNotShortenAStrayLease(t *testing.T) {
	const stray = 11 * time.Second
	f := newFixture(t)
	a := f.addWorker("a", 1)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	f.report("a")
	a.runner.BornUnixMs, a.runner.StrayLeaseMs = 2, stray.Milliseconds()
	f.report("a")
	f.scheduler.Detach("a")
	f.addWorker("b", 1)
	f.advance(stray - time.Second)
	f.report("b")
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts while the run on the restarted runner may go on: got %v, want none", got)
	}
	f.advance(2 * time.Second)
	f.report("b")
	if got := f.tick(); len(got) != 1 {
		t.Errorf("starts after the stray lease: got %v, want one", got)
	}
}

// A new process of an agent can't know whether its runner, which has just started, holds a stray
// lease. The leader does if it knows the incarnation: waiting for the longest lease would keep
// tasks down. One that it does not know may hold such a lease.
func TestStrayLeaseOfAKnownIncarnationIsNoneOfANewAgent(t *testing.T) {
	for name, restarted := range map[string]bool{"the incarnation is known": false, "the runner has restarted": true} {
		t.Run(name, func(t *testing.T) {
			f, silent := silence(t)
			a := f.agents[silent]
			a.runner.Silent, a.sequence = false, 0
			a.runner.StrayLeaseMs, a.runner.FoundYoung = 11_000, true
			if restarted {
				a.runner.BornUnixMs++
			}
			f.scheduler.Attach(silent, f.now)
			f.report(silent)
			f.scheduler.Detach(silent)
			f.advance(testMaxLeaseDuration + time.Millisecond)
			if got, want := len(f.tick()) == 0, restarted; got != want {
				t.Errorf("task waits longer than a granted lease: got %t, want %t", got, want)
			}
		})
	}
}
