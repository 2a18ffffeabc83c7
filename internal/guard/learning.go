package guard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// baselineHalfLife lets a baseline follow the load of its service within
	// minutes.
	baselineHalfLife = 30 * time.Second
	// forgetHalfLife is the half-life of an estimate that gets no measurements,
	// so that a kind is not avoided forever because of its effect under another
	// load.
	forgetHalfLife = 15 * time.Minute
	// usageHalfLife is the half-life of the average use of processors of a kind.
	usageHalfLife = time.Minute
	// exportStep is the relative change after which a slowdown is sent again.
	exportStep = 0.05
	// maxPairs limits the size of the table, because new kinds arrive without
	// end.
	maxPairs = 512

	// initialVariance, varianceGrowth and noiseVariance determine how much an
	// estimate changes with a measurement. A kind that has been observed for
	// minutes keeps its estimate when a new kind arrives together with a jump in
	// latency, and the jump is attributed to the new kind.
	initialVariance = 1.0
	varianceGrowth  = 1e-4 // per second
	noiseVariance   = 0.01 // of one latency ratio
)

// pair is a kind of batch job and a service that it slows down.
type pair struct {
	kind    units.JobKind
	service units.ServiceName
}

// baseline is the latency of a service while no batch task is running.
type baseline struct {
	latency   float64 // nanoseconds
	updatedAt time.Time
}

// slowdown is the estimate for one pair.
type slowdown struct {
	perCore   float64 // latency ratio added per core in use
	variance  float64 // of perCore
	cores     float64 // decayed average of the cores in use by the kind while it runs
	updatedAt time.Time
	exported  float64 // latency ratio that Changed returns; 1 before the first export
	version   uint64  // of the controller when exported was set
}

// Interference is the estimated effect of a kind of batch job on a service.
// Slowdown is the ratio of the latency with the kind to that without.
type Interference struct {
	Kind     units.JobKind
	Service  units.ServiceName
	Slowdown float64
}

// decayWeight returns the weight of an old value after elapsed.
func decayWeight(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// learn updates baselines and pairs from measurements that are new.
func (c *Controller) learn(in Inputs) {
	if c.baselines == nil {
		c.baselines = make(map[units.ServiceName]*baseline)
		c.pairs = make(map[pair]*slowdown)
	}
	for _, s := range in.Services {
		if s.Latency <= 0 {
			continue
		}
		b := c.baselines[s.Name]
		switch {
		case len(in.Tasks) > 0:
			if b != nil {
				c.observe(s, float64(s.Latency)/b.latency-1, in.Tasks)
			}
		case b == nil:
			c.baselines[s.Name] = &baseline{float64(s.Latency), s.MeasuredAt}
		case s.MeasuredAt.After(b.updatedAt):
			weight := decayWeight(s.MeasuredAt.Sub(b.updatedAt), baselineHalfLife)
			b.latency, b.updatedAt = b.latency*weight+float64(s.Latency)*(1-weight), s.MeasuredAt
		}
	}
	c.updateExported(in.Now)
}

// observe updates the estimates of the running kinds from one measurement, with a
// Kalman filter with a diagonal covariance for excess = sum(perCore x cores). excess is
// the fraction by which the latency exceeds its baseline.
func (c *Controller) observe(s Service, excess float64, tasks []Task) {
	cores := make(map[units.JobKind]float64)
	var kinds []units.JobKind
	for _, t := range tasks {
		if _, ok := cores[t.Kind]; !ok {
			kinds = append(kinds, t.Kind)
		}
		cores[t.Kind] += float64(t.Usage) / 1000
	}
	slices.Sort(kinds) // a fixed order of summation makes results reproducible
	estimates := make([]*slowdown, 0, len(kinds))
	predicted, innovationVariance := 0.0, noiseVariance
	for _, kind := range kinds {
		r := c.pairSlowdown(pair{kind, s.Name}, s.MeasuredAt)
		if !s.MeasuredAt.After(r.updatedAt) {
			return
		}
		elapsed := s.MeasuredAt.Sub(r.updatedAt)
		r.perCore *= decayWeight(elapsed, forgetHalfLife)
		r.variance = min(r.variance+varianceGrowth*elapsed.Seconds(), initialVariance)
		weight := decayWeight(elapsed, usageHalfLife)
		if r.cores == 0 {
			weight = 0 // the first measurement is the average
		}
		r.cores = r.cores*weight + cores[kind]*(1-weight)
		predicted += r.perCore * cores[kind]
		innovationVariance += r.variance * cores[kind] * cores[kind]
		estimates = append(estimates, r)
	}
	for i, r := range estimates {
		x := cores[kinds[i]]
		gain := r.variance * x / innovationVariance
		r.perCore = max(r.perCore+gain*(excess-predicted), 0)
		r.variance *= 1 - gain*x
		r.updatedAt = s.MeasuredAt
	}
}

// pairSlowdown returns the estimate of a pair and adds it if it is missing.
func (c *Controller) pairSlowdown(p pair, at time.Time) *slowdown {
	r := c.pairs[p]
	if r == nil {
		if len(c.pairs) >= maxPairs {
			c.dropOldest()
		}
		// An earlier update time lets observe accept the measurement of at.
		r = &slowdown{variance: initialVariance, exported: 1, updatedAt: at.Add(-time.Second)}
		c.pairs[p] = r
	}
	return r
}

// attributedSlowdown returns the part of the latency ratio that is attributed to the
// task. For a kind without an estimate it is proportional to the use of processors.
func (c *Controller) attributedSlowdown(t Task, service units.ServiceName) float64 {
	perCore := defaultPerCore
	if r := c.pairs[pair{t.Kind, service}]; r != nil {
		perCore = max(r.perCore, defaultPerCore)
	}
	return perCore * float64(t.Usage) / 1000
}

// defaultPerCore is lower than any effect that matters, so that kinds with an estimated
// effect are throttled first.
const defaultPerCore = 1e-3

// dropOldest removes the pair with the oldest update.
func (c *Controller) dropOldest() {
	var oldest pair
	var at time.Time
	for p, s := range c.pairs {
		if at.IsZero() || s.updatedAt.Before(at) || s.updatedAt.Equal(at) && p.less(oldest) {
			oldest, at = p, s.updatedAt
		}
	}
	delete(c.pairs, oldest)
}

func (p pair) less(o pair) bool {
	return cmp.Or(cmp.Compare(p.kind, o.kind), cmp.Compare(p.service, o.service)) < 0
}

// currentRatio returns the estimated latency ratio, decayed by the time since the last
// update.
func (s *slowdown) currentRatio(now time.Time) float64 {
	return 1 + s.perCore*s.cores*decayWeight(now.Sub(s.updatedAt), forgetHalfLife)
}

// updateExported sets the exported ratio of pairs that have changed by exportStep.
func (c *Controller) updateExported(now time.Time) {
	for _, s := range c.pairs {
		if ratio := s.currentRatio(now); math.Abs(ratio-s.exported) >= exportStep*s.exported {
			c.version++
			s.exported, s.version = ratio, c.version
		}
	}
}

// Changed returns the pairs that have changed since the given version, ordered by
// kind and service, and the version to pass to the next call.
func (c *Controller) Changed(since uint64) ([]Interference, uint64) {
	if since >= c.version {
		return nil, c.version
	}
	var changed []Interference
	for p, s := range c.pairs {
		if s.version > since {
			changed = append(changed, Interference{p.kind, p.service, s.exported})
		}
	}
	slices.SortFunc(changed, func(a, b Interference) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service))
	})
	return changed, c.version
}
