// Package routing chooses the endpoint for each request of a caller. It keeps
// the results of heartbeats and earlier requests for every endpoint, and uses
// only the time and the random source that it is given.
//
// Reads take no locks except for the statistics of the endpoint concerned: the
// set of endpoints changes rarely and is replaced as a whole.
package routing

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Session carries requests to an agent. *link.Session implements it.
type Session interface{ http.RoundTripper }

// Settings configures a Table. Zero fields take the defaults.
type Settings struct {
	Domain units.DomainName // failure domain of this process
	Region units.RegionName // region of this process
	// Costs are added to the expected latency of an endpoint in another domain.
	SameRegionCost   time.Duration // other domain of the same region; default 8 ms, a round trip
	OtherRegionCost  time.Duration // default 50 ms
	HeartbeatTimeout time.Duration // maximum heartbeat age of an eligible endpoint; default 2 s
	BaseEjectionTime time.Duration // duration of the first ejection; doubles each time up to 30 s; default 1 s
	SlowStartWindow  time.Duration // time until a new or returning endpoint takes its full share; default 10 s
	Random           func() uint64 // safe for concurrent use; default math/rand/v2
}

func (s *Settings) setDefaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.SameRegionCost, 8 * time.Millisecond},
		{&s.OtherRegionCost, 50 * time.Millisecond},
		{&s.HeartbeatTimeout, 2 * time.Second},
		{&s.BaseEjectionTime, time.Second},
		{&s.SlowStartWindow, 10 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if s.Random == nil {
		s.Random = rand.Uint64
	}
}

// Table contains the endpoints of every service. It is safe for concurrent use.
type Table struct {
	settings Settings
	origin   time.Time // times are kept relative to it, on the monotonic clock
	sets     atomic.Pointer[map[units.ServiceName]*endpointSet]
	stall    stallDetector

	mu       sync.Mutex // guards changes of membership, document and ejections
	document *environment.Document
	workers  map[units.WorkerID]*worker
}

// worker is the state of one agent according to its heartbeats.
type worker struct {
	epoch         uint64
	lastHeartbeat time.Time
	session       Session
	domain        units.DomainName
	region        units.RegionName
	draining      bool
	endpoints     map[units.ServiceName]*Endpoint
}

// endpointSet is the immutable list of a service's endpoints.
type endpointSet struct{ endpoints []*Endpoint }

// New returns an empty table.
func New(s Settings) *Table {
	s.setDefaults()
	t := &Table{settings: s, origin: time.Now(), workers: make(map[units.WorkerID]*worker)}
	t.sets.Store(&map[units.ServiceName]*endpointSet{})
	return t
}

// SetDocument applies the states of failure domains and drained workers.
func (t *Table) SetDocument(d *environment.Document, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.document = d
	for id, w := range t.workers {
		for _, e := range w.endpoints {
			t.updateUsable(id, w, e, now)
		}
	}
}

// RecordHeartbeat records a heartbeat that arrived over session. While a newer
// epoch of the worker sends heartbeats, those of an older epoch are ignored:
// they come from an agent that was paused and has been replaced.
func (t *Table) RecordHeartbeat(id units.WorkerID, session Session, h *wire.Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[id]
	if w == nil {
		w = &worker{endpoints: make(map[units.ServiceName]*Endpoint)}
		t.workers[id] = w
	}
	if h.Epoch < w.epoch && session != w.session && now.Sub(w.lastHeartbeat) <= t.settings.HeartbeatTimeout {
		return
	}
	w.epoch, w.lastHeartbeat = h.Epoch, now
	w.session, w.domain, w.region = session, units.DomainName(h.FailureDomain), units.RegionName(h.Region)
	w.draining = h.Draining
	changed := false
	reported := make(map[units.ServiceName]bool, len(h.Endpoints))
	for _, r := range h.Endpoints {
		name := units.ServiceName(r.Service)
		reported[name] = true
		e := w.endpoints[name]
		if e == nil {
			e = &Endpoint{Worker: id, Service: name, table: t}
			w.endpoints[name] = e
			changed = true
		}
		e.applyReport(r, session, t.localityCost(w), now)
		t.updateUsable(id, w, e, now)
	}
	for name := range w.endpoints {
		if !reported[name] {
			delete(w.endpoints, name)
			changed = true
		}
	}
	if changed {
		t.rebuildSets()
	}
}

// Remove deletes the worker's endpoints if its last heartbeat came over
// session. After a heartbeat over a newer session it has no effect.
func (t *Table) Remove(id units.WorkerID, session Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.workers[id]; w != nil && w.session == session {
		delete(t.workers, id)
		t.rebuildSets()
	}
}

// updateUsable decides whether the endpoint may receive requests, apart from
// the age of its heartbeat. An endpoint that becomes usable begins slow start.
func (t *Table) updateUsable(id units.WorkerID, w *worker, e *Endpoint, now time.Time) {
	usable := !w.draining && wire.EndpointState(e.state.Load()) == wire.EndpointState_ENDPOINT_STATE_READY
	if t.document != nil {
		usable = usable && !t.document.DomainIsOut(w.domain) && !t.document.IsDrained(id)
	}
	if usable && !e.usable.Swap(true) {
		e.beginSlowStart(now)
	} else if !usable {
		e.usable.Store(false)
	}
}

// localityCost returns the extra latency of the worker's failure domain.
func (t *Table) localityCost(w *worker) time.Duration {
	switch {
	case w.domain == t.settings.Domain:
		return 0
	case w.region == t.settings.Region:
		return t.settings.SameRegionCost
	}
	return t.settings.OtherRegionCost
}

// rebuildSets replaces the immutable sets after a change of membership.
func (t *Table) rebuildSets() {
	sets := make(map[units.ServiceName]*endpointSet)
	for _, w := range t.workers {
		for name, e := range w.endpoints {
			s := sets[name]
			if s == nil {
				s = &endpointSet{}
				sets[name] = s
			}
			s.endpoints = append(s.endpoints, e)
		}
	}
	t.sets.Store(&sets)
}

// Run calls Tick every TickInterval until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.Tick(time.Now())
		}
	}
}

// Tick records that this process is running. It must be called every
// TickInterval.
func (t *Table) Tick(now time.Time) { t.stall.tick(t.since(now), int64(t.settings.HeartbeatTimeout)) }

func (t *Table) since(now time.Time) int64 { return int64(now.Sub(t.origin)) }

func (t *Table) endpoints(service units.ServiceName) []*Endpoint {
	if s := (*t.sets.Load())[service]; s != nil {
		return s.endpoints
	}
	return nil
}

// CountEligible returns the number of the service's endpoints that may receive
// requests now.
func (t *Table) CountEligible(service units.ServiceName, now time.Time) int {
	n := 0
	for _, e := range t.endpoints(service) {
		if e.eligible(now) {
			n++
		}
	}
	return n
}
