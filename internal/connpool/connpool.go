// Package connpool keeps the connections of an HTTP client to its peer, some of which may fall
// silent: they lose all bytes for good, without a reset, while new ones work. Only a timeout shows
// it, and mostly all connections of the time are affected at once.
package connpool

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Pool is an http.RoundTripper that uses no connection again that was opened before a request was
// sent on one of them which had no answer in time. Later requests dial anew; those under way are
// left to finish, and their connections are closed then. A request on a connection that was opened
// for it says nothing of the others: without an answer the peer is slow. Set New before the first
// request. A Pool is safe for concurrent use.
type Pool struct {
	// New returns a transport without connections. It may keep as many idle ones as is useful.
	New func() *http.Transport

	mu      sync.Mutex
	current *http.Transport // nil before the first request
}

type newConnectionKey struct{}

// OnNewConnection returns a context for a request that repeats one which has no answer yet: it is
// sent on a connection of its own.
func OnNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Context().Value(newConnectionKey{}) != nil {
		return p.roundTripOnNewConnection(r)
	}
	transport := p.transport()
	var reused atomic.Bool // the request was sent on a connection of an earlier one
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	response, err := transport.RoundTrip(r)
	if err != nil {
		if reused.Load() && isTimeout(r.Context(), err) {
			p.abandon(transport)
		}
		return nil, err
	}
	if reused.Load() {
		response.Body = &body{ReadCloser: response.Body, ctx: r.Context(), onTimeout: func() { p.abandon(transport) }}
	}
	return response, nil
}

func (p *Pool) roundTripOnNewConnection(r *http.Request) (*http.Response, error) {
	transport := p.New()
	transport.DisableKeepAlives = true
	return transport.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections. http.Client calls it by this name.
func (p *Pool) CloseIdleConnections() { p.transport().CloseIdleConnections() }

func (p *Pool) transport() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = p.New()
	}
	return p.current
}

// abandon replaces the transport, unless that has been done.
func (p *Pool) abandon(transport *http.Transport) {
	p.mu.Lock()
	replaced := p.current == transport
	if replaced {
		p.current = p.New()
	}
	p.mu.Unlock()
	if replaced {
		transport.CloseIdleConnections()
	}
}

// isTimeout reports whether a request has failed because its answer did not arrive in time, not
// because its caller has cancelled it.
func isTimeout(ctx context.Context, err error) bool {
	var netErr net.Error
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// body is the body of a response. It calls onTimeout if the rest does not arrive in time.
type body struct {
	io.ReadCloser
	ctx       context.Context
	onTimeout func()
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && isTimeout(b.ctx, err) {
		b.onTimeout()
	}
	return n, err
}
