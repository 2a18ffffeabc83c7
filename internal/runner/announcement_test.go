package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
)

// newBusyController returns a controller with a run on its runner r, which has started at 5.
func newBusyController() (*Controller, workflow.TaskID) {
	c := newReadyController(&fakeAPI{})
	c.startedAt = bootclock.Now().Add(-time.Hour)
	task := workflow.TaskID{Job: "a"}
	c.info.StartedUnixMs = 5
	c.runs[task] = &run{attempt: 1, confirmedAt: bootclock.Now()}
	c.leaseUntil = 7000
	return c, task
}

func rejectPoll(t *testing.T, c *Controller, id string) {
	c.handlePollError(t.Context(), id, fault.New("poll", WrongIncarnation, "scripted"))
}

// An announcement that is late or of another program must not end the runs of the runner that
// is there: their tasks would start elsewhere beside them.
func TestAnnouncementAloneReplacesNoRunner(t *testing.T) {
	c, task := newBusyController()
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "other", StartedUnixMs: 9}}, 1)
	report, _ := c.Report()
	if r := report.GetRunner(); r.GetId() != "r" || r.GetSilent() || len(report.GetRunning()) != 1 {
		t.Errorf("after the announcement: got runner %v and runs %v, want r with its run", r, report.GetRunning())
	}
	call, mayWait, _ := c.nextPoll()
	if call.Runner != "other" || call.Until != 0 || call.Recorded != 0 || mayWait {
		t.Errorf("next poll: got %+v, may wait %t, want one of the other runner at once, without a lease and recorded ends", call, mayWait)
	}
	rejectPoll(t, c, "other")
	if call, _, _ := c.nextPoll(); call.Runner != "r" || call.Until == 0 || c.runs[task] == nil {
		t.Errorf("after the other runner is not there: got poll %+v and runs %v, want a lease for r and its run", call, c.runs)
	}
}

// While nobody answers, the announcement of another runner must not hide the leases of the one
// before: reported as empty, its tasks would start elsewhere beside their runs.
func TestLeasesOutlastAnUnansweredAnnouncement(t *testing.T) {
	c, _ := newBusyController()
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "other", StartedUnixMs: 9}}, 1)
	c.handlePollError(t.Context(), "other", fault.New("poll", Unanswered, "scripted"))
	report, _ := c.Report()
	if r := report.GetRunner(); r.GetId() != "r" || !r.GetSilent() || r.GetEmpty() {
		t.Errorf("got runner %s, silent %t, empty %t; want r, silent and not empty", r.GetId(), r.GetSilent(), r.GetEmpty())
	}
}

// An agent that has just started must not take the first announcement for the runner that is
// there. The scheduler would hold the runs of the other one for lost.
func TestRunnerIsReportedOnceItHasAnswered(t *testing.T) {
	c := &Controller{API: &fakeAPI{}, MaxLease: 10 * time.Second}
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "late", StartedUnixMs: 5}}, 1)
	if report, _ := c.Report(); report.GetRunner() != nil {
		t.Errorf("before an answer: got runner %v, want none", report.GetRunner())
	}
	rejectPoll(t, c, "late")
	if _, _, ok := c.nextPoll(); ok {
		t.Error("after the runner is not there: got another poll, want none")
	}
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "present", StartedUnixMs: 9}}, 1)
	call, _, _ := c.nextPoll()
	c.mergeListing(call.Runner, Listing{StartedUnixMs: 9, Clock: 1, Running: []RunStatus{{Task: workflow.TaskID{Job: "a"}, Attempt: 1}}}, bootclock.Now())
	report, _ := c.Report()
	if r := report.GetRunner(); r.GetId() != "present" || r.GetSilent() || len(report.GetRunning()) != 1 {
		t.Errorf("after the answer: got runner %v and runs %v, want the present one with its run", r, report.GetRunning())
	}
}

// The answer of another runner, after the one before has crashed, proves that its runs have
// ended, so its tasks start anew.
func TestAnswerReplacesTheRunner(t *testing.T) {
	c, _ := newBusyController()
	before, _, _ := c.nextPoll()
	crash(c)
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "other", StartedUnixMs: 9}}, 1)
	c.mergeListing("other", Listing{StartedUnixMs: 9, Clock: 1}, bootclock.Now())
	report, _ := c.Report()
	if r := report.GetRunner(); r.GetId() != "other" || r.GetSilent() || len(report.GetRunning()) != 0 {
		t.Errorf("got runner %v and runs %v, want the other one without runs", r, report.GetRunning())
	}
	if after, _, _ := c.nextPoll(); after.Token <= before.Token {
		t.Errorf("token: got %d, want more than %d", after.Token, before.Token)
	}
}

// A drained runner that starts again under its id may answer a poll before it announces
// itself. As a draining one it would never get a task again.
func TestRestartFoundByAListDoesNotDrain(t *testing.T) {
	c, _ := newBusyController()
	c.info.Draining = true
	c.mergeListing("r", Listing{StartedUnixMs: 9, Clock: 1}, bootclock.Now())
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 9}, Sequence: 1}, 1)
	if report, _ := c.Report(); report.GetRunner().GetDraining() {
		t.Error("after the restart: got a draining runner, want one that takes tasks")
	}
}
