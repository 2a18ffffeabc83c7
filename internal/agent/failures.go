package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// failuresInRow is how many attempts in a row of different jobs must fail
	// before the worker, not the jobs, is suspected.
	failuresInRow = 5
	// firstPause and longestPause bound how long a suspected worker gets
	// nothing; every further failure doubles the pause.
	firstPause   = 30 * time.Second
	longestPause = 10 * time.Minute
)

// failures is the worker's failure record.
type failures struct {
	jobs  []units.JobID // of the latest failures in a row, distinct
	pause time.Duration
	until time.Time
}

func (f *failures) ended(job units.JobID, outcome wire.Outcome, now time.Time) {
	if outcome == wire.Outcome_OUTCOME_COMPLETED {
		*f = failures{}
	}
	if outcome != wire.Outcome_OUTCOME_FAILED {
		return
	}
	for _, known := range f.jobs {
		if known == job {
			return
		}
	}
	f.jobs = append(f.jobs, job)
	if len(f.jobs) >= failuresInRow {
		f.pause = min(max(2*f.pause, firstPause), longestPause)
		f.until = now.Add(f.pause)
		// One more failure after the pause suspects the worker again.
		f.jobs = append(f.jobs[:0:0], f.jobs[len(f.jobs)-failuresInRow+1:]...)
	}
}

func (f *failures) suspected(now time.Time) bool { return now.Before(f.until) }
