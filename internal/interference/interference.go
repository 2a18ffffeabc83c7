// Package interference estimates how much best-effort tasks slow down the
// latency-critical tasks on the same worker, for each pair of images.
//
// A latency-critical task behaves as a queue: its latency is inversely
// proportional to the capacity that its load leaves free. The model therefore
// uses rates, target / latency, which are 1 at the target and fall linearly with
// the interference:
//
//	rate = base rate of the step - sum over best-effort images of loss per core x cores in use
//
// The tasks of a step share one load and therefore one base rate: a task that runs
// alone on its worker shows the rate that its siblings on other workers would have
// alone. Base rates and losses change within seconds, so both are tracked by a
// Kalman filter with a diagonal covariance whose variances grow with time.
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
	// initialLossPerCore is the estimate for a pair without readings, in rate per
	// core.
	initialLossPerCore = 0.05
	// initialBaseRate is the lowest initial estimate of the base rate of a step.
	// It corresponds to a latency of half the target.
	initialBaseRate = 2.0
	// initialPairVariance and initialBaseVariance are the variances of a new
	// estimate and the upper limits of the variances.
	initialPairVariance = 0.1
	initialBaseVariance = 0.6
	// pairDrift and baseDrift are the variances added per second. The base rate
	// follows the load of the step, which changes faster than the interference
	// of a pair.
	pairDrift = 0.001
	baseDrift = 0.3
	// relativeNoise is the standard deviation of a reading as a fraction of its
	// rate, or of minNoiseRate for lower rates, because latencies are whole
	// milliseconds and the loss is not quite linear near saturation.
	relativeNoise = 0.1
	minNoiseRate  = 1.0
	// minRate is the lowest rate that the model distinguishes. Below it the queue
	// grows for as long as the overload lasts, regardless of its cause.
	minRate = 0.4
	// maxLossPerCore limits the estimate of a pair, in rate per core.
	maxLossPerCore = 5.0
	// readingTimeConstant is the time constant with which a reading follows the
	// latency.
	readingTimeConstant = 400 * time.Millisecond
	// maxReadingGap is the time after which a reading no longer affects the next
	// one.
	maxReadingGap = 3 * readingTimeConstant
	// reliableVariance is the variance below which an estimate is reliable. Two or
	// three readings are not enough to reach it.
	reliableVariance = 0.03
	// endedShare is the average fraction of a reading's window during which a task
	// was running that has ended since the previous reading.
	endedShare = 0.5
	// minVisibleCores is the use of processors up to which an image has no visible
	// effect on a reading.
	minVisibleCores = 0.02
	// maxTasks, maxSteps, maxPairs and maxImages limit the sizes of the tables,
	// because tasks with new names and images arrive without end.
	maxTasks  = 4096
	maxSteps  = 1024
	maxPairs  = 4096
	maxImages = 64
)

// MaxRate is the highest rate that the model distinguishes.
const MaxRate = 6.0

// LatencyReading is a reading of a latency-critical task.
type LatencyReading struct {
	Task    workflow.TaskID
	Image   string
	Latency float64 // tail latency in milliseconds; 0 without a reading
	Target  float64 // in milliseconds
}

// UsageReading is a reading of a best-effort task.
type UsageReading struct {
	Image string
	Cores float64 // processors in use
	Ended bool    // the task has ended since the previous reading
}

// pair is a pair of images on the same worker.
type pair struct{ latencyCritical, bestEffort string }

// estimate is the estimate of one quantity.
type estimate struct {
	value     float64
	variance  float64
	updatedAt bootclock.Instant
}

// advance adds the variance that has accumulated since the last update.
func (e *estimate) advance(at bootclock.Instant, drift, limit float64) {
	e.variance = min(e.variance+drift*at.Sub(e.updatedAt).Seconds(), limit)
	e.updatedAt = at
}

// reading is the last reading of a latency-critical task.
type reading struct {
	latency float64 // relative to the target
	readAt  bootclock.Instant
}

// Model holds the estimates. The zero value is ready to use. A Model is not safe for
// concurrent use.
type Model struct {
	bestEffortImages []string // images of observed best-effort tasks, the newest last; at most maxImages
	pairs            map[pair]*estimate
	baseRates        map[workflow.TaskID]*estimate // by the first task of the step
	readings         map[workflow.TaskID]*reading
}

// LossPerCore returns by how much one core in use by the best-effort image lowers the
// rate of the latency-critical image.
func (m *Model) LossPerCore(latencyCritical, bestEffort string) float64 {
	if e := m.pairs[pair{latencyCritical, bestEffort}]; e != nil {
		return e.value
	}
	return initialLossPerCore
}

// BestEffortImages returns the images of observed best-effort tasks, the newest last.
func (m *Model) BestEffortImages() []string { return m.bestEffortImages }

// Observe updates the model from the readings of one worker. It returns the rate of
// each latency-critical task without the interference of tasks that have ended, or
// MaxRate for a task without a reading.
func (m *Model) Observe(at bootclock.Instant, latencyCritical []LatencyReading, bestEffort []UsageReading) []float64 {
	return m.update(at, latencyCritical, bestEffort, true)
}

// Rates returns the same rates as Observe but does not update the estimates. It is
// for a worker whose tasks are slow for another reason than interference.
func (m *Model) Rates(at bootclock.Instant, latencyCritical []LatencyReading, bestEffort []UsageReading) []float64 {
	return m.update(at, latencyCritical, bestEffort, false)
}

// update implements Observe and Rates. The estimates are updated if learn is set.
func (m *Model) update(at bootclock.Instant, latencyCritical []LatencyReading, bestEffort []UsageReading, learn bool) []float64 {
	m.initTables()
	cores := make(map[string]float64)
	var ended []UsageReading
	for _, u := range bestEffort {
		if u.Ended {
			u.Cores *= endedShare
			ended = append(ended, u)
		}
		cores[u.Image] += u.Cores
	}
	images := visibleImages(cores)
	rates := make([]float64, len(latencyCritical))
	for i, r := range latencyCritical {
		rates[i] = MaxRate
		if r.Latency > 0 && r.Target > 0 {
			rate, carryOver := m.currentRate(at, r)
			if learn {
				m.learn(at, r, rate, carryOver, images, cores)
			}
			rates[i] = rate
		}
		for _, u := range ended {
			rates[i] += m.LossPerCore(r.Image, u.Image) * u.Cores
		}
	}
	m.trimTables()
	return rates
}

// visibleImages returns the images that use enough cores to affect a reading. They
// are sorted, so that sums over them are reproducible.
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

// learn updates the estimates from reading r. carryOver is the fraction of that
// reading that comes from the previous one.
func (m *Model) learn(at bootclock.Instant, r LatencyReading, rate, carryOver float64, images []string, cores map[string]float64) {
	base := m.baseRate(at, r.Task, rate)
	predicted := base.value
	deviation := relativeNoise * max(rate, minNoiseRate) / (1 - carryOver)
	innovationVariance := base.variance + deviation*deviation
	estimates := make([]*estimate, len(images))
	for i, image := range images {
		e := m.pairEstimate(pair{r.Image, image}, at)
		e.advance(at, pairDrift, initialPairVariance)
		predicted -= e.value * cores[image]
		innovationVariance += e.variance * cores[image] * cores[image]
		estimates[i] = e
	}
	innovation := max(rate, minRate) - max(predicted, minRate)
	base.correct(innovation, 1, innovationVariance)
	base.value = min(max(base.value, minRate), MaxRate)
	for i, e := range estimates {
		e.correct(innovation, -cores[images[i]], innovationVariance)
		e.value = min(max(e.value, 0), maxLossPerCore)
	}
}

// currentRate returns the rate that follows from a reading, and the fraction of the
// reading that comes from the previous one. Readings follow the latency with a delay,
// so that interference that has just ended still affects them.
func (m *Model) currentRate(at bootclock.Instant, r LatencyReading) (rate, carryOver float64) {
	latency := r.Latency / r.Target
	last := m.readings[r.Task]
	if last == nil {
		last = &reading{}
		m.readings[r.Task] = last
	}
	current := latency
	if gap := at.Sub(last.readAt); last.latency > 0 && gap < maxReadingGap {
		carryOver = math.Exp(-gap.Seconds() / readingTimeConstant.Seconds())
		current = (latency - carryOver*last.latency) / (1 - carryOver)
	}
	*last = reading{latency, at}
	return 1 / max(current, 1/MaxRate), carryOver
}

// baseRate returns the estimate of the base rate of a task's step, advanced to at.
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

// correct applies the Kalman gain: the part of the innovation that is attributed to
// this estimate. x is the coefficient of the estimate in the prediction.
func (e *estimate) correct(innovation, x, innovationVariance float64) {
	gain := e.variance * x / innovationVariance
	e.value += gain * innovation
	e.variance *= 1 - gain*x
}

// pairEstimate returns the estimate of a pair and adds it if it is missing.
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

// trimTables drops the entries with the oldest readings from tables that exceed their
// limits.
func (m *Model) trimTables() {
	dropOldest(m.readings, maxTasks, func(r *reading) bootclock.Instant { return r.readAt })
	updated := func(e *estimate) bootclock.Instant { return e.updatedAt }
	dropOldest(m.baseRates, maxSteps, updated)
	dropOldest(m.pairs, maxPairs, updated)
}

// dropOldest removes the oldest entries of a table that exceeds limit, down to half
// of it.
func dropOldest[K comparable, V any](table map[K]V, limit int, at func(V) bootclock.Instant) {
	if len(table) <= limit {
		return
	}
	keys := make([]K, 0, len(table))
	for k := range table {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(at(table[a]), at(table[b])) })
	for _, k := range keys[:len(keys)-limit/2] {
		delete(table, k)
	}
}

// Estimate is a model's estimate for a pair of images.
type Estimate struct {
	LatencyCriticalImage, BestEffortImage string
	LossPerCore                           float64 // rate that the latency-critical image loses per core in use
	Variance                              float64 // of LossPerCore
}

// Estimates returns the estimates for pairs of the given images, in no fixed order.
func (m *Model) Estimates(latencyCritical, bestEffort map[string]bool) []Estimate {
	var estimates []Estimate
	for p, e := range m.pairs {
		if latencyCritical[p.latencyCritical] && bestEffort[p.bestEffort] {
			estimates = append(estimates, Estimate{p.latencyCritical, p.bestEffort, e.value, e.variance})
		}
	}
	return estimates
}

// SetEstimate replaces an estimate by that of a model with readings of more workers.
func (m *Model) SetEstimate(at bootclock.Instant, in Estimate) {
	m.initTables()
	e := m.pairEstimate(pair{in.LatencyCriticalImage, in.BestEffortImage}, at)
	e.value, e.variance, e.updatedAt = in.LossPerCore, in.Variance, at
}

// IsReliable reports whether there were enough readings of a pair for a reliable
// estimate.
func (m *Model) IsReliable(latencyCritical, bestEffort string) bool {
	e := m.pairs[pair{latencyCritical, bestEffort}]
	return e != nil && e.variance < reliableVariance
}
