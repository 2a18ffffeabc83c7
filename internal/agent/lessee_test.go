package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// silentSession answers no call.
type unresponsiveSession struct{ done chan struct{} }

func (s unresponsiveSession) Call(ctx context.Context, _ string, _, _ Message) error {
	<-ctx.Done()
	return ctx.Err()
}
func (s unresponsiveSession) Done() <-chan struct{}    { return s.done }
func (s unresponsiveSession) Close()                   {}
func (s unresponsiveSession) Shutdown(context.Context) {}

// Guards against a lessee that never asks its new lessor, because the request
// to the old one, which is paused, is still out when the term changes. The
// acceptance run showed it as a worker that changed its lessor every 4.6 s.
func TestNewLessorIsAskedWhileTheOldOneIsSilent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	dialled := make(chan string, 4)
	a := &Agent{
		WorkerID: "worker-1",
		Dial: func(_ context.Context, address string, _ http.Handler) (Session, error) {
			dialled <- address
			return unresponsiveSession{make(chan struct{})}, nil
		},
	}
	a.init()
	a.ctx = ctx
	defer func() { cancel(); close(a.done); a.group.Wait() }()
	a.adopted, a.epoch, a.lease.registered = true, 7, true
	for i, lessor := range []string{"worker-2", "worker-3"} {
		now := time.Now()
		term := units.Term(i + 1)
		a.beginTerm(&wire.HeartbeatReply{Lessor: lessor, LessorEpoch: 1, LessorAddress: lessor}, term, now)
		a.tickLease(now)
		select {
		case got := <-dialled:
			if got != lessor {
				t.Errorf("term %d: asked %s, want %s", term, got, lessor)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("term %d: %s was never asked", term, lessor)
		}
	}
}
