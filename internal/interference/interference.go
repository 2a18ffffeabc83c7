// Package interference learns how much tasks that fill slow down the serving
// tasks beside them, for each pair of images.
//
// A serving task is a queue: its latency is reciprocal to what its load leaves
// of its capacity. The model therefore works on rates, target / latency, which
// are 1 at the target and fall in proportion to what takes from the task:
//
//	rate = base of the step - sum over the filling images of perCore x cores in use
//
// The tasks of a step share one load, so they share one base: a task that runs
// alone tells what its siblings on other workers would reach. Base and perCore
// change within seconds, so both are tracked by a Kalman filter with a diagonal
// covariance whose variances grow with time.
package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

const (
	// firstPerCore is assumed of a pair that was never observed, in rate per core.
	initialLossPerCore = 0.05
	// firstBase is the least that is assumed of a step before it ran alone: half
	// of its target.
	initialBaseRate = 2.0
	// firstPairVariance and firstBaseVariance are those of a first observation.
	initialPairVariance = 0.1
	initialBaseVariance = 0.6
	// pairDrift and baseDrift are the variance added per second. The base
	// follows the step's own load, which changes faster than a pair.
	pairDrift = 0.001
	baseDrift = 0.3
	// noise is the standard deviation of a reading relative to its rate, which
	// counts as lowestNoiseRate at least: latencies are whole milliseconds and
	// harm is not quite linear near saturation.
	relativeNoise = 0.1
	minNoiseRate  = 1.0
	// lowestRate is the least rate that is told apart: beyond it a queue grows
	// for as long as it lasts, whatever its cause.
	minRate = 0.4
	// maxPerCore bounds an estimate per core.
	maxLossPerCore = 5.0
	// readingFade is the time constant with which a reading follows the latency.
	readingTimeConstant = 400 * time.Millisecond
	// longestGap is the time after which an earlier reading no longer shows in
	// the next one.
	maxReadingGap = 3 * readingTimeConstant
	// knownVariance is below what two or three readings leave.
	reliableVariance = 0.03
	// endedShare is the part of a reading's window in which a task that has ended
	// since the one before was at work, on average.
	endedShare = 0.5
	// leastCores are too few to show in a reading.
	minVisibleCores = 0.02
	// maxTasks, maxSteps, maxPairs and maxImages bound the tables against ever
	// new names.
	maxTasks  = 4096
	maxSteps  = 1024
	maxPairs  = 4096
	maxImages = 64
)

// HighestRate is the highest rate that is told apart.
const MaxRate = 6.0

// Serving is a reading of a serving task.
type LatencyReading struct {
	Task    workflow.TaskID
	Image   string
	Latency float64 // tail, in ms
	Target  float64 // in ms
}

// Filling is a reading of a task that fills.
type UsageReading struct {
	Image string
	Cores float64 // in use
	Ended bool    // since the reading before this one
}

type pair struct{ latencyCritical, bestEffort string }

type estimate struct {
	value     float64
	variance  float64
	updatedAt bootclock.Instant
}

// advance adds the variance that has grown since the last reading.
func (e *estimate) advance(at bootclock.Instant, drift, limit float64) {
	e.variance = min(e.variance+drift*at.Sub(e.updatedAt).Seconds(), limit)
	e.updatedAt = at
}

// reading is the last one of a task.
type reading struct {
	latency float64 // relative to the target
	readAt  bootclock.Instant
}

// Model holds the estimates. It is not safe for concurrent use.
type Model struct {
	bestEffortImages []string // images that were observed filling, the newest last; at most maxImages
	pairs            map[pair]*estimate
	baseRates        map[workflow.TaskID]*estimate // by the step's first task
	readings         map[workflow.TaskID]*reading
}

// PerCore returns by how much one core of the filling image lowers the rate of
// the serving image.
func (m *Model) LossPerCore(serving, filling string) float64 {
	if e := m.pairs[pair{serving, filling}]; e != nil {
		return e.value
	}
	return initialLossPerCore
}

// Filling returns the images that were observed filling.
func (m *Model) BestEffortImages() []string { return m.bestEffortImages }

// Observe takes in the readings of one worker, and returns the rate that each
// serving task has beside the tasks that still run; it is HighestRate without a
// reading.
func (m *Model) Observe(at bootclock.Instant, serving []LatencyReading, filling []UsageReading) []float64 {
	return m.update(at, serving, filling, true)
}

// Rates returns what Observe does, and learns nothing: for a worker whose tasks
// are slow for another reason.
func (m *Model) Rates(at bootclock.Instant, serving []LatencyReading, filling []UsageReading) []float64 {
	return m.update(at, serving, filling, false)
}

func (m *Model) update(at bootclock.Instant, serving []LatencyReading, filling []UsageReading, learn bool) []float64 {
	m.initTables()
	cores := make(map[string]float64)
	var ended []UsageReading
	for _, f := range filling {
		if f.Ended {
			f.Cores *= endedShare
			ended = append(ended, f)
		}
		cores[f.Image] += f.Cores
	}
	images := visibleImages(cores)
	rates := make([]float64, len(serving))
	for i, s := range serving {
		rates[i] = MaxRate
		if s.Latency > 0 && s.Target > 0 {
			rate, stale := m.currentRate(at, s)
			if learn {
				m.learn(at, s, rate, stale, images, cores)
			}
			rates[i] = rate
		}
		for _, f := range ended {
			rates[i] += m.LossPerCore(s.Image, f.Image) * f.Cores
		}
	}
	m.trimTables()
	return rates
}

// shown returns the images with enough cores to show in a reading, sorted, so that
// equal runs give equal sums.
func visibleImages(cores map[string]float64) []string {
	images := make([]string, 0, len(cores))
	for image, n := range cores {
		if n > minVisibleCores {
			images = append(images, image)
		}
	}
	slices.Sort(images)
	return images
}

func (m *Model) initTables() {
	if m.pairs == nil {
		m.pairs = make(map[pair]*estimate)
		m.baseRates = make(map[workflow.TaskID]*estimate)
		m.readings = make(map[workflow.TaskID]*reading)
	}
}

// learn corrects the estimates by one reading. stale is the share of it that the
// reading before explains.
func (m *Model) learn(at bootclock.Instant, s LatencyReading, rate, stale float64, images []string, cores map[string]float64) {
	base := m.baseRate(at, s.Task, rate)
	predicted := base.value
	deviation := relativeNoise * max(rate, minNoiseRate) / (1 - stale)
	spread := base.variance + deviation*deviation
	rows := make([]*estimate, len(images))
	for i, image := range images {
		e := m.pairEstimate(pair{s.Image, image}, at)
		e.advance(at, pairDrift, initialPairVariance)
		predicted -= e.value * cores[image]
		spread += e.variance * cores[image] * cores[image]
		rows[i] = e
	}
	surprise := max(rate, minRate) - max(predicted, minRate)
	base.correct(surprise, 1, spread)
	base.value = min(max(base.value, minRate), MaxRate)
	for i, e := range rows {
		e.correct(surprise, -cores[images[i]], spread)
		e.value = min(max(e.value, 0), maxLossPerCore)
	}
}

// rate returns the rate that a reading shows, and the share of the reading that
// the one before it explains: a reading follows the latency with a delay, so that
// what harmed a moment ago still shows when it has gone.
func (m *Model) currentRate(at bootclock.Instant, s LatencyReading) (rate, stale float64) {
	latency := s.Latency / s.Target
	last := m.readings[s.Task]
	if last == nil {
		last = &reading{}
		m.readings[s.Task] = last
	}
	now := latency
	if gap := at.Sub(last.readAt); last.latency > 0 && gap < maxReadingGap {
		stale = math.Exp(-gap.Seconds() / readingTimeConstant.Seconds())
		now = (latency - stale*last.latency) / (1 - stale)
	}
	*last = reading{latency, at}
	return 1 / max(now, 1/MaxRate), stale
}

// base returns the estimate of the step of a task.
func (m *Model) baseRate(at bootclock.Instant, task workflow.TaskID, rate float64) *estimate {
	task.Index = 0
	e := m.baseRates[task]
	if e == nil {
		e = &estimate{value: max(rate, initialBaseRate), variance: initialBaseVariance, updatedAt: at}
		m.baseRates[task] = e
	}
	e.advance(at, baseDrift, initialBaseVariance)
	return e
}

// correct applies the share of the surprise that the estimate accounts for.
func (e *estimate) correct(surprise, x, spread float64) {
	gain := e.variance * x / spread
	e.value += gain * surprise
	e.variance *= 1 - gain*x
}

func (m *Model) pairEstimate(p pair, at bootclock.Instant) *estimate {
	e := m.pairs[p]
	if e == nil {
		e = &estimate{value: initialLossPerCore, variance: initialPairVariance, updatedAt: at}
		m.pairs[p] = e
		if !slices.Contains(m.bestEffortImages, p.bestEffort) {
			m.bestEffortImages = append(m.bestEffortImages, p.bestEffort)
			m.bestEffortImages = m.bestEffortImages[max(0, len(m.bestEffortImages)-maxImages):]
		}
	}
	return e
}

// forget bounds the tables by dropping what was read longest ago.
func (m *Model) trimTables() {
	dropOldest(m.readings, maxTasks, func(r *reading) bootclock.Instant { return r.readAt })
	read := func(e *estimate) bootclock.Instant { return e.updatedAt }
	dropOldest(m.baseRates, maxSteps, read)
	dropOldest(m.pairs, maxPairs, read)
}

func dropOldest[K comparable, V any](rows map[K]V, limit int, at func(V) bootclock.Instant) {
	if len(rows) <= limit {
		return
	}
	keys := make([]K, 0, len(rows))
	for k := range rows {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(at(rows[a]), at(rows[b])) })
	for _, k := range keys[:len(keys)-limit/2] {
		delete(rows, k)
	}
}

// Estimate is what a model knows of a pair of images.
type Estimate struct {
	LatencyCriticalImage, BestEffortImage string
	LossPerCore                           float64 // loss of rate per core
	Variance                              float64 // of PerCore
}

// Estimates returns what is known of the serving images beside the filling ones.
func (m *Model) Estimates(serving, filling map[string]bool) []Estimate {
	var known []Estimate
	for p, e := range m.pairs {
		if serving[p.latencyCritical] && filling[p.bestEffort] {
			known = append(known, Estimate{p.latencyCritical, p.bestEffort, e.value, e.variance})
		}
	}
	return known
}

// Suggest takes over the estimate of a model that has seen more workers.
func (m *Model) SetEstimate(at bootclock.Instant, in Estimate) {
	m.initTables()
	e := m.pairEstimate(pair{in.LatencyCriticalImage, in.BestEffortImage}, at)
	e.value, e.variance, e.updatedAt = in.LossPerCore, in.Variance, at
}

// Known reports whether enough was observed of a pair to trust the estimate.
func (m *Model) IsReliable(serving, filling string) bool {
	e := m.pairs[pair{serving, filling}]
	return e != nil && e.variance < reliableVariance
}
