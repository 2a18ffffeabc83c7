package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// A worker that was unusable for longer has lost its tasks and caches, or its
	// failure domain was out of service.
	maxUsableGap = 3 * time.Second
	// A returning worker may be filled to 1/workerRampStartDivisor at once and
	// completely after workerRampDuration. A returning failure domain is then full
	// well within 30 s without receiving all pending starts in one tick.
	workerRampDuration     = 8 * time.Second
	workerRampStartDivisor = 4
	// After a log outage of at least minLogOutage the starts per tick rise from
	// logRampStartShare to the full budget within logRampDuration, because all
	// entry processes resume at once and every agent sends its backlog of
	// reports.
	logRampDuration   = 10 * time.Second
	logRampStartShare = 0.1
	minLogOutage      = 2 * time.Second
)

// usableHistory records when a worker was last usable, and since when without a
// gap.
type usableHistory struct {
	lastUsable, usableSince time.Time       // usableSince is zero for workers present at the first tick
	committedBefore         units.Resources // committed when the worker became usable
}

// applyRamp limits the launches and commitments of a worker that has recently
// joined or returned. It always returns true, so such a worker stays eligible.
func (d *Dispatcher) applyRamp(r *workerRow) bool {
	h := d.usableHistories[r.ID]
	switch {
	case h == nil:
		h = &usableHistory{committedBefore: r.Committed}
		if d.tickCount > 1 {
			h.usableSince = d.in.Now
		}
		d.usableHistories[r.ID] = h
	case d.in.Now.Sub(h.lastUsable) > maxUsableGap:
		h.usableSince, h.committedBefore = d.in.Now, r.Committed
	}
	h.lastUsable = d.in.Now
	age := d.in.Now.Sub(h.usableSince)
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

// pruneUsableHistories drops workers that have been unusable for ten minutes. It
// runs only every thousand ticks because the table is small.
func (d *Dispatcher) pruneUsableHistories() {
	if d.tickCount%1000 != 0 {
		return
	}
	for id, h := range d.usableHistories {
		if d.in.Now.Sub(h.lastUsable) > 10*time.Minute {
			delete(d.usableHistories, id)
		}
	}
}

// logOutageState tracks outages of the log for the ramp of starts afterwards.
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

// startBudget returns how many starts this process may propose in the tick.
func (d *Dispatcher) startBudget() int {
	budget := d.StartsPerTick
	if budget == 0 {
		budget = DefaultStartsPerTick
	}
	if n := d.in.DispatcherCount; n > 1 {
		budget = (budget + n - 1) / n
	}
	if age := d.in.Now.Sub(d.logOutage.reachableSince); !d.logOutage.reachableSince.IsZero() && age < logRampDuration {
		budget = max(1, int(float64(budget)*(logRampStartShare+(1-logRampStartShare)*float64(age)/float64(logRampDuration))))
	}
	return budget
}
