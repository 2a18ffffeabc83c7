package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
)

// hangingPaceAPI answers no call that sets a pace, and each poll after pollTime.
type hangingPaceAPI struct {
	fakeAPI
	polls, paces atomic.Int64
}

const pollTime = 20 * time.Millisecond

func (a *hangingPaceAPI) SetPace(ctx context.Context, _ PaceCall) (ClockTime, error) {
	a.paces.Add(1)
	<-ctx.Done()
	return 0, ctx.Err()
}

func (a *hangingPaceAPI) Poll(context.Context, PollCall) (Listing, error) {
	n := a.polls.Add(1)
	time.Sleep(pollTime)
	listing := Listing{StartedUnixMs: 1, Clock: ClockTime(1000 + n), Ended: []EndedRun{}}
	for i := range 6 {
		listing.Running = append(listing.Running, RunStatus{Task: workflow.TaskID{Job: "j", Index: i}, Attempt: 1})
	}
	return listing, nil
}

// Guards against a lease that runs out while the calls between two polls have no answer: each once
// cost its timeout, and the next poll, which renews the lease, waited for all of them.
func TestPollsDoNotWaitForPaces(t *testing.T) {
	api := &hangingPaceAPI{}
	c := newReadyController(api)
	c.info.StartedUnixMs = 1
	for i := range 6 {
		c.runs[workflow.TaskID{Job: "j", Index: i}] = &run{attempt: 1, bestEffort: true, pace: 50, paceUnconfirmed: true}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*callTimeout)
	defer cancel()
	if err := c.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got, want := api.polls.Load(), int64(10); got < want || api.paces.Load() == 0 {
		t.Errorf("while %d calls that set a pace had no answer: got %d polls within %v, want at least %d", api.paces.Load(), got, 2*callTimeout, want)
	}
}

// Guards against a panic beside the polls that ends the process instead of the controller.
func TestPanicOfPacingEndsRun(t *testing.T) {
	p := startPacing(t.Context(), func(context.Context) { panic("scripted") })
	p.adjust()
	p.wait()
	defer func() {
		if got := recover(); got != "scripted" {
			t.Errorf("got panic %v, want that of the adjustment", got)
		}
	}()
	p.repanic()
}
