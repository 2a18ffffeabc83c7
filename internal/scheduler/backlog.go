package scheduler

import (
	"cmp"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// lateFactor is the multiple of its latency objective after which a job has no
// value any more.
const lateFactor = 3

// pendingStep is a step with unplaced tasks and the keys by which it is ordered.
type pendingStep struct {
	step         *step
	job          *job
	occurrence   int
	priority     int
	lateness     int // onTime, late or tooLate, from the estimated completion of the job
	deadline     bootclock.Instant
	valueDensity float64 // value of the job per remaining core-second
}

// Values of pendingStep.lateness.
const (
	onTime = iota
	late
	tooLate
)

// pendingSteps returns the steps with tasks that may start, most urgent first. It
// orders by priority, then by lateness, then by value per remaining core-second,
// which also prefers finishing started jobs to starting new ones. This order is
// meant for overload: with earliest deadline first, every job would finish a
// little late.
func (s *Scheduler) pendingSteps(now Timestamp) []pendingStep {
	unknownRuns := s.hasUnknownRuns()
	var pending []pendingStep
	for _, j := range s.activeJobs {
		if j.recovered && unknownRuns {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.open && st.unplaced > 0 {
					pending = append(pending, s.rankStep(j, o, st, now))
				}
			}
		}
	}
	slices.SortFunc(pending, func(a, b pendingStep) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(b.valueDensity, a.valueDensity), cmp.Compare(a.deadline, b.deadline),
			cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.step.number, b.step.number))
	})
	return pending
}

// hasUnknownRuns reports whether runs that an earlier leader ordered may be
// missing from the tables.
func (s *Scheduler) hasUnknownRuns() bool {
	for _, w := range s.workers {
		if w.mayHaveUnknownRuns {
			return true
		}
	}
	return false
}

// rankStep returns the step with its ordering keys. A long-running step is never late.
func (s *Scheduler) rankStep(j *job, o *occurrence, st *step, now Timestamp) pendingStep {
	policy := s.currentPolicy(j)
	start := j.submittedAt
	if j.Repetitions > 0 {
		start = now.Boot.Add(j.Due(o.number).Sub(now.Wall))
	}
	objective := time.Duration(policy.Stretch*float64(j.criticalPath(0))) + policy.LatencyAllowance
	p := pendingStep{step: st, job: j, occurrence: o.number, priority: policy.Priority, deadline: start.Add(objective), valueDensity: s.valueDensity(j, o)}
	if st.LongRunning {
		return p
	}
	end := now.Boot.Add(j.criticalPath(st.number))
	switch {
	case end.After(start.Add(lateFactor * objective)):
		p.lateness = tooLate
	case end.After(p.deadline):
		p.lateness = late
	}
	return p
}

// The value of a job is a fixed part plus a part proportional to its work relative
// to the mean of its queue, up to a limit.
const (
	fixedValue      = 0.3
	workValueWeight = 0.7
	maxValue        = 4.0
	// meanWorkSmoothing is the weight of a new job in the moving average of its
	// queue's work per job.
	meanWorkSmoothing = 0.1
)

// valueDensity returns the value of a job per core-second that remains in the
// occurrence.
func (s *Scheduler) valueDensity(j *job, o *occurrence) float64 {
	remaining := 0.0
	for _, st := range o.steps {
		remaining += float64(st.tasksLeft) * st.work()
	}
	mean := s.meanJobWork[j.Queue]
	if remaining <= 0 || mean <= 0 {
		return 0
	}
	return min(fixedValue+workValueWeight*j.work()/mean, maxValue) / remaining
}

// work returns the estimated work of one task in core-seconds.
func (st *step) work() float64 { return st.cores() * st.Estimate.Seconds() }

// work returns the estimated work of one occurrence of the job in core-seconds.
func (j *job) work() float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Count) * float64(j.Steps[i].Size.Processors) / 1000 * j.Steps[i].Estimate.Seconds()
	}
	return sum
}

// updateMeanWork adds the job to the moving average of its queue's work per job.
func (s *Scheduler) updateMeanWork(j *job) {
	work := j.work()
	if mean, ok := s.meanJobWork[j.Queue]; ok {
		work = mean + meanWorkSmoothing*(work-mean)
	}
	s.meanJobWork[j.Queue] = work
}

// criticalPath returns the estimated duration of the longest dependency chain
// among the steps numbered from and higher; 0 covers the whole job.
func (j *job) criticalPath(from int) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := from; i < len(j.Steps); i++ {
		for _, dependency := range j.Steps[i].After {
			if dependency >= from {
				ends[i] = max(ends[i], ends[dependency])
			}
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
