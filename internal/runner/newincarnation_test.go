package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
)

// leasingRunner applies the leases of its calls as a runner does: it shortens a lease to
// maxLease and never shortens one that it has.
type leasingRunner struct {
	fakeAPI
	clock, maxLease ClockTime
	runs            int

	leaseMu sync.Mutex // guards lease
	lease   ClockTime
}

func (r *leasingRunner) extend(until ClockTime) {
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	r.lease = max(r.lease, min(until, r.clock+r.maxLease))
}

// leaseEnd returns the end of the lease while calls may be under way.
func (r *leasingRunner) leaseEnd() ClockTime {
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	return r.lease
}

func (r *leasingRunner) Start(_ context.Context, call StartCall) (ClockTime, error) {
	if call.Until <= r.clock {
		return r.clock, fault.New("start", LeaseExpired, "scripted")
	}
	r.extend(call.Until)
	r.runs++
	return r.clock, nil
}

// The poll that finds a new incarnation with the same id carries a lease by the clock of the
// previous one, which the new one shortens to the maximum only. A run that starts then may
// outlast the grant: if the agent falls silent, the scheduler starts its task elsewhere
// beside it.
func TestLeaseOfNewIncarnationEndsWithinGrant(t *testing.T) {
	r := &leasingRunner{clock: 100, maxLease: 10_000}
	c := newReadyController(r)
	c.info.StartedUnixMs = 1
	c.setClock(1_000_000) // of the previous incarnation
	const grant = 6 * time.Second
	c.grantedUntil = bootclock.Now().Add(grant)
	c.handlePollError(context.Background(), "r", fault.New("poll", Unanswered, "scripted")) // the previous one has ended
	call, _, _ := c.nextPoll()
	if call.Until != 0 {
		r.extend(call.Until)
	}
	c.mergeListing("r", Listing{StartedUnixMs: 2, Clock: r.clock}, bootclock.Now())
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, starting: true}
	c.callStart(context.Background(), Incarnation{ID: "r", StartedUnixMs: 2}, StartOrder{Task: task, Attempt: 1})
	if left := time.Duration(r.lease-r.clock) * time.Millisecond; r.runs > 0 && left > grant {
		t.Errorf("lease of the run on the new incarnation: got %v, want at most the grant of %v", left, grant)
	}
}

// The next incarnation counts its ended runs anew. With the number up to which those of the
// previous one are recorded, the poll that finds it would let it forget ends that nobody has
// seen: tasks that are done would run again.
func TestPollAfterAFailedOneAcknowledgesNoEnds(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.recordedEnd = 57
	if call, _, _ := c.nextPoll(); call.Recorded != 57 {
		t.Errorf("recorded ends in a poll of a runner that answers: got %d, want 57", call.Recorded)
	}
	c.handlePollError(t.Context(), "r", fault.New("poll", Unanswered, "scripted"))
	if call, _, _ := c.nextPoll(); call.Recorded != 0 || call.Until != 0 {
		t.Errorf("poll after a failed one: got ends recorded up to %d and a lease until %d, want neither", call.Recorded, call.Until)
	}
}

// A start whose lease ends by the clock of an incarnation that may have ended is not sent.
func TestNoStartWhileTheRunnerDoesNotAnswer(t *testing.T) {
	api := &fakeAPI{}
	c := newReadyController(api)
	c.handlePollError(t.Context(), "r", fault.New("poll", Unanswered, "scripted"))
	c.Start(t.Context(), Incarnation{ID: "r"}, StartOrder{Task: workflow.TaskID{Job: "a"}, Attempt: 1})
	if got := api.recordedCalls(); len(got) != 0 || len(c.rejections) != 1 || c.rejections[0].Reason != LeaseExpired {
		t.Errorf("got calls %v and rejections %v, want none and one as %s", got, c.rejections, LeaseExpired)
	}
}

// A call that was sent to the incarnation before may give the new one a lease by the clock of
// that one. If the agent is lost then, only its report tells that the runs outlast the grant.
func TestRestartUnderTheSameIDReportsAStrayLease(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	if report, _ := c.Report(); report.GetRunner().GetStrayLeaseMs() != 0 {
		t.Errorf("before the restart: got a stray lease of %d ms, want none", report.GetRunner().GetStrayLeaseMs())
	}
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	report, _ := c.Report()
	if got, want := time.Duration(report.GetRunner().GetStrayLeaseMs())*time.Millisecond, c.MaxLease; got < want {
		t.Errorf("after the restart: got a stray lease of %v, want at least %v", got, want)
	}
}
