package scheduler

import (
	"slices"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// place gives waiting tasks to workers, the most urgent first, and returns the
// steps that found no room for all their tasks. What does not fit waits; smaller
// or less urgent work may take the room that is left.
func (s *Scheduler) placePending(now Timestamp, short *searchCache) []pendingStep {
	var without []pendingStep
	for _, u := range s.pendingSteps(now) {
		policy := s.currentPolicy(u.job)
		pool := short.eligibleWorkers(policy.Service, now)
		if policy.Advice != nil {
			pool = s.workersWithTicket(u.step, pool, now)
		}
		waiting := u.step.unplaced
		if u.step.Gang {
			s.placeGang(u.step, pool, now)
		} else if !short.hasFailure(u.step) {
			s.placeStep(u.step, pool, now)
			if u.step.unplaced > 0 && policy.Advice == nil {
				short.addFailure(u.step)
			}
		}
		if placed := waiting - u.step.unplaced; placed > 0 {
			klog.InfoS("tasks placed", "job", u.job.ID, "occurrence", u.occurrence, "step", u.step.number, "placed", placed,
				"waiting", u.step.unplaced, "grade", u.lateness, "workers", len(pool))
		}
		if u.step.unplaced > 0 {
			without = append(without, u)
		}
	}
	return without
}

// pool returns the workers that may get new tasks of a service. Those that have
// failed lately are left out, unless they are most: then the work fails, not
// the workers.
func (s *Scheduler) eligibleWorkers(service units.ServiceName, now Timestamp) []*worker {
	var pool, avoided []*worker
	for _, w := range s.workers {
		if !w.attached || !w.synced || w.runner.Draining || w.runner.Service != service || s.operatorState.Out[w.runner.Domain] {
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

// placeStep places the tasks of a step one by one. The tasks are equal, so the
// first that finds no room ends the attempt.
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
		s.startTask(t, w, t.nextAttempt())
	}
}

// slowedBy returns the worker that slowed the task a moment ago, or nil.
func (t *task) excludedWorker(now Timestamp) *worker {
	if now.Boot.Before(t.mayReturnAt) {
		return t.movedFrom
	}
	return nil
}

func (t *task) nextAttempt() workflow.Attempt {
	if t.job.recovered && !t.renumbered {
		t.renumbered = true
		return t.highestAttempt + attemptGap
	}
	return t.highestAttempt + 1
}

func (s *Scheduler) startTask(t *task, w *worker, attempt workflow.Attempt) {
	t.assign(w, attempt)
	if t.step.BestEffort {
		s.predictLoss(w, t.step.Image, t.step.cores())
	}
	w.orders.starts = append(w.orders.starts, t)
}

// choose returns the best worker but one with room for a task of the step, or nil.
func (s *Scheduler) bestWorker(st *step, pool []*worker, but *worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range pool {
		if w == but || !w.fits(st) || st.BestEffort && !s.mayPlaceBestEffort(w, st) {
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

// accepts reports whether a task of the step may run on w, whatever its size.
func (w *worker) satisfies(st *step) bool {
	if st.RequiredLabel != "" && !slices.Contains(w.runner.Labels, st.RequiredLabel) {
		return false
	}
	return st.AntiAffinity == 0 || w.countTasks(st) < st.AntiAffinity
}

// count returns the tasks of the step on w.
func (w *worker) countTasks(st *step) int {
	n := 0
	for _, t := range w.tasks {
		if t.step == st {
			n++
		}
	}
	return n
}

// The weights of a worker's score. Free room counts between 0 and 1.
const (
	interferenceWeight = 1.0 // rate that a task that fills takes from a serving task
	// sensitivityWeight sends work that fills and harms little to workers whose
	// serving tasks bear little of the rest, so that room is left elsewhere for
	// what harms. At 1 it outweighs the task's own harm there.
	sensitivityWeight = 0.5
	bestEffortPenalty = 0.5 // for each task that fills
	sameStepPenalty   = 1.0 // long-running tasks of a step should not fail together
	sameImageWeight   = 2.0 // serving tasks of the same image
	dataRackBonus     = 1.0 // the rack of the data
)

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

// kinship prefers workers whose serving tasks are of the same image. What
// fills beside them is bounded by the one that it harms most, so a worker of
// one image can take what is harmless to that image at full speed.
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

// harm returns the rate that a task of the step takes from the serving task that
// suffers most, weighed.
func (s *Scheduler) interferencePenalty(w *worker, st *step) float64 {
	return interferenceWeight * s.headroomFor(w, st.Image).lossPerCore * st.cores()
}

// runsIn reports whether a task of the step runs in the rack.
func (st *step) runsIn(rack string) bool {
	for _, t := range st.tasks {
		if t.worker != nil && t.worker.rack == rack {
			return true
		}
	}
	return false
}
