// Package link connects the processes of wasabihill: yamux sessions over TCP
// that carry HTTP/1.1 in both directions. Control messages are protobuf bodies;
// requests of callers pass as they are.
//
// Every request opens a stream of its own. A reused HTTP connection would let
// net/http repeat a request that it considers replayable after bytes were
// written, which would break at-most-once execution; and a response on its own
// stream cannot reach another caller.
package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
)

const (
	// keepAliveInterval and writeTimeout bound the detection of a silent
	// connection to 3 s; the lease duration leaves room for one redial.
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second
	// maxMessage bounds a control message; the configuration document is the
	// largest part of one.
	maxMessage = 4 << 20
	// maxHeader bounds the header block of a request on a session.
	maxHeader = 64 << 10
)

// Kind tells failures of a call apart.
type Kind string

// The kinds of Error.
const (
	NotSent  Kind = "notSent"  // no byte of the request left this process
	Unknown  Kind = "unknown"  // the peer may have acted on the request
	Rejected Kind = "rejected" // the peer answered with an error status
	Invalid  Kind = "invalid"  // the peer's answer could not be decoded
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Session is one connection to a peer. It is safe for concurrent use.
type Session struct {
	mux       *yamux.Session
	transport *http.Transport
	server    *http.Server
	accept    *streamListener
	remote    string
}

type sessionKey struct{}

// FromContext returns the session on which the request of ctx arrived, or nil.
func FromContext(ctx context.Context) *Session {
	s, _ := ctx.Value(sessionKey{}).(*Session)
	return s
}

// Dial connects to address and serves requests of the peer with handler until
// the session ends. An error has kind NotSent.
func Dial(ctx context.Context, address string, handler http.Handler) (*Session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap("dial", NotSent, err)
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		conn.Close()
		return nil, fault.Wrap("dial", NotSent, err)
	}
	return newSession(mux, handler, address), nil
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0 // requests carry their own deadlines
	c.AcceptBacklog = 1024
	c.LogOutput = io.Discard // session ends are logged by their owners, once
	return c
}

func newSession(mux *yamux.Session, handler http.Handler, remote string) *Session {
	s := &Session{mux: mux, remote: remote}
	s.transport = &http.Transport{
		DialContext:            func(context.Context, string, string) (net.Conn, error) { return mux.Open() },
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
	s.accept = &streamListener{mux: mux, stopped: make(chan struct{})}
	s.server = &http.Server{
		Handler:        handler,
		MaxHeaderBytes: maxHeader,
		ConnContext:    func(ctx context.Context, _ net.Conn) context.Context { return context.WithValue(ctx, sessionKey{}, s) },
	}
	go func() {
		// Serve returns when the session ends or Shutdown is called.
		_ = s.server.Serve(s.accept)
	}()
	return s
}

// Remote returns the peer's address.
func (s *Session) Remote() string { return s.remote }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Close ends the session at once; requests in flight fail.
func (s *Session) Close() {
	s.accept.Close()
	s.mux.Close()
	s.server.Close()
	s.transport.CloseIdleConnections()
}

// Shutdown refuses new requests of the peer, waits until those in flight have
// been answered or ctx ends, and closes the session.
func (s *Session) Shutdown(ctx context.Context) {
	_ = s.mux.GoAway()
	_ = s.server.Shutdown(ctx)
	s.Close()
}

// RoundTrip sends one HTTP request over a stream of its own. An error has kind
// NotSent when the stream could not be opened, else Unknown. The caller closes
// the response body.
func (s *Session) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := s.transport.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	if s.mux.IsClosed() || errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrRemoteGoAway) || errors.Is(err, yamux.ErrStreamsExhausted) {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return nil, fault.Wrap("request", NotSent, err)
		}
	}
	return nil, fault.Wrap("request", Unknown, err)
}

// Call posts a protobuf message to path and decodes the peer's reply.
func (s *Session) Call(ctx context.Context, path string, message, reply proto.Message) error {
	body, err := proto.Marshal(message)
	if err != nil {
		return fault.Wrap("call "+path, Invalid, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://link"+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap("call "+path, Invalid, err)
	}
	response, err := s.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessage+1))
	switch {
	case err != nil:
		return fault.Wrap("call "+path, Unknown, err)
	case response.StatusCode != http.StatusOK:
		return fault.New("call "+path, Rejected, "status %d: %s", response.StatusCode, bytes.TrimSpace(data))
	case len(data) > maxMessage:
		return fault.New("call "+path, Invalid, "reply exceeds %d bytes", maxMessage)
	}
	if err := proto.Unmarshal(data, reply); err != nil {
		return fault.Wrap("call "+path, Invalid, err)
	}
	return nil
}

// Handle adapts fn to an HTTP handler for protobuf messages of type Q answered
// by R. An error of fn becomes status 409 with its text.
func Handle[Q any, PQ interface {
	*Q
	proto.Message
}, R proto.Message](fn func(ctx context.Context, q PQ) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
		if err != nil {
			http.Error(w, "message too large or cut short", http.StatusRequestEntityTooLarge)
			return
		}
		q := PQ(new(Q))
		if err := proto.Unmarshal(data, q); err != nil {
			http.Error(w, "malformed message: "+err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := fn(r.Context(), q)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		out, err := proto.Marshal(reply)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(out)
	}
}

// streamListener hands the streams of a session to an http.Server. Closing it
// stops accepting without closing the session, so that Shutdown can let
// requests in flight finish.
type streamListener struct {
	mux     *yamux.Session
	once    sync.Once
	stopped chan struct{}
}

func (l *streamListener) Accept() (net.Conn, error) {
	stream, err := l.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	select {
	case <-l.stopped:
		stream.Close()
		return nil, net.ErrClosed
	default:
		return stream, nil
	}
}

func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return nil
}

func (l *streamListener) Addr() net.Addr { return l.mux.Addr() }
