package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/routing"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// announcementTimeout covers three announcements, one a second, and some
	// slack.
	announcementTimeout = 3200 * time.Millisecond
	dialTimeout         = time.Second
	// maxResponseHeader bounds the response header of an endpoint, in bytes.
	maxResponseHeader = 64 << 10
)

// endpoint is the endpoint of one service beside this agent.
type endpoint struct {
	service   units.ServiceName
	address   string
	admission admission
	transport atomic.Pointer[link.Transport]
	budget    *routing.RetryBudget

	mu          sync.Mutex // guards the rest
	state       wire.EndpointState
	announcedAt time.Time
	connections int
}

func newEndpoint(a announcement, maxQueued int) *endpoint {
	e := &endpoint{service: a.Service, address: a.Address, budget: routing.NewRetryBudget()}
	e.admission.maxQueued = maxQueued
	e.admission.slots = a.Slots
	e.admission.closed = true
	e.connections = a.Connections
	e.transport.Store(e.newTransport())
	return e
}

// newTransport returns a transport that opens a connection for each request. On
// a reused connection, a late duplicate of an earlier response would be taken
// for the response to the next request, and a connection that became
// unresponsive while idle would show only after the request was sent. Avoiding
// both is worth a local connect per request.
func (e *endpoint) newTransport() *link.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	address := e.address
	return link.NewTransport(link.Options{
		Dial:           func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", address) },
		MaxConnections: e.connections,
		MaxHeaderBytes: maxResponseHeader,
	})
}

// applyAnnouncement applies an announcement of this endpoint.
func (e *endpoint) applyAnnouncement(a announcement, draining bool, now time.Time) {
	e.mu.Lock()
	e.announcedAt = now
	e.state = a.state()
	if e.connections != a.Connections {
		e.connections = a.Connections
		e.transport.Store(e.newTransport())
	}
	e.mu.Unlock()
	if e.state == wire.EndpointState_ENDPOINT_STATE_READY && !draining {
		e.admission.open(a.Slots)
	} else {
		e.admission.close()
	}
}

// stateAt returns the state at now. An endpoint that misses its announcements
// is in state GONE.
func (e *endpoint) stateAt(now time.Time) wire.EndpointState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.announcedAt) > announcementTimeout {
		return wire.EndpointState_ENDPOINT_STATE_GONE
	}
	return e.state
}

// announcedSince reports whether the endpoint announced itself after t. If so,
// the endpoint is running, and a connection without a response is unresponsive
// or its request is slow.
func (e *endpoint) announcedSince(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announcedAt.After(t)
}

func (e *endpoint) report(draining bool, now time.Time) *wire.EndpointReport {
	busy, queued, serviceTime := e.admission.load()
	state := e.stateAt(now)
	if draining && state == wire.EndpointState_ENDPOINT_STATE_READY {
		state = wire.EndpointState_ENDPOINT_STATE_LEAVING
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wire.EndpointReport{
		Service: string(e.service), State: state, Slots: int32(e.admission.slots), Connections: int32(e.connections),
		Busy: int32(busy), Queued: int32(queued), LatencyMicroseconds: serviceTime.Microseconds(),
	}
}
