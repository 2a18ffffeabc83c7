// Package gateway serves the requests of callers at an entry process: it admits
// them, chooses endpoints, retries and hedges where that is safe, and returns
// complete responses only.
package gateway

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/drain"
	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/internal/routing"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Options configures a Gateway. Zero fields take the defaults.
type Options struct {
	Table               *routing.Table
	Document            func() *environment.Document // returns the current document; while it returns nil, every request is rejected
	Scope               tally.Scope                  // metrics; disabled when nil
	MaxRequests         int                          // concurrent requests; default 4096
	MaxServiceRequests  int                          // concurrent requests of one service; default 2048
	MaxBodyBytes        int64                        // largest request body; default 1 MiB
	ResponseBufferBytes int64                        // responses up to this size are buffered completely before they are returned; default 1 MiB
	DefaultTimeout      time.Duration                // for a request without a deadline; default 10 s
	MaxTimeout          time.Duration                // longer deadlines are shortened to it; default 5 min
}

func (o *Options) setDefaults() {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	for _, n := range []struct {
		field *int
		value int
	}{{&o.MaxRequests, 4096}, {&o.MaxServiceRequests, 2048}} {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
	for _, n := range []struct {
		field *int64
		value int64
	}{{&o.MaxBodyBytes, 1 << 20}, {&o.ResponseBufferBytes, 1 << 20}} {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
	if o.DefaultTimeout == 0 {
		o.DefaultTimeout = 10 * time.Second
	}
	if o.MaxTimeout == 0 {
		o.MaxTimeout = 5 * time.Minute
	}
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	options            Options
	metrics            metrics
	budget             *routing.RetryBudget
	active             atomic.Int64
	draining           atomic.Bool
	services           sync.Map       // units.ServiceName -> *serviceState
	backgroundAttempts sync.WaitGroup // attempts of idempotent requests, including cancelled ones that have not ended
}

// serviceState is the state of one service at this entry process.
type serviceState struct {
	active atomic.Int64
	load   atomic.Pointer[loadSample]
}

// loadSample caches a summary of the service's endpoints for maxLoadAge,
// because summarizing a thousand endpoints for each request is too expensive.
type loadSample struct {
	load routing.Load
	at   time.Time
}

const maxLoadAge = 10 * time.Millisecond

// New returns a Gateway.
func New(o Options) *Gateway {
	o.setDefaults()
	return &Gateway{options: o, metrics: newMetrics(o.Scope), budget: routing.NewRetryBudget()}
}

// Limits of the server for callers.
const (
	maxHeaderBytes = 32 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	bodyTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second // for each write of a large response
	maxHeaders     = 100
)

// Server returns an HTTP server with the limits of the caller listener.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler: g, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: log.New(io.Discard, "", 0), // broken connections of callers are counted, not logged
	}
}

// Ready reports whether the load balancer should send requests here.
func (g *Gateway) Ready() bool { return !g.draining.Load() }

// Shutdown stops serving callers without interrupting a request. It turns
// readiness off and drains server, whose Notice is the time in which the load
// balancer redirects new requests, until every request has been answered or ctx
// ends. The sessions to the agents must stay open until Shutdown returns.
func (g *Gateway) Shutdown(ctx context.Context, server *drain.Server) {
	g.draining.Store(true)
	if server.Drain(ctx) {
		g.backgroundAttempts.Wait()
	}
}

// ServeHTTP serves /services/{service}/{path...}.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	g.metrics.requests.Inc(1)
	in, status, err := g.parse(r, start)
	if err != nil {
		g.reject(w, status, headers.Malformed, err.Error())
		return
	}
	s := g.serviceState(in.service)
	defer s.active.Add(-1)
	defer g.active.Add(-1)
	perService, total := s.active.Add(1), g.active.Add(1)
	if reason := g.checkLimits(s, in, perService, total, start); reason != "" {
		g.metrics.shed.Inc(1)
		g.reject(w, http.StatusServiceUnavailable, reason, string(reason))
		return
	}
	if status, err := g.readBody(w, r, in); err != nil {
		g.reject(w, status, headers.Malformed, err.Error())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), in.deadline.At)
	defer cancel()
	g.budget.Deposit()
	res := g.execute(ctx, in)
	defer res.release()
	g.writeResult(w, in, res)
	g.metrics.latency.RecordDuration(time.Since(start))
}

func (g *Gateway) serviceState(name units.ServiceName) *serviceState {
	if s, ok := g.services.Load(name); ok {
		return s.(*serviceState)
	}
	s, _ := g.services.LoadOrStore(name, &serviceState{})
	return s.(*serviceState)
}

// priorityShares are the fractions of MaxRequests that the requests of each
// priority may fill. The rest is reserved for higher priorities.
var priorityShares = map[units.Priority]float64{
	units.PriorityLow: 0.6, units.PriorityNormal: 0.75, units.PriorityHigh: 0.9, units.PriorityUrgent: 1,
}

// checkLimits returns a reason to reject the request at once: a limit is
// reached, no endpoint is eligible, or the requests ahead of it leave too
// little time until its deadline. An empty reason admits the request.
func (g *Gateway) checkLimits(s *serviceState, in *inbound, perService, total int64, now time.Time) headers.Reason {
	share := priorityShares[in.priority]
	if float64(total) > share*float64(g.options.MaxRequests) || perService > int64(g.options.MaxServiceRequests) {
		return headers.Overload
	}
	sample := s.load.Load()
	if sample == nil || now.Sub(sample.at) > maxLoadAge {
		sample = &loadSample{load: g.options.Table.Load(in.service, now), at: now}
		s.load.Store(sample)
	}
	switch wait := sample.load.EstimatedWait(); {
	case sample.load.Endpoints == 0:
		return headers.NoEndpoint
	case wait > 0 && !in.deadline.CanFinish(wait+sample.load.MinLatency, now):
		return headers.Overload
	}
	return ""
}

// inbound is a caller's request that passed validation.
type inbound struct {
	request    *http.Request
	service    units.ServiceName
	priority   units.Priority
	idempotent bool
	deadline   routing.Deadline
	body       []byte
}

var (
	errNoService = errors.New("no such service")
	errUpgrade   = errors.New("upgrades of the protocol are not supported")
	errHeaders   = errors.New("too many headers")
	errBody      = errors.New("request body too large")
	errTruncated = errors.New("request body truncated")
)

// parse validates everything but the body. On an error it also returns the HTTP
// status.
func (g *Gateway) parse(r *http.Request, now time.Time) (*inbound, int, error) {
	name, _, err := headers.ParseTarget(r.RequestURI)
	if err != nil {
		return nil, http.StatusNotFound, err
	}
	document := g.options.Document()
	if document == nil || document.Service(name) == nil {
		return nil, http.StatusNotFound, errNoService
	}
	timeout, err := headers.ParseTimeout(r.Header, g.options.DefaultTimeout, g.options.MaxTimeout)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	idempotent, err := headers.ParseIdempotent(r.Method, r.Header)
	switch {
	case err != nil:
		return nil, http.StatusBadRequest, err
	case r.Header["Upgrade"] != nil || r.Method == http.MethodConnect:
		return nil, http.StatusBadRequest, errUpgrade
	case len(r.Header) > maxHeaders:
		return nil, http.StatusRequestHeaderFieldsTooLarge, errHeaders
	case r.ContentLength > g.options.MaxBodyBytes:
		return nil, http.StatusRequestEntityTooLarge, errBody
	}
	return &inbound{
		request: r, service: name, priority: document.Service(name).Priority, idempotent: idempotent,
		deadline: routing.Deadline{At: now.Add(timeout)},
	}, 0, nil
}

// readBody reads the complete body, so that a retry can send it again and a caller
// that stops sending does not occupy an endpoint.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, in *inbound) (int, error) {
	if r.ContentLength == 0 {
		return 0, nil
	}
	control := http.NewResponseController(w)
	// Without support for deadlines the server's own timeouts remain.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.options.MaxBodyBytes))
	in.body = body
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, errBody
	case err != nil:
		return http.StatusBadRequest, errTruncated
	}
	return 0, nil
}
