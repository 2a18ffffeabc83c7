package trial

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"wasabihill.example/wasabihill/pkg/units"
)

// measures accumulates what a run shows.
type measures struct {
	finished  float64
	work      float64 // core seconds done, also by attempts that are lost later
	ended     int
	evictions int
	failures  int
	refused   int
	urgent    time.Duration

	latency, quiet *hdrhistogram.Histogram
	watched        map[units.JobID]time.Duration // last seen running, from the first start on
	unwatched      time.Duration
	marks          map[time.Duration]float64 // work done at that time
	before         float64                   // cores committed in the domain before its absence
	samples        int
	back           time.Duration
}

func (m *measures) init() {
	m.latency, m.quiet = hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	m.watched, m.marks, m.back = map[units.JobID]time.Duration{}, map[time.Duration]float64{}, -1
}

// Requests: a log-normal service time, whose sigma gives a p99 of 2.3 times the
// median without batch.
const sigma = 0.35

func (m *measures) sample(x *fixture) {
	for _, c := range x.machines {
		for range 2 {
			base := math.Exp(sigma*x.noise.NormFloat64()) * 1000
			if c.alive && !c.leaving {
				_ = m.latency.RecordValue(int64(base * c.factor))
				_ = m.quiet.RecordValue(int64(base))
			}
		}
	}
	m.marks[x.elapsed] = m.work
	m.sampleWatchers(x)
	if x.c.DomainOut {
		m.sampleDomain(x)
	}
}

func (m *measures) sampleWatchers(x *fixture) {
	for _, c := range x.machines {
		for _, a := range c.running {
			if a.spec.kind == nil {
				m.watched[a.task.Job] = x.elapsed
			}
		}
	}
	for _, last := range m.watched {
		m.unwatched = max(m.unwatched, x.elapsed-last)
	}
}

// sampleDomain watches the domain that leaves: the processors committed to
// batch there in the minute before, and when they first reach 95% of that after
// its return. What throttles leave idle is not counted, because it depends on
// which tasks happen to run.
func (m *measures) sampleDomain(x *fixture) {
	cores := 0.0
	for _, c := range x.machines {
		if c.domain != domain(0) {
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
		m.before += cores
		m.samples++
	case x.elapsed > absentTo && m.back < 0:
		if cores >= 0.95*m.before/float64(m.samples) {
			m.back = x.elapsed - absentTo
		}
	}
}

func (x *fixture) result() Result {
	r := Result{Finished: x.m.finished, Evictions: x.m.evictions, Failures: x.m.failures, Refused: x.m.refused, Unwatched: x.m.unwatched,
		P99: float64(x.m.latency.ValueAtQuantile(99)) / 1000, QuietP99: float64(x.m.quiet.ValueAtQuantile(99)) / 1000,
		BackToFull: x.m.back, UrgentStart: x.m.urgent, EndedTasks: x.m.ended}
	for _, n := range x.l.Rejections() {
		r.RejectedLogs += n
	}
	if x.c.DomainOut && x.elapsed >= absentTo {
		remaining := 0
		for _, m := range x.machines {
			if m.domain != domain(0) {
				remaining++
			}
		}
		// The worker that crashed is missing in the two minutes before the
		// absence and back during it. Earlier minutes would flatter, because
		// sizes are not learned yet.
		perWorker := (x.m.marks[absentFrom] - x.m.marks[absentFrom-2*time.Minute]) / 120 / float64(len(x.machines)-1)
		share := perWorker * float64(remaining) * (absentTo - absentFrom).Seconds()
		r.AbsentShare = (x.m.marks[absentTo] - x.m.marks[absentFrom]) / share
	}
	return r
}
