package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
)

func TestMain(m *testing.M) {
	// After a request that is too large, net/http keeps the connection for 500 ms,
	// which is longer than goleak waits. The goroutine then ends by itself.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// newSessionPair opens a session and returns its dialled end and the listener
// of the accepted end.
func newSessionPair(t testing.TB, dialled, accepted http.Handler) (*Session, *Listener) {
	t.Helper()
	l := &Listener{Address: "127.0.0.1:0", Handler: accepted}
	address, err := l.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = l.Run(ctx) }()
	s, err := Dial(ctx, address.String(), dialled)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		cancel()
		<-ended
		expired, stop := context.WithCancel(context.Background())
		stop()
		l.Shutdown(expired)
	})
	return s, l
}

func newRequest(ctx context.Context, path string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://link"+path, nil)
	if err != nil {
		panic(err)
	}
	return r
}

// Guards against a request that runs twice because net/http sends it again on a
// reused stream that the peer closed without a response.
func TestRequestIsSentAtMostOnce(t *testing.T) {
	var executed atomic.Int64
	s, _ := newSessionPair(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			executed.Add(1)
			panic(http.ErrAbortHandler)
		}
	}))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		executed.Store(0)
		response, err := s.RoundTrip(newRequest(t.Context(), "/ok"))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		r := newRequest(t.Context(), "/cut")
		r.Method = method
		r.Header.Set("Idempotency-Key", "1")
		if _, err := s.RoundTrip(r); !fault.Is(err, Unknown) {
			t.Errorf("%s: got error %v, want kind %s", method, err, Unknown)
		}
		if got := executed.Load(); got != 1 {
			t.Errorf("%s: executed %d times, want 1", method, got)
		}
	}
}

// Guards against kind NotSent for a request that was sent, and against kind
// Unknown when no byte was written, which would prevent a permitted retry.
func TestErrorKinds(t *testing.T) {
	release := make(chan struct{})
	s, _ := newSessionPair(t, nil, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	}))
	defer close(release)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.RoundTrip(newRequest(ended, "/")); !fault.Is(err, NotSent) {
		t.Errorf("cancelled before the send: got %v, want %s", err, NotSent)
	}
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := s.RoundTrip(newRequest(short, "/wait")); !fault.Is(err, Unknown) {
		t.Errorf("cancelled after the send: got %v, want %s", err, Unknown)
	}
	s.Close()
	if _, err := s.RoundTrip(newRequest(t.Context(), "/")); !fault.Is(err, NotSent) {
		t.Errorf("closed session: got %v, want %s", err, NotSent)
	}
	if _, err := Dial(ended, "127.0.0.1:1", nil); !fault.Is(err, NotSent) {
		t.Errorf("failed dial: got %v, want %s", err, NotSent)
	}
}

// Guards against a shutdown that interrupts a request. Whichever side shuts
// down, every request must be answered or fail with kind NotSent.
func TestShutdownCutsOffNoRequest(t *testing.T) {
	var executed atomic.Int64
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(2 * time.Millisecond)
		executed.Add(1)
	})
	for _, side := range []string{"dialled", "accepted"} {
		executed.Store(0)
		s, l := newSessionPair(t, handler, handler)
		var answered, interrupted atomic.Int64
		var wait sync.WaitGroup
		for range 32 {
			wait.Go(func() {
				for range 10_000 { // stops when the session ends
					response, err := s.RoundTrip(newRequest(context.Background(), "/"))
					switch {
					case fault.Is(err, NotSent):
						return
					case err != nil:
						interrupted.Add(1)
						return
					}
					response.Body.Close()
					answered.Add(1)
				}
			})
		}
		for answered.Load() < 200 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if side == "dialled" {
			s.Shutdown(ctx)
		} else {
			l.Shutdown(ctx)
		}
		wait.Wait()
		cancel()
		if interrupted.Load() != 0 || answered.Load() != executed.Load() {
			t.Errorf("%s side shuts down: got %d interrupted, %d answered, %d executed; want 0 interrupted and every execution answered", side, interrupted.Load(), answered.Load(), executed.Load())
		}
	}
}

// Guards against a session that stays open although the peer is unresponsive, and
// against a request on it that is reported as not sent.
func TestSilentConnectionEndsSession(t *testing.T) {
	if got, want := keepAliveInterval+writeTimeout, 3*time.Second; got >= want {
		t.Errorf("an unresponsive peer is detected after %v, want less than %v", got, want)
	}
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	s, err := Dial(t.Context(), unresponsive.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := s.RoundTrip(newRequest(t.Context(), "/")); !fault.Is(err, Unknown) {
		t.Errorf("request to an unresponsive peer: got %v, want %s", err, Unknown)
	}
	<-s.Done()
}

// Guards against a truncated or oversized message that is passed to the handler,
// and against a rejected call that is reported as successful.
func TestMalformedMessages(t *testing.T) {
	handler := Handle(func(_ context.Context, q *wire.Stop) (*wire.StopReply, error) {
		if q.Worker == "none" {
			return nil, errors.New("no such worker")
		}
		return &wire.StopReply{Clock: q.Clock}, nil
	})
	s, _ := newSessionPair(t, nil, handler)
	valid, err := proto.Marshal(&wire.Stop{Worker: "worker-1", Reason: strings.Repeat("x", 1000)})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		body   io.Reader
		length int64
		status int
	}{
		{"valid", bytes.NewReader(valid), int64(len(valid)), http.StatusOK},
		{"truncated message", bytes.NewReader(valid[:500]), 500, http.StatusBadRequest},
		{"oversized", bytes.NewReader(make([]byte, MaxMessageBytes+1)), MaxMessageBytes + 1, http.StatusRequestEntityTooLarge},
	} {
		r := newRequest(t.Context(), "/stop")
		r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(c.body), c.length
		response, err := s.RoundTrip(r)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("%s: got status %d, want %d", c.name, response.StatusCode, c.status)
		}
	}
	var reply wire.StopReply
	if err := s.Call(t.Context(), "/stop", &wire.Stop{Worker: "none"}, &reply); !fault.Is(err, Rejected) {
		t.Errorf("rejected call: got %v, want kind %s", err, Rejected)
	}
	if err := s.Call(t.Context(), "/stop", &wire.Stop{Clock: 7}, &reply); err != nil || reply.Clock != 7 {
		t.Errorf("call: got clock %d, error %v", reply.Clock, err)
	}
}

// Guards against a listener that accepts more sessions than its limit.
func TestSessionLimit(t *testing.T) {
	l := &Listener{Address: "127.0.0.1:0", Handler: http.NotFoundHandler(), MaxSessions: 1}
	address, err := l.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = l.Run(ctx) }()
	first, err := Dial(ctx, address.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response, err := first.RoundTrip(newRequest(ctx, "/")); err != nil {
		t.Fatal(err)
	} else {
		response.Body.Close()
	}
	second, err := Dial(ctx, address.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	<-second.Done()
	second.Close()
	first.Shutdown(ctx)
	cancel()
	<-ended
}

func BenchmarkRoundTrip(b *testing.B) {
	s, _ := newSessionPair(b, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	body := make([]byte, 512)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := newRequest(context.Background(), "/")
			r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(body)), int64(len(body))
			response, err := s.RoundTrip(r)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	})
}
