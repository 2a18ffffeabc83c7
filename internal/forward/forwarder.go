// Package forward is the agent's side of the request path: it admits the
// requests of all entry processes to the endpoint beside the agent, within the
// endpoint's slots, and forwards them.
package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Options configures a Forwarder. Zero fields take the defaults.
type Options struct {
	Scope        tally.Scope // metrics; disabled when nil
	MaxQueued    int         // waiting requests per endpoint; default 64
	MaxBodyBytes int64       // largest request body; default 8 MiB
}

// Forwarder admits requests and forwards them to the endpoints. It is safe for
// concurrent use.
type Forwarder struct {
	options                 Options
	outcomes                map[headers.Outcome]tally.Counter
	rejections              map[headers.Reason]tally.Counter
	retries                 tally.Counter
	unresponsiveConnections tally.Counter

	mu        sync.Mutex
	endpoints map[units.ServiceName]*endpoint
	draining  bool
	inFlight  sync.WaitGroup // incremented only while mu is held and draining is false
}

// New returns a Forwarder without endpoints.
func New(o Options) *Forwarder {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = 64
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 8 << 20
	}
	f := &Forwarder{
		options: o, endpoints: make(map[units.ServiceName]*endpoint),
		outcomes: make(map[headers.Outcome]tally.Counter), rejections: make(map[headers.Reason]tally.Counter),
		retries: o.Scope.Counter("forwardRetries"), unresponsiveConnections: o.Scope.Counter("silentConnections"),
	}
	for _, r := range []headers.Outcome{headers.Done, headers.NotRun, headers.Unknown} {
		f.outcomes[r] = o.Scope.Tagged(map[string]string{"outcome": string(r)}).Counter("forwarded")
	}
	for _, c := range []headers.Reason{headers.Leaving, headers.Overload, headers.DeadlineExceeded, headers.NoEndpoint, headers.NoConnection, headers.Malformed} {
		f.rejections[c] = o.Scope.Tagged(map[string]string{"reason": string(c)}).Counter("rejected")
	}
	return f
}

// EndpointReports returns the state of the endpoints for the next heartbeat. It
// closes endpoints in state GONE, and deletes them when they are idle and have
// not announced themselves for a minute.
func (f *Forwarder) EndpointReports() []*wire.EndpointReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	reports := make([]*wire.EndpointReport, 0, len(f.endpoints))
	for name, e := range f.endpoints {
		r := e.report(f.draining, now)
		reports = append(reports, r)
		if r.State == wire.EndpointState_ENDPOINT_STATE_GONE {
			e.admission.close()
			if now.Sub(e.announcedAt) > time.Minute && r.Busy == 0 {
				delete(f.endpoints, name)
			}
		}
	}
	return reports
}

// Drain rejects new requests as not run and waits until those in flight have
// been answered or ctx ends.
func (f *Forwarder) Drain(ctx context.Context) {
	f.mu.Lock()
	f.draining = true
	for _, e := range f.endpoints {
		e.admission.close()
	}
	f.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		f.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// beginRequest returns the service's endpoint and counts the request as in
// flight, or returns the reason to reject the request.
func (f *Forwarder) beginRequest(service units.ServiceName) (*endpoint, headers.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[service]
	switch {
	case f.draining:
		return nil, headers.Leaving
	case e == nil:
		return nil, headers.NoEndpoint
	case e.stateAt(time.Now()) != wire.EndpointState_ENDPOINT_STATE_READY:
		return nil, headers.Leaving
	}
	f.inFlight.Add(1)
	return e, ""
}

func (f *Forwarder) reject(w http.ResponseWriter, status int, reason headers.Reason) {
	f.outcomes[headers.NotRun].Inc(1)
	f.rejections[reason].Inc(1)
	headers.WriteRejection(w, status, reason, string(reason))
}

const (
	// defaultTimeout applies to a request without a deadline header.
	defaultTimeout = 10 * time.Second
	maxTimeout     = time.Hour
)

// ServeHTTP serves /services/{service}/{path...} on the sessions of entry
// processes.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, uri, err := headers.ParseTarget(r.RequestURI)
	timeout, deadlineErr := headers.ParseTimeout(r.Header, defaultTimeout, maxTimeout)
	idempotent, idempotentErr := headers.ParseIdempotent(r.Method, r.Header)
	if err != nil || deadlineErr != nil || idempotentErr != nil {
		f.reject(w, http.StatusBadRequest, headers.Malformed)
		return
	}
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	e, reason := f.beginRequest(service)
	if e == nil {
		f.reject(w, http.StatusServiceUnavailable, reason)
		return
	}
	defer f.inFlight.Done()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.options.MaxBodyBytes))
	if err != nil {
		f.reject(w, http.StatusRequestEntityTooLarge, headers.Malformed)
		return
	}
	if reason := e.admission.acquire(ctx, headers.ParsePriority(r.Header), deadline); reason != "" {
		f.reject(w, http.StatusServiceUnavailable, reason)
		return
	}
	c := &call{forwarder: f, endpoint: e, in: r, uri: uri, body: body, idempotent: idempotent, deadline: deadline}
	defer func() { e.admission.release(c.serviceTime) }()
	c.run(ctx, w)
}
