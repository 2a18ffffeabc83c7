// Package link connects the processes of wasabihill with yamux sessions over
// TCP that carry HTTP/1.1 in both directions. Control messages are protobuf
// bodies; requests of callers are forwarded unchanged.
//
// A request has a stream to itself until its response has been read, so that a
// response cannot reach another caller. Idle streams are reused. Transport
// prevents net/http from sending a request twice on a reused stream, which
// would break at-most-once execution.
package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/headers"
)

const (
	// keepAliveInterval and writeTimeout (which is also the timeout of a
	// keepalive) bound the detection of an unresponsive peer to 2.8 s. The lease
	// duration allows for 3 s.
	keepAliveInterval = time.Second
	writeTimeout      = 1800 * time.Millisecond
	// maxTimerDelay is the largest delay of a timeout that counts as normal. A
	// longer delay shows that this process did not run, so that the reply may
	// still be unread in the socket.
	maxTimerDelay = 200 * time.Millisecond
	// MaxMessageBytes bounds a control message. A larger one is rejected, each time it is sent,
	// so senders build theirs against it.
	MaxMessageBytes = 4 << 20
	// maxHeaderBytes bounds the header block of a request on a session.
	maxHeaderBytes = 64 << 10
	// maxStreams bounds the streams that one side opens on a session. It is
	// below yamux's accept backlog: above the backlog the peer resets streams,
	// and the outcome of their requests is unknown.
	maxStreams    = 1000
	acceptBacklog = 1024
	// maxIdleStreams bounds the memory of idle streams, about 20 KiB each with
	// their buffers on both sides.
	maxIdleStreams = 64
	// headerTimeout closes a stream whose request header never completes. It
	// also applies to a stream that was opened and not used yet, so the opener
	// must close idle streams well before.
	headerTimeout     = 10 * time.Second
	idleStreamTimeout = 5 * time.Second
	// goAwayPath is the path of the message that announces that the sender is
	// about to close the session. The receiver replies when it has no request
	// in flight.
	goAwayPath = "/link/goaway"
)

// Kind classifies the failures of a call.
type Kind string

// Kinds of Error.
const (
	NotSent  Kind = "notSent"  // no byte of the request left this process
	Unknown  Kind = "unknown"  // the peer may have acted on the request
	Rejected Kind = "rejected" // the peer answered with an error status
	Invalid  Kind = "invalid"  // the request could not be encoded, or the reply is too large or could not be decoded
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Session is one connection to a peer. It ends when either side shuts it down or the
// peer becomes unresponsive. It is safe for concurrent use.
type Session struct {
	mux           *yamux.Session
	transport     *Transport
	server        *http.Server
	listener      *streamListener
	remote        string
	outgoing      requestTracker // requests to the peer; closed when either side announces the end of the session
	incomingCount atomic.Int64
}

type sessionKey struct{}

// SessionFromContext returns the session on which the request of ctx arrived,
// or nil.
func SessionFromContext(ctx context.Context) *Session {
	s, _ := ctx.Value(sessionKey{}).(*Session)
	return s
}

// Dial connects to address and serves the peer's requests with handler until
// the session ends. Its errors have kind NotSent.
func Dial(ctx context.Context, address string, handler http.Handler) (*Session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap("dial", NotSent, err)
	}
	streams := &streamSet{}
	buffered := newCoalescingConn(conn, streams.end)
	mux, err := yamux.Client(buffered, yamuxConfig())
	if err != nil {
		buffered.Close()
		return nil, fault.Wrap("dial", NotSent, err)
	}
	return newSession(mux, streams, handler, address), nil
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // keepAlive distinguishes a stall of this process from an unresponsive peer
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0 // requests carry their own deadlines
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard // the owner of a session logs its end, once
	return c
}

func newSession(mux *yamux.Session, streams *streamSet, handler http.Handler, remote string) *Session {
	s := &Session{mux: mux, remote: remote}
	s.transport = NewTransport(Options{
		Dial: func(context.Context) (net.Conn, error) {
			stream, err := mux.OpenStream()
			if err != nil {
				return nil, err
			}
			return streams.add(stream), nil
		},
		MaxConnections:     maxStreams,
		MaxIdleConnections: maxIdleStreams,
		IdleTimeout:        idleStreamTimeout,
		MaxHeaderBytes:     maxHeaderBytes,
	})
	s.listener = &streamListener{mux: mux, streams: streams}
	s.listener.ctx, s.listener.cancel = context.WithCancel(context.Background())
	// The server has no idle timeout: only the opener closes an idle stream, so
	// that no request is sent on a stream that is being closed.
	s.server = &http.Server{
		Handler:           s.wrapHandler(handler),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       func(ctx context.Context, _ net.Conn) context.Context { return context.WithValue(ctx, sessionKey{}, s) },
	}
	go func() {
		// Serve returns when the session ends or Shutdown is called.
		_ = s.server.Serve(s.listener)
	}()
	go keepAlive(mux.CloseChan(), func() error { _, err := mux.Ping(); return err }, func() { mux.Close() })
	return s
}

// keepAlive calls end when the peer does not answer a ping although this
// process could have read the reply. After a stall of this process (a pause or
// no processor time) the timeout fires while the reply may be waiting in the
// socket, so it proves nothing and the ping is repeated.
func keepAlive(done <-chan struct{}, ping func() error, end func()) {
	timer := time.NewTimer(keepAliveInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-done:
			return
		}
		start := time.Now()
		err := ping()
		timedOut := errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrConnectionWriteTimeout)
		switch {
		case err == nil:
			timer.Reset(keepAliveInterval)
		case timedOut && time.Since(start) > writeTimeout+maxTimerDelay:
			timer.Reset(0)
		default:
			end()
			return
		}
	}
}

// wrapHandler returns a handler that answers the session's own messages, limits
// the peer's concurrent requests and passes them to handler.
func (s *Session) wrapHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == goAwayPath {
			s.outgoing.closeAndWait(r.Context())
			w.WriteHeader(http.StatusNoContent)
			return
		}
		defer s.incomingCount.Add(-1)
		if s.incomingCount.Add(1) > maxStreams || handler == nil {
			w.Header().Set(headers.OutcomeHeader, string(headers.NotRun))
			http.Error(w, "too many requests on this session", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// Remote returns the peer's address.
func (s *Session) Remote() string { return s.remote }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Ending reports whether either side has announced the end of the session. New
// requests then fail with kind NotSent.
func (s *Session) Ending() bool { return s.outgoing.isClosed() || s.mux.IsClosed() }

// Close ends the session at once. Requests in flight fail.
func (s *Session) Close() {
	s.listener.Close()
	s.mux.Close()
	s.server.Close()
	s.transport.CloseIdle()
}

// Shutdown ends the session without interrupting a request. It asks the peer to
// send no more requests, serves those that the peer has sent until then, waits
// until the requests of both sides have been answered, and closes the session.
// When ctx ends first it closes the session at once.
func (s *Session) Shutdown(ctx context.Context) {
	s.outgoing.close()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://link"+goAwayPath, nil)
	if err == nil {
		if response, err := s.transport.RoundTrip(request); err == nil {
			response.Body.Close()
		}
	}
	s.outgoing.closeAndWait(ctx)
	_ = s.server.Shutdown(ctx)
	s.Close()
}

var errSessionEnding = errors.New("session is ending")

// RoundTrip sends one HTTP request over a stream of its own, at most once. An
// error has kind NotSent when no byte of the request was written, otherwise
// Unknown. The caller must close the response body.
func (s *Session) RoundTrip(r *http.Request) (*http.Response, error) {
	if !s.outgoing.begin() {
		return nil, fault.Wrap("request", NotSent, errSessionEnding)
	}
	response, err := s.transport.RoundTrip(r)
	if err != nil {
		s.outgoing.end()
		return nil, err
	}
	response.Body = &trackedBody{ReadCloser: response.Body, tracker: &s.outgoing}
	return response, nil
}

// Call posts a protobuf message to path and decodes the peer's reply into
// reply.
func (s *Session) Call(ctx context.Context, path string, message, reply proto.Message) error {
	body, err := proto.Marshal(message)
	if err != nil {
		return fault.Wrap("call "+path, Invalid, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://link"+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap("call "+path, Invalid, err)
	}
	request.Header["User-Agent"] = nil // net/http would add its own to every heartbeat
	response, err := s.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxMessageBytes+1))
	switch {
	case err != nil:
		return fault.Wrap("call "+path, Unknown, err)
	case response.StatusCode != http.StatusOK:
		return fault.New("call "+path, Rejected, "status %d: %s", response.StatusCode, bytes.TrimSpace(data))
	case len(data) > MaxMessageBytes:
		return fault.New("call "+path, Invalid, "reply exceeds %d bytes", MaxMessageBytes)
	}
	if err := proto.Unmarshal(data, reply); err != nil {
		return fault.Wrap("call "+path, Invalid, err)
	}
	return nil
}

// Handle returns an HTTP handler that decodes a protobuf message of type Q,
// calls fn and encodes its reply. An error of fn becomes status 409 with the
// error's text.
func Handle[Q any, PQ interface {
	*Q
	proto.Message
}, R proto.Message](fn func(ctx context.Context, q PQ) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessageBytes))
		if err != nil {
			status := http.StatusBadRequest
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				status = http.StatusRequestEntityTooLarge
			}
			http.Error(w, "message too large or truncated", status)
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
		// No receiver reads these headers, and net/http would add 76 bytes of them
		// to every reply.
		w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
		_, _ = w.Write(out)
	}
}

// streamListener accepts the streams of a session for an http.Server. Closing
// it stops accepting without closing the session, so that Shutdown can let
// requests in flight finish.
type streamListener struct {
	mux     *yamux.Session
	streams *streamSet
	ctx     context.Context // cancelled by Close
	cancel  context.CancelFunc
}

// Accept returns when the listener is closed, because Server.Shutdown waits for
// it.
func (l *streamListener) Accept() (net.Conn, error) {
	stream, err := l.mux.AcceptStreamWithContext(l.ctx)
	if err != nil {
		return nil, net.ErrClosed
	}
	return l.streams.add(stream), nil
}

func (l *streamListener) Close() error {
	l.cancel()
	return nil
}

func (l *streamListener) Addr() net.Addr { return l.mux.Addr() }
