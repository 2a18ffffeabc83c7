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

// Guards against an endpoint that closes after a quiet moment although its agent
// still has an admitted request for it, as an agent without processor time does.
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
		t.Fatal("left while its agent had a request for it")
	case <-time.After(3 * leaveIdleTime):
	}
	response, err := http.Post("http://"+e.Address()+"/", "text/plain", strings.NewReader("x"))
	if err != nil {
		t.Fatalf("the late request: %v", err)
	}
	response.Body.Close()
	admitted.Store(false)
	<-left
}
