package runner

import (
	"context"
	"testing"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// announceOther announces a runner "other", which has started at 9.
func announceOther(c *Controller, sequence int64, draining bool) {
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "other", StartedUnixMs: 9}, Sequence: sequence, Draining: draining}, 1)
}

// answerOther lets the runner "other", started at the given time, answer after the one before has
// crashed, and reports whether it counts as draining.
func answerOther(t *testing.T, c *Controller, startedUnixMs int64) (draining bool) {
	t.Helper()
	crash(c)
	c.mergeListing("other", Listing{StartedUnixMs: startedUnixMs, Clock: 1}, bootclock.Now())
	report, _ := c.Report()
	if got := report.GetRunner().GetId(); got != "other" {
		t.Errorf("runner after the answer: got %s, want other", got)
	}
	return report.GetRunner().GetDraining()
}

// Guards against a deregistration that is lost because the runner has not answered yet: it would
// get tasks while it ends.
func TestDeregisteredCandidateDrains(t *testing.T) {
	c, _ := newBusyController()
	announceOther(c, 7, false)
	c.HandleDeregistration(Incarnation{ID: "other"})
	if !answerOther(t, c, 9) {
		t.Error("after the deregistration: got a runner that takes tasks, want a draining one")
	}
}

// Guards against a deregistration that a heartbeat sent before it cancels.
func TestDeregisteredCandidateDrainsAfterAHeartbeat(t *testing.T) {
	c, _ := newBusyController()
	announceOther(c, 7, false)
	c.HandleDeregistration(Incarnation{ID: "other"})
	announceOther(c, 8, false)
	if !answerOther(t, c, 9) {
		t.Error("after the deregistration and a heartbeat: got a runner that takes tasks, want a draining one")
	}
}

// Guards against a late heartbeat that hides that the runner drains.
func TestLateHeartbeatLeavesTheCandidateDraining(t *testing.T) {
	c, _ := newBusyController()
	announceOther(c, 7, true)
	announceOther(c, 3, false)
	if !answerOther(t, c, 9) {
		t.Error("after a late heartbeat: got a runner that takes tasks, want a draining one")
	}
}

// Guards against a runner that never takes tasks, or is never known by its start, because an
// earlier life under its id announced itself: the life that answers is another one.
func TestAnswerOfALaterLifeThanAnnounced(t *testing.T) {
	c, _ := newBusyController()
	announceOther(c, 7, true)
	if answerOther(t, c, 12) {
		t.Error("after the answer of the next life: got a draining runner, want one that takes tasks")
	}
	if report, _ := c.Report(); report.GetRunner().GetBornUnixMs() != 12 {
		t.Errorf("start of the runner: got %d, want 12", report.GetRunner().GetBornUnixMs())
	}
}

// A runner that starts again under its id may be of another kind and size. Guards against a start
// on one that has not said yet what it is, as a list has shown the restart.
func TestNoStartBeforeARestartedRunnerSaysWhatItIs(t *testing.T) {
	api := &fakeAPI{}
	c := newReadyController(api)
	c.info.StartedUnixMs, c.info.Labels = 5, []string{"big"}
	c.mergeListing("r", Listing{StartedUnixMs: 9, Clock: 1}, bootclock.Now())
	c.mergeListing("r", Listing{StartedUnixMs: 9, Clock: 2}, c.restartedAt+1)
	c.Start(context.Background(), Incarnation{ID: "r", StartedUnixMs: 9}, StartOrder{Task: workflow.TaskID{Job: "a"}, Attempt: 1})
	if got := len(c.rejections); got != 1 {
		t.Errorf("start before the first announcement of the new life: got %d rejections, want 1", got)
	}
}
