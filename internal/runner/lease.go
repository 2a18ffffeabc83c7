package runner

import (
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// The leases of the runs on a runner, the readings of its clock from which they are computed,
// and the fencing tokens that keep late calls from starting a run after its lease.

const (
	// maxListAge is the age of the last listing, from its request, above which this process
	// has not run for a while. It exceeds that of a listing while two polls follow each
	// other, both answered at the last moment.
	maxListAge = 2*pollWait + pollSlack
	// maxClockDrift is the fraction by which a runner's clock may run slow.
	maxClockDrift = 0.02
	// maxSilence is the longest lease from the last reading of the runner's clock. A
	// runner that falls silent keeps its runs until its lease ends, because it gets no
	// longer one. One that has ended without notice has lost its runs, and their tasks
	// start elsewhere only after that lease: for a long-running task that must take less
	// than 9 s, with the leader's reaction.
	maxSilence = 7500 * time.Millisecond
	// maxCallDelay is the longest time that a call of an earlier agent process may be under
	// way. A runner's clock starts with it, so one that has run for longer has not restarted
	// since such a call was sent.
	maxCallDelay = 15 * time.Second
	// leaseExpiryMargin allows for the time that the runner needs to end its
	// runs after the lease has expired.
	leaseExpiryMargin = 200 * time.Millisecond
	// ordinalBits is the number of low bits of a fencing token that hold the
	// ordinal. 20 bits allow a million of them within one agent process, and the
	// whole token still fits the integers that every JSON decoder represents
	// exactly.
	ordinalBits = 20
)

// ExtendGrant permits runs to continue until the given instant. It never shortens
// an earlier grant.
func (c *Controller) ExtendGrant(until bootclock.Instant) {
	c.mu.Lock()
	c.grantedUntil = max(c.grantedUntil, until)
	c.mu.Unlock()
}

// setClock stores a reading of the runner's clock. The caller holds c.mu.
func (c *Controller) setClock(clock ClockTime) {
	c.runnerClock, c.clockReadAt = clock, bootclock.Now()
}

// extendLease returns the lease expiry that the grant allows, on the runner's
// clock, or false when the grant has ended or the runner is out of touch: the reading
// may be of an incarnation that has ended, and by the clock of the next one the lease
// could outlast the grant. The lease expires before the grant ends, because the clock
// reading is older than the time of its receipt and because the expiry allows for a
// slow clock. If all leases had ended, later calls have a higher token, so call
// fencingToken afterwards. The caller holds c.mu.
func (c *Controller) extendLease(now bootclock.Instant) (ClockTime, bool) {
	c.endLeases(now)
	if !now.Before(c.grantedUntil) || c.runnerClock == 0 || c.outOfTouch(now) {
		return 0, false
	}
	remaining := min(c.grantedUntil.Sub(c.clockReadAt), c.MaxLease, maxSilence)
	until := c.runnerClock + ClockTime(float64(remaining.Milliseconds())*(1-maxClockDrift))
	c.leaseUntil = max(c.leaseUntil, until)
	c.leaseSent = true
	return c.leaseUntil, true
}

// outOfTouch reports whether the state of the runner may have changed unseen: the last poll
// has failed, or this process has not run for a while. The caller holds c.mu.
func (c *Controller) outOfTouch(now bootclock.Instant) bool {
	return c.unresponsive || c.listed && now.Sub(c.listedAt) > maxListAge
}

// silent reports whether the runs of the current incarnation are not known. The caller
// holds c.mu.
func (c *Controller) silent(now bootclock.Instant) bool { return !c.listed || c.outOfTouch(now) }

// LongestLease returns the longest lease that a runner grants by the clock of another machine, if
// it accepts leases of maxLease by its own.
func LongestLease(maxLease time.Duration) time.Duration { return maxLease + maxLease/10 }

func (c *Controller) longestLease() time.Duration { return LongestLease(c.MaxLease) }

// strayLease returns for how long a runner that may have restarted under its id may hold a
// lease that no grant bounds, or 0: a call that was sent to the incarnation before may have
// carried a lease by the clock of that one. The caller holds c.mu.
func (c *Controller) strayLease(now bootclock.Instant) time.Duration {
	from := max(c.restartedAt, c.lateCallsUntil)
	if from == 0 {
		return 0
	}
	return max(0, from.Add(c.longestLease()).Sub(now))
}

// allLeasesExpired reports whether every lease that the runner may hold has
// certainly expired. The caller holds c.mu.
func (c *Controller) allLeasesExpired(now bootclock.Instant) bool {
	if c.strayLease(now) > 0 {
		return false
	}
	if c.leaseUntil == 0 { // an earlier agent process may have granted a lease
		return c.startedAt != 0 && now.After(c.startedAt.Add(c.longestLease()))
	}
	remaining := time.Duration(c.leaseUntil-c.runnerClock) * time.Millisecond
	end := c.clockReadAt.Add(time.Duration(float64(remaining)*(1+2*maxClockDrift)) + leaseExpiryMargin)
	return now.After(end)
}

// endLeases reports whether every lease that the runner may hold has certainly expired. If
// so, no run is active. A start call that is still on its way has an expired lease as well,
// but the runner may carry it out once a later call has extended the lease. So endLeases
// raises the fencing token before that. The caller holds c.mu.
func (c *Controller) endLeases(now bootclock.Instant) bool {
	if !c.allLeasesExpired(now) {
		return false
	}
	if c.leaseSent {
		c.ordinal++
		c.leaseSent = false
	}
	return true
}

// fencingToken returns the token for calls to the current incarnation. It is
// higher than the tokens of all earlier incarnations with the same id, so that
// the runner rejects a delayed call that was sent to one of them, and higher
// than the tokens of the calls that endLeases has fenced. The caller holds c.mu.
func (c *Controller) fencingToken() FencingToken { return c.BaseToken<<ordinalBits + c.ordinal }
