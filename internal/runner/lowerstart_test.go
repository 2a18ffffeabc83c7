package runner

import (
	"context"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
)

// A machine's clock may step back between two incarnations with the same id, so the later
// one may have the lower start time. Its lists are ignored as those of the earlier one: a
// run that was lost is reported for ever, and its task never runs again.
func TestLaterIncarnationWithLowerStartIsNotIgnored(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.info.StartedUnixMs, c.info.Sequence = 2000, 40
	c.runs[workflow.TaskID{Job: "a"}] = &run{attempt: 1, confirmedAt: bootclock.Now().Add(-time.Minute)}
	for i := range 20 { // each listing was requested after the one before had arrived
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 1000}, Sequence: int64(i + 1)}, ClockTime(5+i))
		c.mergeListing("r", Listing{StartedUnixMs: 1000, Clock: ClockTime(5 + i)}, bootclock.Now())
	}
	if report, _ := c.Report(); len(report.GetRunning()) != 0 {
		t.Errorf("after 20 lists of the new incarnation: got runs %v, want none", report.GetRunning())
	}
}

// As above, but the later incarnation has another id: the agent goes on to call the earlier
// one, and the worker takes no task.
func TestLaterRunnerWithLowerStartIsNotIgnored(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.info.StartedUnixMs = 2000
	for i := range 20 {
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "s", StartedUnixMs: 1000}, Sequence: int64(i + 1)}, ClockTime(5+i))
		c.handlePollError(context.Background(), "r", fault.New("poll", WrongIncarnation, "scripted"))
	}
	if got := c.info.ID; got != "s" {
		t.Errorf("runner after 20 announcements of s and rejections of r: got %s, want s", got)
	}
}
