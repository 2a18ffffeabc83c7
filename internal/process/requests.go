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
func (p *requestServer) Run(ctx context.Context) error { return p.table.Run(ctx) }

// ObserveHeartbeat implements entry.RequestServer.
func (p *requestServer) ObserveHeartbeat(worker units.WorkerID, session *link.Session, heartbeat entry.ReceivedHeartbeat) {
	p.table.RecordHeartbeat(worker, session, heartbeat.Message, heartbeat.ReceivedAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.sessions[session]; known {
		return
	}
	p.sessions[session] = struct{}{}
	go func() {
		<-session.Done()
		p.table.Remove(worker, session)
		p.mu.Lock()
		delete(p.sessions, session)
		p.mu.Unlock()
	}()
}

// SetDocument implements entry.RequestServer.
func (p *requestServer) SetDocument(d *environment.Document) { p.table.SetDocument(d, time.Now()) }
