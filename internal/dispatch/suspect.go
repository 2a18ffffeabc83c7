package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// suspectAfter failures of different jobs in a row blame the worker: with
	// jobs that fail one time in ten by themselves, a healthy worker reaches it
	// once in 100,000 runs.
	suspectFailures   = 5
	suspectBackoff    = 10 * time.Second
	maxSuspectBackoff = 10 * time.Minute
	minProbeRunTime   = time.Minute // a worker that fails everything fails sooner
	maxSuspectDivisor = 2           // at most one worker in so many is left out
)

// suspect is the record of a worker on which everything fails.
type suspect struct {
	failures     int // consecutive failures that the level accounts for
	backoffLevel int // grows with each failed probe
	backoffUntil time.Time
	probe        units.Task // open probe, zero for none
	probeAttempt units.Attempt
	probeSince   time.Time // of the probe
	cleared      bool      // a probe survived; only further failures count
}

// updateSuspects moves every suspect one step: backoff, probe, return.
func (d *Dispatcher) updateSuspects() {
	for i := range d.rows {
		r := &d.rows[i]
		failures := d.input.Ledger.ConsecutiveFailures(r.ID)
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
	now := d.input.Now
	if failures > s.failures {
		// Tasks that were running when the worker was first blamed fail during
		// the backoff; they say nothing new.
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
	t := d.input.Ledger.Task(s.probe)
	_, proposed := d.inFlight[s.probe]
	open := proposed || (t != nil && t.Attempt == s.probeAttempt && t.State.Open())
	switch {
	case open && now.Sub(s.probeSince) > minProbeRunTime:
		s.cleared, s.probe = true, units.Task{}
	case !open: // rejected or lost: neither good nor bad
		s.probe = units.Task{}
		s.backoffUntil = now.Add(suspectBackoff / 10)
	}
}

// trusted reports whether the worker may get tasks; a suspect past its backoff
// may get one. When most workers are suspect, the jobs are to blame.
func (d *Dispatcher) allowSuspect(r *workerRow) bool {
	s := d.suspects[r.ID]
	if s == nil || s.cleared || len(d.suspects)*maxSuspectDivisor > len(d.rows) {
		return true
	}
	if d.input.Now.Before(s.backoffUntil) || s.probe != (units.Task{}) {
		return false
	}
	r.probe, r.launchLimit = true, r.launching+1
	return true
}
