package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// unresponsiveSession answers no call.
type unresponsiveSession struct{ done chan struct{} }

func (s unresponsiveSession) Call(ctx context.Context, _ string, _, _ Message) error {
	<-ctx.Done()
	return ctx.Err()
}
func (s unresponsiveSession) Done() <-chan struct{}    { return s.done }
func (s unresponsiveSession) Close()                   {}
func (s unresponsiveSession) Shutdown(context.Context) {}

// Guards against a lessee that never requests a lease from its new lessor because
// a request to the former, paused lessor is in flight when the term changes. In an
// acceptance run such a worker changed its lessor every 4.6 s.
func TestNewLessorIsRequestedWhileTheOldOneIsUnresponsive(t *testing.T) {
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
				t.Errorf("term %d: lease requested from %s, want %s", term, got, lessor)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("term %d: no lease was requested from %s", term, lessor)
		}
	}
}
