package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against an endpoint that exits after a short idle time although its agent
// has admitted a request for it that is still to arrive, which happens when the
// agent is starved of processor time.
func TestLeavingEndpointWaitsForItsAgent(t *testing.T) {
	var admitted atomic.Bool
	var leaving atomic.Int64
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		if strings.Contains(string(text), "leaving") {
			leaving.Add(1)
		}
		if admitted.Load() {
			w.WriteHeader(http.StatusAccepted)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer agent.Close()
	e, err := New(Options{Service: "desk", Agent: agent.URL})
	if err != nil {
		t.Fatal(err)
	}
	admitted.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan struct{})
	go func() { defer close(left); _ = e.Run(ctx) }()
	cancel()
	for leaving.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-left:
		t.Fatal("endpoint exited while its agent had an admitted request for it")
	case <-time.After(3 * leaveIdleTime):
	}
	response, err := http.Post("http://"+e.Address()+"/", "text/plain", strings.NewReader("x"))
	if err != nil {
		t.Fatalf("request while leaving: %v", err)
	}
	response.Body.Close()
	admitted.Store(false)
	<-left
}
