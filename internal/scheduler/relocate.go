package scheduler

import "time"

// Relocation moves tasks that are throttled or that run on a slow worker to a worker
// that can run them at full speed. Checkpointing tasks resume there from their
// checkpoint.

const (
	// A task throttled to a pace below throttledPace percent for throttledFor moves to
	// a better worker, unless it has completed nearCompletion percent of its work.
	throttledPace  = 50
	throttledFor   = 700 * time.Millisecond
	nearCompletion = 90
	// returnDelay prevents a task from returning to the worker that it was moved off,
	// whose readings improve once the task has left.
	returnDelay = 3 * time.Second
	// relocationInterval is the time between searches. The readings change no faster,
	// and a search examines every worker for every kind of throttled task.
	relocationInterval = 100 * time.Millisecond
	// maxRelocationsPerSearch limits the moves that are based on the same readings.
	maxRelocationsPerSearch = 10
)

// relocate stops tasks that are throttled or that would finish earlier elsewhere, if
// another worker has capacity for them and its latency-critical tasks tolerate them.
func (s *Scheduler) relocate(now Timestamp, cache *searchCache) {
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
			if s.hasBetterWorker(t, now, cache) {
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

// hasBetterWorker reports whether the task can be placed on another worker.
func (s *Scheduler) hasBetterWorker(t *task, now Timestamp, cache *searchCache) bool {
	if cache.hasFailure(t.step) {
		return false
	}
	pool := cache.eligibleWorkers(s.currentPolicy(t.job).Service, now)
	if s.bestWorker(t.step, pool, t.worker) != nil {
		return true
	}
	if s.bestWorker(t.step, pool, nil) == nil {
		cache.addFailure(t.step)
	}
	return false
}

// throttled reports whether the agent has throttled the task long enough to move it.
func (t *task) throttled(now Timestamp) bool {
	return t.step.BestEffort && t.step.Checkpointing && t.isListed() && t.stopOrderedAt == 0 && !t.done &&
		t.pace < throttledPace && t.percent < nearCompletion && now.Boot.Sub(t.paceSince) > throttledFor
}
