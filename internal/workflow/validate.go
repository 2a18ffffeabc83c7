package workflow

import "fmt"

// Limits of a job.
const (
	maxSpecBytes = 4000
	maxSteps     = 256
	maxTasks     = 100_000
)

// Validate returns an error that describes the first reason to reject the job, or nil.
func (j *Job) Validate() error {
	if len(j.Spec) > maxSpecBytes {
		return fmt.Errorf("spec has %d bytes; at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("job has %d steps; want 1 to %d", len(j.Steps), maxSteps)
	}
	if j.Repetitions < 0 || j.Repetitions > 0 && j.Interval < 0 {
		return fmt.Errorf("%d occurrences every %v are not allowed", j.Repetitions, j.Interval)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += j.Steps[i].Count
	}
	if tasks > maxTasks {
		return fmt.Errorf("job has %d tasks; at most %d are allowed", tasks, maxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 {
		return fmt.Errorf("count is %d; want at least 1", s.Count)
	}
	if s.Size.Processors < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 {
		return fmt.Errorf("size %v is negative", s.Size)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= number {
			return fmt.Errorf("depends on step %d, which is not an earlier one", dependency)
		}
	}
	return nil
}
