package runner

import (
	"context"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
)

// staleClockRunner rejects each start whose lease has expired by its clock, and answers no
// stop while muteStops is set.
type staleClockRunner struct {
	leasingRunner
	muteStops bool
	stops     int
	onStart   func()
}

func (r *staleClockRunner) Start(ctx context.Context, call StartCall) (ClockTime, error) {
	if r.onStart != nil {
		r.onStart()
	}
	return r.leasingRunner.Start(ctx, call)
}

func (r *staleClockRunner) Stop(context.Context, StopCall) (ClockTime, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.muteStops {
		return 0, fault.New("stop", Unanswered, "scripted")
	}
	r.stops++
	return r.clock, nil
}

// After a freeze the reading of the runner's clock is old, so that all leases count as
// ended, and a stop that is not answered is given up. The start that it was to stop is
// repeated with a newer reading, and runs. Further stops are dropped, because one counts as
// being under way.
func TestStopOfARepeatedStartIsNotForgotten(t *testing.T) {
	r := &staleClockRunner{leasingRunner: leasingRunner{clock: 40_000, maxLease: 10_000}, muteStops: true}
	c := newReadyController(r)
	c.nextPoll() // sends a lease by the reading of 1000
	c.expireLeases()
	task := workflow.TaskID{Job: "a"}
	order := StartOrder{Task: task, Attempt: 1}
	c.runs[task] = &run{attempt: 1, starting: true}
	r.onStart = func() { // the stop is ordered while the first call is under way
		r.onStart = nil
		c.mu.Lock()
		c.runs[task].stopping = true
		call := StopCall{Runner: "r", Token: c.fencingToken(), Task: task, Attempt: 1}
		c.mu.Unlock()
		c.callStop(context.Background(), call)
	}
	c.callStart(context.Background(), Incarnation{ID: "r"}, order)
	r.mu.Lock()
	r.muteStops = false
	r.mu.Unlock()
	for range 3 { // the scheduler orders the stop of a listed run again
		c.Stop(context.Background(), task, 1)
	}
	time.Sleep(50 * time.Millisecond) // Stop calls the runner in the background
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs > 0 && r.stops == 0 {
		t.Errorf("start after its stop: got %d runs and %d stops, want no run or a stop", r.runs, r.stops)
	}
}
