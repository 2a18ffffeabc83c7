package taskrunner

import "time"

// The clock of a runner and the lease of its runs.

// clockMs returns the reading of the runner's clock in milliseconds. The clock
// starts with the incarnation. r.mu must be held.
func (r *Runner) clockMs() int64 {
	return int64(float64(time.Since(r.startTime))*r.clockRate()/float64(time.Millisecond)) + 1
}

// timeAtClock returns the time at which the runner's clock reads untilMs.
func (r *Runner) timeAtClock(untilMs int64) time.Time {
	return r.startTime.Add(time.Duration(float64(untilMs) * float64(time.Millisecond) / r.clockRate()))
}

func (r *Runner) clockRate() float64 {
	if r.ClockRate == 0 {
		return 1
	}
	return r.ClockRate
}

// extendLease extends the lease of all runs, but not beyond MaxLease. r.mu must be
// held.
func (r *Runner) extendLease(untilMs int64) {
	r.markLeaseExpired()
	until := r.timeAtClock(untilMs)
	if limit := time.Now().Add(r.MaxLease); until.After(limit) {
		until = limit
	}
	if until.After(r.leaseEnd) {
		r.leaseEnd = until
	}
}

// markLeaseExpired marks the listed ended runs if the lease has expired. r.mu must
// be held.
func (r *Runner) markLeaseExpired() {
	if r.leaseEnd.IsZero() || !time.Now().After(r.leaseEnd) {
		return
	}
	for i := range r.endedRuns {
		r.endedRuns[i].leaseExpired = true
	}
}

// watchLease ends a run when the lease expires.
func (r *Runner) watchLease(incarnation time.Time, task string, attempt int64) {
	time.AfterFunc(time.Until(r.leaseEnd)+time.Millisecond, func() {
		r.mu.Lock()
		x := r.runs[task]
		running := r.startTime == incarnation && x != nil && x.attempt == attempt
		if running && time.Now().Before(r.leaseEnd) {
			r.watchLease(incarnation, task, attempt)
			running = false
		}
		r.mu.Unlock()
		if running {
			r.endRun(incarnation, task, attempt, "lapsed")
		}
	})
}
