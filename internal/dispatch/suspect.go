package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// suspectAfter failures of different jobs in a row blame the worker: with
	// jobs that fail one time in ten by themselves, a healthy worker reaches it
	// once in 100,000 runs.
	suspectAfter    = 5
	suspectBackoff  = 10 * time.Second
	maxBackoff      = 10 * time.Minute
	probeSurvives   = time.Minute // a worker that fails everything fails sooner
	maxSuspectShare = 2           // at most one worker in so many is left out
)

// suspect is the record of a worker on which everything fails.
type suspect struct {
	seen    int // consecutive failures that the level accounts for
	level   int // grows with each failed probe
	until   time.Time
	probe   units.Task // open probe, zero for none
	attempt units.Attempt
	since   time.Time // of the probe
	cleared bool      // a probe survived; only further failures count
}

// updateSuspects moves every suspect one step: backoff, probe, return.
func (d *Dispatcher) updateSuspects() {
	for i := range d.rows {
		r := &d.rows[i]
		failures := d.in.Ledger.ConsecutiveFailures(r.ID)
		s := d.suspects[r.ID]
		if failures < suspectAfter {
			if s != nil {
				delete(d.suspects, r.ID)
			}
			continue
		}
		if s == nil {
			s = &suspect{}
			d.suspects[r.ID] = s
		}
		d.judge(s, failures)
	}
}

func (d *Dispatcher) judge(s *suspect, failures int) {
	now := d.in.Now
	if failures > s.seen {
		// Tasks that were running when the worker was first blamed fail during
		// the backoff; they say nothing new.
		if s.until.Before(now) || s.until.IsZero() {
			s.level++
			s.until = now.Add(min(maxBackoff, suspectBackoff<<min(s.level-1, 10)))
		}
		s.seen, s.probe, s.cleared = failures, units.Task{}, false
		return
	}
	if s.probe == (units.Task{}) {
		return
	}
	t := d.in.Ledger.Task(s.probe)
	_, proposed := d.inFlight[s.probe]
	open := proposed || (t != nil && t.Attempt == s.attempt && t.State.Open())
	switch {
	case open && now.Sub(s.since) > probeSurvives:
		s.cleared, s.probe = true, units.Task{}
	case !open: // rejected or lost: neither good nor bad
		s.probe = units.Task{}
		s.until = now.Add(suspectBackoff / 10)
	}
}

// trusted reports whether the worker may get tasks; a suspect past its backoff
// may get one. When most workers are suspect, the jobs are to blame.
func (d *Dispatcher) trusted(r *row) bool {
	s := d.suspects[r.ID]
	if s == nil || s.cleared || len(d.suspects)*maxSuspectShare > len(d.rows) {
		return true
	}
	if d.in.Now.Before(s.until) || s.probe != (units.Task{}) {
		return false
	}
	r.probe, r.mayLaunch = true, r.launching+1
	return true
}
