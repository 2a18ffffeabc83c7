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

// Guards against a repeated request that takes another silent connection, and against later ones
// that do although the repetition has shown that new connections work.
func TestRepetitionShowsThatConnectionsAreSilent(t *testing.T) {
	p, r := newPool(t)
	if err := get(t.Context(), p, r); err != nil {
		t.Fatal(err)
	}
	r.SilenceConnections()
	for _, ctx := range []context.Context{OnNewConnection(t.Context()), t.Context()} {
		if err := get(ctx, p, r); err != nil {
			t.Errorf("got %v, want an answer", err)
		}
	}
	if got, want := r.ForwardedConnections(), int64(3); got != want {
		t.Errorf("got %d connections, want %d: the first one is not used again", got, want)
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
