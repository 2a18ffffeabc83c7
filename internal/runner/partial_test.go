package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// newStartedController returns a controller that has just begun: its runner has announced
// itself, and no listing has arrived.
func newStartedController() *Controller {
	c := &Controller{API: &fakeAPI{}, MaxLease: 10 * time.Second}
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 1}}, 1000)
	return c
}

// endOf returns the end of a run of the given job.
func endOf(number uint64, job workflow.JobID) EndedRun {
	return EndedRun{Number: number, Task: workflow.TaskID{Job: job}, Attempt: 1, End: workflow.Done}
}

// wantPartial checks whether the next report says that runs may be missing from it, and how
// many ends it has.
func wantPartial(t *testing.T, c *Controller, when string, partial bool, ends int) {
	t.Helper()
	report, _ := c.Report()
	if report.GetPartial() != partial || len(report.GetEnded()) != ends {
		t.Errorf("report %s: got partial %t and %d ends, want %t and %d", when, report.GetPartial(), len(report.GetEnded()), partial, ends)
	}
}

// Guards against a new agent that reports a truncated list as complete: the tasks whose ends
// the list lacks would start again although they are done.
func TestTruncatedFirstListingIsReportedAsPartial(t *testing.T) {
	c := newStartedController()
	requested := bootclock.Now()
	wantPartial(t, c, "before any listing", true, 0)
	c.mergeListing("r", Listing{StartedUnixMs: 1, Clock: 2000, Ended: []EndedRun{endOf(1, "a")}, Truncated: true}, requested)
	wantPartial(t, c, "after a truncated listing", true, 1)
	c.MarkRecorded(Incarnation{ID: "r", StartedUnixMs: 1}, 1)
	c.mergeListing("r", Listing{StartedUnixMs: 1, Clock: 3000, Ended: []EndedRun{endOf(2, "b")}, Truncated: true}, requested)
	wantPartial(t, c, "after a second truncated listing", true, 1)
	c.MarkRecorded(Incarnation{ID: "r", StartedUnixMs: 1}, 2)
	if prompt := c.mergeListing("r", Listing{StartedUnixMs: 1, Clock: 4000}, requested); !prompt {
		t.Error("the first complete listing: got no prompt report, want one")
	}
	wantPartial(t, c, "after a complete listing", false, 0)
}

// Guards against a controller with a complete table that calls its reports partial because of
// a backlog of ends: it keeps the runs whose ends are not listed yet.
func TestTruncatedLaterListingIsNotReportedAsPartial(t *testing.T) {
	c := newStartedController()
	requested := bootclock.Now()
	c.mergeListing("r", Listing{StartedUnixMs: 1, Clock: 2000}, requested)
	c.mergeListing("r", Listing{StartedUnixMs: 1, Clock: 3000, Ended: []EndedRun{endOf(1, "a")}, Truncated: true}, requested)
	wantPartial(t, c, "after a truncated listing that follows a complete one", false, 1)
}

// Guards against a truncated first list of a restarted runner that counts as complete because
// a list of the runner before was.
func TestTruncatedListingOfNewIncarnationIsReportedAsPartial(t *testing.T) {
	c := newStartedController()
	c.mergeListing("r", Listing{StartedUnixMs: 1, Clock: 2000}, bootclock.Now())
	truncated := Listing{StartedUnixMs: 2, Clock: 10, Ended: []EndedRun{endOf(1, "a")}, Truncated: true}
	c.mergeListing("r", truncated, bootclock.Now())
	wantPartial(t, c, "after the listing that shows the next incarnation", true, 0)
	c.mergeListing("r", truncated, bootclock.Now().Add(time.Millisecond))
	wantPartial(t, c, "after a truncated listing of the next incarnation", true, 1)
}

// Guards against a poll that waits for the end of a run while ends that have happened are
// missing: once the listed ones are acknowledged, none may be left to end the wait.
func TestPollAfterATruncatedListingDoesNotWait(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.mergeListing("r", Listing{Clock: 2000, Ended: []EndedRun{endOf(1, "a")}, Truncated: true}, bootclock.Now())
	if _, mayWait, _ := c.nextPoll(); mayWait {
		t.Error("poll after a truncated listing: got one that may wait, want a reply at once")
	}
	c.mergeListing("r", Listing{Clock: 3000}, bootclock.Now())
	if _, mayWait, _ := c.nextPoll(); !mayWait {
		t.Error("poll after a complete listing: got one that may not wait, want one that may")
	}
}
