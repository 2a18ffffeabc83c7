package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// failuresInRow is how many attempts in a row of different jobs must fail
	// before the worker, not the jobs, is suspected.
	maxConsecutiveFailures = 5
	// firstPause and longestPause bound how long a suspected worker gets
	// nothing; every further failure doubles the pause.
	minSuspectBackoff = 30 * time.Second
	maxSuspectBackoff = 10 * time.Minute
)

// failures is the worker's failure record.
type failureRecord struct {
	jobs           []units.JobID // of the latest failures in a row, distinct
	backoff        time.Duration
	suspectedUntil time.Time
}

func (f *failureRecord) record(job units.JobID, outcome wire.Outcome, now time.Time) {
	if outcome == wire.Outcome_OUTCOME_COMPLETED {
		*f = failureRecord{}
	}
	if outcome != wire.Outcome_OUTCOME_FAILED {
		return
	}
	for _, seen := range f.jobs {
		if seen == job {
			return
		}
	}
	f.jobs = append(f.jobs, job)
	if len(f.jobs) >= maxConsecutiveFailures {
		f.backoff = min(max(2*f.backoff, minSuspectBackoff), maxSuspectBackoff)
		f.suspectedUntil = now.Add(f.backoff)
		// One more failure after the pause suspects the worker again.
		f.jobs = append(f.jobs[:0:0], f.jobs[len(f.jobs)-maxConsecutiveFailures+1:]...)
	}
}

func (f *failureRecord) suspected(now time.Time) bool { return now.Before(f.suspectedUntil) }
