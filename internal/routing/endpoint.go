package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// latencyMemory is how long a measured latency outweighs the one that the
	// agent reports; it spans a few heartbeats, so a recovered endpoint is
	// soon tried again.
	latencyMemory = 3 * time.Second
	// initialLatency stands for an endpoint about which nothing is known.
	initialLatency = time.Millisecond
	// failuresToEject are the consecutive failures that eject an endpoint.
	failuresToEject = 5
	// failureRatio ejects an endpoint that fails half of its recent requests
	// without failing several in a row; it needs minimumSamples of them.
	failureRatio   = 0.5
	minimumSamples = 10
	// probesToReturn are the successful probes after which an ejected endpoint
	// returns.
	probesToReturn = 3
	maxEjection    = 30 * time.Second
	// probeFallback is how long probes are left to idempotent requests; a
	// service that gets none must still be able to return.
	probeFallback = 5 * time.Second
	// minimumShare is the share with which slow start begins.
	minimumShare = 0.1
)

// Endpoint is one endpoint beside one worker.
type Endpoint struct {
	Worker  units.WorkerID
	Service units.ServiceName

	table       *Table
	usable      atomic.Bool
	state       atomic.Int32
	seen        atomic.Int64 // time of the last heartbeat, since the table's origin
	distance    atomic.Int64
	outstanding atomic.Int64
	others      atomic.Int64 // requests there that other entry processes sent
	slots       atomic.Int64
	slowFrom    atomic.Int64 // start of slow start, since the table's origin
	ejected     atomic.Bool

	mu        sync.Mutex // guards the rest
	session   Session
	reported  time.Duration // service time as the agent sees it
	latency   float64       // decayed, nanoseconds; 0 before the first response
	measured  time.Time
	failures  int     // consecutive
	total     float64 // decayed counts of results
	failed    float64
	ejections int // doubles the ejection time
	until     time.Time
	probing   bool
	probes    int
}

func (e *Endpoint) observe(r *wire.EndpointReport, session Session, distance time.Duration, now time.Time) {
	e.state.Store(int32(r.State))
	e.seen.Store(e.table.since(now))
	e.distance.Store(int64(distance))
	e.slots.Store(int64(r.Slots))
	// What is reported includes the requests sent from here.
	e.others.Store(max(0, int64(r.Busy)+int64(r.Queued)-e.outstanding.Load()))
	e.mu.Lock()
	e.session = session
	e.reported = time.Duration(r.LatencyMicroseconds) * time.Microsecond
	e.mu.Unlock()
}

func (e *Endpoint) startSlowly(now time.Time) { e.slowFrom.Store(e.table.since(now)) }

func (e *Endpoint) eligible(now time.Time) bool {
	at := e.table.since(now)
	return e.usable.Load() && at-e.seen.Load() <= int64(e.table.settings.HeartbeatTimeout)+e.table.stall.allowance(at)
}

// share is the part of its full traffic that the endpoint takes, 0.1 to 1.
func (e *Endpoint) share(now time.Time) float64 {
	elapsed := float64(e.table.since(now)-e.slowFrom.Load()) / float64(e.table.settings.SlowStartWindow)
	return min(1, max(minimumShare, elapsed))
}

// expected is the decayed latency; it approaches the reported one while
// nothing is measured, so that old measurements do not keep traffic away.
func (e *Endpoint) expected(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expectedLocked(now)
}

func (e *Endpoint) expectedLocked(now time.Time) time.Duration {
	base := float64(max(e.reported, initialLatency))
	if e.latency == 0 {
		return time.Duration(base)
	}
	weight := math.Exp(-float64(now.Sub(e.measured)) / float64(latencyMemory))
	return time.Duration(base + (e.latency-base)*min(1, weight))
}

// score orders candidates; the lower is better.
func (e *Endpoint) score(now time.Time) float64 {
	load := float64(e.outstanding.Load() + e.others.Load() + 1)
	return load*float64(e.expected(now)) + float64(e.distance.Load())
}

// measure adds the latency of one whole response. A slower response counts
// more than a faster one, so that trouble shows early.
func (e *Endpoint) measure(d time.Duration, now time.Time) {
	weight := 0.1
	if float64(d) > e.latency {
		weight = 0.3
	}
	old := float64(e.expectedLocked(now))
	if e.latency == 0 {
		old = float64(d)
	}
	e.latency, e.measured = old+(float64(d)-old)*weight, now
}

// outlying records a result and reports whether the endpoint should be ejected.
func (e *Endpoint) outlying(failed bool) bool {
	const memory = 0.95 // about the last 20 results
	e.total = e.total*memory + 1
	e.failed *= memory
	if !failed {
		e.failures = 0
		return false
	}
	e.failures++
	e.failed++
	return e.failures >= failuresToEject || (e.total >= minimumSamples && e.failed/e.total >= failureRatio)
}

// eject takes the endpoint out of the choice for a time that doubles.
func (e *Endpoint) eject(now time.Time) {
	d := min(e.table.settings.BaseEjectionTime<<min(e.ejections, 10), maxEjection)
	e.ejections++
	e.until = now.Add(d)
	e.probing, e.probes = false, 0
	e.failures, e.total, e.failed = 0, 0, 0
	e.ejected.Store(true)
}

// claimProbe reports whether this request may probe the ejected endpoint; one
// probe runs at a time.
func (e *Endpoint) claimProbe(idempotent bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ejected.Load() || e.probing || now.Before(e.until) {
		return false
	}
	if !idempotent && now.Before(e.until.Add(probeFallback)) {
		return false
	}
	e.probing = true
	return true
}
