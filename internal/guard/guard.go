// Package guard implements the control loop that protects the latency of the
// services on one worker from the batch tasks on the same worker. It throttles
// batch tasks, checkpoints and evicts them if that is not enough, and restores
// their shares when the services have recovered.
//
// The decisions of a Controller depend only on its earlier inputs and on the times
// in them; it reads no clock. It is not safe for concurrent use.
package guard

import (
	"cmp"
	"slices"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Parameters of the control loop. docs/decisions/0004-guard.md has the measurements.
const (
	// minShare is the smallest share of a throttled task. With less than a tenth
	// a task occupies memory for hours without finishing, and evicting it is
	// better for all.
	minShare = 0.1
	// meanToTailRatio converts the target, which limits the 99th percentile, to
	// a limit of the decayed mean that endpoints report. The 99th percentile of a
	// busy endpoint is about twice its mean.
	meanToTailRatio = 0.5
	// restoreFactor multiplies the share of a task that is restored. A throttle
	// may change a share by a larger factor, so that shares fall faster than they
	// rise.
	restoreFactor = 1.5
	// evictAfterMeasurements is how many consecutive measurements must exceed the
	// limit with all batch tasks at minShare before a task is evicted.
	evictAfterMeasurements = 3
	// minRecoveryPeriod and maxRecoveryPeriod limit how long latency must stay
	// low before a share is restored. The period doubles when the limit is
	// exceeded again soon after a restore.
	minRecoveryPeriod = 5 * time.Second
	maxRecoveryPeriod = 2 * time.Minute
)

// Service is the state of a service with an endpoint on the worker.
type Service struct {
	Name       units.ServiceName
	Latency    time.Duration // decayed mean of the service time; 0 without requests
	Target     time.Duration
	MeasuredAt time.Time // when Latency last included a new request
}

// Task is a running batch task.
type Task struct {
	Task       units.Task
	Attempt    units.Attempt
	Kind       units.JobKind
	Priority   units.Priority
	OverQuota  bool             // the team of the task exceeds its quota
	Share      float64          // fraction of its processors that it may use
	Usage      units.Millicores // a delayed measurement
	MeasuredAt time.Time        // when Usage was measured
}

// Inputs are the measurements that a tick evaluates.
type Inputs struct {
	Now          time.Time
	Enabled      bool    // false restores all shares
	LatencyRatio float64 // tolerated ratio of the latency with batch tasks to that without; at least 1
	Services     []Service
	Tasks        []Task
}

// ActionKind is what an action does to a task.
type ActionKind string

// The kinds of actions.
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
	Share   float64           // for Throttle and Restore
	Service units.ServiceName // the one with the highest latency relative to its limit; empty if guards are disabled
}

// Controller contains the state of the control loop between ticks. The zero value is
// ready to use.
type Controller struct {
	baselines map[units.ServiceName]*baseline
	pairs     map[pair]*slowdown
	version   uint64 // of the latest exported change of a pair

	lastAction      time.Time
	lastRestore     time.Time
	recoveredSince  time.Time     // since when latencies are low; zero while they are not or no service is measured
	recoveryPeriod  time.Duration // how long latencies must be low before the next restore
	exhaustedCount  int           // consecutive measurements over the limit with all tasks at minShare
	lastMeasurement time.Time     // time of the latest latency measurement over the limit that was evaluated
}

// Tick updates the estimates from the inputs and returns the actions to take.
func (c *Controller) Tick(in Inputs) []Action {
	c.learn(in)
	if !in.Enabled {
		return c.restoreAll(in)
	}
	worst, relative := c.worstService(in)
	if worst == nil {
		c.recoveredSince = time.Time{}
		return nil
	}
	if relative > 1 {
		c.recoveredSince = time.Time{}
		if !worst.MeasuredAt.After(c.lastAction) || !worst.MeasuredAt.After(c.lastMeasurement) {
			return nil
		}
		c.lastMeasurement = worst.MeasuredAt
		return c.protect(in, worst)
	}
	c.exhaustedCount = 0
	return c.restore(in, worst, relative)
}

// latencyLimit returns the latency above which batch tasks are throttled. It is the
// limit that follows from the target or, if that is higher, the tolerated multiple
// of the baseline: throttling batch tasks does not help a service that misses its
// target without them.
func (c *Controller) latencyLimit(s *Service, ratio float64) time.Duration {
	limit := time.Duration(float64(s.Target) * meanToTailRatio)
	if b := c.baselines[s.Name]; b != nil {
		limit = max(limit, time.Duration(b.latency*max(ratio, 1)))
	}
	return limit
}

// worstService returns the service with the highest latency relative to its limit,
// and that relative latency. It returns nil if no service is measured.
func (c *Controller) worstService(in Inputs) (*Service, float64) {
	var worst *Service
	highest := 0.0
	for i := range in.Services {
		s := &in.Services[i]
		if s.Latency <= 0 || s.Target <= 0 {
			continue
		}
		if relative := float64(s.Latency) / float64(c.latencyLimit(s, in.LatencyRatio)); relative > highest {
			worst, highest = s, relative
		}
	}
	return worst, highest
}

// protect throttles tasks until the latency attributed to batch tasks has fallen by
// the amount by which the service exceeds its limit. When all tasks are at minShare
// and latency stays over the limit, it evicts one.
func (c *Controller) protect(in Inputs, s *Service) []Action {
	if !c.lastRestore.IsZero() && in.Now.Sub(c.lastRestore) < 2*c.recoveryPeriod {
		c.recoveryPeriod = min(2*c.recoveryPeriod, maxRecoveryPeriod)
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
	required := total * c.requiredReduction(s, in.LatencyRatio)
	var actions []Action
	for _, t := range tasks {
		if required <= 0 {
			break
		}
		attributed := c.attributedSlowdown(t, s.Name)
		if t.Share <= minShare || attributed <= 0 {
			continue
		}
		cut := min(required/attributed, 1-minShare/t.Share)
		required -= cut * attributed
		// A cut of less than a twentieth costs a command and has no visible effect.
		share := max(t.Share*(1-max(cut, 0.05)), minShare)
		actions = append(actions, Action{Throttle, t.Task, t.Attempt, share, s.Name})
	}
	return c.recordActions(in.Now, actions)
}

// requiredReduction returns the fraction, 0 to 1, of the latency added by batch tasks
// that must be removed to meet the limit.
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

// exhausted reports whether there are tasks below urgent priority and none of them
// can be throttled further.
func exhausted(tasks []Task) bool {
	found := false
	for _, t := range tasks {
		if t.Priority >= units.PriorityUrgent {
			continue
		}
		found = true
		if t.Share > minShare {
			return false
		}
	}
	return found
}

// evict evicts the first candidate after evictAfterMeasurements consecutive
// measurements over the limit.
func (c *Controller) evict(in Inputs, s *Service, tasks []Task) []Action {
	c.exhaustedCount++
	if c.exhaustedCount < evictAfterMeasurements || len(tasks) == 0 {
		return nil
	}
	c.exhaustedCount = 0
	t := tasks[0]
	return c.recordActions(in.Now, []Action{{Evict, t.Task, t.Attempt, 0, s.Name}})
}

// restore raises the share of one task after the latencies have been low for
// recoveryPeriod. Low means below the middle between baseline and limit, so that a
// restore does not immediately cause the next throttle.
func (c *Controller) restore(in Inputs, s *Service, relative float64) []Action {
	middle := (1 + 1/max(in.LatencyRatio, 1)) / 2
	if relative > middle {
		c.recoveredSince = time.Time{}
		return nil
	}
	if c.recoveredSince.IsZero() {
		c.recoveredSince = in.Now
	}
	c.recoveryPeriod = max(c.recoveryPeriod, minRecoveryPeriod)
	if in.Now.Sub(c.recoveredSince) < c.recoveryPeriod {
		return nil
	}
	tasks := c.candidates(in, s.Name)
	slices.Reverse(tasks) // restore in the reverse order of throttling
	for _, t := range tasks {
		if t.Share < 1 {
			if in.Now.Sub(c.lastRestore) > 4*c.recoveryPeriod {
				c.recoveryPeriod = max(c.recoveryPeriod/2, minRecoveryPeriod)
			}
			c.lastRestore = in.Now
			c.recoveredSince = in.Now
			return c.recordActions(in.Now, []Action{{Restore, t.Task, t.Attempt, min(t.Share*restoreFactor, 1), s.Name}})
		}
	}
	return nil
}

// restoreAll restores the full share of every task when the guards are disabled.
func (c *Controller) restoreAll(in Inputs) []Action {
	var actions []Action
	for _, t := range in.Tasks {
		if t.Share < 1 && t.MeasuredAt.After(c.lastAction) {
			actions = append(actions, Action{Restore, t.Task, t.Attempt, 1, ""})
		}
	}
	return c.recordActions(in.Now, actions)
}

// recordActions sets lastAction if there are actions, and returns them.
func (c *Controller) recordActions(now time.Time, actions []Action) []Action {
	if len(actions) > 0 {
		c.lastAction = now
	}
	return actions
}

// candidates returns the tasks that may be throttled or evicted, the first to be
// affected first: tasks of teams over quota, then by ascending priority, then by descending
// slowdown of the service. A task whose usage was measured before the last action is
// left out, because that measurement does not show the effect of the action.
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
