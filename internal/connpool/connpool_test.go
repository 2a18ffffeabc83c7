package connpool

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/relay"
)

// newPool returns a pool to a server that answers everything at once, behind a relay.
func newPool(t *testing.T) (*Pool, *relay.Relay) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	r, err := relay.New(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p := &Pool{New: func() *http.Transport { return &http.Transport{ResponseHeaderTimeout: 200 * time.Millisecond} }}
	t.Cleanup(func() {
		p.CloseIdleConnections()
		r.Close()
		server.Close()
	})
	return p, r
}

func get(ctx context.Context, p *Pool, r *relay.Relay) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address(), nil)
	if err != nil {
		return err
	}
	response, err := p.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against a repeated request that takes another silent connection.
func TestRepetitionTakesANewConnection(t *testing.T) {
	p, r := newPool(t)
	if err := get(t.Context(), p, r); err != nil {
		t.Fatal(err)
	}
	r.SilenceConnections()
	if err := get(OnNewConnection(t.Context()), p, r); err != nil {
		t.Errorf("got %v, want an answer", err)
	}
}

// Guards against a slow peer to which every request needs a dial: one on a connection that was
// opened for it says nothing of the others.
func TestTimeoutOnANewConnectionKeepsTheOthers(t *testing.T) {
	slow := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-slow
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(slow) })
	r, err := relay.New(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	p := &Pool{New: func() *http.Transport { return &http.Transport{} }}
	send := func(path string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address()+path, nil)
		if err != nil {
			return err
		}
		response, err := p.RoundTrip(request)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	if err := send("/slow", 100*time.Millisecond); err == nil {
		t.Fatal("got an answer, want a timeout")
	}
	for range 3 {
		if err := send("/", 5*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := r.ForwardedConnections(), int64(2); got != want {
		t.Errorf("got %d connections, want %d: the second one is reused", got, want)
	}
}

// Guards against a timeout of the transport itself, without a deadline of the caller, after which
// silent connections are used on.
func TestTimeoutOfTheTransportCounts(t *testing.T) {
	p, r := newPool(t)
	if err := get(t.Context(), p, r); err != nil {
		t.Fatal(err)
	}
	r.SilenceConnections()
	if err := get(t.Context(), p, r); err == nil {
		t.Fatal("got an answer on a silent connection, want a timeout")
	}
	if err := get(t.Context(), p, r); err != nil {
		t.Errorf("got %v, want an answer", err)
	}
}
