package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// newAgentBesideYoungRunner returns the controller of an agent that has just started. Its runner
// has restarted under its id half a second ago, and holds a run that the agent process before
// ordered from the life before: by the clock of that one, for as long as a lease may last.
func newAgentBesideYoungRunner() *Controller {
	c := &Controller{API: &fakeAPI{}, MaxLease: 10 * time.Second}
	c.startedAt = bootclock.Now()
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 400)
	requested := bootclock.Now()
	c.mergeListing("r", Listing{StartedUnixMs: 2, Clock: 500, Running: []RunStatus{{Task: workflow.TaskID{Job: "a"}, Attempt: 1}}}, requested)
	c.ExtendGrant(bootclock.Now().Add(6 * time.Second))
	c.nextPoll()
	return c
}

// Guards against a run that outlasts what the leader counts for its worker: the agent is lost
// after its first grant, and the task starts elsewhere beside the run.
func TestNewAgentReportsTheStrayLeaseOfAYoungRunner(t *testing.T) {
	c := newAgentBesideYoungRunner()
	report, _ := c.Report()
	if got, want := time.Duration(report.GetRunner().GetStrayLeaseMs())*time.Millisecond, c.MaxLease-500*time.Millisecond; got < want {
		t.Errorf("stray lease of a run that an earlier process ordered: got %v, want at least %v", got, want)
	}
}

// Guards against a new agent that reports a silent runner as empty by its own lease alone, while
// the run goes on by the longer one.
func TestNewAgentCountsTheStrayLeaseOfAYoungRunner(t *testing.T) {
	const silence = 7 * time.Second
	c := newAgentBesideYoungRunner()
	c.unresponsive = true
	for _, at := range []*bootclock.Instant{&c.startedAt, &c.clockReadAt, &c.listedAt} {
		*at = at.Add(-silence)
	}
	report, _ := c.Report()
	if r := report.GetRunner(); !r.GetSilent() || r.GetEmpty() {
		t.Errorf("%v after the last answer: got silent %t, empty %t; want true, false", silence, r.GetSilent(), r.GetEmpty())
	}
}
