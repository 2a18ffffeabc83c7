package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// answerBorn lets the runner "other", started at the given time of day, announce itself and answer a
// poll that was sent at the given instant, and returns the id of the runner that is then reported.
func answerBorn(c *Controller, bornUnixMs int64, clock ClockTime, sent bootclock.Instant) string {
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "other", StartedUnixMs: bornUnixMs}, Sequence: 1}, clock)
	c.mergeListing("other", Listing{StartedUnixMs: bornUnixMs, Clock: clock}, sent)
	report, _ := c.Report()
	return report.GetRunner().GetId()
}

// Guards against a successor that has started before the connections of its predecessor ended, and
// that a step of the time of day lets seem to have started after it: the predecessor works on.
func TestStepOfTheTimeOfDayEndsNoPredecessor(t *testing.T) {
	c, _ := newBusyController()
	c.handlePollError(t.Context(), "r", resetByRunner())
	born := time.Now().Add(2*time.Second - 500*time.Millisecond) // 500 ms ago, and then a step back by 2 s
	if got := answerBorn(c, born.UnixMilli(), 500, bootclock.Now()); got != "r" {
		t.Errorf("runner after the answer of one that has run for 500 ms: got %s, want r", got)
	}
}

// Guards against an agent that was frozen for longer than goneAfter and takes the announcements
// which it has not read for missing ones: the predecessor works on.
func TestFrozenAgentHasNotSeenThatAPredecessorIsGone(t *testing.T) {
	c, _ := newBusyController()
	c.handlePollError(t.Context(), "r", resetByRunner())
	sent := bootclock.Now()
	frozen := goneAfter + time.Second
	for _, at := range []*bootclock.Instant{&c.endSeenAt, &c.clockReadAt, &c.heardAt, &sent} {
		*at = at.Add(-frozen)
	}
	if got := answerBorn(c, 9, ClockTime(frozen.Milliseconds())+500, sent); got != "r" {
		t.Errorf("runner after an answer that has waited for %v: got %s, want r", frozen, got)
	}
}

// Guards against silence that is taken for the end of a runner which announces itself at another
// agent ("otherwise, the next node is called"), since this one gave it no answer for a while.
func TestSilenceOfARunnerThatAnnouncesItselfElsewhereTellsNothing(t *testing.T) {
	c, _ := newBusyController()
	c.heardAt = c.heardAt.Add(-2 * goneAfter)
	crash(c)
	if got := answerBorn(c, 9, 10_000, bootclock.Now()); got != "r" {
		t.Errorf("runner after the answer of another one: got %s, want r", got)
	}
}

// Guards against the same after a freeze between two polls, once the agent has polled again.
func TestAgentThatWasFrozenBetweenPollsHasNotSeenThatAPredecessorIsGone(t *testing.T) {
	for name, shifted := range map[string]func(*Controller) []*bootclock.Instant{
		"before the end was seen": func(c *Controller) []*bootclock.Instant {
			return []*bootclock.Instant{&c.clockReadAt, &c.heardAt, &c.watchedAt}
		},
		"after it": func(c *Controller) []*bootclock.Instant {
			return []*bootclock.Instant{&c.clockReadAt, &c.heardAt, &c.watchedAt, &c.endSeenAt}
		},
	} {
		c, _ := newBusyController()
		c.nextPoll()
		c.handlePollError(t.Context(), "r", resetByRunner())
		for _, at := range shifted(c) {
			*at = at.Add(-goneAfter)
		}
		c.nextPoll()
		crash(c) // from now on without a gap, and the announcement that lay unread is read
		c.heardAt, c.stalledAt = c.endSeenAt, c.stalledAt.Add(-2*goneAfter)
		if got := answerBorn(c, 9, 10_000, bootclock.Now()); got != "r" {
			t.Errorf("frozen %s: got runner %s, want r", name, got)
		}
	}
}

// Guards against long-running tasks that are down for longer than a lease, because late heartbeats of a
// crashed runner, one after the other, count as its signs of life.
func TestLateHeartbeatsAreNoSignOfLife(t *testing.T) {
	c, _ := newBusyController()
	c.clockReadAt = c.clockReadAt.Add(-time.Second) // the last poll waited; the clock was at 2000 at the end
	crash(c)
	for _, late := range []Info{{Sequence: 9}, {Sequence: 8}, {Sequence: 10}} {
		late.Incarnation = c.info.Incarnation
		c.HandleAnnouncement(late, ClockTime(100*late.Sequence)+900)
	}
	if got := answerBorn(c, 9, 60_000, bootclock.Now()); got != "other" {
		t.Errorf("runner after the answer of the next one: got %s, want other", got)
	}
}

// Guards against a late heartbeat that is taken for a sign that the runner announces itself here.
func TestLateHeartbeatDoesNotShowThatARunnerAnnouncesItselfHere(t *testing.T) {
	c, _ := newBusyController()
	const age = 2 * goneAfter
	c.heardAt = c.heardAt.Add(-2 * goneAfter)
	c.setClock(60_000)
	c.leaseUntil = 67_000
	c.HandleAnnouncement(Info{Incarnation: c.info.Incarnation, Sequence: 2}, 60_000-ClockTime(age.Milliseconds()))
	crash(c)
	if got := answerBorn(c, 9, 60_000, bootclock.Now()); got != "r" {
		t.Errorf("runner after the answer of another one: got %s, want r", got)
	}
}

// Guards against a second successor that counts as a sign that the runner has crashed, as it has
// started after the end of the connections: the first one has taken the address over.
func TestSecondSuccessorDoesNotShowThatARunnerHasCrashed(t *testing.T) {
	for name, leave := range map[string]func(*Controller){
		"replaced":  func(*Controller) {},
		"not there": func(c *Controller) { rejectPoll(t, c, "first") },
	} {
		c, _ := newBusyController()
		c.handlePollError(t.Context(), "r", resetByRunner())
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "first", StartedUnixMs: 8}, Sequence: 1}, startedBefore)
		c.mergeListing("first", Listing{StartedUnixMs: 8, Clock: startedBefore}, bootclock.Now())
		leave(c)
		c.endSeenAt, c.heardAt = c.endSeenAt.Add(-time.Second), c.heardAt.Add(-time.Second)
		if id, runs := answerSuccessor(c, justStarted); id != "r" || runs != 1 {
			t.Errorf("first successor is %s: got runner %s with %d runs, want r with its run", name, id, runs)
		}
	}
}
