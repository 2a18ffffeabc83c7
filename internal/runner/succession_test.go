package runner

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
)

// resetByRunner is the error of a call whose connection the runner's process has closed.
func resetByRunner() error { return fault.Wrap("poll", Unanswered, fmt.Errorf("read: %w", io.EOF)) }

// crash lets the connections of the current runner end, and goneAfter pass without an
// announcement of it.
func crash(c *Controller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteConnectionEnd(c.info.ID, resetByRunner())
	for _, at := range []*bootclock.Instant{&c.endSeenAt, &c.clockReadAt, &c.heardAt} {
		*at = at.Add(-2 * goneAfter)
	}
	c.unresponsive = true
}

// The clock of a successor that has started before the connections of its predecessor end, and of
// one that has just started.
const startedBefore, justStarted = ClockTime(60_000), ClockTime(1)

// answerSuccessor lets the runner "other", whose clock is given, announce itself and answer a poll,
// and returns the id of the runner that is then reported, and the number of its runs.
func answerSuccessor(c *Controller, clock ClockTime) (id string, runs int) {
	announceOther(c, 1, false)
	c.mergeListing("other", Listing{StartedUnixMs: 9, Clock: clock}, bootclock.Now())
	report, _ := c.Report()
	return report.GetRunner().GetId(), len(report.GetRunning())
}

// Guards against tasks that start elsewhere beside their runs, because the next runner of the
// machine answers while the one before works on until its lease ends.
func TestSuccessorAwaitsTheRunsOfItsPredecessor(t *testing.T) {
	for name, before := range map[string]func(*Controller){
		"works on":                  func(*Controller) {},
		"rejects calls":             func(c *Controller) { rejectPoll(t, c, "r") },
		"is silent":                 func(c *Controller) { c.handlePollError(t.Context(), "r", fault.New("poll", Unanswered, "timeout")) },
		"drains, connections ended": func(c *Controller) { c.info.Draining = true; crash(c) },
		"connections have just ended": func(c *Controller) {
			c.handlePollError(t.Context(), "r", resetByRunner())
		},
		"drains, connections ended before the successor has started": func(c *Controller) {
			c.info.Draining = true
			c.handlePollError(t.Context(), "r", resetByRunner())
			c.endSeenAt, c.heardAt = c.endSeenAt.Add(-time.Second), c.heardAt.Add(-time.Second)
		},
		"drains, has just deregistered": func(c *Controller) { c.info.Draining = true; c.HandleDeregistration(Incarnation{ID: "r"}) },
		"announces itself after its connections have ended": func(c *Controller) {
			crash(c)
			c.HandleAnnouncement(Info{Incarnation: c.info.Incarnation, Sequence: 2}, c.runnerClock+ClockTime(goneAfter.Milliseconds()))
		},
	} {
		c, _ := newBusyController()
		before(c)
		clock := startedBefore
		if strings.Contains(name, "before the successor has started") {
			clock = justStarted
		}
		if id, runs := answerSuccessor(c, clock); id != "r" || runs != 1 {
			t.Errorf("%s: got runner %s with %d runs, want r with its run", name, id, runs)
		}
		if call, _, _ := c.nextPoll(); call.Runner != "r" {
			t.Errorf("%s: next poll: got one of %s, want one of r, whose runs decide", name, call.Runner)
		}
	}
}

// Guards against a machine without a runner: its successor waits for a predecessor whose runs
// have ended.
func TestSuccessorFollowsAPredecessorWithoutRuns(t *testing.T) {
	for name, before := range map[string]func(*Controller){
		"has no runs": func(c *Controller) { clear(c.runs) },
		"has crashed before the successor has started": func(c *Controller) {
			c.handlePollError(t.Context(), "r", resetByRunner())
			c.endSeenAt, c.heardAt = c.endSeenAt.Add(-time.Second), c.heardAt.Add(-time.Second)
		},
		"has crashed": crash,
		"crashed, late message": func(c *Controller) {
			crash(c)
			c.HandleAnnouncement(Info{Incarnation: c.info.Incarnation, Sequence: 2}, 1)
		},
		"has deregistered": func(c *Controller) {
			c.info.Draining = true
			c.HandleDeregistration(Incarnation{ID: "r"})
			c.endSeenAt, c.heardAt = c.endSeenAt.Add(-2*goneAfter), c.heardAt.Add(-2*goneAfter)
		},
		"has no lease left": func(c *Controller) {
			c.unresponsive, c.clockReadAt = true, bootclock.Now().Add(-time.Minute)
		},
	} {
		c, _ := newBusyController()
		before(c)
		clock := startedBefore
		if strings.Contains(name, "before the successor has started") {
			clock = justStarted
		}
		if id, runs := answerSuccessor(c, clock); id != "other" || runs != 0 {
			t.Errorf("%s: got runner %s with %d runs, want other without runs", name, id, runs)
		}
		if report, _ := c.Report(); report.GetRunner().GetPredecessorEnded() != "r" {
			t.Errorf("%s: runner that has ended: got %q, want r", name, report.GetRunner().GetPredecessorEnded())
		}
	}
}

// Guards against a successor that is forgotten, or that is never polled again, while it waits.
func TestWaitingSuccessorIsPolledOnceThePredecessorHasNoRuns(t *testing.T) {
	c, task := newBusyController()
	answerSuccessor(c, startedBefore)
	c.mergeListing("r", Listing{StartedUnixMs: 5, Clock: 1100, Running: []RunStatus{{Task: task, Attempt: 1}}}, c.announcedAt+1)
	if call, mayWait, _ := c.nextPoll(); call.Runner != "r" || call.Until == 0 || !mayWait {
		t.Errorf("while the run goes on: got poll %+v, may wait %t, want one that renews the lease and may wait", call, mayWait)
	}
	if report, _ := c.Report(); !report.GetRunner().GetDraining() {
		t.Error("while the run goes on: got a runner that takes tasks, want a draining one")
	}
	c.mergeListing("r", Listing{StartedUnixMs: 5, Clock: 1200}, bootclock.Now().Add(time.Millisecond))
	if call, _, _ := c.nextPoll(); call.Runner != "other" {
		t.Errorf("after the end of the run: got a poll of %s, want one of other", call.Runner)
	}
	if id, _ := answerSuccessor(c, startedBefore); id != "other" {
		t.Errorf("after its answer: got runner %s, want other", id)
	}
}
