package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/pause"
)

// Listener accepts sessions of peers. Set the exported fields before Run.
type Listener struct {
	Address     string       // IP:port to listen on; port 0 selects a free port
	Handler     http.Handler // serves the peers' requests
	MaxSessions int          // concurrent sessions; 0 means defaultSessions

	mu       sync.Mutex
	listener net.Listener
	sessions map[*Session]struct{}
}

// defaultSessions is twice the target of 1,000 workers, so that reconnecting
// agents are not rejected while their old sessions time out.
const defaultSessions = 2048

// Listen binds the address. Run calls it if necessary.
func (l *Listener) Listen() (net.Addr, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			return nil, err
		}
		l.listener = listener
		l.sessions = make(map[*Session]struct{})
		if l.MaxSessions == 0 {
			l.MaxSessions = defaultSessions
		}
	}
	return l.listener.Addr(), nil
}

// Run accepts sessions until ctx ends. It then stops accepting and returns
// without ending the sessions; Shutdown ends them.
func (l *Listener) Run(ctx context.Context) error {
	if _, err := l.Listen(); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return l.listener.Close()
	})
	group.Go(func() error {
		for {
			conn, err := l.listener.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return nil
				}
				// The process has probably run out of file descriptors. Sessions
				// that end free some.
				if !pause.For(ctx, acceptBackoff) {
					return nil
				}
				continue
			}
			l.startSession(conn)
		}
	})
	return group.Wait()
}

// acceptBackoff keeps a failing accept loop from using a whole core.
const acceptBackoff = 50 * time.Millisecond

// startSession starts a session on the connection, or closes it when there are
// too many sessions.
func (l *Listener) startSession(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sessions) >= l.MaxSessions {
		conn.Close()
		return
	}
	streams := &streamSet{}
	buffered := newCoalescingConn(conn, streams.end)
	mux, err := yamux.Server(buffered, yamuxConfig())
	if err != nil {
		buffered.Close()
		return
	}
	s := newSession(mux, streams, l.Handler, conn.RemoteAddr().String())
	l.sessions[s] = struct{}{}
	go func() {
		<-s.Done()
		l.mu.Lock()
		delete(l.sessions, s)
		l.mu.Unlock()
	}()
}

// Shutdown shuts down every session gracefully until ctx ends.
func (l *Listener) Shutdown(ctx context.Context) {
	l.mu.Lock()
	sessions := make([]*Session, 0, len(l.sessions))
	for s := range l.sessions {
		sessions = append(sessions, s)
	}
	l.mu.Unlock()
	var wait sync.WaitGroup
	for _, s := range sessions {
		wait.Go(func() { s.Shutdown(ctx) })
	}
	wait.Wait()
}
