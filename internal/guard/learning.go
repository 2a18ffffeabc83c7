package guard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// baselineHalfLife follows a service's own load within minutes.
	baselineHalfLife = 30 * time.Second
	// forgetHalfLife is how fast a pair that is not observed returns to no
	// effect, so that a kind is not avoided for ever for what it did under
	// another load.
	forgetHalfLife = 15 * time.Minute
	// usageHalfLife averages what a kind uses.
	usageHalfLife = time.Minute
	// exportStep is the relative change that makes a pair worth sending again.
	exportStep = 0.05
	// maxPairs bounds the table against a stream of ever new kinds.
	maxPairs = 512

	// firstVariance, drift and noise set how the estimator trusts what it
	// knows: a kind seen for minutes keeps its estimate when a new kind arrives
	// together with a jump in latency, and the jump is charged to the new one.
	initialVariance = 1.0
	varianceGrowth  = 1e-4 // added variance per second
	noiseVariance   = 0.01 // variance of one latency ratio
)

type pair struct {
	kind    units.JobKind
	service units.ServiceName
}

// baseline is the latency of a service with no batch task running.
type baseline struct {
	latency   float64 // nanoseconds
	updatedAt time.Time
}

// slowdown is what the loop knows about one pair.
type slowdown struct {
	perCore   float64 // latency ratio added per core used
	variance  float64 // of perCore
	cores     float64 // decayed use of the kind while it runs
	updatedAt time.Time
	exported  float64
	version   uint64 // of the change that set exported
}

// Interference is what the loop has learned about one pair.
type Interference struct {
	Kind     units.JobKind
	Service  units.ServiceName
	Slowdown float64
}

// decay returns the weight left of an old value after elapsed.
func decayWeight(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// learn updates baselines and pairs from measurements not seen before.
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
			keep := decayWeight(s.MeasuredAt.Sub(b.updatedAt), baselineHalfLife)
			b.latency, b.updatedAt = b.latency*keep+float64(s.Latency)*(1-keep), s.MeasuredAt
		}
	}
	c.updateExported(in.Now)
}

// observe corrects the estimates of the kinds in use by one measurement: a
// Kalman filter with a diagonal covariance, over excess = sum(perCore x cores).
func (c *Controller) observe(s Service, excess float64, tasks []Task) {
	cores := make(map[units.JobKind]float64)
	var kinds []units.JobKind
	for _, t := range tasks {
		if _, ok := cores[t.Kind]; !ok {
			kinds = append(kinds, t.Kind)
		}
		cores[t.Kind] += float64(t.Usage) / 1000
	}
	slices.Sort(kinds) // sums in a fixed order, for equal results in equal runs
	rows := make([]*slowdown, 0, len(kinds))
	predicted, spread := 0.0, noiseVariance
	for _, kind := range kinds {
		r := c.pairSlowdown(pair{kind, s.Name}, s.MeasuredAt)
		if !s.MeasuredAt.After(r.updatedAt) {
			return
		}
		elapsed := s.MeasuredAt.Sub(r.updatedAt)
		r.perCore *= decayWeight(elapsed, forgetHalfLife)
		r.variance = min(r.variance+varianceGrowth*elapsed.Seconds(), initialVariance)
		keep := decayWeight(elapsed, usageHalfLife)
		if r.cores == 0 {
			keep = 0 // the first use is the average so far
		}
		r.cores = r.cores*keep + cores[kind]*(1-keep)
		predicted += r.perCore * cores[kind]
		spread += r.variance * cores[kind] * cores[kind]
		rows = append(rows, r)
	}
	for i, r := range rows {
		x := cores[kinds[i]]
		gain := r.variance * x / spread
		r.perCore = max(r.perCore+gain*(excess-predicted), 0)
		r.variance *= 1 - gain*x
		r.updatedAt = s.MeasuredAt
	}
}

func (c *Controller) pairSlowdown(p pair, at time.Time) *slowdown {
	r := c.pairs[p]
	if r == nil {
		if len(c.pairs) >= maxPairs {
			c.dropOldest()
		}
		r = &slowdown{variance: initialVariance, exported: 1, updatedAt: at.Add(-time.Second)}
		c.pairs[p] = r
	}
	return r
}

// charge is how much of the latency ratio is charged to the task. A kind about
// which nothing is known is charged by its use of processors.
func (c *Controller) attributedSlowdown(t Task, service units.ServiceName) float64 {
	perCore := defaultPerCore
	if r := c.pairs[pair{t.Kind, service}]; r != nil {
		perCore = max(r.perCore, defaultPerCore)
	}
	return perCore * float64(t.Usage) / 1000
}

// unknownPerCore is below any effect that matters, so that known kinds go first.
const defaultPerCore = 1e-3

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

// current is the learned ratio, faded by the time since it was observed.
func (s *slowdown) currentRatio(now time.Time) float64 {
	return 1 + s.perCore*s.cores*decayWeight(now.Sub(s.updatedAt), forgetHalfLife)
}

func (c *Controller) updateExported(now time.Time) {
	for _, s := range c.pairs {
		if ratio := s.currentRatio(now); math.Abs(ratio-s.exported) >= exportStep*s.exported {
			c.version++
			s.exported, s.version = ratio, c.version
		}
	}
}

// Changed returns the pairs that changed after the given version, ordered by
// kind and service, and the version to pass next time.
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
