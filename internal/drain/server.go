// Package drain ends an HTTP server for planned work without losing a request.
//
// net/http's Shutdown closes the connections that it regards as idle, among them
// those whose next request has been read and not parsed yet, and drops the
// connections in the accept queue. A Server instead goes on serving: its responses
// ask clients to close their connections, and a connection is closed only by the
// goroutine that serves it, when it finds no request there.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Server is an HTTP server that can be drained. Set the exported fields before
// Serve.
type Server struct {
	HTTP *http.Server // Serve wraps Handler and sets BaseContext and ConnContext

	// Notice is how long clients may still open connections after the start of
	// the drain. New connections are accepted for that time, and then until no
	// connection or request has arrived for Quiet.
	Notice time.Duration
	Quiet  time.Duration
	// MaxAccept bounds the time for which connections are accepted after the start
	// of the drain, for clients that never pause. It is 0 for no bound other than
	// maxAcceptShare.
	MaxAccept time.Duration

	draining    atomic.Bool
	lastArrival atomic.Int64 // Unix nanoseconds at which a connection or request last arrived
	answered    atomic.Int64 // requests answered during the drain

	mu       sync.Mutex
	listener *listener // nil while no connections are accepted
	// cancelRequests ends the contexts of all requests; nil before Serve.
	cancelRequests context.CancelFunc
	conns          map[*conn]struct{}
	ending         bool          // connections end when no request arrives
	empty          chan struct{} // closed when ending is set and there is neither a listener nor a connection; nil before
}

// Serve serves the connections of l until Drain or Close ends it, and then returns
// nil. It does not wait for the connections.
func (s *Server) Serve(l net.Listener) error {
	handler := s.HTTP.Handler
	s.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(handler, w, r) })
	requests, cancel := context.WithCancel(context.Background())
	s.HTTP.BaseContext = func(net.Listener) context.Context { return requests }
	s.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	wrapped := &listener{Listener: l, server: s}
	s.mu.Lock()
	s.listener, s.cancelRequests = wrapped, cancel
	s.conns = make(map[*conn]struct{})
	if s.ending {
		wrapped.end()
	}
	s.mu.Unlock()
	err := s.HTTP.Serve(wrapped)
	s.mu.Lock()
	s.listener = nil
	s.checkEmpty()
	s.mu.Unlock()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

type connKey struct{}

func (s *Server) handle(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	s.recordArrival()
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.setServing(true)
		defer c.setServing(false)
	}
	if s.draining.Load() {
		s.answered.Add(1)
		w.Header()["Connection"] = []string{"close"}
	}
	handler.ServeHTTP(w, r)
}

func (s *Server) recordArrival() { s.lastArrival.Store(time.Now().UnixNano()) }

// maxAcceptShare is the part of the time until the deadline of a drain in which
// connections are accepted. The rest is for their requests.
const maxAcceptShare = 0.75

// maxAnswerTime is how long before the deadline of a drain the contexts of the requests in
// flight end, so that their handlers can still answer that they give up. It is at most
// maxAnswerShare of the time until the deadline.
const (
	maxAnswerTime  = 300 * time.Millisecond
	maxAnswerShare = 0.1
)

// Drain stops the server when the requests of all clients have been answered. Shortly
// before ctx ends, which needs a deadline, the contexts of the remaining requests end. At
// its end the remaining connections are closed. It reports whether there were none.
func (s *Server) Drain(ctx context.Context) bool {
	begin := time.Now()
	s.draining.Store(true)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = begin.Add(s.Notice)
	}
	maxAccept := time.Duration(maxAcceptShare * float64(deadline.Sub(begin)))
	if s.MaxAccept > 0 {
		maxAccept = min(maxAccept, s.MaxAccept)
	}
	s.awaitQuiet(ctx, begin, begin.Add(maxAccept))
	empty := s.endConnections()
	answerTime := min(maxAnswerTime, time.Duration(maxAnswerShare*float64(deadline.Sub(begin))))
	giveUp := time.AfterFunc(time.Until(deadline.Add(-answerTime)), s.giveUp)
	defer giveUp.Stop()
	select {
	case <-empty:
	case <-ctx.Done():
	}
	s.mu.Lock()
	open := len(s.conns)
	s.mu.Unlock()
	klog.InfoS("client connections have ended", "answered", s.answered.Load(), "unfinished", open, "took", time.Since(begin))
	s.HTTP.Close()
	return open == 0
}

// giveUp ends the contexts of the requests in flight.
func (s *Server) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRequests != nil {
		s.cancelRequests()
	}
}

// Close closes the server and all its connections at once.
func (s *Server) Close() error { return s.HTTP.Close() }

// awaitQuiet returns when Notice has passed and nothing has arrived for Quiet, or
// at the time latest.
func (s *Server) awaitQuiet(ctx context.Context, begin, latest time.Time) {
	for ctx.Err() == nil {
		at := begin.Add(s.Notice)
		if quiet := time.Unix(0, s.lastArrival.Load()).Add(s.Quiet); quiet.After(at) {
			at = quiet
		}
		if latest.Before(at) {
			at = latest
		}
		wait := time.Until(at)
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// endConnections stops accepting connections and lets those end on which no
// request arrives. It returns a channel that is closed when there is none left.
func (s *Server) endConnections() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	s.empty = make(chan struct{})
	for c := range s.conns {
		c.end()
	}
	if s.listener != nil {
		s.listener.end()
	}
	s.checkEmpty()
	return s.empty
}

// checkEmpty closes empty when the server has ended. The caller holds mu.
func (s *Server) checkEmpty() {
	if !s.ending || s.listener != nil || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// add registers a connection that has been accepted.
func (s *Server) add(accepted net.Conn) *conn {
	s.recordArrival()
	c := &conn{Conn: accepted, acceptedAt: time.Now(), onClose: s.remove}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.ending {
		c.end()
	}
	return c
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.checkEmpty()
}

// maxQueueReads bounds how often a listener waits for finalWait after its end, in case
// clients never stop opening connections: their requests need time too.
const maxQueueReads = 64

// listener accepts the connections of a Server. After end it accepts those that
// have been opened already, and then closes.
type listener struct {
	net.Listener
	server     *Server
	queueReads int // waits after the end; only Accept uses it
}

// Accept returns the next connection, or net.ErrClosed after the end.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.queueReads < maxQueueReads {
		l.queueReads++
		l.setDeadline(time.Now().Add(finalWait))
		accepted, err = l.Listener.Accept()
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errors.Join(net.ErrClosed, l.Close())
	case err != nil:
		return nil, err
	}
	return l.server.add(accepted), nil
}

func (l *listener) end() { l.setDeadline(time.Now()) }

// setDeadline sets the deadline of Accept. A listener without deadlines is closed
// instead.
func (l *listener) setDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(t) == nil {
		return
	}
	l.Close()
}
