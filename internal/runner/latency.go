package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/workflow"
)

const (
	// latencyLimit is the fraction of its target above which the latency of a
	// latency-critical task is reduced by throttling best-effort tasks.
	// latencyGoal is the fraction to which it is reduced.
	latencyLimit = 0.95
	latencyGoal  = 0.8
	// limitRate and goalRate are the corresponding rates (target / latency).
	limitRate = 1 / latencyLimit
	goalRate  = 1 / latencyGoal
	// alarmRate is the rate below which latency grows faster than the model
	// predicts. Paces are then lowered again after alarmDelay instead of
	// readingDelay.
	alarmRate  = 1 / 1.3
	alarmDelay = 250 * time.Millisecond
	// haltAfter is how long a latency-critical task may exceed its target before
	// all best-effort tasks on the worker are halted, regardless of the model.
	// Together with the delay of the readings it is well below the time after
	// which the excess counts as a violation.
	haltAfter = 1200 * time.Millisecond
	// observeInterval is the shortest time between readings that update the
	// model. Readings closer together differ by little more than noise.
	observeInterval = 240 * time.Millisecond
	// readingDelay is the time until readings show a change of pace: the time to
	// apply the change plus the window of a reading.
	readingDelay = 600 * time.Millisecond
	// raiseInterval is the shortest time between raises of paces. Each raise goes
	// as far as the model allows.
	raiseInterval = 500 * time.Millisecond
	// unknownCauseFactor multiplies the pace of a task without a reliable
	// estimate when the model does not explain the excess latency.
	unknownCauseFactor = 0.5
	// estimatedLossShare is the fraction of the total estimated rate loss that is
	// removed when that loss is too small to explain the excess latency. The next
	// reading, after alarmDelay, shows whether this is enough.
	estimatedLossShare = 0.5
	// minLossShare is the fraction of the rate loss to remove that a task must
	// cause to be throttled.
	minLossShare = 0.05
	// minPace is in percent. A task with a lower pace is halted.
	minPace = 5
	// protectedPollWait is the longest wait of a poll while latency-critical and
	// best-effort tasks run on the worker.
	protectedPollWait = 300 * time.Millisecond
)

// bestEffortTask is an active best-effort task.
type bestEffortTask struct {
	task  workflow.TaskID
	run   *run
	cores float64 // processors in use
}

// latencyCriticalTask is an active latency-critical task.
type latencyCriticalTask struct {
	image string
	rate  float64 // target / latency at the last reading
}

// protectLatency adjusts the paces of the best-effort tasks.
func (c *Controller) protectLatency(ctx context.Context) {
	for _, call := range c.takePaceChanges() {
		if err := c.callRunner(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.SetPace(ctx, call) }); err != nil {
			klog.V(1).InfoS("failed to set the pace of a run", "task", call.Task.String(), "err", err)
			c.mu.Lock()
			if r := c.runs[call.Task]; r != nil && r.attempt == call.Attempt {
				r.paceUnconfirmed = true
			}
			c.mu.Unlock()
		}
	}
}

// takePaceChanges returns the calls that adjust the paces now.
func (c *Controller) takePaceChanges() []PaceCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paceChanges(bootclock.Now())
}

// activeTasks returns the tasks that are neither starting nor stopping. The
// best-effort tasks are sorted, those closest to completion first. The caller holds
// c.mu.
func (c *Controller) activeTasks() (latencyCritical []latencyCriticalTask, bestEffort []bestEffortTask) {
	for task, r := range c.runs {
		switch {
		case r.starting || r.stopping:
		case r.bestEffort:
			bestEffort = append(bestEffort, bestEffortTask{task, r, float64(r.load) / 1000})
		case r.latencyTarget > 0:
			rate := r.rate
			if rate == 0 { // no reading yet
				rate = interference.MaxRate
			}
			latencyCritical = append(latencyCritical, latencyCriticalTask{r.image, rate})
		}
	}
	slices.SortFunc(bestEffort, func(a, b bestEffortTask) int {
		return cmp.Or(cmp.Compare(b.run.percent, a.run.percent), cmp.Compare(a.task.String(), b.task.String()))
	})
	return latencyCritical, bestEffort
}

// updateModel updates the model from the last readings and stores the resulting
// rates of the latency-critical tasks. The caller holds c.mu.
func (c *Controller) updateModel(now bootclock.Instant, bestEffort []bestEffortTask) {
	var readings []interference.LatencyReading
	var runs []*run
	for task, r := range c.runs {
		if r.latencyTarget > 0 && !r.starting {
			readings = append(readings, interference.LatencyReading{Task: task, Image: r.image, Latency: float64(r.load), Target: float64(r.latencyTarget.Milliseconds())})
			runs = append(runs, r)
		}
	}
	usage := c.endedReadings
	c.endedReadings = nil
	for _, b := range bestEffort {
		usage = append(usage, interference.UsageReading{Image: b.run.image, Cores: b.cores})
	}
	for i, rate := range c.model.Observe(now, readings, usage) {
		runs[i].rate = rate
	}
}

// paceChanges returns the calls that adjust the paces to the last listing. The
// caller holds c.mu.
func (c *Controller) paceChanges(now bootclock.Instant) []PaceCall {
	latencyCritical, bestEffort := c.activeTasks()
	if len(bestEffort) == 0 {
		c.endedReadings = nil
		return nil
	}
	if now.Sub(c.observedAt) >= observeInterval {
		c.observedAt = now
		c.updateModel(now, bestEffort)
		latencyCritical, bestEffort = c.activeTasks()
	}
	paces := make([]int, len(bestEffort))
	for i, b := range bestEffort {
		paces[i] = b.run.pace
	}
	var worst latencyCriticalTask
	if len(latencyCritical) > 0 {
		worst = lowestRateTask(latencyCritical)
	}
	switch {
	case c.timeOverTarget(now) >= haltAfter:
		c.loweredAt = now
		for i := range paces {
			paces[i] = 0
		}
	case len(latencyCritical) == 0:
		for i := range paces {
			paces[i] = fullPace
		}
	case worst.rate < limitRate:
		if now.Sub(c.loweredAt) >= readingDelay || worst.rate < alarmRate && now.Sub(c.loweredAt) >= alarmDelay {
			c.loweredAt = now
			c.lowerPaces(worst, bestEffort, paces)
		}
	case now.Sub(c.loweredAt) >= readingDelay && now.Sub(c.raisedAt) >= raiseInterval:
		c.raisedAt = now
		c.raisePaces(latencyCritical, bestEffort, paces)
	}
	var calls []PaceCall
	for i, b := range bestEffort {
		if paces[i] != b.run.pace || b.run.paceUnconfirmed {
			b.run.pace, b.run.paceUnconfirmed = paces[i], false
			calls = append(calls, PaceCall{StopCall{c.info.ID, c.fencingToken(), b.task, b.run.attempt}, paces[i]})
		}
	}
	return calls
}

// lowestRateTask returns the task with the lowest rate.
func lowestRateTask(latencyCritical []latencyCriticalTask) latencyCriticalTask {
	return slices.MinFunc(latencyCritical, func(a, b latencyCriticalTask) int { return cmp.Compare(a.rate, b.rate) })
}

// timeOverTarget returns the longest time for which a latency-critical task has
// exceeded its target. The caller holds c.mu.
func (c *Controller) timeOverTarget(now bootclock.Instant) time.Duration {
	longest := time.Duration(0)
	for _, r := range c.runs {
		if r.overTargetSince != 0 && !r.stopping {
			longest = max(longest, now.Sub(r.overTargetSince))
		}
	}
	return longest
}

// lowerPaces lowers the paces of the tasks that cost worst the most rate, by as much as
// the model predicts is needed to reach goalRate. A growing queue raises latency
// out of proportion to its cause; the estimated losses then do not explain the
// excess, and part of their total is removed with each reading. If more than half
// of the excess remains unexplained, tasks without a reliable estimate are
// throttled too.
func (c *Controller) lowerPaces(worst latencyCriticalTask, bestEffort []bestEffortTask, paces []int) {
	excess := goalRate - worst.rate
	loss := make([]float64, len(bestEffort))
	order := make([]int, len(bestEffort))
	total := 0.0
	for i, b := range bestEffort {
		loss[i] = c.model.LossPerCore(worst.image, b.run.image) * b.cores
		order[i] = i
		total += loss[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loss[b], loss[a]) })
	explained := excess
	if excess > total {
		explained = estimatedLossShare * total
	}
	remaining := explained
	for _, i := range order {
		if remaining <= 0 || loss[i] < minLossShare*explained {
			break
		}
		cut := min(loss[i], remaining)
		paces[i] = scaledPace(paces[i], 1-cut/loss[i])
		remaining -= cut
	}
	if excess-explained > excess/2 {
		for i := range paces {
			if paces[i] == bestEffort[i].run.pace && !c.model.IsReliable(worst.image, bestEffort[i].run.image) {
				paces[i] = scaledPace(paces[i], unknownCauseFactor)
			}
		}
	}
}

// scaledPace returns pace multiplied by factor, or 0 if the result is below minPace.
func scaledPace(pace int, factor float64) int {
	pace = int(float64(pace) * factor)
	if pace < minPace {
		return 0
	}
	return pace
}

// raisePaces raises paces as far as the model predicts that every latency-critical
// task meets latencyGoal, starting with the tasks that are closest to completion.
func (c *Controller) raisePaces(latencyCritical []latencyCriticalTask, bestEffort []bestEffortTask, paces []int) {
	headroom := make([]float64, len(latencyCritical))
	for i, t := range latencyCritical {
		headroom[i] = t.rate - goalRate
	}
	for i, b := range bestEffort {
		step := fullPace - paces[i]
		if step <= 0 {
			continue
		}
		cores := float64(b.run.processors) / 1000 * float64(step) / fullPace
		for k, t := range latencyCritical {
			if loss := c.model.LossPerCore(t.image, b.run.image); loss > 0 {
				cores = min(cores, max(headroom[k], 0)/loss)
			}
		}
		step = int(cores * 1000 / float64(max(b.run.processors, 1)) * fullPace)
		if step < minPace && paces[i]+step < fullPace {
			continue
		}
		paces[i] += step
		for k, t := range latencyCritical {
			headroom[k] -= c.model.LossPerCore(t.image, b.run.image) * cores
		}
	}
}

// CompleteRun adds the fields of a start order to a run that this process has only
// found in a listing.
func (c *Controller) CompleteRun(s StartOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[s.Task]; r != nil && r.attempt == s.Attempt && r.incomplete {
		r.incomplete, r.bestEffort, r.latencyTarget, r.image, r.processors = false, s.BestEffort, s.LatencyTarget, s.Image, s.Processors
		r.paceUnconfirmed = s.BestEffort // the previous process may have set any pace
	}
}

// SetEstimates replaces estimates of the model by those of the leader, which has
// readings of all workers.
func (c *Controller) SetEstimates(estimates []interference.Estimate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	for _, e := range estimates {
		c.model.SetEstimate(now, e)
	}
}
