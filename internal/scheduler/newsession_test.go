package scheduler

import "testing"

// An agent that has started anew numbers its reports from 1. A start that its predecessor had
// acknowledged with a higher number must not wait for as many reports, or the task starves.
func TestFirstReportOfANewAgentProcessDecides(t *testing.T) {
	f := newFixture(t)
	worker, starts := f.startOneTask()
	f.scheduler.ConfirmStarts(worker, starts, 60, f.now)
	f.scheduler.Attach(worker, f.now)
	f.agents[worker].sequence = 0
	f.report(worker)
	if got := f.takeStarts(); len(got) != 1 {
		t.Errorf("starts after the first report of the new process: got %v, want one", got)
	}
}
