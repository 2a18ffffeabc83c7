package routing

import (
	"net/http"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	Succeeded Result = iota // a complete response arrived
	Failed                  // no complete response, or a server error
	Rejected                // the agent confirmed that the request did not run
	Leaving                 // like Rejected, because the endpoint is leaving
	NotSent                 // no byte was sent; the session is ending
	Cancelled               // cancelled by this process: the caller disconnected or another attempt won
)

// Choice is an endpoint chosen for one attempt. The caller must call End
// exactly once.
type Choice struct {
	Endpoint *Endpoint
	session  Session
	start    time.Time
	probe    bool
}

// RoundTrip sends the attempt to the endpoint's agent.
func (c *Choice) RoundTrip(r *http.Request) (*http.Response, error) { return c.session.RoundTrip(r) }

// Request describes the attempt to choose an endpoint for.
type Request struct {
	Service    units.ServiceName
	Idempotent bool
	Avoid      []*Endpoint // already tried; chosen only when every other eligible endpoint is ejected
}

func (r *Request) avoids(e *Endpoint) bool {
	for _, a := range r.Avoid {
		if a == e {
			return true
		}
	}
	return false
}

// maxDraws bounds the random draws for two candidates. When they find none,
// Choose scans all endpoints.
const maxDraws = 8

// Choose returns an endpoint for the request, or nil when none is eligible. It
// takes the better of two random candidates, unless the request serves as a
// probe of an ejected endpoint.
func (t *Table) Choose(r Request, now time.Time) *Choice {
	all := t.endpoints(r.Service)
	if len(all) == 0 {
		return nil
	}
	if e := t.chooseProbe(all, &r, now); e != nil {
		return e.newChoice(now, true)
	}
	var best, fallback *Endpoint
	candidates := 0
	for i := 0; i < maxDraws && candidates < 2; i++ {
		draw := t.settings.Random()
		e := all[draw%uint64(len(all))]
		if !e.eligible(now) || e.ejected.Load() || e == best || r.avoids(e) {
			continue
		}
		// An endpoint in slow start is skipped in part of the draws.
		if float64(draw>>40)/(1<<24) > e.trafficShare(now) {
			fallback = lowerScore(fallback, e, now)
			continue
		}
		best = lowerScore(best, e, now)
		candidates++
	}
	if best == nil {
		best = fallback
	}
	if best == nil {
		best = t.chooseByScan(all, &r, now)
	}
	if best == nil {
		return nil
	}
	return best.newChoice(now, false)
}

// lowerScore returns the endpoint with the lower score. a may be nil.
func lowerScore(a, b *Endpoint, now time.Time) *Endpoint {
	if a == nil || b.score(now) < a.score(now) {
		return b
	}
	return a
}

// chooseProbe draws one endpoint and returns it when it is ejected and due for
// a probe. With a single draw, at most a small share of the requests are
// probes.
func (t *Table) chooseProbe(all []*Endpoint, r *Request, now time.Time) *Endpoint {
	e := all[t.settings.Random()%uint64(len(all))]
	if e.ejected.Load() && e.eligible(now) && !r.avoids(e) && e.tryBeginProbe(r.Idempotent, now) {
		return e
	}
	return nil
}

// chooseByScan scans every endpoint. It returns the best one that is neither
// ejected nor avoided, else the best avoided one, else the best ejected one.
func (t *Table) chooseByScan(all []*Endpoint, r *Request, now time.Time) *Endpoint {
	var ranks [3]*Endpoint
	for _, e := range all {
		if !e.eligible(now) {
			continue
		}
		rank := 0
		if e.ejected.Load() {
			rank = 2
		} else if r.avoids(e) {
			rank = 1
		}
		ranks[rank] = lowerScore(ranks[rank], e, now)
	}
	for _, e := range ranks {
		if e != nil {
			return e
		}
	}
	return nil
}

func (e *Endpoint) newChoice(now time.Time, probe bool) *Choice {
	e.outstanding.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	return &Choice{Endpoint: e, session: e.session, start: now, probe: probe}
}

// End records how the attempt ended.
func (c *Choice) End(result Result, now time.Time) {
	e := c.Endpoint
	e.outstanding.Add(-1)
	if result == Leaving || result == NotSent {
		e.markUnusable(c.session)
	}
	e.mu.Lock()
	eject := false
	switch result {
	case Succeeded:
		e.recordLatency(now.Sub(c.start), now)
		e.recordResult(false)
	case Failed:
		e.recordLatency(now.Sub(c.start), now)
		eject = e.recordResult(true)
	case Cancelled:
		// The response would have taken at least this long.
		if d := now.Sub(c.start); d > e.expectedLatencyLocked(now) {
			e.recordLatency(d, now)
		}
	}
	returned := false
	if c.probe {
		returned = e.recordProbe(result, now)
		eject = false
	}
	e.mu.Unlock()
	if returned {
		e.beginSlowStart(now)
	}
	if eject && !e.ejected.Load() {
		e.table.eject(e, now)
	}
}

// markUnusable excludes the endpoint until its next heartbeat, unless a newer
// session has replaced session.
func (e *Endpoint) markUnusable(session Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session == session {
		e.usable.Store(false)
	}
}

// recordProbe records the result of a probe and reports whether the endpoint
// returns to service. Rejections do not count, because they say nothing about
// its health. The caller holds e.mu.
func (e *Endpoint) recordProbe(result Result, now time.Time) bool {
	if !e.ejected.Load() {
		return false
	}
	e.probeInFlight = false
	switch result {
	case Succeeded:
		e.successfulProbes++
	case Failed:
		e.eject(now)
	}
	if e.successfulProbes < probesToReadmit {
		return false
	}
	e.successfulProbes, e.ejections = 0, max(0, e.ejections-1)
	e.ejected.Store(false)
	return true
}

// eject ejects e, unless that would eject more than half of the eligible
// endpoints: a fault that affects most of them has another cause.
func (t *Table) eject(e *Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	eligible, ejected := 0, 0
	for _, o := range t.endpoints(e.Service) {
		if !o.eligible(now) {
			continue
		}
		eligible++
		if o.ejected.Load() {
			ejected++
		}
	}
	if (ejected+1)*2 > eligible {
		return
	}
	e.mu.Lock()
	e.eject(now)
	e.mu.Unlock()
}

// Load summarizes the eligible endpoints of a service for admission control at
// the entry process.
type Load struct {
	Endpoints  int           // number of eligible endpoints
	Slots      int64         // slots of the eligible endpoints
	Requests   int64         // waiting or running at the eligible endpoints
	MinLatency time.Duration // lowest expected latency
}

// EstimatedWait estimates how long a new request waits for a slot.
func (l Load) EstimatedWait() time.Duration {
	excess := l.Requests + 1 - l.Slots
	if excess <= 0 || l.Slots == 0 {
		return 0
	}
	return time.Duration(float64(excess) / float64(l.Slots) * float64(l.MinLatency))
}

// Load returns the summary of the service's eligible endpoints.
func (t *Table) Load(service units.ServiceName, now time.Time) Load {
	var l Load
	for _, e := range t.endpoints(service) {
		if !e.eligible(now) {
			continue
		}
		l.Endpoints++
		l.Slots += e.slots.Load()
		l.Requests += e.outstanding.Load() + e.otherRequests.Load()
		if d := e.expectedLatency(now); l.MinLatency == 0 || d < l.MinLatency {
			l.MinLatency = d
		}
	}
	return l
}

// HedgeDelay returns the time after which an idempotent attempt is hedged:
// three times the expected latency plus the locality cost, at least 2 ms. Few
// healthy responses take longer.
func (c *Choice) HedgeDelay(now time.Time) time.Duration {
	localityCost := time.Duration(c.Endpoint.localityCost.Load())
	return max(2*time.Millisecond, 3*c.Endpoint.expectedLatency(now)+localityCost)
}
