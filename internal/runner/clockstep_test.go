package runner

import (
	"context"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The tests in this file guard against a runner that is ignored for good because it started
// after the time of day had been stepped back: its start seems to be earlier than that of the
// incarnation before it, and its tasks would never be seen to run or to end.

// A listing that was requested after the current incarnation had been seen can't come from an
// earlier one. One that was requested before can.
func TestListingTellsLaterIncarnationAfterClockStep(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	requested := bootclock.Now()
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 9}}, 1)
	before, _, _ := c.nextPoll()
	c.mergeListing("r", Listing{StartedUnixMs: 5, Clock: 1}, requested)
	if got := c.info.StartedUnixMs; got != 9 || c.listed {
		t.Errorf("after a listing that was requested before: got start %d, listed %t; want 9, false", got, c.listed)
	}
	c.mergeListing("r", Listing{StartedUnixMs: 5, Clock: 1}, c.incarnationSeenAt+1)
	if got := c.info.StartedUnixMs; got != 5 || c.listed {
		t.Errorf("after a listing that was requested later: got start %d, listed %t; want 5, false", got, c.listed)
	}
	c.mergeListing("r", Listing{StartedUnixMs: 5, Clock: 1}, c.restartedAt+1)
	if got := c.info.StartedUnixMs; got != 5 || !c.listed {
		t.Errorf("after another one: got start %d, listed %t; want 5, true", got, c.listed)
	}
	if after, _, _ := c.nextPoll(); after.Token <= before.Token {
		t.Errorf("token for the later incarnation: got %d, want more than %d", after.Token, before.Token)
	}
}

// A runner with another id answers no call for the current one, so only its announcements
// tell of it. Its answer then makes it the current one.
func TestAnnouncementTellsLaterRunnerAfterClockStep(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "first", StartedUnixMs: 9}}, 1)
	c.mergeListing("first", Listing{StartedUnixMs: 9, Clock: 1}, bootclock.Now())
	second := Info{Incarnation: Incarnation{ID: "second", StartedUnixMs: 5}}
	if c.HandleAnnouncement(second, 1) {
		t.Error("announcement while the current runner answers: got it accepted, want it ignored")
	}
	c.handlePollError(t.Context(), "first", fault.New("poll", WrongIncarnation, "scripted"))
	if !c.HandleAnnouncement(second, 1) {
		t.Error("announcement after another runner has answered: got it ignored, want it accepted")
	}
	if call, _, _ := c.nextPoll(); call.Runner != "second" {
		t.Errorf("next poll: got one of %s, want one of second", call.Runner)
	}
	c.mergeListing("second", Listing{StartedUnixMs: 5, Clock: 1}, bootclock.Now())
	if c.info.ID != "second" {
		t.Errorf("after its answer: got runner %s, want second", c.info.ID)
	}
}

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
	if call, _, _ := c.nextPoll(); call.Runner != "s" {
		t.Errorf("poll after 20 announcements of s and rejections of r: got one of %s, want one of s", call.Runner)
	}
	c.mergeListing("s", Listing{StartedUnixMs: 1000, Clock: 30}, bootclock.Now())
	if got := c.info.ID; got != "s" {
		t.Errorf("runner after the answer of s: got %s, want s", got)
	}
}
