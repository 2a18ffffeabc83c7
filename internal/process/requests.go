package process

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/entry"
	"wasabihill.example/wasabihill/internal/gateway"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/routing"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// requestServer implements entry.RequestServer with a gateway and its routing
// table. It removes the endpoints of an agent when the agent's session ends.
type requestServer struct {
	*gateway.Gateway
	table *routing.Table

	mu       sync.Mutex
	sessions map[*link.Session]struct{} // sessions with a goroutine that waits for their end
}

// newRequestServer returns the constructor that an entry process calls when it
// starts.
func newRequestServer(s *settings.Entry, scope tally.Scope) func(*entry.Entry) entry.RequestServer {
	return func(e *entry.Entry) entry.RequestServer {
		table := routing.New(routing.Settings{Domain: s.FailureDomain, Region: s.Region})
		currentDocument := func() *environment.Document {
			d, _ := e.Document()
			return d
		}
		return &requestServer{
			Gateway: gateway.New(gateway.Options{
				Table: table, Document: currentDocument, Scope: scope,
				MaxRequests: s.Limits.CallerRequests, MaxBodyBytes: int64(s.Limits.CallerBody), MaxTimeout: s.Limits.CallerTimeout,
			}),
			table: table, sessions: make(map[*link.Session]struct{}),
		}
	}
}

// Run implements entry.RequestServer.
func (r *requestServer) Run(ctx context.Context) error { return r.table.Run(ctx) }

// ObserveHeartbeat implements entry.RequestServer.
func (r *requestServer) ObserveHeartbeat(worker units.WorkerID, session *link.Session, heartbeat entry.ReceivedHeartbeat) {
	r.table.RecordHeartbeat(worker, session, heartbeat.Message, heartbeat.ReceivedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, tracked := r.sessions[session]; tracked {
		return
	}
	r.sessions[session] = struct{}{}
	go func() {
		<-session.Done()
		r.table.Remove(worker, session)
		r.mu.Lock()
		delete(r.sessions, session)
		r.mu.Unlock()
	}()
}

// SetDocument implements entry.RequestServer.
func (r *requestServer) SetDocument(d *environment.Document) { r.table.SetDocument(d, time.Now()) }
