package scheduler

import "time"

// Tasks that are paced down where they are, or run on a slow worker, move to a
// worker that takes them at full speed and go on from their checkpoint.

const (
	// A task slowed below slowedPace percent for slowedFor moves to a better
	// worker, unless it is nearEnd (percent of its work).
	throttledPace  = 50
	throttledFor   = 700 * time.Millisecond
	nearCompletion = 90
	// stayAway keeps a task that has moved from returning to the worker that
	// slowed it, whose readings are better once it has left.
	returnDelay = 3 * time.Second
	// relocateEvery spaces the searches; the readings change no faster, and a
	// search looks at every worker for every kind of slowed task.
	relocationInterval = 100 * time.Millisecond
	// relocationsAtOnce keeps one search from moving more than its readings can tell.
	maxRelocationsPerSearch = 10
)

// relocate stops tasks that are paced down or lag where they are, when another
// worker has room for them and nothing that they harm.
func (s *Scheduler) relocate(now Timestamp, short *searchCache) {
	if now.Boot.Before(s.nextRelocation) {
		return
	}
	s.nextRelocation = now.Boot.Add(relocationInterval)
	moved := 0
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if !t.throttled(now) && !t.runsFasterElsewhere(now) {
				continue
			}
			if s.hasBetterWorker(t, now, short) {
				t.movedFrom, t.mayReturnAt = w, now.Boot.Add(returnDelay)
				s.stopTask(t, now)
				moved++
			}
			if moved == maxRelocationsPerSearch {
				return
			}
		}
	}
}

// findBetter reports whether another worker would take the task.
func (s *Scheduler) hasBetterWorker(t *task, now Timestamp, short *searchCache) bool {
	if short.hasFailure(t.step) {
		return false
	}
	pool := short.eligibleWorkers(s.currentPolicy(t.job).Service, now)
	if s.bestWorker(t.step, pool, t.worker) != nil {
		return true
	}
	if s.bestWorker(t.step, pool, nil) == nil {
		short.addFailure(t.step)
	}
	return false
}

func (t *task) throttled(now Timestamp) bool {
	return t.step.BestEffort && t.step.Checkpointing && t.confirmed && t.stopOrderedAt == 0 && !t.done &&
		t.pace < throttledPace && t.percent < nearCompletion && now.Boot.Sub(t.paceSince) > throttledFor
}
