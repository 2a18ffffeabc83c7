package taskrunner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Address is an address at which runners take turns. A connection is answered by the runner
// that held the address when the connection was opened, for as long as it stays open. Its
// methods are safe for concurrent use.
type Address struct {
	mu     sync.Mutex
	holder *Runner
	open   map[net.Conn]struct{}
}

// NewAddress returns an address that r holds.
func NewAddress(r *Runner) *Address {
	return &Address{holder: r, open: make(map[net.Conn]struct{})}
}

// Assign makes r answer the connections that are opened from now on. The open ones stay with
// the runner before, which may work on, unless closeOpen closes them.
func (a *Address) Assign(r *Runner, closeOpen bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder = r
	if closeOpen {
		for c := range a.open {
			_ = c.Close() // the connection is given up either way
		}
	}
}

// holderKey is the key of the runner of a connection in its context.
type holderKey struct{}

// Serve serves the agent's calls on listener until ctx ends.
func (a *Address) Serve(ctx context.Context, listener net.Listener) {
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			q.Context().Value(holderKey{}).(*Runner).handler().ServeHTTP(w, q)
		}),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			a.mu.Lock()
			defer a.mu.Unlock()
			return context.WithValue(ctx, holderKey{}, a.holder)
		},
		ConnState: a.trackConnection,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	_ = server.Serve(listener) // ends with ctx
}

// trackConnection keeps the set of open connections.
func (a *Address) trackConnection(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateNew:
		a.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(a.open, c)
	}
}
