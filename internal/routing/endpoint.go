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
	// latencyDecayTime is the time constant with which a measured latency gives
	// way to the one that the agent reports. It spans a few heartbeats, so that
	// a recovered endpoint is soon used again.
	latencyDecayTime = 3 * time.Second
	// initialLatency is assumed for an endpoint without a reported latency. It
	// is also the lower bound of a reported latency.
	initialLatency = time.Millisecond
	// failuresToEject is the number of consecutive failures that eject an
	// endpoint.
	failuresToEject = 5
	// failureRatioToEject ejects an endpoint that fails half of its recent
	// requests but not failuresToEject in a row. It applies from
	// minRatioSamples results on.
	failureRatioToEject = 0.5
	minRatioSamples     = 10
	// probesToReadmit is the number of successful probes after which an ejected
	// endpoint returns to service.
	probesToReadmit = 3
	maxEjection     = 30 * time.Second
	// idempotentProbePeriod is how long only idempotent requests probe an
	// endpoint whose ejection has expired. Afterwards any request may, because
	// a service without idempotent requests must also recover.
	idempotentProbePeriod = 5 * time.Second
	// minSlowStartShare is the traffic share at the beginning of slow start.
	minSlowStartShare = 0.1
)

// Endpoint is the endpoint of one service on one worker.
type Endpoint struct {
	Worker  units.WorkerID
	Service units.ServiceName

	table          *Table
	usable         atomic.Bool
	state          atomic.Int32
	lastHeartbeat  atomic.Int64 // time since the table's origin
	localityCost   atomic.Int64
	outstanding    atomic.Int64
	otherRequests  atomic.Int64 // requests at the endpoint from other entry processes
	slots          atomic.Int64
	slowStartBegan atomic.Int64 // time since the table's origin
	ejected        atomic.Bool

	mu                  sync.Mutex // guards the rest
	session             Session
	reportedLatency     time.Duration // service time reported by the agent
	measuredLatency     float64       // decayed, nanoseconds; 0 before the first response
	measuredAt          time.Time
	consecutiveFailures int
	recentResults       float64 // decayed count
	recentFailures      float64 // decayed count
	ejections           int     // each doubles the ejection time
	ejectedUntil        time.Time
	probeInFlight       bool
	successfulProbes    int
}

// applyReport updates the endpoint from the report in a heartbeat.
func (e *Endpoint) applyReport(r *wire.EndpointReport, session Session, localityCost time.Duration, now time.Time) {
	e.state.Store(int32(r.State))
	e.lastHeartbeat.Store(e.table.since(now))
	e.localityCost.Store(int64(localityCost))
	e.slots.Store(int64(r.Slots))
	// The reported numbers include the requests of this process.
	e.otherRequests.Store(max(0, int64(r.Busy)+int64(r.Queued)-e.outstanding.Load()))
	e.mu.Lock()
	e.session = session
	e.reportedLatency = time.Duration(r.LatencyMicroseconds) * time.Microsecond
	e.mu.Unlock()
}

func (e *Endpoint) beginSlowStart(now time.Time) { e.slowStartBegan.Store(e.table.since(now)) }

func (e *Endpoint) eligible(now time.Time) bool {
	at := e.table.since(now)
	return e.usable.Load() && at-e.lastHeartbeat.Load() <= int64(e.table.settings.HeartbeatTimeout)+e.table.stall.heartbeatAllowance(at)
}

// trafficShare returns the fraction of its full traffic that the endpoint takes
// during slow start, 0.1 to 1.
func (e *Endpoint) trafficShare(now time.Time) float64 {
	elapsed := float64(e.table.since(now)-e.slowStartBegan.Load()) / float64(e.table.settings.SlowStartWindow)
	return min(1, max(minSlowStartShare, elapsed))
}

// expectedLatency returns the decayed latency. It approaches the reported
// latency while nothing is measured, so that old measurements do not keep
// traffic away.
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

// score returns the cost by which candidates are compared; lower is better.
func (e *Endpoint) score(now time.Time) float64 {
	load := float64(e.outstanding.Load() + e.otherRequests.Load() + 1)
	return load*float64(e.expectedLatency(now)) + float64(e.localityCost.Load())
}

// recordLatency adds the duration of one attempt to the average. A duration
// above the average has more weight than one below it, so that a slowdown shows
// early. The caller holds e.mu.
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

// recordResult records a success or a failure and reports whether the endpoint
// should be ejected. The caller holds e.mu.
func (e *Endpoint) recordResult(failed bool) bool {
	const decay = 0.95 // about the last 20 results
	e.recentResults = e.recentResults*decay + 1
	e.recentFailures *= decay
	if !failed {
		e.consecutiveFailures = 0
		return false
	}
	e.consecutiveFailures++
	e.recentFailures++
	return e.consecutiveFailures >= failuresToEject || (e.recentResults >= minRatioSamples && e.recentFailures/e.recentResults >= failureRatioToEject)
}

// eject excludes the endpoint from the choice for a time that doubles with each
// ejection. The caller holds e.mu.
func (e *Endpoint) eject(now time.Time) {
	d := min(e.table.settings.BaseEjectionTime<<min(e.ejections, 10), maxEjection)
	e.ejections++
	e.ejectedUntil = now.Add(d)
	e.probeInFlight, e.successfulProbes = false, 0
	e.consecutiveFailures, e.recentResults, e.recentFailures = 0, 0, 0
	e.ejected.Store(true)
}

// tryBeginProbe reports whether this request may probe the ejected endpoint,
// and if so marks the probe as in flight. There is one probe at a time.
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
