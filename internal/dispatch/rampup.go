package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// A gap this long means that the worker lost what it ran and its caches,
	// or that its domain was out of service.
	maxUsableGap = 3 * time.Second
	// A returning worker fills to a quarter at once and to the whole within
	// workerRamp, so that a returning domain is full well within 30 s without
	// taking every pending start in one tick.
	workerRampDuration     = 8 * time.Second
	workerRampStartDivisor = 4 // one part in
	// After a log outage starts rise from a tenth to the whole within logRamp:
	// all entry processes come back at once, and so does every agent's backlog
	// of reports.
	logRampDuration   = 10 * time.Second
	logRampStartShare = 0.1
	minLogOutage      = 2 * time.Second
)

// history is when a worker was last usable, and since when without a gap.
type usableHistory struct {
	lastUsable, usableSince time.Time       // since is zero when the worker was there at the first tick
	committedBefore         units.Resources // committed when it came
}

// ramp limits a worker that has just come (back). It reports false while the
// worker may start nothing more.
func (d *Dispatcher) applyRamp(r *workerRow) bool {
	h := d.usableHistories[r.ID]
	switch {
	case h == nil:
		h = &usableHistory{committedBefore: r.Committed}
		if d.tickCount > 1 {
			h.usableSince = d.input.Now
		}
		d.usableHistories[r.ID] = h
	case d.input.Now.Sub(h.lastUsable) > maxUsableGap:
		h.usableSince, h.committedBefore = d.input.Now, r.Committed
	}
	h.lastUsable = d.input.Now
	age := d.input.Now.Sub(h.usableSince)
	if h.usableSince.IsZero() || age >= workerRampDuration {
		return true
	}
	share := 1.0/workerRampStartDivisor + (1-1.0/workerRampStartDivisor)*float64(age)/float64(workerRampDuration)
	r.launchLimit = max(1, int(share*maxLaunching))
	r.commitLimit = h.committedBefore.Add(scaleResources(r.Capacity, share))
	return true
}

func scaleResources(r units.Resources, share float64) units.Resources {
	return units.Resources{Processors: units.Millicores(float64(r.Processors) * share),
		Memory: units.Bytes(float64(r.Memory) * share), Accelerators: r.Accelerators}
}

// pruneHistory forgets workers that have been gone for ten minutes; it runs
// every thousand ticks because the table is small.
func (d *Dispatcher) pruneUsableHistories() {
	if d.tickCount%1000 != 0 {
		return
	}
	for id, h := range d.usableHistories {
		if d.input.Now.Sub(h.lastUsable) > 10*time.Minute {
			delete(d.usableHistories, id)
		}
	}
}

// outage tracks the log, for the ramp of starts after it returns.
type logOutageState struct {
	downSince, reachableSince time.Time
}

func (o *logOutageState) update(reachable bool, now time.Time) {
	switch {
	case !reachable && o.downSince.IsZero():
		o.downSince = now
	case reachable && !o.downSince.IsZero():
		if now.Sub(o.downSince) >= minLogOutage {
			o.reachableSince = now
		}
		o.downSince = time.Time{}
	}
}

// startBudget is how many starts this process may propose in the tick.
func (d *Dispatcher) startBudget() int {
	budget := d.StartsPerTick
	if budget == 0 {
		budget = DefaultStartsPerTick
	}
	if n := d.input.DispatcherCount; n > 1 {
		budget = (budget + n - 1) / n
	}
	if age := d.input.Now.Sub(d.logOutage.reachableSince); !d.logOutage.reachableSince.IsZero() && age < logRampDuration {
		budget = max(1, int(float64(budget)*(logRampStartShare+(1-logRampStartShare)*float64(age)/float64(logRampDuration))))
	}
	return budget
}
