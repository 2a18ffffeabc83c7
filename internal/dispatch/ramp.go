package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// A gap this long means that the worker lost what it ran and its caches,
	// or that its domain was out of service.
	absence = 3 * time.Second
	// A returning worker fills to a quarter at once and to the whole within
	// workerRamp, so that a returning domain is full well within 30 s without
	// taking every pending start in one tick.
	workerRamp  = 8 * time.Second
	rampedFirst = 4 // one part in
	// After a log outage starts rise from a tenth to the whole within logRamp:
	// all entry processes come back at once, and so does every agent's backlog
	// of reports.
	logRamp   = 10 * time.Second
	logFirst  = 0.1
	logOutage = 2 * time.Second
)

// history is when a worker was last usable, and since when without a gap.
type history struct {
	last, since time.Time       // since is zero when the worker was there at the first tick
	base        units.Resources // committed when it came
}

// ramp limits a worker that has just come (back). It reports false while the
// worker may start nothing more.
func (d *Dispatcher) ramp(r *row) bool {
	h := d.history[r.ID]
	switch {
	case h == nil:
		h = &history{base: r.Committed}
		if d.tickCount > 1 {
			h.since = d.in.Now
		}
		d.history[r.ID] = h
	case d.in.Now.Sub(h.last) > absence:
		h.since, h.base = d.in.Now, r.Committed
	}
	h.last = d.in.Now
	age := d.in.Now.Sub(h.since)
	if h.since.IsZero() || age >= workerRamp {
		return true
	}
	share := 1.0/rampedFirst + (1-1.0/rampedFirst)*float64(age)/float64(workerRamp)
	r.mayLaunch = max(1, int(share*maxLaunching))
	r.ceiling = h.base.Add(scale(r.Capacity, share))
	return true
}

func scale(r units.Resources, share float64) units.Resources {
	return units.Resources{Processors: units.Millicores(float64(r.Processors) * share),
		Memory: units.Bytes(float64(r.Memory) * share), Accelerators: r.Accelerators}
}

// pruneHistory forgets workers that have been gone for ten minutes; it runs
// every thousand ticks because the table is small.
func (d *Dispatcher) pruneHistory() {
	if d.tickCount%1000 != 0 {
		return
	}
	for id, h := range d.history {
		if d.in.Now.Sub(h.last) > 10*time.Minute {
			delete(d.history, id)
		}
	}
}

// outage tracks the log, for the ramp of starts after it returns.
type outage struct {
	downSince, backAt time.Time
}

func (o *outage) update(reachable bool, now time.Time) {
	switch {
	case !reachable && o.downSince.IsZero():
		o.downSince = now
	case reachable && !o.downSince.IsZero():
		if now.Sub(o.downSince) >= logOutage {
			o.backAt = now
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
	if n := d.in.DispatcherCount; n > 1 {
		budget = (budget + n - 1) / n
	}
	if age := d.in.Now.Sub(d.outage.backAt); !d.outage.backAt.IsZero() && age < logRamp {
		budget = max(1, int(float64(budget)*(logFirst+(1-logFirst)*float64(age)/float64(logRamp))))
	}
	return budget
}
