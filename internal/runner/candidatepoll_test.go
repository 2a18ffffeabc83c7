package runner

import (
	"context"
	"testing"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
)

// Guards against an announced runner that neither answers nor rejects its polls and so keeps the
// agent from the runner that is there: the leases of all runs there would end.
func TestUnansweredCandidateLeavesPollsToTheRunner(t *testing.T) {
	for _, kind := range []Kind{Unanswered, NotSent, Unavailable, Invalid} {
		c, _ := newBusyController()
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "other", StartedUnixMs: 9}}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		polls := map[string]int{}
		for range 4 {
			call, _, _ := c.nextPoll()
			polls[call.Runner]++
			if call.Runner == "other" {
				c.handlePollError(ctx, "other", fault.New("poll", kind, "scripted"))
			}
		}
		cancel()
		if polls["r"] == 0 {
			t.Errorf("%s: got polls %v, want at least one of the runner r", kind, polls)
		}
	}
}

// Guards against a worker that stays silent in turn because of an announced runner that never
// answers: the answer of the current runner, requested later, proves that the other is not there.
func TestAnswerOfTheRunnerEndsTheCandidate(t *testing.T) {
	c, _ := newBusyController()
	inFlight := bootclock.Now().Add(-1)
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "other", StartedUnixMs: 9}}, 1)
	c.mergeListing("r", Listing{Clock: 2000}, inFlight)
	if call, _, _ := c.nextPoll(); call.Runner != "other" {
		t.Errorf("poll after an answer that was requested before the announcement: got one of %s, want one of other", call.Runner)
	}
	c.mergeListing("r", Listing{Clock: 2001}, bootclock.Now().Add(1))
	for range 2 {
		if call, _, _ := c.nextPoll(); call.Runner != "r" {
			t.Errorf("poll after an answer that was requested later: got one of %s, want one of r", call.Runner)
		}
	}
}
