package runner

import (
	"context"
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
	clock, lease, maxLease ClockTime
	runs                   int
}

func (r *leasingRunner) extend(until ClockTime) {
	r.lease = max(r.lease, min(until, r.clock+r.maxLease))
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
