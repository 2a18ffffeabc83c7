package scheduler

import (
	"slices"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// placePending places the pending tasks, most urgent first, and returns the steps
// that still have unplaced tasks. A step that does not fit does not block the
// others: smaller or less urgent tasks may use the remaining capacity.
func (s *Scheduler) placePending(now Timestamp, cache *searchCache) []pendingStep {
	var unplaced []pendingStep
	for _, p := range s.pendingSteps(now) {
		policy := s.currentPolicy(p.job)
		pool := cache.eligibleWorkers(policy.Service, now)
		if policy.Advice != nil {
			pool = s.workersWithTicket(p.step, pool, now)
		}
		before := p.step.unplaced
		if p.step.Gang {
			s.placeGang(p.step, pool, now)
		} else if !cache.hasFailure(p.step) {
			s.placeStep(p.step, pool, now)
			if p.step.unplaced > 0 && policy.Advice == nil {
				cache.addFailure(p.step)
			}
		}
		if placed := before - p.step.unplaced; placed > 0 {
			klog.InfoS("tasks placed", "job", p.job.ID, "occurrence", p.occurrence, "step", p.step.number, "placed", placed,
				"waiting", p.step.unplaced, "grade", p.lateness, "workers", len(pool))
		}
		if p.step.unplaced > 0 {
			unplaced = append(unplaced, p)
		}
	}
	return unplaced
}

// eligibleWorkers returns the workers that may receive new tasks of a service.
// Workers that are avoided after failures are excluded unless they are the
// majority, since then the tasks are at fault and not the workers.
func (s *Scheduler) eligibleWorkers(service units.ServiceName, now Timestamp) []*worker {
	var pool, avoided []*worker
	for _, w := range s.workers {
		if !s.mayReceive(w, service) {
			continue
		}
		if now.Boot.Before(w.retryAt) {
			avoided = append(avoided, w)
		} else {
			pool = append(pool, w)
		}
	}
	if len(avoided) > len(pool) {
		return append(pool, avoided...)
	}
	return pool
}

// mayReceive reports whether tasks of the service may start on w, if it has room.
func (s *Scheduler) mayReceive(w *worker, service units.ServiceName) bool {
	return w.attached && w.synced && w.granted && s.strayLeaseIsDurable(w.id) && !w.runner.Draining && w.runner.Service == service && !s.operatorState.OutOfService[w.runner.Domain]
}

// placeStep places the tasks of a step one by one. The tasks are equal, so it stops
// at the first one that fits on no worker.
func (s *Scheduler) placeStep(st *step, pool []*worker, now Timestamp) {
	for _, t := range st.tasks {
		if st.unplaced == 0 {
			return
		}
		if t.done || t.worker != nil {
			continue
		}
		w := s.bestWorker(st, pool, t.excludedWorker(now))
		if w == nil {
			return
		}
		s.startTask(t, w, s.nextAttempt(t), now)
	}
}

// excludedWorker returns the worker that the task was recently moved off, or nil.
func (t *task) excludedWorker(now Timestamp) *worker {
	if now.Boot.Before(t.mayReturnAt) {
		return t.movedFrom
	}
	return nil
}

// nextAttempt returns the attempt number of the task's next run. No other leader orders the
// same one. It stays the same until the run is placed.
func (s *Scheduler) nextAttempt(t *task) workflow.Attempt {
	if t.job.recovered {
		return max(t.highestAttempt, workflow.Attempt(s.Term*attemptsPerTerm)) + 1
	}
	return t.highestAttempt + 1
}

// startTask places the task on w and queues its start order.
func (s *Scheduler) startTask(t *task, w *worker, attempt workflow.Attempt, now Timestamp) {
	t.assign(w, attempt)
	t.orderedAt = now.Boot
	s.recordEvent(t, startOrdered, w.reportSequence, "", now)
	if t.step.BestEffort {
		s.predictLoss(w, t.step.Image, t.step.cores())
	}
	w.orders.starts = append(w.orders.starts, t)
}

// bestWorker returns the worker with the highest score that has capacity for a
// task of the step, or nil if there is none. It never returns excluded.
func (s *Scheduler) bestWorker(st *step, pool []*worker, excluded *worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range pool {
		if w == excluded || !w.fits(st) || st.BestEffort && !s.mayPlaceBestEffort(w, st) {
			continue
		}
		if score := s.score(w, st); best == nil || score > bestScore || score == bestScore && w.id < best.id {
			best, bestScore = w, score
		}
	}
	return best
}

func (w *worker) fits(st *step) bool {
	return st.reservation().Fits(w.capacity.Sub(w.used)) && w.satisfies(st)
}

// satisfies reports whether w meets the step's constraints, regardless of free
// capacity.
func (w *worker) satisfies(st *step) bool {
	if st.RequiredLabel != "" && !slices.Contains(w.runner.Labels, st.RequiredLabel) {
		return false
	}
	return st.AntiAffinity == 0 || w.countTasks(st) < st.AntiAffinity
}

// countTasks returns the number of the step's tasks on w.
func (w *worker) countTasks(st *step) int {
	n := 0
	for _, t := range w.tasks {
		if t.step == st {
			n++
		}
	}
	return n
}

// The weights of a worker's score, to which each kind of free resource contributes
// between 0 and 1.
const (
	interferenceWeight = 1.0 // per unit of service rate that a best-effort task takes from a latency-critical one
	// sensitivityWeight prefers workers whose latency-critical tasks are sensitive
	// to interference for best-effort tasks that cause little of it, so that other
	// workers keep capacity for tasks that cause more. At 1 it outweighs the
	// interference of the task itself.
	sensitivityWeight = 0.5
	bestEffortPenalty = 0.5 // per best-effort task on the worker
	sameStepPenalty   = 1.0 // per task of the same step, so that long-running tasks do not fail together
	sameImageWeight   = 2.0 // for latency-critical tasks of the same image
	dataRackBonus     = 1.0 // for the rack that holds the data
)

// score rates w for a task of the step; the highest score is the best.
func (s *Scheduler) score(w *worker, st *step) float64 {
	free := w.capacity.Sub(w.used)
	score := ratio(int64(free.Processors), int64(w.capacity.Processors)) + ratio(int64(free.Memory), int64(w.capacity.Memory))
	if st.BestEffort {
		score = w.bestEffortCores()/w.cores() - s.interferencePenalty(w, st) + sensitivityWeight*interferenceWeight*w.usage.sensitivity*st.cores()
	}
	if st.LatencyTarget > 0 {
		return score - bestEffortPenalty*float64(w.bestEffort) + w.imageAffinity(st)
	}
	if st.LongRunning {
		score -= sameStepPenalty * float64(w.countTasks(st))
	}
	if st.DataRack != "" && st.DataRack == w.rack || st.SameRack && st.runsIn(w.rack) {
		score += dataRackBonus
	}
	return score
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// imageAffinity returns a score that prefers workers whose latency-critical tasks
// have the step's image. Best-effort tasks are limited by the latency-critical
// task that they slow down most, so a worker with a single image can run the
// best-effort tasks that do not interfere with that image at full speed.
func (w *worker) imageAffinity(st *step) float64 {
	if w.latencyCritical == 0 {
		return 0
	}
	same := 0
	for _, t := range w.tasks {
		if t.step.LatencyTarget > 0 && t.step.Image == st.Image {
			same++
		}
	}
	share := float64(same) / float64(w.latencyCritical)
	return sameImageWeight * (2*share - 1)
}

// interferencePenalty returns the weighted service rate that a task of the step
// takes from the latency-critical task on w that it slows down most.
func (s *Scheduler) interferencePenalty(w *worker, st *step) float64 {
	return interferenceWeight * s.headroomFor(w, st.Image).lossPerCore * st.cores()
}

// runsIn reports whether a task of the step is placed in the rack.
func (st *step) runsIn(rack string) bool {
	for _, t := range st.tasks {
		if t.worker != nil && t.worker.rack == rack {
			return true
		}
	}
	return false
}
