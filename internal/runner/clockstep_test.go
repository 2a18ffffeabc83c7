package runner

import (
	"testing"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
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
	if got := c.info.StartedUnixMs; got != 5 || !c.listed {
		t.Errorf("after a listing that was requested later: got start %d, listed %t; want 5, true", got, c.listed)
	}
	if after, _, _ := c.nextPoll(); after.Token <= before.Token {
		t.Errorf("token for the later incarnation: got %d, want more than %d", after.Token, before.Token)
	}
}

// A runner with another id answers no call for the current one, so only its announcements
// tell of it.
func TestAnnouncementTellsLaterRunnerAfterClockStep(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "first", StartedUnixMs: 9}}, 1)
	second := Info{Incarnation: Incarnation{ID: "second", StartedUnixMs: 5}}
	if c.HandleAnnouncement(second, 1) {
		t.Error("announcement while the current runner answers: got it accepted, want it ignored")
	}
	c.handlePollError(t.Context(), "first", fault.New("poll", WrongIncarnation, "scripted"))
	if !c.HandleAnnouncement(second, 1) || c.info.ID != "second" {
		t.Errorf("announcement after another runner has answered: got runner %s, want second", c.info.ID)
	}
}
