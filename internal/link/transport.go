package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/connpool"
	"wasabihill.example/wasabihill/internal/fault"
)

// Transport sends each request at most once and reports whether any byte of a
// failed request may have left this process. It reuses idle connections.
// net/http does that safely only for requests that it cannot replay, so
// RoundTrip prevents the replay of every request. After a request that had no answer in time, no
// connection of before is used again; see connpool.Pool.
type Transport struct {
	pool *connpool.Pool
}

// Options configures a Transport.
type Options struct {
	Dial               func(ctx context.Context) (net.Conn, error)
	MaxConnections     int           // concurrent connections, without those that finish a request of before a timeout; 0 means no limit
	MaxIdleConnections int           // idle connections kept; 0 opens a connection for each request
	IdleTimeout        time.Duration // must be below the peer's, or a request may be sent on a connection that the peer is closing
	MaxHeaderBytes     int64         // of a response header block
}

// NewTransport returns a transport to the single peer that o.Dial connects to.
func NewTransport(o Options) *Transport {
	return &Transport{pool: &connpool.Pool{New: func() *http.Transport {
		return &http.Transport{
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				conn, err := o.Dial(ctx)
				if err != nil {
					return nil, err
				}
				return &writeTrackingConn{Conn: conn}, nil
			},
			DisableKeepAlives:      o.MaxIdleConnections == 0,
			MaxConnsPerHost:        o.MaxConnections,
			MaxIdleConnsPerHost:    o.MaxIdleConnections,
			IdleConnTimeout:        o.IdleTimeout,
			MaxResponseHeaderBytes: o.MaxHeaderBytes,
			DisableCompression:     true,
		}
	}}}
}

// CloseIdle closes the idle connections. Connections in use finish their
// request.
func (t *Transport) CloseIdle() { t.pool.CloseIdleConnections() }

// connRecorder records the connection that carries a request.
type connRecorder struct{ conn *writeTrackingConn }

func (r *connRecorder) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*writeTrackingConn)
	if !ok {
		return
	}
	conn.beginRequest()
	r.conn = conn
}

// RoundTrip sends r on a connection that carries no other request. An error has
// kind NotSent only when no byte was written to a connection and none will be;
// otherwise it has kind Unknown.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, fault.Wrap("request", NotSent, err)
	}
	var recorder connRecorder
	trace := &httptrace.ClientTrace{GotConn: recorder.gotConn}
	r = preventReplay(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	response, err := t.pool.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	// Without a connection nothing was written, because the request was still
	// waiting for one. With a connection, sealing prevents a write that has not
	// started yet.
	if recorder.conn == nil || recorder.conn.seal() {
		return nil, fault.Wrap("request", NotSent, err)
	}
	return nil, fault.Wrap("request", Unknown, err)
}

// replayedMethods are the methods that net/http sends again when a reused
// connection fails and the request has no body or a body with GetBody.
var replayedMethods = map[string]bool{"": true, http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true}

// preventReplay modifies r, which must be a copy that the caller does not see.
func preventReplay(r *http.Request) *http.Request {
	r.GetBody = nil
	if r.Body != nil && r.Body != http.NoBody {
		return r
	}
	if replayedMethods[r.Method] || r.Header["Idempotency-Key"] != nil || r.Header["X-Idempotency-Key"] != nil {
		r.Body = emptyBody{}
	}
	return r
}

// emptyBody is an empty body that net/http does not recognize as empty, so that
// it does not replay the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

var errRequestAbandoned = errors.New("request was abandoned before it was written")

// writeTrackingConn records whether the current request has written anything.
type writeTrackingConn struct {
	net.Conn
	mu      sync.Mutex
	written bool
	sealed  bool
}

func (c *writeTrackingConn) beginRequest() {
	c.mu.Lock()
	c.written = false
	c.mu.Unlock()
}

// seal makes later writes fail and reports whether none was made since
// beginRequest.
func (c *writeTrackingConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.written
}

func (c *writeTrackingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errRequestAbandoned
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}
