package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wasabihill.example/wasabihill/internal/standin/endpoint"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestAnswersAreChecked guards against checks that accept wrong responses. It sends
// the same requests to a correct endpoint and to one whose responses have a wrong
// request ID and no digests.
func TestAnswersAreChecked(t *testing.T) {
	e, err := endpoint.New(endpoint.Options{ResponseBytes: 300})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = e.Run(ctx) }()
	defer func() { cancel(); <-stopped }()
	wrongEndpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(endpoint.RequestIDHeader, "other")
		_, _ = w.Write([]byte("cut"))
	}))
	defer wrongEndpoint.Close()
	for _, c := range []struct {
		target string
		faults int
	}{{"http://" + e.Address(), 0}, {wrongEndpoint.URL, 3}} {
		r, err := Run(t.Context(), Options{Targets: []string{c.target}, Rate: 500, Duration: 100 * time.Millisecond, MaxInFlight: 8, BodyBytes: 64, Prefix: "t-"})
		if err != nil {
			t.Fatal(err)
		}
		if r.Planned != 50 || r.Outcomes["done"] != 50 || len(r.Faults) != c.faults {
			t.Errorf("%s: got %d planned, outcomes %v, faults %v; want 50 done and %d kinds of violations", c.target, r.Planned, r.Outcomes, r.Faults, c.faults)
		}
	}
	if got := len(e.Executed()); got != 50 {
		t.Errorf("got %d executed request IDs, want 50", got)
	}
}

// TestLatencyCountsFromPlannedTime guards against latency measured from the send
// time, which hides a stall: the stall of a server must show in the latency of the
// requests planned during it.
func TestLatencyCountsFromPlannedTime(t *testing.T) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		select {
		case <-first:
			time.Sleep(200 * time.Millisecond)
		default:
		}
	}))
	defer s.Close()
	r, err := Run(t.Context(), Options{Targets: []string{s.URL}, Rate: 100, Duration: 200 * time.Millisecond, MaxInFlight: 1})
	if err != nil {
		t.Fatal(err)
	}
	if r.Done.Median < 50*time.Millisecond {
		t.Errorf("got median latency %v, want at least 50 ms because of the stall", r.Done.Median)
	}
}
