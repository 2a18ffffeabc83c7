package workflow

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// Limits of a job. They keep every sum and product of its fields, also over all tasks and
// occurrences, within the range of its type.
const (
	maxSpecBytes = 4000
	maxSteps     = 256
	maxTasks     = 100_000
	// maxRepetitions allows for one occurrence a minute during two years.
	maxRepetitions = 1 << 20
	// maxDuration limits each duration of a job, in particular the interval of its
	// occurrences.
	maxDuration = 366 * 24 * time.Hour
	// maxSchedule limits the time from the first to the last occurrence.
	maxSchedule = 100 * maxDuration
	// maxProcessors, maxMemory and maxAccelerators limit the size of a task.
	maxProcessors   units.Millicores = 1e9
	maxMemory       units.Bytes      = 1 << 53
	maxAccelerators                  = 1 << 20
	// maxDueYear is the last year whose times every encoding of a record can represent.
	maxDueYear = 9999
)

// Validate returns an error that describes the first reason to reject the job, or nil.
func (j *Job) Validate() error {
	if len(j.Spec) > maxSpecBytes {
		return fmt.Errorf("spec has %d bytes; at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("job has %d steps; want 1 to %d", len(j.Steps), maxSteps)
	}
	if err := j.validateTimes(); err != nil {
		return err
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += j.Steps[i].Count // no overflow: each count is at most maxTasks
	}
	if tasks > maxTasks {
		return fmt.Errorf("job has %d tasks; at most %d are allowed", tasks, maxTasks)
	}
	return nil
}

func (j *Job) validateTimes() error {
	if j.Repetitions < 0 || j.Repetitions > maxRepetitions {
		return fmt.Errorf("job runs %d times; want 0 to %d", j.Repetitions, maxRepetitions)
	}
	if j.Repetitions == 0 {
		return nil
	}
	if j.Interval < 0 || j.Interval > maxDuration {
		return fmt.Errorf("occurrences every %v are not allowed; want 0 to %v", j.Interval, maxDuration)
	}
	if j.Interval > 0 && j.Repetitions > int(maxSchedule/j.Interval) {
		return fmt.Errorf("%d occurrences every %v last longer than %v", j.Repetitions, j.Interval, maxSchedule)
	}
	if year := j.FirstDue.Year(); year < 1970 || year > maxDueYear {
		return fmt.Errorf("first occurrence is due in the year %d; want 1970 to %d", year, maxDueYear)
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("count is %d; want 1 to %d", s.Count, maxTasks)
	}
	if s.Size.Processors < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 {
		return fmt.Errorf("size %v is negative", s.Size)
	}
	if s.Size.Processors > maxProcessors || s.Size.Memory > maxMemory || s.Size.Accelerators > maxAccelerators {
		return fmt.Errorf("size %v is above the limit of %d millicores, %d bytes and %d accelerators", s.Size, maxProcessors, maxMemory, maxAccelerators)
	}
	if s.Estimate < 0 || s.Estimate > maxDuration || s.LatencyTarget < 0 || s.LatencyTarget > maxDuration {
		return fmt.Errorf("estimate is %v and latency target is %v; want 0 to %v", s.Estimate, s.LatencyTarget, maxDuration)
	}
	if s.AntiAffinity < 0 || s.AntiAffinity > maxTasks || s.MaxUnavailable < 0 || s.MaxUnavailable > maxTasks {
		return fmt.Errorf("at most %d tasks on a worker and %d unavailable ones; want 0 to %d", s.AntiAffinity, s.MaxUnavailable, maxTasks)
	}
	if len(s.After) > maxSteps {
		return fmt.Errorf("depends on %d steps; at most %d are allowed", len(s.After), maxSteps)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= number {
			return fmt.Errorf("depends on step %d, which is not an earlier one", dependency)
		}
	}
	return nil
}
