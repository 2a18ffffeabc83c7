package scheduler

import (
	"cmp"
	"slices"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/pkg/units"
)

// Preemption is for the case that less urgent tasks occupy the capacity that more
// urgent tasks need, and that waiting for them to finish would make the urgent tasks
// late. It stops the tasks with the smallest loss of work, and only if the urgent task
// then fits. The urgent task starts once the runner has confirmed the stops.

const (
	// maxPreemptionsPerTick limits the tasks that one tick stops, so that a burst of
	// urgent tasks does not empty all workers before the first of them start.
	maxPreemptionsPerTick = 20
	// preemptionCostSeconds is the time for which a stop and a restart occupy a task's
	// processors without progress.
	preemptionCostSeconds = 0.3
)

// preempt stops less urgent tasks to make capacity for the steps that have unplaced
// tasks, most urgent first. It stops none for a job that would be late even if the
// step started now, nor for gangs, best-effort steps and steps that need advice.
func (s *Scheduler) preempt(unplaced []pendingStep, now Timestamp, cache *searchCache) {
	if len(unplaced) == 0 {
		return
	}
	maxPriority := s.maxRunningPriority()
	stops := 0
	reserved := make(map[*worker]units.Resources)
	for _, p := range unplaced {
		if p.priority >= maxPriority || p.step.Gang || p.step.BestEffort || p.lateness != onTime || s.currentPolicy(p.job).Advice != nil {
			continue
		}
		for range p.step.unplaced {
			w, victims := s.cheapestPreemption(p, cache.eligibleWorkers(s.currentPolicy(p.job).Service, now), reserved)
			if w == nil || stops+len(victims) > maxPreemptionsPerTick {
				break // the other tasks of the step are equal
			}
			reserved[w] = reserved[w].Add(p.step.reservation())
			for _, t := range victims {
				klog.InfoS("task is preempted", "task", t.id.String(), "attempt", t.attempt, "worker", w.id, "percent", t.percent, "for", p.job.ID, "priority", p.priority)
				s.stopTask(t, now)
				stops++
			}
		}
	}
}

// maxRunningPriority returns the priority number of the least urgent running job; a
// higher number is less urgent.
func (s *Scheduler) maxRunningPriority() int {
	maxPriority := 0
	for _, j := range s.activeJobs {
		if j.placedTasks > 0 {
			maxPriority = max(maxPriority, s.currentPolicy(j).Priority)
		}
	}
	return maxPriority
}

// cheapestPreemption returns the worker on which a task of the step can be placed at
// the smallest loss of work, and the tasks to stop there. No tasks are returned if the
// capacity suffices once pending stops have ended.
func (s *Scheduler) cheapestPreemption(p pendingStep, pool []*worker, reserved map[*worker]units.Resources) (*worker, []*task) {
	var best *worker
	var bestVictims []*task
	lowestLoss := 0.0
	for _, w := range pool {
		if !w.satisfies(p.step) {
			continue
		}
		victims, loss, ok := s.victims(w, p, reserved[w])
		if ok && (best == nil || loss < lowestLoss || loss == lowestLoss && w.id < best.id) {
			best, bestVictims, lowestLoss = w, victims, loss
		}
	}
	return best, bestVictims
}

// victims returns the less urgent tasks to stop on w, smallest loss first, so that a
// task of the step fits in addition to reserved, and their total loss. ok is false if
// it does not fit even then.
func (s *Scheduler) victims(w *worker, p pendingStep, reserved units.Resources) (stops []*task, loss float64, ok bool) {
	free := w.capacity.Sub(w.used).Sub(reserved)
	var running []*task
	for _, t := range w.tasks {
		switch {
		case t.stopOrderedAt != 0:
			free = free.Add(t.step.reservation())
		case s.preemptible(t, p.priority):
			running = append(running, t)
		}
	}
	slices.SortFunc(running, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.preemptionLoss(), b.preemptionLoss()), cmp.Compare(a.id.String(), b.id.String()))
	})
	for _, t := range running {
		if p.step.reservation().Fits(free) {
			break
		}
		free = free.Add(t.step.reservation())
		stops = append(stops, t)
	}
	if !p.step.reservation().Fits(free) {
		return nil, 0, false
	}
	// Keep the tasks that occupy none of the scarce resource: stopping them is useless.
	stops = slices.DeleteFunc(stops, func(t *task) bool {
		remaining := free.Sub(t.step.reservation())
		if !p.step.reservation().Fits(remaining) {
			return false
		}
		free = remaining
		return true
	})
	for _, t := range stops {
		loss += t.preemptionLoss()
	}
	return stops, loss, true
}

// preemptible reports whether a task may be stopped for a task of the given priority.
// Long-running tasks are excluded because users depend on them, and gangs because the
// stop of one member stops all of them.
func (s *Scheduler) preemptible(t *task, priority int) bool {
	return t.isListed() && !t.done && !t.step.LongRunning && !t.step.Gang && t.percent < nearCompletion && s.currentPolicy(t.job).Priority > priority
}

// preemptionLoss returns the core-seconds of work that are lost if the task is stopped.
// A checkpointing task loses no progress, because it also saves when it is stopped.
func (t *task) preemptionLoss() float64 {
	loss := preemptionCostSeconds * t.step.cores()
	if !t.step.Checkpointing {
		loss += t.step.work() * float64(t.percent) / 100
	}
	return loss
}
