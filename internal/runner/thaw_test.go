package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// thawedController returns a controller of a process that has not run for the given time,
// with one run in its table.
func thawedController(api API, stood time.Duration) *Controller {
	c := newReadyController(api)
	c.runs[workflow.TaskID{Job: "a"}] = &run{attempt: 1, confirmedAt: bootclock.Now()}
	c.nextPoll() // sends a lease
	c.listedAt, c.clockReadAt = c.listedAt.Add(-stood), c.clockReadAt.Add(-stood)
	return c
}

// After a freeze the table shows runs whose leases have ended meanwhile. Reported as runs,
// they keep their tasks waiting, and the scheduler orders starts from an agent that knows
// nothing of its runner.
func TestThawedAgentReportsItsRunnerAsSilent(t *testing.T) {
	for stood, wantEmpty := range map[time.Duration]bool{4 * time.Second: false, 12 * time.Second: true} {
		c := thawedController(&fakeAPI{}, stood)
		report, _ := c.Report()
		if r := report.GetRunner(); !r.GetSilent() || r.GetEmpty() != wantEmpty {
			t.Errorf("after %v: got silent %t, empty %t; want true, %t", stood, r.GetSilent(), r.GetEmpty(), wantEmpty)
		}
		if call, mayWait, _ := c.nextPoll(); mayWait || call.Until != 0 || call.Recorded != 0 {
			t.Errorf("first poll after %v: got %+v, may wait %t; want no lease, no recorded ends and no wait", stood, call, mayWait)
		}
		if !c.mergeListing("r", Listing{Clock: 90_000}, bootclock.Now()) {
			t.Errorf("first listing after %v: got no prompt report, want one", stood)
		}
		if report, _ := c.Report(); report.GetRunner().GetSilent() {
			t.Errorf("after the first listing: got silent, want not silent")
		}
	}
}

// A reply that has waited in a buffer while the process stood still is as old as its request.
func TestListingFromBeforeAFreezeDoesNotEndTheSilence(t *testing.T) {
	c := thawedController(&fakeAPI{}, 4*time.Second)
	c.mergeListing("r", Listing{Clock: 2000}, bootclock.Now().Add(-4*time.Second))
	if report, _ := c.Report(); !report.GetRunner().GetSilent() {
		t.Error("after a listing that was requested before the freeze: got not silent, want silent")
	}
}

// A start after a freeze would be sent with a lease by an old reading of the clock.
func TestNoStartAfterAFreezeBeforeTheNextListing(t *testing.T) {
	api := &fakeAPI{}
	c := thawedController(api, 4*time.Second)
	c.Start(t.Context(), Incarnation{ID: "r"}, StartOrder{Task: workflow.TaskID{Job: "b"}, Attempt: 1})
	if got := api.recordedCalls(); len(got) != 0 || len(c.rejections) != 1 || c.rejections[0].Reason != LeaseExpired {
		t.Errorf("got calls %v and rejections %v, want none and one as %s", got, c.rejections, LeaseExpired)
	}
}

// Between two polls that are both answered at the last moment a runner is not silent.
func TestSlowPollsAreNoFreeze(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.listedAt = c.listedAt.Add(-2*pollWait - pollSlack/2)
	if report, _ := c.Report(); report.GetRunner().GetSilent() {
		t.Error("while the next reply may be on its way: got silent, want not silent")
	}
}
