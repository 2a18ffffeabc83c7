// Package guard is the control loop that protects the latency of the services
// on one worker from the batch tasks beside them. It throttles batch, then
// checkpoints and evicts it, and restores it when the service has recovered.
//
// A Controller is a pure function of its inputs and of the time they carry; it
// is not safe for concurrent use.
package guard

import (
	"cmp"
	"slices"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Settings of the loop. docs/decisions/0004-guard.md has the measurements.
const (
	// minimumShare keeps a throttled task alive: below a tenth it holds
	// memory for hours without finishing, and eviction serves everyone better.
	minShare = 0.1
	// targetHeadroom relates the decayed mean that endpoints report to the
	// 99th percentile that the target bounds; the tail of a busy endpoint is
	// about twice its mean.
	meanToTailRatio = 0.5
	// restoreStep is smaller than the throttle step so that the loop backs off
	// faster than it recovers.
	restoreFactor = 1.5
	// evictAfter is how many measurements in a row must exceed the limit with
	// every batch task at its minimum share before one is evicted.
	evictAfterMeasurements = 3
	// minimumCalm and maximumCalm bound how long a service must be calm before
	// batch is restored. A relapse soon after a restore doubles the wait.
	minCalmPeriod = 5 * time.Second
	maxCalmPeriod = 2 * time.Minute
)

// Service is the state of one service whose endpoint is on the worker.
type Service struct {
	Name       units.ServiceName
	Latency    time.Duration // decayed service time; 0 while there is no request
	Target     time.Duration
	MeasuredAt time.Time // when Latency last took in a request
}

// Task is one running batch task.
type Task struct {
	Task       units.Task
	Attempt    units.Attempt
	Kind       units.JobKind
	Priority   units.Priority
	OverQuota  bool             // its team is over its quota
	Share      float64          // share of its processors that it may use now
	Usage      units.Millicores // lagging
	MeasuredAt time.Time        // when Usage was taken
}

// Inputs are what one tick decides on.
type Inputs struct {
	Now          time.Time
	Enabled      bool
	LatencyRatio float64 // tolerated latency with batch against without; at least 1
	Services     []Service
	Tasks        []Task
}

// Verb says what an action does.
type ActionKind string

// The verbs of actions.
const (
	Throttle ActionKind = "throttle" // lower the task's share to Share
	Restore  ActionKind = "restore"  // raise the task's share to Share
	Evict    ActionKind = "evict"    // checkpoint the task and stop it
)

// Action is one command for the worker.
type Action struct {
	Kind    ActionKind
	Task    units.Task
	Attempt units.Attempt
	Share   float64 // for Throttle and Restore
	Service units.ServiceName
}

// Controller holds what the loop remembers between ticks.
type Controller struct {
	baselines map[units.ServiceName]*baseline
	pairs     map[pair]*slowdown
	version   uint64 // of the newest change in pairs

	lastAction      time.Time
	lastRestore     time.Time
	calmSince       time.Time     // zero while a service is over its limit or not measured
	calmPeriod      time.Duration // required before the next restore
	exhaustedCount  int           // measurements in a row over the limit with nothing left to throttle
	lastMeasurement time.Time     // newest latency measurement that has been acted on or counted
}

// Tick learns from the inputs and returns the actions to take now.
func (c *Controller) Tick(in Inputs) []Action {
	c.learn(in)
	if !in.Enabled {
		return c.restoreAll(in)
	}
	worst, excess := c.worstService(in)
	if worst == nil {
		c.calmSince = time.Time{}
		return nil
	}
	if excess > 1 {
		c.calmSince = time.Time{}
		if !worst.MeasuredAt.After(c.lastAction) || !worst.MeasuredAt.After(c.lastMeasurement) {
			return nil
		}
		c.lastMeasurement = worst.MeasuredAt
		return c.protect(in, worst)
	}
	c.exhaustedCount = 0
	return c.restore(in, worst, excess)
}

// limit is the latency above which the loop acts: the tolerated ratio over the
// baseline, but no tighter than the target asks for. A service that misses its
// target without batch is not helped by stopping batch.
func (c *Controller) latencyLimit(s *Service, ratio float64) time.Duration {
	limit := time.Duration(float64(s.Target) * meanToTailRatio)
	if b := c.baselines[s.Name]; b != nil {
		limit = max(limit, time.Duration(b.latency*max(ratio, 1)))
	}
	return limit
}

// worst returns the service with the highest latency relative to its limit.
func (c *Controller) worstService(in Inputs) (*Service, float64) {
	var worst *Service
	highest := 0.0
	for i := range in.Services {
		s := &in.Services[i]
		if s.Latency <= 0 || s.Target <= 0 {
			continue
		}
		if excess := float64(s.Latency) / float64(c.latencyLimit(s, in.LatencyRatio)); excess > highest {
			worst, highest = s, excess
		}
	}
	return worst, highest
}

// protect throttles tasks until the part of the latency that is charged to
// batch has fallen by as much as the service exceeds its limit, and evicts one
// when throttling is exhausted.
func (c *Controller) protect(in Inputs, s *Service) []Action {
	if !c.lastRestore.IsZero() && in.Now.Sub(c.lastRestore) < 2*c.calmPeriod {
		c.calmPeriod = min(2*c.calmPeriod, maxCalmPeriod)
		c.lastRestore = time.Time{}
	}
	tasks := c.candidates(in, s.Name)
	if exhausted(in.Tasks) {
		return c.evict(in, s, tasks)
	}
	c.exhaustedCount = 0
	total := 0.0
	for _, t := range in.Tasks {
		total += c.attributedSlowdown(t, s.Name)
	}
	need := total * c.requiredReduction(s, in.LatencyRatio)
	var actions []Action
	for _, t := range tasks {
		if need <= 0 {
			break
		}
		charge := c.attributedSlowdown(t, s.Name)
		if t.Share <= minShare || charge <= 0 {
			continue
		}
		cut := min(need/charge, 1-minShare/t.Share)
		need -= cut * charge
		// A cut smaller than a twentieth costs a command and shows no effect.
		share := max(t.Share*(1-max(cut, 0.05)), minShare)
		actions = append(actions, Action{Throttle, t.Task, t.Attempt, share, s.Name})
	}
	return c.recordActions(in.Now, actions)
}

// surplus is the part of what batch adds to the latency that must go, 0..1.
func (c *Controller) requiredReduction(s *Service, ratio float64) float64 {
	base := float64(c.latencyLimit(s, ratio)) / max(ratio, 1)
	if b := c.baselines[s.Name]; b != nil {
		base = min(b.latency, base)
	}
	if latency := float64(s.Latency); latency > base {
		return min((latency-float64(c.latencyLimit(s, ratio)))/(latency-base), 1)
	}
	return 0
}

// exhausted reports whether no task that may be acted on can be throttled
// further.
func exhausted(tasks []Task) bool {
	any := false
	for _, t := range tasks {
		if t.Priority >= units.PriorityUrgent {
			continue
		}
		any = true
		if t.Share > minShare {
			return false
		}
	}
	return any
}

func (c *Controller) evict(in Inputs, s *Service, tasks []Task) []Action {
	c.exhaustedCount++
	if c.exhaustedCount < evictAfterMeasurements || len(tasks) == 0 {
		return nil
	}
	c.exhaustedCount = 0
	t := tasks[0]
	return c.recordActions(in.Now, []Action{{Evict, t.Task, t.Attempt, 0, s.Name}})
}

// relax raises the share of one task after the services have been calm for long
// enough. Calm means below the middle between baseline and limit, so that a
// restore does not lead straight to the next throttle.
func (c *Controller) restore(in Inputs, s *Service, excess float64) []Action {
	middle := (1 + 1/max(in.LatencyRatio, 1)) / 2
	if excess > middle {
		c.calmSince = time.Time{}
		return nil
	}
	if c.calmSince.IsZero() {
		c.calmSince = in.Now
	}
	c.calmPeriod = max(c.calmPeriod, minCalmPeriod)
	if in.Now.Sub(c.calmSince) < c.calmPeriod {
		return nil
	}
	tasks := c.candidates(in, s.Name)
	slices.Reverse(tasks) // the last to be throttled is the first to be restored
	for _, t := range tasks {
		if t.Share < 1 {
			if in.Now.Sub(c.lastRestore) > 4*c.calmPeriod {
				c.calmPeriod = max(c.calmPeriod/2, minCalmPeriod)
			}
			c.lastRestore = in.Now
			c.calmSince = in.Now
			return c.recordActions(in.Now, []Action{{Restore, t.Task, t.Attempt, min(t.Share*restoreFactor, 1), s.Name}})
		}
	}
	return nil
}

// release gives back every share when the guards are switched off.
func (c *Controller) restoreAll(in Inputs) []Action {
	var actions []Action
	for _, t := range in.Tasks {
		if t.Share < 1 && t.MeasuredAt.After(c.lastAction) {
			actions = append(actions, Action{Restore, t.Task, t.Attempt, 1, ""})
		}
	}
	return c.recordActions(in.Now, actions)
}

func (c *Controller) recordActions(now time.Time, actions []Action) []Action {
	if len(actions) > 0 {
		c.lastAction = now
	}
	return actions
}

// victims returns the tasks that may be acted on, the first to suffer first:
// over quota, then lowest priority, then the kind that slows the service most.
// A task whose usage is older than the last action is left out, because that
// sample does not show what the action did.
func (c *Controller) candidates(in Inputs, s units.ServiceName) []Task {
	var tasks []Task
	for _, t := range in.Tasks {
		if t.Priority < units.PriorityUrgent && t.MeasuredAt.After(c.lastAction) {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b Task) int {
		if a.OverQuota != b.OverQuota {
			if a.OverQuota {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(c.attributedSlowdown(b, s), c.attributedSlowdown(a, s)),
			cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Index, b.Task.Index),
		)
	})
	return tasks
}
