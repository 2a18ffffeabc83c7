package runner

import (
	"context"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The tests in this file guard against a run that starts after the agent has reported that
// it never will or that nothing runs: its task has been started elsewhere meanwhile.

// expireLeases makes every lease that was sent until now an expired one.
func (c *Controller) expireLeases() {
	c.mu.Lock()
	c.clockReadAt = c.clockReadAt.Add(-2 * c.MaxLease)
	c.mu.Unlock()
}

// silentAPI answers no call, and calls duringStop in each stop.
type silentAPI struct {
	fakeAPI
	token      FencingToken // of the last start
	duringStop func()
}

func (s *silentAPI) Start(_ context.Context, call StartCall) (ClockTime, error) {
	s.token = call.Token
	return 0, fault.New("start", Unanswered, "scripted")
}

func (s *silentAPI) Stop(context.Context, StopCall) (ClockTime, error) {
	s.duringStop()
	return 0, fault.New("stop", Unanswered, "scripted")
}

// An unanswered start whose stop is not answered either is given up once all leases have
// ended. The runner may carry it out when a later call has extended its lease, unless that
// call carries a higher token.
func TestUnansweredStartIsFencedOnceLeasesHaveEnded(t *testing.T) {
	api := &silentAPI{}
	c := newReadyController(api)
	api.duringStop = c.expireLeases
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, starting: true}
	c.callStart(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
	poll, _, _ := c.nextPoll()
	if poll.Token <= api.token {
		t.Errorf("token of the next poll: got %d, want more than that of the start, %d", poll.Token, api.token)
	}
	c.mergeListing("r", Listing{Clock: 30_000}, bootclock.Now().Add(time.Millisecond))
	if got := len(c.runs); got != 0 {
		t.Errorf("runs after a listing without them: got %d, want 0", got)
	}
}

// A stop that is given up because all leases have ended must leave nothing that can start.
func TestUnansweredStopIsFencedOnceLeasesHaveEnded(t *testing.T) {
	api := &silentAPI{}
	c := newReadyController(api)
	api.duringStop = c.expireLeases
	before, _, _ := c.nextPoll()
	c.callStop(context.Background(), StopCall{Runner: "r", Token: before.Token, Task: workflow.TaskID{Job: "a"}, Attempt: 1})
	if after, _, _ := c.nextPoll(); after.Token <= before.Token {
		t.Errorf("token of the next poll: got %d, want more than %d", after.Token, before.Token)
	}
}

// A token that rises with every report would exhaust its range.
func TestTokenRisesOnceForEachEndOfLeases(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	before, _, _ := c.nextPoll()
	c.unresponsive = true
	c.expireLeases()
	c.Report()
	first := c.fencingToken()
	c.Report()
	if got := c.fencingToken(); first != before.Token+1 || got != first {
		t.Errorf("tokens before, after one and after two reports: got %d, %d, %d, want a rise by 1 at the first", before.Token, first, got)
	}
}

// The scheduler releases all tasks of a runner that is reported as empty.
func TestRunnerIsNotEmptyWhileAStartIsCarriedOut(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, starting: true}
	c.nextPoll()
	c.unresponsive = true
	c.expireLeases()
	if report, _ := c.Report(); !report.GetRunner().GetSilent() || report.GetRunner().GetEmpty() {
		t.Errorf("while a start is carried out: got silent %t, empty %t; want true, false", report.GetRunner().GetSilent(), report.GetRunner().GetEmpty())
	}
	delete(c.runs, task)
	if report, _ := c.Report(); !report.GetRunner().GetEmpty() {
		t.Error("after the start has failed: got not empty, want empty")
	}
}

// An order that arrives after the report that nothing runs must be rejected, because the
// scheduler may already have started the task elsewhere.
func TestNoStartAfterReportOfEmptyRunner(t *testing.T) {
	api := &fakeAPI{}
	c := newReadyController(api)
	c.nextPoll()
	c.unresponsive = true
	c.expireLeases()
	if report, _ := c.Report(); !report.GetRunner().GetEmpty() {
		t.Fatal("got a runner that is not empty, want an empty one")
	}
	c.Start(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: workflow.TaskID{Job: "a"}, Attempt: 1})
	if report, _ := c.Report(); len(report.GetRejected()) != 1 || len(report.GetRunning()) != 0 {
		t.Errorf("start after the report: got %d rejections and %d runs, want 1 and 0", len(report.GetRejected()), len(report.GetRunning()))
	}
}

// clockAPI rejects each start with a lease that has expired by its clock.
type clockAPI struct {
	fakeAPI
	clock  ClockTime
	starts int
}

func (a *clockAPI) Start(_ context.Context, call StartCall) (ClockTime, error) {
	a.starts++
	if call.Until <= a.clock {
		return a.clock, fault.New("start", LeaseExpired, "scripted")
	}
	return a.clock, nil
}

// After a freeze of the agent the reading of the runner's clock is old. A start whose lease
// is computed from it is rejected, and so was each further one until the next listing. The
// rejection contains the clock.
func TestStartIsRepeatedWithTheClockOfItsRejection(t *testing.T) {
	api := &clockAPI{clock: 20_000}
	c := newReadyController(api)
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, starting: true}
	c.callStart(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
	if api.starts != 2 || len(c.rejections) != 0 {
		t.Errorf("start with an old reading of the clock: got %d calls and %d rejections, want 2 and none", api.starts, len(c.rejections))
	}
}

// A rejection that brings no newer reading is final: a repetition would fail as well.
func TestStartIsNotRepeatedWithoutALongerLease(t *testing.T) {
	api := &fakeAPI{starts: []Kind{LeaseExpired}}
	c := newReadyController(api)
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, starting: true}
	c.callStart(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
	if got := api.recordedCalls(); len(got) != 1 || len(c.rejections) != 1 || c.rejections[0].Reason != LeaseExpired {
		t.Errorf("got calls %v and rejections %v, want one start and one rejection as %s", got, c.rejections, LeaseExpired)
	}
}

// A reply that arrives after the runner has been replaced says nothing about the clock of
// the new incarnation. With the clock of the previous one its leases would be too long.
func TestClockOfPreviousIncarnationIsIgnored(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	err := c.callRunner(context.Background(), func(context.Context) (ClockTime, error) {
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 5)
		return 90_000, nil
	})
	if err != nil || c.runnerClock != 5 {
		t.Errorf("clock of the runner: got %d, %v, want 5", c.runnerClock, err)
	}
}

// A poll after a failed one must not wait for the end of a run: until it is answered, the
// lists and the clock of the runner are old.
func TestPollAfterAFailedOneDoesNotWait(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	if _, mayWait, _ := c.nextPoll(); !mayWait {
		t.Error("poll of a runner that answers: got one that may not wait, want one that may")
	}
	c.unresponsive = true
	if _, mayWait, _ := c.nextPoll(); mayWait {
		t.Error("poll after a failed one: got one that may wait, want one that may not")
	}
}
