package trial

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"wasabihill.example/wasabihill/pkg/units"
)

// measures accumulates the measurements of a run.
type measures struct {
	finished         float64
	work             float64 // core seconds done, including attempts that are lost later
	ended            int
	evictions        int
	failures         int
	rejectedLaunches int
	urgentStart      time.Duration

	latency, quiet *hdrhistogram.Histogram
	lastWatched    map[units.JobID]time.Duration // time at which each watcher last ran, from its first start on
	unwatched      time.Duration
	workAt         map[time.Duration]float64 // work done up to that time
	coresBefore    float64                   // sum over samples of the cores committed in the domain before its absence
	samples        int
	backToFull     time.Duration
}

func (m *measures) init() {
	m.latency, m.quiet = hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	m.lastWatched, m.workAt, m.backToFull = map[units.JobID]time.Duration{}, map[time.Duration]float64{}, -1
}

// serviceTimeSigma is the sigma of the log-normal service time of requests. It
// gives a p99 of 2.3 times the median without batch.
const serviceTimeSigma = 0.35

// sample draws two request latencies per machine and updates the measurements of the step.
func (m *measures) sample(x *simulation) {
	for _, c := range x.machines {
		for range 2 {
			base := math.Exp(serviceTimeSigma*x.requestRand.NormFloat64()) * 1000
			if c.alive && !c.leaving {
				_ = m.latency.RecordValue(int64(base * c.latencyRatio))
				_ = m.quiet.RecordValue(int64(base))
			}
		}
	}
	m.workAt[x.elapsed] = m.work
	m.sampleWatchers(x)
	if x.scenario.DomainOut {
		m.sampleDomain(x)
	}
}

func (m *measures) sampleWatchers(x *simulation) {
	for _, c := range x.machines {
		for _, a := range c.running {
			if a.spec.kind == nil {
				m.lastWatched[a.task.Job] = x.elapsed
			}
		}
	}
	for _, last := range m.lastWatched {
		m.unwatched = max(m.unwatched, x.elapsed-last)
	}
}

// sampleDomain measures the domain that is taken out of service: the processors
// committed to batch there in the minute before, and the time after its return
// at which they first reach 95% of that. It counts committed processors, not used
// ones, because the share that throttling leaves unused depends on which tasks
// happen to run.
func (m *measures) sampleDomain(x *simulation) {
	cores := 0.0
	for _, c := range x.machines {
		if c.domain != domainName(0) {
			continue
		}
		for _, a := range c.running {
			if a.spec.kind != nil {
				cores += float64(a.committed.Processors) / 1000
			}
		}
	}
	switch {
	case x.elapsed > absentFrom-time.Minute && x.elapsed <= absentFrom:
		m.coresBefore += cores
		m.samples++
	case x.elapsed > absentTo && m.backToFull < 0:
		if cores >= 0.95*m.coresBefore/float64(m.samples) {
			m.backToFull = x.elapsed - absentTo
		}
	}
}

// result summarizes the run. AbsenceShare is zero unless the run reached the end of the
// absence.
func (x *simulation) result() Result {
	r := Result{Finished: x.measures.finished, Evictions: x.measures.evictions, Failures: x.measures.failures, RejectedLaunches: x.measures.rejectedLaunches, Unwatched: x.measures.unwatched,
		P99: float64(x.measures.latency.ValueAtQuantile(99)) / 1000, QuietP99: float64(x.measures.quiet.ValueAtQuantile(99)) / 1000,
		BackToFull: x.measures.backToFull, UrgentStart: x.measures.urgentStart, EndedTasks: x.measures.ended}
	for _, n := range x.ledger.Rejections() {
		r.RejectedEntries += n
	}
	if x.scenario.DomainOut && x.elapsed >= absentTo {
		remaining := 0
		for _, m := range x.machines {
			if m.domain != domainName(0) {
				remaining++
			}
		}
		// The crashed worker is missing in the two minutes before the absence and
		// is back during it. Earlier minutes are not used: sizes are not learned
		// then, so the result would look better than it is.
		perWorker := (x.measures.workAt[absentFrom] - x.measures.workAt[absentFrom-2*time.Minute]) / 120 / float64(len(x.machines)-1)
		share := perWorker * float64(remaining) * (absentTo - absentFrom).Seconds()
		r.AbsenceShare = (x.measures.workAt[absentTo] - x.measures.workAt[absentFrom]) / share
	}
	return r
}
