package scheduler

import (
	"cmp"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// lateFactor is how many times its objective a job may take and still be worth
// something.
const lateFactor = 3

// urgency orders the waiting steps.
type pendingStep struct {
	step         *step
	job          *job
	occurrence   int
	priority     int
	lateness     int // 0 can still be in time, 1 can be late, 2 is worth nothing any more
	deadline     bootclock.Instant
	valueDensity float64 // worth of the job for each core-second that is left of it
}

// The grades of urgency.
const (
	onTime = iota
	late
	tooLate
)

// backlog returns the steps with tasks that may start, the most urgent first:
// by priority, then those that can still be in time before those that can't,
// then those that are worth most for the work that is left, which also ends
// what has begun before it begins more. The load it answers is more work than
// the workers hold: by deadline alone every job would end a little late.
func (s *Scheduler) pendingSteps(now Timestamp) []pendingStep {
	unsettled := s.hasUnknownRuns()
	var waiting []pendingStep
	for _, j := range s.activeJobs {
		if j.recovered && unsettled {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.open && st.unplaced > 0 {
					waiting = append(waiting, s.rankStep(j, o, st, now))
				}
			}
		}
	}
	slices.SortFunc(waiting, func(a, b pendingStep) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(b.valueDensity, a.valueDensity), cmp.Compare(a.deadline, b.deadline),
			cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.step.number, b.step.number))
	})
	return waiting
}

// unsettled reports whether runs of an earlier scheduler may be missing in the
// tables.
func (s *Scheduler) hasUnknownRuns() bool {
	for _, w := range s.workers {
		if w.mayHaveUnknownRuns {
			return true
		}
	}
	return false
}

func (s *Scheduler) rankStep(j *job, o *occurrence, st *step, now Timestamp) pendingStep {
	policy := s.currentPolicy(j)
	begin := j.submittedAt
	if j.Repetitions > 0 {
		begin = now.Boot.Add(j.Due(o.number).Sub(now.Wall))
	}
	objective := time.Duration(policy.Stretch*float64(j.criticalPath(0))) + policy.LatencyAllowance
	u := pendingStep{step: st, job: j, occurrence: o.number, priority: policy.Priority, deadline: begin.Add(objective), valueDensity: s.valueDensity(j, o)}
	if st.LongRunning {
		return u
	}
	end := now.Boot.Add(j.criticalPath(st.number))
	switch {
	case end.After(begin.Add(lateFactor * objective)):
		u.lateness = tooLate
	case end.After(u.deadline):
		u.lateness = late
	}
	return u
}

// The worth of a job: a fixed part, and a part in proportion to its work
// relative to the mean of its queue, up to a limit.
const (
	fixedValue = 0.3
	workValue  = 0.7
	maxValue   = 4.0
	// meanFollow is the weight of a new job in the mean of its queue.
	meanWorkSmoothing = 0.1
)

// density returns the worth of a job for each core-second that is left.
func (s *Scheduler) valueDensity(j *job, o *occurrence) float64 {
	left := 0.0
	for _, st := range o.steps {
		left += float64(st.tasksLeft) * st.work()
	}
	mean := s.meanJobWork[j.Queue]
	if left <= 0 || mean <= 0 {
		return 0
	}
	return min(fixedValue+workValue*j.work()/mean, maxValue) / left
}

// work returns the estimated core-seconds of one task.
func (st *step) work() float64 { return st.cores() * st.Estimate.Seconds() }

func (j *job) work() float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Count) * float64(j.Steps[i].Size.Processors) / 1000 * j.Steps[i].Estimate.Seconds()
	}
	return sum
}

// learnWork follows the mean work of the jobs of a queue.
func (s *Scheduler) updateMeanWork(j *job) {
	work := j.work()
	if mean, known := s.meanJobWork[j.Queue]; known {
		work = mean + meanWorkSmoothing*(work-mean)
	}
	s.meanJobWork[j.Queue] = work
}

// chain returns the longest chain of estimated work from step from on; 0 is
// the whole job.
func (j *job) criticalPath(from int) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := from; i < len(j.Steps); i++ {
		for _, before := range j.Steps[i].After {
			if before >= from {
				ends[i] = max(ends[i], ends[before])
			}
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
