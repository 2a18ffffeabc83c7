package taskrunner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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

// TestHeartbeatGoesToTheNextAgent guards against a runner that falls silent with its agent, and
// against one that announces itself elsewhere before its own agent has started.
func TestHeartbeatGoesToTheNextAgent(t *testing.T) {
	var status atomic.Int64
	status.Store(http.StatusServiceUnavailable)
	own := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) }))
	t.Cleanup(own.Close)
	next, atNext := newTestAgent(t, http.StatusOK)
	last, atLast := newTestAgent(t, http.StatusOK)
	r := newTestRunner("runner-1")
	go r.Announce(t.Context(), "127.0.0.1:1", strings.TrimPrefix(own.URL, "http://"), next, last)
	for _, s := range []int64{http.StatusServiceUnavailable, http.StatusOK} {
		status.Store(s)
		time.Sleep(3 * heartbeatInterval)
		if got := len(atNext); got > 0 {
			t.Errorf("own agent answers %d, and has not acknowledged a heartbeat before: got %d heartbeats at the next one, want none", s, got)
		}
	}
	status.Store(http.StatusServiceUnavailable)
	for range 3 {
		if got := <-atNext; got != "/api/instances/runner-1/heartbeat" {
			t.Errorf("path: got %q", got)
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
