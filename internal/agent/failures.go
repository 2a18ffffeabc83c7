package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// maxConsecutiveFailures is the number of consecutive failed attempts of
	// different jobs at which the worker is suspected instead of the jobs.
	maxConsecutiveFailures = 5
	// minSuspectBackoff and maxSuspectBackoff bound the time for which a suspected
	// worker rejects tasks. Every further failure doubles it.
	minSuspectBackoff = 30 * time.Second
	maxSuspectBackoff = 10 * time.Minute
)

// failureRecord tracks consecutive failures of attempts on the worker.
type failureRecord struct {
	jobs           []units.JobID // distinct jobs of the latest consecutive failures
	backoff        time.Duration
	suspectedUntil time.Time
}

// record records the end of an attempt. A completed attempt clears the record.
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
		// Keep all but one, so that a single failure after the backoff makes the
		// worker suspected again.
		f.jobs = append(f.jobs[:0:0], f.jobs[len(f.jobs)-maxConsecutiveFailures+1:]...)
	}
}

func (f *failureRecord) suspected(now time.Time) bool { return now.Before(f.suspectedUntil) }
