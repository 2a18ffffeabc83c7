package taskrunner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// newTestAgent returns the address of an agent that answers heartbeats with status, and the
// paths of those that it has received.
func newTestAgent(t *testing.T, status int) (string, <-chan string) {
	received := make(chan string, 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		received <- q.URL.Path
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), received
}

// TestHeartbeatGoesToTheNextAgent guards against a runner that falls silent with its agent.
func TestHeartbeatGoesToTheNextAgent(t *testing.T) {
	own, atOwn := newTestAgent(t, http.StatusServiceUnavailable)
	next, atNext := newTestAgent(t, http.StatusOK)
	last, atLast := newTestAgent(t, http.StatusOK)
	for _, keeps := range []bool{false, true} {
		r := newTestRunner("runner-1")
		r.KeepsAgent = keeps
		before := len(atOwn)
		ctx, cancel := context.WithCancel(t.Context())
		go r.Announce(ctx, "127.0.0.1:1", own, next, last)
		for range 3 {
			if got := <-atNext; got != "/api/instances/runner-1/heartbeat" {
				t.Errorf("path: got %q", got)
			}
		}
		cancel()
		if got := len(atOwn) - before; (got == 1) != keeps {
			t.Errorf("keeps agent %t: heartbeats at the own agent, which rejects them: got %d", keeps, got)
		}
		time.Sleep(2 * heartbeatInterval)
		for len(atNext) > 0 {
			<-atNext
		}
	}
	if len(atLast) > 0 {
		t.Errorf("heartbeats at the agent after the one that acknowledges: got %d, want none", len(atLast))
	}
}

// TestLateHeartbeatOutlivesItsSender guards against a crash that takes back what is on its way.
func TestLateHeartbeatOutlivesItsSender(t *testing.T) {
	agent, received := newTestAgent(t, http.StatusOK)
	r := newTestRunner("runner-1")
	r.Set(Fault{HeartbeatDelay: 2 * heartbeatInterval})
	go r.Announce(t.Context(), "127.0.0.1:1", agent)
	time.Sleep(heartbeatInterval)
	r.Crash()
	if len(received) > 0 {
		t.Error("got a heartbeat before the delay")
	}
	select {
	case <-received:
	case <-time.After(10 * heartbeatInterval):
		t.Error("no heartbeat after the crash")
	}
}
