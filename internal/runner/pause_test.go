package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// resumedController returns a controller of a process that has been paused for the given time,
// with one run in its table.
func resumedController(api API, paused time.Duration) *Controller {
	c := newReadyController(api)
	c.runs[workflow.TaskID{Job: "a"}] = &run{attempt: 1, confirmedAt: bootclock.Now()}
	c.nextPoll() // sends a lease
	c.listedAt, c.clockReadAt = c.listedAt.Add(-paused), c.clockReadAt.Add(-paused)
	return c
}

// After a pause the table shows runs whose leases have ended meanwhile. Reported as runs,
// they keep their tasks waiting, and the scheduler orders starts from an agent that knows
// nothing of its runner.
func TestResumedAgentReportsItsRunnerAsSilent(t *testing.T) {
	for paused, wantEmpty := range map[time.Duration]bool{4 * time.Second: false, 12 * time.Second: true} {
		c := resumedController(&fakeAPI{}, paused)
		report, _ := c.Report()
		if r := report.GetRunner(); !r.GetSilent() || r.GetEmpty() != wantEmpty {
			t.Errorf("after %v: got silent %t, empty %t; want true, %t", paused, r.GetSilent(), r.GetEmpty(), wantEmpty)
		}
		if call, mayWait, _ := c.nextPoll(); mayWait || call.Until != 0 || call.Recorded != 0 {
			t.Errorf("first poll after %v: got %+v, may wait %t; want no lease, no recorded ends and no wait", paused, call, mayWait)
		}
		if !c.mergeListing("r", Listing{Clock: 90_000}, bootclock.Now()) {
			t.Errorf("first listing after %v: got no prompt report, want one", paused)
		}
		if report, _ := c.Report(); report.GetRunner().GetSilent() {
			t.Errorf("after the first listing: got silent, want not silent")
		}
	}
}

// A reply that has waited in a buffer while the process was paused is as old as its request.
func TestListingFromBeforeAPauseDoesNotEndTheSilence(t *testing.T) {
	c := resumedController(&fakeAPI{}, 4*time.Second)
	c.mergeListing("r", Listing{Clock: 2000}, bootclock.Now().Add(-4*time.Second))
	if report, _ := c.Report(); !report.GetRunner().GetSilent() {
		t.Error("after a listing that was requested before the pause: got not silent, want silent")
	}
}

// A start after a pause would be sent with a lease by an old reading of the clock.
func TestNoStartAfterAPauseBeforeTheNextListing(t *testing.T) {
	api := &fakeAPI{}
	c := resumedController(api, 4*time.Second)
	c.Start(t.Context(), Incarnation{ID: "r"}, StartOrder{Task: workflow.TaskID{Job: "b"}, Attempt: 1})
	if got := api.recordedCalls(); len(got) != 0 || len(c.rejections) != 1 || c.rejections[0].Reason != LeaseExpired {
		t.Errorf("got calls %v and rejections %v, want none and one as %s", got, c.rejections, LeaseExpired)
	}
}

// Between two polls that are both answered at the last moment a runner is not silent.
func TestSlowPollsAreNoPause(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.listedAt = c.listedAt.Add(-2*pollWait - pollSlack/2)
	if report, _ := c.Report(); report.GetRunner().GetSilent() {
		t.Error("while the next reply may be on its way: got silent, want not silent")
	}
}
