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
	latencyDecayTime = 3 * time.Second
	// initialLatency stands for an endpoint about which nothing is known.
	initialLatency = time.Millisecond
	// failuresToEject are the consecutive failures that eject an endpoint.
	failuresToEject = 5
	// failureRatio ejects an endpoint that fails half of its recent requests
	// without failing several in a row; it needs minimumSamples of them.
	failureRatioToEject = 0.5
	minRatioSamples     = 10
	// probesToReturn are the successful probes after which an ejected endpoint
	// returns.
	probesToReadmit = 3
	maxEjection     = 30 * time.Second
	// probeFallback is how long probes are left to idempotent requests; a
	// service that gets none must still be able to return.
	idempotentProbePeriod = 5 * time.Second
	// minimumShare is the share with which slow start begins.
	minSlowStartShare = 0.1
)

// Endpoint is one endpoint beside one worker.
type Endpoint struct {
	Worker  units.WorkerID
	Service units.ServiceName

	table          *Table
	usable         atomic.Bool
	state          atomic.Int32
	lastHeartbeat  atomic.Int64 // time of the last heartbeat, since the table's origin
	localityCost   atomic.Int64
	outstanding    atomic.Int64
	otherRequests  atomic.Int64 // requests there that other entry processes sent
	slots          atomic.Int64
	slowStartBegan atomic.Int64 // start of slow start, since the table's origin
	ejected        atomic.Bool

	mu                  sync.Mutex // guards the rest
	session             Session
	reportedLatency     time.Duration // service time as the agent sees it
	measuredLatency     float64       // decayed, nanoseconds; 0 before the first response
	measuredAt          time.Time
	consecutiveFailures int     // consecutive
	recentResults       float64 // decayed counts of results
	recentFailures      float64
	ejections           int // doubles the ejection time
	ejectedUntil        time.Time
	probeInFlight       bool
	successfulProbes    int
}

func (e *Endpoint) applyReport(r *wire.EndpointReport, session Session, distance time.Duration, now time.Time) {
	e.state.Store(int32(r.State))
	e.lastHeartbeat.Store(e.table.sinceOrigin(now))
	e.localityCost.Store(int64(distance))
	e.slots.Store(int64(r.Slots))
	// What is reported includes the requests sent from here.
	e.otherRequests.Store(max(0, int64(r.Busy)+int64(r.Queued)-e.outstanding.Load()))
	e.mu.Lock()
	e.session = session
	e.reportedLatency = time.Duration(r.LatencyMicroseconds) * time.Microsecond
	e.mu.Unlock()
}

func (e *Endpoint) beginSlowStart(now time.Time) { e.slowStartBegan.Store(e.table.sinceOrigin(now)) }

func (e *Endpoint) eligible(now time.Time) bool {
	at := e.table.sinceOrigin(now)
	return e.usable.Load() && at-e.lastHeartbeat.Load() <= int64(e.table.settings.HeartbeatTimeout)+e.table.stall.heartbeatAllowance(at)
}

// share is the part of its full traffic that the endpoint takes, 0.1 to 1.
func (e *Endpoint) trafficShare(now time.Time) float64 {
	elapsed := float64(e.table.sinceOrigin(now)-e.slowStartBegan.Load()) / float64(e.table.settings.SlowStartWindow)
	return min(1, max(minSlowStartShare, elapsed))
}

// expected is the decayed latency; it approaches the reported one while
// nothing is measured, so that old measurements do not keep traffic away.
func (e *Endpoint) expectedLatency(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expectedLatencyLocked(now)
}

func (e *Endpoint) expectedLatencyLocked(now time.Time) time.Duration {
	base := float64(max(e.reportedLatency, initialLatency))
	if e.measuredLatency == 0 {
		return time.Duration(base)
	}
	weight := math.Exp(-float64(now.Sub(e.measuredAt)) / float64(latencyDecayTime))
	return time.Duration(base + (e.measuredLatency-base)*min(1, weight))
}

// score orders candidates; the lower is better.
func (e *Endpoint) score(now time.Time) float64 {
	load := float64(e.outstanding.Load() + e.otherRequests.Load() + 1)
	return load*float64(e.expectedLatency(now)) + float64(e.localityCost.Load())
}

// measure adds the latency of one whole response. A slower response counts
// more than a faster one, so that trouble shows early.
func (e *Endpoint) recordLatency(d time.Duration, now time.Time) {
	weight := 0.1
	if float64(d) > e.measuredLatency {
		weight = 0.3
	}
	old := float64(e.expectedLatencyLocked(now))
	if e.measuredLatency == 0 {
		old = float64(d)
	}
	e.measuredLatency, e.measuredAt = old+(float64(d)-old)*weight, now
}

// outlying records a result and reports whether the endpoint should be ejected.
func (e *Endpoint) recordResult(failed bool) bool {
	const memory = 0.95 // about the last 20 results
	e.recentResults = e.recentResults*memory + 1
	e.recentFailures *= memory
	if !failed {
		e.consecutiveFailures = 0
		return false
	}
	e.consecutiveFailures++
	e.recentFailures++
	return e.consecutiveFailures >= failuresToEject || (e.recentResults >= minRatioSamples && e.recentFailures/e.recentResults >= failureRatioToEject)
}

// eject takes the endpoint out of the choice for a time that doubles.
func (e *Endpoint) eject(now time.Time) {
	d := min(e.table.settings.BaseEjectionTime<<min(e.ejections, 10), maxEjection)
	e.ejections++
	e.ejectedUntil = now.Add(d)
	e.probeInFlight, e.successfulProbes = false, 0
	e.consecutiveFailures, e.recentResults, e.recentFailures = 0, 0, 0
	e.ejected.Store(true)
}

// claimProbe reports whether this request may probe the ejected endpoint; one
// probe runs at a time.
func (e *Endpoint) tryBeginProbe(idempotent bool, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ejected.Load() || e.probeInFlight || now.Before(e.ejectedUntil) {
		return false
	}
	if !idempotent && now.Before(e.ejectedUntil.Add(idempotentProbePeriod)) {
		return false
	}
	e.probeInFlight = true
	return true
}
