package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/generated"
	"wasabihill.example/wasabihill/internal/headers"
	standin "wasabihill.example/wasabihill/internal/standin/endpoint"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

func TestMain(m *testing.M) {
	generated.Configure(100)
	goleak.VerifyTestMain(m)
}

const ready, leaving, gone = wire.EndpointState_ENDPOINT_STATE_READY, wire.EndpointState_ENDPOINT_STATE_LEAVING, wire.EndpointState_ENDPOINT_STATE_GONE

// Guards against more requests at an endpoint than it has slots, against a slot
// that is never released, and against an order other than priority, then
// deadline.
func TestAdmissionKeepsSlotsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		a := &admission{slots: rapid.IntRange(1, 3).Draw(t, "slots"), maxQueued: 4}
		running := 0
		var queued []*waiter
		collect := func() {
			kept := queued[:0]
			for _, w := range queued {
				select {
				case reason := <-w.decision:
					if reason == "" {
						running++
						for _, o := range queued {
							if o != w && o.index >= 0 && o.precedes(w) {
								t.Fatalf("granted priority %v before %v", w.priority, o.priority)
							}
						}
					}
				default:
					kept = append(kept, w)
				}
			}
			queued = kept
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				w, reason := a.enqueue(units.Priority(rapid.IntRange(1, 4).Draw(t, "priority")), time.Now().Add(time.Hour), now)
				if w != nil {
					queued = append(queued, w)
				} else if reason == "" {
					running++
				}
			case 2:
				if running > 0 {
					running--
					a.release(time.Millisecond)
				}
			case 3:
				if len(queued) > 0 {
					a.cancel(queued[0])
					queued = queued[1:]
				}
			}
			collect()
			if running != a.busy || running > a.slots || len(queued) != len(a.queue) || len(queued) > a.maxQueued {
				t.Fatalf("got %d running, %d busy, %d queued of %d slots", running, a.busy, len(a.queue), a.slots)
			}
		}
	})
}

// Guards against work for requests that can no longer meet their deadline, and
// against rejections that arrive only after the deadline.
func TestAdmissionShedsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &admission{slots: 1, maxQueued: 8, serviceTime: 100 * time.Millisecond}
		ctx, start := t.Context(), time.Now()
		if reason := a.acquire(ctx, units.PriorityNormal, start.Add(time.Second)); reason != "" {
			t.Fatalf("got %q for a free slot", reason)
		}
		if reason := a.acquire(ctx, units.PriorityNormal, start.Add(150*time.Millisecond)); reason != headers.Overload || time.Since(start) != 0 {
			t.Errorf("got %q after %v, want %q at once", reason, time.Since(start), headers.Overload)
		}
		decision := make(chan headers.Reason)
		go func() { decision <- a.acquire(ctx, units.PriorityNormal, start.Add(250*time.Millisecond)) }()
		synctest.Wait()
		time.Sleep(200 * time.Millisecond)
		a.release(200 * time.Millisecond)
		if reason := <-decision; reason != headers.Overload {
			t.Errorf("got %q for a request with 50 ms left, want %q", reason, headers.Overload)
		}
		if reason := a.acquire(ctx, units.PriorityNormal, time.Now().Add(time.Millisecond)); reason != "" {
			t.Errorf("got %q for a free slot, want admission; otherwise the estimate never recovers", reason)
		}
	})
}

func announcementBody(state, address string) []byte {
	return fmt.Appendf(nil, `{"service":"desk","address":%q,"slots":2,"connections":4,"state":%q}`, address, state)
}

// Guards against new requests for an endpoint that is leaving or misses its
// announcements, and against two ready endpoints of one service at an agent.
func TestEndpointStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Options{})
		announce := func(state, address string) error {
			a, err := parseAnnouncement(announcementBody(state, address))
			if err != nil {
				t.Fatal(err)
			}
			_, err = f.applyAnnouncement(a, time.Now())
			return err
		}
		state := func() wire.EndpointState { return f.EndpointReports()[0].State }
		for _, step := range []struct {
			state, address string
			wait           time.Duration
			want           wire.EndpointState
			conflict       bool
		}{
			{"ready", "127.0.0.1:1", 0, ready, false},
			{"ready", "127.0.0.1:2", 0, ready, true},
			{"leaving", "127.0.0.1:1", 0, leaving, false},
			{"ready", "127.0.0.1:2", 0, ready, false},
			{"leaving", "127.0.0.1:1", 0, ready, false}, // from the replaced endpoint
			{"ready", "127.0.0.1:2", 3 * time.Second, ready, false},
			{"ready", "127.0.0.1:2", 4 * time.Second, gone, false},
			{"ready", "127.0.0.1:3", 0, ready, false},
		} {
			if err := announce(step.state, step.address); fault.Is(err, Conflict) != step.conflict {
				t.Errorf("%s %s: got error %v, want conflict %t", step.state, step.address, err, step.conflict)
			}
			time.Sleep(step.wait)
			if got := state(); got != step.want {
				t.Errorf("%s %s: got state %v, want %v", step.state, step.address, got, step.want)
			}
		}
	})
}

// forwardRequest sends one request through a Forwarder to a stand-in endpoint.
func forwardRequest(t *testing.T, method string, pairs ...string) (*httptest.ResponseRecorder, *standin.Endpoint) {
	t.Helper()
	f := New(Options{})
	agent := httptest.NewServer(f.AnnounceHandler())
	e, err := standin.New(standin.Options{Service: "desk", Agent: agent.URL})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; agent.Close() })
	for len(f.EndpointReports()) == 0 {
		time.Sleep(time.Millisecond)
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, "/services/desk/path?q=1", strings.NewReader("body"))
	for i := 0; i < len(pairs); i += 2 {
		r.Header.Set(pairs[i], pairs[i+1])
	}
	f.ServeHTTP(w, r)
	return w, e
}

// Guards against waiting for a TCP timeout on a connection that became
// unresponsive while the endpoint is running. An idempotent request is retried
// on a new connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	f := New(Options{})
	agent := httptest.NewServer(f.AnnounceHandler())
	defer agent.Close()
	release := make(chan struct{})
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			<-release
		}
	}))
	defer server.Close()
	defer close(release)
	a, err := parseAnnouncement(announcementBody("ready", strings.TrimPrefix(server.URL, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			_, _ = f.applyAnnouncement(a, time.Now())
			time.Sleep(50 * time.Millisecond)
		}
	}()
	defer func() { cancel(); <-ended }()
	for len(f.EndpointReports()) == 0 {
		time.Sleep(time.Millisecond)
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequest("GET", "/services/desk/", nil)
	r.Header.Set(headers.DeadlineHeader, "20s")
	f.ServeHTTP(w, r)
	if w.Code != http.StatusOK || requests.Load() != 2 {
		t.Errorf("got status %d after %d connections, want 200 after 2", w.Code, requests.Load())
	}
}

// Guards against an endpoint that sets the outcome header: only the agent may
// report that a request was not run.
func TestOutcomeOfEndpointIsIgnored(t *testing.T) {
	w, e := forwardRequest(t, "POST", standin.RequestIDHeader, "1", headers.DeadlineHeader, "5s")
	if got := w.Header().Get(headers.OutcomeHeader); w.Code != 200 || got != string(headers.Done) || e.Executed()["1"] != 1 {
		t.Errorf("got status %d, outcome %q, executed %v", w.Code, got, e.Executed())
	}
	h := make(http.Header)
	headers.CopyEndToEnd(h, http.Header{headers.OutcomeHeader: {"notRun"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"1"}})
	if len(h) != 1 || h.Get("X-Kept") != "1" {
		t.Errorf("got headers %v, want X-Kept only", h)
	}
}

// Checks the status of valid, repeated, conflicting and invalid announcements.
func TestAnnouncementStatus(t *testing.T) {
	h := New(Options{}).AnnounceHandler()
	for _, c := range []struct {
		name, method, body string
		status             int
	}{
		{"ready", "POST", string(announcementBody("ready", "127.0.0.1:80")), 204},
		{"repeated", "POST", string(announcementBody("ready", "127.0.0.1:80")), 204},
		{"second endpoint", "POST", string(announcementBody("ready", "127.0.0.1:81")), 409},
		{"leaving", "POST", string(announcementBody("leaving", "127.0.0.1:80")), 204},
		{"unknown state", "POST", string(announcementBody("asleep", "127.0.0.1:80")), 400},
		{"no address", "POST", string(announcementBody("ready", "localhost")), 400},
		{"truncated", "POST", `{"service":"desk"`, 400},
		{"too large", "POST", strings.Repeat(" ", maxAnnouncement+1), 413},
		{"other method", "GET", "", 405},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, "/v1/announce", strings.NewReader(c.body)))
		if w.Code != c.status {
			t.Errorf("%s: got status %d, want %d", c.name, w.Code, c.status)
		}
	}
}

// Guards against an endpoint that closes while an admitted request is still on
// its way to it, because the agent had told it that it may close.
func TestLeavingEndpointSeesAdmittedRequests(t *testing.T) {
	f := New(Options{})
	h := f.AnnounceHandler()
	arrived, answer := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-answer
	}))
	defer server.Close()
	announce := func(state string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/announce",
			strings.NewReader(string(announcementBody(state, strings.TrimPrefix(server.URL, "http://"))))))
		return w.Code
	}
	announce("ready")
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/services/desk/", nil))
	}()
	<-arrived
	if got, want := announce("leaving"), http.StatusAccepted; got != want {
		t.Errorf("with a request in flight: got status %d, want %d", got, want)
	}
	close(answer)
	<-done
	if got, want := announce("leaving"), http.StatusNoContent; got != want {
		t.Errorf("without a request in flight: got status %d, want %d", got, want)
	}
}

func FuzzAnnouncement(f *testing.F) {
	f.Add(announcementBody("ready", "127.0.0.1:80"))
	f.Add([]byte(`{"service":"","address":"[::1]:0","slots":-1}`))
	f.Add([]byte(`{"connections":1e99`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := parseAnnouncement(data)
		if err != nil {
			if !fault.Is(err, Malformed) {
				t.Fatalf("got error %v, want kind %s", err, Malformed)
			}
			return
		}
		if a.Slots < 1 || a.Connections < a.Slots || a.Service == "" || !json.Valid(data) {
			t.Fatalf("accepted %+v", a)
		}
	})
}
