package scheduler

import (
	"cmp"
	"slices"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/pkg/units"
)

// Preemption answers the load at which less urgent work holds the room that more
// urgent work needs: waiting for it to end would make the urgent work late. It
// stops the tasks whose loss is smallest, and only where that makes room. The
// urgent task starts when the runner has confirmed the stops.

const (
	// preemptionsAtOnce bounds the tasks that one run of the rules stops, so that a
	// burst of urgent work does not empty all workers before its first tasks start.
	maxPreemptionsPerTick = 20
	// preemptionCost is what a stop and a new start take of a task's processors, in
	// seconds.
	preemptionCostSeconds = 0.3
)

// preempt stops less urgent tasks for the steps that found no room, the most
// urgent first.
func (s *Scheduler) preempt(waiting []pendingStep, now Timestamp, short *searchCache) {
	if len(waiting) == 0 {
		return
	}
	least := s.lowestRunningPriority()
	stops := 0
	reserved := make(map[*worker]units.Resources)
	for _, u := range waiting {
		if u.priority >= least || u.step.Gang || u.step.BestEffort || u.lateness != onTime || s.currentPolicy(u.job).Advice != nil {
			continue
		}
		for range u.step.unplaced {
			w, victims := s.cheapestPreemption(u, short.eligibleWorkers(s.currentPolicy(u.job).Service, now), reserved)
			if w == nil || stops+len(victims) > maxPreemptionsPerTick {
				break // the other tasks of the step are equal
			}
			reserved[w] = reserved[w].Add(u.step.reservation())
			for _, t := range victims {
				klog.InfoS("task is preempted", "task", t.id.String(), "attempt", t.attempt, "worker", w.id, "percent", t.percent, "for", u.job.ID, "priority", u.priority)
				s.stopTask(t, now)
				stops++
			}
		}
	}
}

// leastUrgent returns the priority of the least urgent job that runs; a higher
// number is less urgent.
func (s *Scheduler) lowestRunningPriority() int {
	least := 0
	for _, j := range s.activeJobs {
		if j.placedTasks > 0 {
			least = max(least, s.currentPolicy(j).Priority)
		}
	}
	return least
}

// cheapest returns the worker on which the step gets room at the smallest loss,
// and the tasks to stop there; none when stops that are under way make the room.
func (s *Scheduler) cheapestPreemption(u pendingStep, pool []*worker, reserved map[*worker]units.Resources) (*worker, []*task) {
	var best *worker
	var bestVictims []*task
	lowest := 0.0
	for _, w := range pool {
		if !w.satisfies(u.step) {
			continue
		}
		victims, loss, ok := s.victims(w, u, reserved[w])
		if ok && (best == nil || loss < lowest || loss == lowest && w.id < best.id) {
			best, bestVictims, lowest = w, victims, loss
		}
	}
	return best, bestVictims
}

// victims returns the less urgent tasks to stop on w so that a task of the step
// fits beside what is reserved, those of the smallest loss first, and their loss.
func (s *Scheduler) victims(w *worker, u pendingStep, reserved units.Resources) (stops []*task, loss float64, ok bool) {
	free := w.capacity.Sub(w.used).Sub(reserved)
	var running []*task
	for _, t := range w.tasks {
		switch {
		case t.stopOrderedAt != 0:
			free = free.Add(t.step.reservation())
		case s.preemptible(t, u.priority):
			running = append(running, t)
		}
	}
	slices.SortFunc(running, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.preemptionLoss(), b.preemptionLoss()), cmp.Compare(a.id.String(), b.id.String()))
	})
	for _, t := range running {
		if u.step.reservation().Fits(free) {
			break
		}
		free = free.Add(t.step.reservation())
		stops = append(stops, t)
	}
	if !u.step.reservation().Fits(free) {
		return nil, 0, false
	}
	// What holds none of the resource that is short is stopped for nothing.
	stops = slices.DeleteFunc(stops, func(t *task) bool {
		without := free.Sub(t.step.reservation())
		if !u.step.reservation().Fits(without) {
			return false
		}
		free = without
		return true
	})
	for _, t := range stops {
		loss += t.preemptionLoss()
	}
	return stops, loss, true
}

// preemptible reports whether a task may be stopped for work of the priority.
// Tasks that last have users of their own, and a gang would lose all its members.
func (s *Scheduler) preemptible(t *task, priority int) bool {
	return t.confirmed && !t.done && !t.step.LongRunning && !t.step.Gang && t.percent < nearCompletion && s.currentPolicy(t.job).Priority > priority
}

// loss returns the core-seconds that a stop of the task throws away. A task that
// checkpoints also saves when it is stopped.
func (t *task) preemptionLoss() float64 {
	loss := preemptionCostSeconds * t.step.cores()
	if !t.step.Checkpointing {
		loss += t.step.work() * float64(t.percent) / 100
	}
	return loss
}
