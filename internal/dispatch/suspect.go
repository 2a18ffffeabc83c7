package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// A worker is suspect after suspectFailures consecutive failures of different
	// jobs. If one job in ten fails by itself, a healthy worker reaches this once
	// in 100,000 runs.
	suspectFailures   = 5
	suspectBackoff    = 10 * time.Second
	maxSuspectBackoff = 10 * time.Minute
	minProbeRunTime   = time.Minute // a broken worker fails its tasks sooner
	maxSuspectDivisor = 2           // suspects are excluded while they are at most 1/2 of the workers
)

// suspect is the state of a worker on which every task has failed recently.
type suspect struct {
	failures     int // consecutive failures included in backoffLevel
	backoffLevel int // rises with each failed probe
	backoffUntil time.Time
	probe        units.Task // zero while no probe is open
	probeAttempt units.Attempt
	probeSince   time.Time
	cleared      bool // a probe ran for minProbeRunTime; only further failures count
}

// updateSuspects updates the suspects from the failure counts of the ledger. A
// suspect backs off, then runs a single task as a probe, and gets tasks again if
// the probe completes or runs for minProbeRunTime.
func (d *Dispatcher) updateSuspects() {
	for i := range d.rows {
		r := &d.rows[i]
		failures := d.in.Ledger.ConsecutiveFailures(r.ID)
		s := d.suspects[r.ID]
		if failures < suspectFailures {
			if s != nil {
				delete(d.suspects, r.ID)
			}
			continue
		}
		if s == nil {
			s = &suspect{}
			d.suspects[r.ID] = s
		}
		d.updateSuspect(s, failures)
	}
}

func (d *Dispatcher) updateSuspect(s *suspect, failures int) {
	now := d.in.Now
	if failures > s.failures {
		// Failures during the backoff come from tasks that were already running
		// and do not raise the level.
		if s.backoffUntil.Before(now) || s.backoffUntil.IsZero() {
			s.backoffLevel++
			s.backoffUntil = now.Add(min(maxSuspectBackoff, suspectBackoff<<min(s.backoffLevel-1, 10)))
		}
		s.failures, s.probe, s.cleared = failures, units.Task{}, false
		return
	}
	if s.probe == (units.Task{}) {
		return
	}
	t := d.in.Ledger.Task(s.probe)
	_, proposed := d.inFlight[s.probe]
	open := proposed || (t != nil && t.Attempt == s.probeAttempt && t.State.Open())
	switch {
	case open && now.Sub(s.probeSince) > minProbeRunTime:
		s.cleared, s.probe = true, units.Task{}
	case !open: // the probe was rejected or lost, which shows neither success nor failure
		s.probe = units.Task{}
		s.backoffUntil = now.Add(suspectBackoff / 10)
	}
}

// allowSuspect reports whether the worker may get tasks; a suspect after its
// backoff may get one. If most workers are suspect, the jobs are the cause and
// none is excluded.
func (d *Dispatcher) allowSuspect(r *workerRow) bool {
	s := d.suspects[r.ID]
	if s == nil || s.cleared || len(d.suspects)*maxSuspectDivisor > len(d.rows) {
		return true
	}
	if d.in.Now.Before(s.backoffUntil) || s.probe != (units.Task{}) {
		return false
	}
	r.probe, r.launchLimit = true, r.launching+1
	return true
}
