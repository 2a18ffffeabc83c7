package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/relay"
)

const (
	answerTimeout = 200 * time.Millisecond
	// dialSlack is what a dial on this machine, and the work beside it, may take.
	dialSlack = 150 * time.Millisecond
)

// silenceable is a transport to a server whose connections can fall silent.
type silenceable struct {
	*Transport
	relay     *relay.Relay
	dialDelay atomic.Int64 // nanoseconds that a dial takes
}

func newSilenceable(t *testing.T, handler http.HandlerFunc) *silenceable {
	t.Helper()
	server := httptest.NewServer(handler)
	r, err := relay.New(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s := &silenceable{relay: r, Transport: NewTransport(Options{
		Dial: func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", r.Address())
		},
		MaxConnections: 32, MaxIdleConnections: 32, IdleTimeout: time.Minute,
	})}
	t.Cleanup(func() {
		s.CloseIdle()
		r.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return s
}

// get sends a request and returns the error of the call or of its body.
func (s *silenceable) get(timeout time.Duration, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := s.RoundTrip(newRequest(ctx, path))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// openIdle opens n connections and leaves them idle.
func (s *silenceable) openIdle(t *testing.T, n int) {
	t.Helper()
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() {
			if err := s.get(5*time.Second, "/slow"); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
}

// timeToAnswer returns the time until one of consecutive requests is answered.
func (s *silenceable) timeToAnswer(t *testing.T) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		if s.get(answerTimeout, "/") == nil {
			return time.Since(start)
		}
	}
	t.Fatal("got no answer within 10s, want one")
	return 0
}

func slowHandler(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		time.Sleep(100 * time.Millisecond)
	}
	_, _ = io.WriteString(w, "answer")
}

// Guards against a peer that stays out of touch for a timeout for each idle connection, after all
// of them have fallen silent at one moment (review/8).
func TestSilentIdleConnectionsCostOneTimeout(t *testing.T) {
	for _, idle := range []int{1, 8, 24} {
		s := newSilenceable(t, slowHandler)
		s.openIdle(t, idle)
		if got := s.relay.SilenceConnections(); got != idle {
			t.Fatalf("got %d open connections, want %d", got, idle)
		}
		if got, want := s.timeToAnswer(t), answerTimeout+dialSlack; got > want {
			t.Errorf("%d idle connections: got an answer after %v, want at most %v", idle, got, want)
		}
		s.relay.SilenceConnections() // again, a moment later
		if got, want := s.timeToAnswer(t), answerTimeout+dialSlack; got > want {
			t.Errorf("%d idle connections, silent again: got an answer after %v, want at most %v", idle, got, want)
		}
	}
}

// Guards against dials that are given up with the requests that wait for them, when they take longer
// than an answer may: the first one that succeeds is used.
func TestSlowDialAfterSilenceIsUsed(t *testing.T) {
	s := newSilenceable(t, slowHandler)
	s.openIdle(t, 8)
	const dial = 3 * answerTimeout / 2
	s.dialDelay.Store(int64(dial))
	s.relay.SilenceConnections()
	if got, want := s.timeToAnswer(t), answerTimeout+dial+dialSlack; got > want {
		t.Errorf("got an answer after %v, want at most %v", got, want)
	}
}

// Guards against a request under way that is cut off because another had no answer: it is left to
// finish, also on an old connection that works.
func TestRequestsUnderWayFinishBesideASilentOne(t *testing.T) {
	release := make(chan struct{})
	s := newSilenceable(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/held":
			<-release
		case "/unanswered":
			<-r.Context().Done()
		}
	})
	held := make(chan error, 1)
	go func() { held <- s.get(10*time.Second, "/held") }()
	if err := s.get(answerTimeout, "/unanswered"); !fault.Is(err, Unknown) {
		t.Fatalf("got error %v, want kind %s", err, Unknown)
	}
	close(release)
	if err := <-held; err != nil {
		t.Errorf("request under way: got %v, want an answer", err)
	}
}

// Guards against a connection that falls silent in the middle of an answer and whose pool is used on.
func TestSilenceInAnAnswerCostsOneTimeout(t *testing.T) {
	begun := make(chan struct{}, 1)
	s := newSilenceable(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/half" {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			begun <- struct{}{}
			<-r.Context().Done()
			return
		}
		slowHandler(w, r)
	})
	s.openIdle(t, 8)
	half := make(chan error, 1)
	go func() { half <- s.get(answerTimeout, "/half") }()
	<-begun
	s.relay.SilenceConnections()
	if err := <-half; err == nil {
		t.Fatal("got an answer, want an error")
	}
	if got, want := s.timeToAnswer(t), dialSlack; got > want {
		t.Errorf("got an answer after %v, want at most %v", got, want)
	}
}

// Guards against connections that are given up because a caller has cancelled its request.
func TestCancelledRequestKeepsTheConnections(t *testing.T) {
	s := newSilenceable(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unanswered" {
			<-r.Context().Done()
		}
		slowHandler(w, r)
	})
	s.openIdle(t, 2)
	before := s.relay.ForwardedConnections()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := s.RoundTrip(newRequest(ctx, "/unanswered")); err == nil {
		t.Fatal("got an answer, want an error")
	}
	if err := s.get(time.Second, "/"); err != nil {
		t.Fatal(err)
	}
	if got := s.relay.ForwardedConnections(); got != before {
		t.Errorf("got %d connections, want %d: the idle one is used", got, before)
	}
}
