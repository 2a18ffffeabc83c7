package runner

import (
	"context"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
)

// endingRunner answers polls with one end until that is acknowledged.
type endingRunner struct {
	fakeAPI
	stop     context.CancelFunc
	recorded func()
	dropped  bool
	polls    []uint64 // the acknowledged number in each poll
}

func (r *endingRunner) Poll(_ context.Context, call PollCall) (Listing, error) {
	r.polls = append(r.polls, call.Recorded)
	if len(r.polls) == maxPolls {
		r.stop()
	}
	r.recorded()
	l := Listing{StartedUnixMs: 1, Clock: ClockTime(100 * len(r.polls))}
	if r.dropped = r.dropped || call.Recorded >= 1; !r.dropped {
		l.Ended = []EndedRun{{Number: 1, Task: workflow.TaskID{Job: "a"}, Attempt: 1, End: workflow.Done}}
	}
	return l, nil
}

const maxPolls = 6

// A runner that restarts under its id counts its ends anew. Guards against polls that repeat the
// acknowledgement of the life before for ever: the first of them to reach the next life, at
// once or late, would let it forget ends that nobody has seen, and tasks that are done run again.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r := &endingRunner{stop: cancel}
	c := &Controller{API: r, MaxLease: 10 * time.Second}
	incarnation := Incarnation{ID: "r", StartedUnixMs: 1}
	r.recorded = func() { c.MarkRecorded(incarnation, 1) }
	c.HandleAnnouncement(Info{Incarnation: incarnation}, 1)
	if err := c.Run(ctx); err != nil {
		t.Fatal(err)
	}
	carrying := 0
	for _, recorded := range r.polls {
		if recorded != 0 {
			carrying++
		}
	}
	if got, want := carrying, 1; got != want || !r.dropped {
		t.Errorf("polls that acknowledge the end: got %d of %v, want %d; acknowledged: got %t, want true", got, r.polls, want, r.dropped)
	}
}
