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
	// latencyLimit is the share of its target above which a serving task is
	// protected, and latencyGoal the share to which it is brought back.
	latencyLimit = 0.95
	latencyGoal  = 0.8
	// limitRate and goalRate are the rates that belong to them.
	limitRate = 1 / latencyLimit
	goalRate  = 1 / latencyGoal
	// alarmRate is the rate below which latency grows faster than the model
	// knows; the pace then falls after alarmDelay already.
	alarmRate  = 1 / 1.3
	alarmDelay = 250 * time.Millisecond
	// haltAfter is how long a serving task may exceed its target before every
	// task that fills beside it is halted, whatever the model says. With the
	// delay of the readings it stays well below the time after which the excess
	// counts as harm.
	haltAfter = 1200 * time.Millisecond
	// observeEvery spaces the readings that are taken in: between two that are
	// nearer to each other little has changed but the noise.
	observeInterval = 240 * time.Millisecond
	// readingDelay is the time from a change of pace until the readings show
	// it: the change's own delay and the window of a reading.
	readingDelay = 600 * time.Millisecond
	// riseEvery spaces the rises of paces; each goes as far as the model allows.
	raiseInterval = 500 * time.Millisecond
	// cutUnknown is the factor of the pace when the cause is not known.
	unknownCauseFactor = 0.5
	// cutKnown is the part of all known harm that goes when it can't explain the
	// excess: the next reading, after alarmDelay, tells whether that is enough.
	knownLossShare = 0.5
	// smallShare is the part of the harm to take away below which a task is not
	// worth slowing.
	minLossShare = 0.05
	// lowestPace in percent: below it a task does not run at all.
	minPace = 5
	// guardedWait is the longest wait of a hold while serving and filling tasks
	// run side by side.
	protectedPollWait = 300 * time.Millisecond
)

// neighbour is a running task that fills.
type bestEffortTask struct {
	task  workflow.TaskID
	run   *run
	cores float64 // in use
}

// served is a running serving task.
type latencyCriticalTask struct {
	image string
	rate  float64 // target / latency, as the last reading shows it
}

// protectLatency adjusts the pace of the tasks that fill.
func (c *Controller) protectLatency(ctx context.Context) {
	c.mu.Lock()
	calls := c.paceChanges(bootclock.Now())
	c.mu.Unlock()
	for _, call := range calls {
		if err := c.callRunner(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.SetPace(ctx, call) }); err != nil {
			klog.V(1).InfoS("pace is not set", "task", call.Task.String(), "err", err)
			c.mu.Lock()
			if r := c.runs[call.Task]; r != nil && r.attempt == call.Attempt {
				r.paceUnconfirmed = true
			}
			c.mu.Unlock()
		}
	}
}

// neighbours returns the tasks that run side by side, in a fixed order.
func (c *Controller) activeTasks() (serving []latencyCriticalTask, filling []bestEffortTask) {
	for task, r := range c.runs {
		switch {
		case r.starting || r.stopping:
		case r.bestEffort:
			filling = append(filling, bestEffortTask{task, r, float64(r.load) / 1000})
		case r.latencyTarget > 0:
			rate := r.rate
			if rate == 0 { // not read yet
				rate = interference.MaxRate
			}
			serving = append(serving, latencyCriticalTask{r.image, rate})
		}
	}
	slices.SortFunc(filling, func(a, b bestEffortTask) int {
		return cmp.Or(cmp.Compare(b.run.percent, a.run.percent), cmp.Compare(a.task.String(), b.task.String()))
	})
	return serving, filling
}

// observe feeds the readings to the model and keeps the rates that they show.
// c.mu is held.
func (c *Controller) updateModel(now bootclock.Instant, filling []bestEffortTask) {
	var readings []interference.LatencyReading
	var rows []*run
	for task, r := range c.runs {
		if r.latencyTarget > 0 && !r.starting {
			readings = append(readings, interference.LatencyReading{Task: task, Image: r.image, Latency: float64(r.load), Target: float64(r.latencyTarget.Milliseconds())})
			rows = append(rows, r)
		}
	}
	uses := c.endedReadings
	c.endedReadings = nil
	for _, f := range filling {
		uses = append(uses, interference.UsageReading{Image: f.run.image, Cores: f.cores})
	}
	for i, rate := range c.model.Observe(now, readings, uses) {
		rows[i].rate = rate
	}
}

// paces returns the changes of pace that the last lists ask for. c.mu is held.
func (c *Controller) paceChanges(now bootclock.Instant) []PaceCall {
	serving, filling := c.activeTasks()
	if len(filling) == 0 {
		c.endedReadings = nil
		return nil
	}
	if now.Sub(c.observedAt) >= observeInterval {
		c.observedAt = now
		c.updateModel(now, filling)
		serving, filling = c.activeTasks()
	}
	wanted := make([]int, len(filling))
	for i, f := range filling {
		wanted[i] = f.run.pace
	}
	var worst latencyCriticalTask
	if len(serving) > 0 {
		worst = lowestRateTask(serving)
	}
	switch {
	case c.timeOverTarget(now) >= haltAfter:
		c.loweredAt = now
		for i := range wanted {
			wanted[i] = 0
		}
	case len(serving) == 0:
		for i := range wanted {
			wanted[i] = fullPace
		}
	case worst.rate < limitRate:
		if now.Sub(c.loweredAt) >= readingDelay || worst.rate < alarmRate && now.Sub(c.loweredAt) >= alarmDelay {
			c.loweredAt = now
			c.lowerPaces(worst, filling, wanted)
		}
	case now.Sub(c.loweredAt) >= readingDelay && now.Sub(c.raisedAt) >= raiseInterval:
		c.raisedAt = now
		c.raisePaces(serving, filling, wanted)
	}
	var calls []PaceCall
	for i, f := range filling {
		if wanted[i] != f.run.pace || f.run.paceUnconfirmed {
			f.run.pace, f.run.paceUnconfirmed = wanted[i], false
			calls = append(calls, PaceCall{StopCall{c.info.ID, c.fencingToken(), f.task, f.run.attempt}, wanted[i]})
		}
	}
	return calls
}

// worstServed returns the serving task with the lowest rate.
func lowestRateTask(serving []latencyCriticalTask) latencyCriticalTask {
	return slices.MinFunc(serving, func(a, b latencyCriticalTask) int { return cmp.Compare(a.rate, b.rate) })
}

// overFor returns for how long a serving task has exceeded its target.
func (c *Controller) timeOverTarget(now bootclock.Instant) time.Duration {
	longest := time.Duration(0)
	for _, r := range c.runs {
		if r.overTargetSince != 0 && !r.stopping {
			longest = max(longest, now.Sub(r.overTargetSince))
		}
	}
	return longest
}

// slowDown lowers the pace of the tasks that harm the serving task most, by as
// much as the model says is needed. A queue that builds up answers out of all
// proportion to its cause: then part of all known harm goes with each reading.
// What the model can't explain slows all those that it does not know yet.
func (c *Controller) lowerPaces(s latencyCriticalTask, filling []bestEffortTask, wanted []int) {
	excess := goalRate - s.rate
	harm := make([]float64, len(filling))
	order := make([]int, len(filling))
	total := 0.0
	for i, f := range filling {
		harm[i] = c.model.LossPerCore(s.image, f.run.image) * f.cores
		order[i] = i
		total += harm[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(harm[b], harm[a]) })
	explained := excess
	if excess > total {
		explained = knownLossShare * total
	}
	left := explained
	for _, i := range order {
		if left <= 0 || harm[i] < minLossShare*explained {
			break
		}
		cut := min(harm[i], left)
		wanted[i] = scaledPace(wanted[i], 1-cut/harm[i])
		left -= cut
	}
	if excess-explained > excess/2 {
		for i := range wanted {
			if wanted[i] == filling[i].run.pace && !c.model.IsReliable(s.image, filling[i].run.image) {
				wanted[i] = scaledPace(wanted[i], unknownCauseFactor)
			}
		}
	}
}

func scaledPace(pace int, factor float64) int {
	pace = int(float64(pace) * factor)
	if pace < minPace {
		return 0
	}
	return pace
}

// speedUp raises paces, of the tasks that are nearest to their end first, as
// far as the model predicts that every serving task stays below its goal.
func (c *Controller) raisePaces(serving []latencyCriticalTask, filling []bestEffortTask, wanted []int) {
	room := make([]float64, len(serving))
	for i, s := range serving {
		room[i] = s.rate - goalRate
	}
	for i, f := range filling {
		step := fullPace - wanted[i]
		if step <= 0 {
			continue
		}
		cores := float64(f.run.processors) / 1000 * float64(step) / fullPace
		for k, s := range serving {
			if harm := c.model.LossPerCore(s.image, f.run.image); harm > 0 {
				cores = min(cores, max(room[k], 0)/harm)
			}
		}
		step = int(cores * 1000 / float64(max(f.run.processors, 1)) * fullPace)
		if step < minPace && wanted[i]+step < fullPace {
			continue
		}
		wanted[i] += step
		for k, s := range serving {
			room[k] -= c.model.LossPerCore(s.image, f.run.image) * cores
		}
	}
}

// Describe completes a run that this process has adopted.
func (c *Controller) CompleteRun(s StartOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[s.Task]; r != nil && r.attempt == s.Attempt && r.incomplete {
		r.incomplete, r.bestEffort, r.latencyTarget, r.image, r.processors = false, s.BestEffort, s.LatencyTarget, s.Image, s.Processors
		r.paceUnconfirmed = s.BestEffort // whatever the previous process has set
	}
}

// Suggest takes over what the leader has learned on all workers.
func (c *Controller) SetEstimates(estimates []interference.Estimate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	for _, e := range estimates {
		c.model.SetEstimate(now, e)
	}
}
