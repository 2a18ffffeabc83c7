package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
)

// bornlessRunner is a runner "second" that says of itself when it was started in none of its
// answers. It notes up to which number it was last told to forget ends.
type bornlessRunner struct {
	runner.API
	recorded atomic.Uint64
}

func (r *bornlessRunner) Poll(ctx context.Context, call runner.PollCall) (runner.Listing, error) {
	pause.For(ctx, 5*time.Millisecond)
	r.recorded.Store(max(r.recorded.Load(), call.Recorded))
	return runner.Listing{Clock: 1}, nil
}

// Guards against ends that are forgotten before anyone has seen them: a message that was sent for
// the runner before says up to which of its ends the records are durable, and the runner that has
// replaced it is told to forget as many. The tasks whose ends are lost run again.
func TestRecordedEndsOfAnotherRunnerDoNotCount(t *testing.T) {
	a, _ := testAgent(t)
	api := &bornlessRunner{}
	a.Controller.API = api
	a.Controller.HandleAnnouncement(runner.Info{Incarnation: runner.Incarnation{ID: "second"}}, 1)
	runUntilCleanup(t, a.Controller.Run)
	if _, err := a.handleAttach(t.Context(), &wire.Attach{Term: 3, Leader: "leader", Attachment: 1, Worker: "agent"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the runner has answered
	if _, err := a.handleOrders(t.Context(), &wire.Orders{Term: 3, Attachment: 1, Runner: "first", Recorded: 57}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if got := api.recorded.Load(); got != 0 {
		t.Errorf("after orders for the runner before with 57 durable ends: got the present one told to forget those up to %d, want 0", got)
	}
}
