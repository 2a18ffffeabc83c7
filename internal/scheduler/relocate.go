package scheduler

import "time"

// Tasks that are paced down where they are, or run on a slow worker, move to a
// worker that takes them at full speed and go on from their checkpoint.

const (
	// A task slowed below slowedPace percent for slowedFor moves to a better
	// worker, unless it is nearEnd (percent of its work).
	slowedPace = 50
	slowedFor  = 700 * time.Millisecond
	nearEnd    = 90
	// stayAway keeps a task that has moved from returning to the worker that
	// slowed it, whose readings are better once it has left.
	stayAway = 3 * time.Second
	// relocateEvery spaces the searches; the readings change no faster, and a
	// search looks at every worker for every kind of slowed task.
	relocateEvery = 100 * time.Millisecond
	// relocationsAtOnce keeps one search from moving more than its readings can tell.
	relocationsAtOnce = 10
)

// relocate stops tasks that are paced down or lag where they are, when another
// worker has room for them and nothing that they harm.
func (s *Scheduler) relocate(now Timestamp, short *shortage) {
	if now.Boot.Before(s.moveAt) {
		return
	}
	s.moveAt = now.Boot.Add(relocateEvery)
	moved := 0
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if !t.slowed(now) && !t.lags(now) {
				continue
			}
			if s.findBetter(t, now, short) {
				t.movedFrom, t.movedUntil = w, now.Boot.Add(stayAway)
				s.stop(t, now)
				moved++
			}
			if moved == relocationsAtOnce {
				return
			}
		}
	}
}

// findBetter reports whether another worker would take the task.
func (s *Scheduler) findBetter(t *task, now Timestamp, short *shortage) bool {
	if short.covers(t.step) {
		return false
	}
	pool := short.pool(s.policyOf(t.job).Service, now)
	if s.choose(t.step, pool, t.worker) != nil {
		return true
	}
	if s.choose(t.step, pool, nil) == nil {
		short.add(t.step)
	}
	return false
}

func (t *task) slowed(now Timestamp) bool {
	return t.step.BestEffort && t.step.Checkpointing && t.confirmed && t.stopSent == 0 && !t.done &&
		t.pace < slowedPace && t.percent < nearEnd && now.Boot.Sub(t.paceSince) > slowedFor
}
