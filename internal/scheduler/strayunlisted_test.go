package scheduler

import (
	"testing"
	"time"
)

// An agent process that has only seen the announcement of a new life has not fenced the calls to
// the life before. Guards against a leader that takes that life for known when the next process of
// the agent finds it: a late call has given a lease since, and the task starts beside its run.
func TestStrayLeaseOfALifeThatWasNeverListedCounts(t *testing.T) {
	const seenBefore = 5 * time.Second // by the process before, which did not get an answer
	f, id := restartRunner(t)
	a := f.agents[id]
	a.runner.BornUnixMs, a.runner.Silent = 3, true
	f.report(id)
	f.advance(seenBefore)
	a.sequence, a.runner.Silent, a.runner.FoundYoung = 0, false, true
	a.runner.StrayLeaseMs = testStrayLease.Milliseconds()
	f.scheduler.Attach(id, f.now)
	f.report(id)
	if got := f.scheduler.workers[id].latestLeaseEnd.Sub(f.now.Boot); got < testStrayLease {
		t.Errorf("end of the leases after the report of the next process: got %v, want at least %v", got, testStrayLease)
	}
	f.startNewLeader()
	f.attachOthers(id)
	f.advance(testStrayLease - time.Millisecond)
	if got := f.tick(); len(got) != 0 {
		t.Errorf("starts of the next leader while the run may go on: got %v, want none", got)
	}
}
