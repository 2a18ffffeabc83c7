package leadership

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// Promise handles a leader's request for a promise not to claim for PromiseDuration. It
// gives none if the store is reachable for this process, which can then become leader, or
// if it has seen a later term. It also returns the highest term that it has seen.
// A claim that has no reply yet is given up.
func (e *Elector) Promise(term Term) (promised, reachable bool, highest Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := bootclock.Now()
	reachable = e.storeReachable(now)
	if reachable || e.leader.Term > term {
		return false, reachable, e.leader.Term
	}
	if !now.Before(e.promisedUntil) {
		klog.InfoS("promised not to claim the leadership", "term", term, "pendingClaim", e.pendingClaim)
	}
	e.promisedUntil = max(e.promisedUntil, now.Add(PromiseDuration+maxClockDrift))
	e.pendingClaim = 0
	return true, false, e.leader.Term
}

// promiseLeft returns for how long a promise of this process or of an earlier incarnation
// prevents a claim, or a value that is not positive if none does. The caller holds mu.
func (e *Elector) promiseLeft() time.Duration {
	return max(e.promisedUntil, e.restartedUntil).Sub(bootclock.Now())
}

// leaderToCheck returns the last leader if this process may claim once that leader's
// process has ended. Possible promises of an earlier incarnation prevent that, and an earlier
// leader that may not know this process, unless the leader has led its term. Then no earlier
// leader has a lease: the leases by promises had ended when its claim succeeded, and it has
// refused to promise since.
func (e *Elector) leaderToCheck() (Leader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Term == 0 || e.recordsMissed || !e.knownToRivals(e.leader.Term) {
		return Leader{}, false
	}
	return e.leader, e.promiseLeft() <= 0 || e.leaderLed && !bootclock.Now().Before(e.promisedUntil)
}

// observeExit records that the process of the last leader, of the term, has ended. If it has
// led, that permits a claim at once: earlier incarnations of this process have promised nothing
// to later leaders.
func (e *Elector) observeExit(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rivals = slices.DeleteFunc(e.rivals, func(r rival) bool { return r.term == term })
	if e.leaderLed && e.leader.Term == term {
		e.restartedUntil = 0
	}
}
