package scheduler

import (
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/workflow"
)

// Prefixes of the record keys: the job as submitted, and its progress.
const (
	jobPrefix      = "job/"
	progressPrefix = "progress/"
)

// JobKey returns the key of a job's record.
func JobKey(id workflow.JobID) string { return jobPrefix + string(id) }

// attemptsPerTerm separates the attempts that consecutive leaders order for a recovered
// task. Starts are not recorded, so a leader does not know which attempts its predecessors
// have ordered; without the separation two leaders could order the same one, and an agent's
// rejection of the first order would count for the second. Terms rise with each renewal in
// the store, and without them nothing starts for long.
const attemptsPerTerm = 1 << 14

// Flush returns the records of all jobs and stray leases that have changed since the last flush,
// and the number of this flush, which is passed to CommitFlush once the records
// are durable. The number is 0 if there is nothing to write.
func (s *Scheduler) Flush(now Timestamp) ([]durable.Record, uint64, error) {
	var records []durable.Record
	for _, j := range s.dirty {
		changed, err := s.progressRecords(j, now)
		if err != nil {
			return nil, 0, err
		}
		records = append(records, changed...)
	}
	strayLeases, err := s.flushStrayLeases(s.lastFlush + 1)
	if err != nil {
		return nil, 0, err
	}
	records = append(records, strayLeases...)
	if len(records) == 0 && !s.hasUnflushedEnds() {
		return nil, 0, nil
	}
	s.lastFlush++
	for _, j := range s.dirty {
		if j.state != j.durableState {
			j.stateFlush = s.lastFlush
			s.unflushedStates = append(s.unflushedStates, j)
		}
	}
	clear(s.dirty)
	return records, s.lastFlush, nil
}

// hasUnflushedEnds reports whether runs have ended since the last flush. Such an
// end may have changed no record, but it counts as durable only with the next
// flush, which is therefore needed even without records.
func (s *Scheduler) hasUnflushedEnds() bool {
	for _, w := range s.workers {
		if n := len(w.unflushedEnds); n > 0 && w.unflushedEnds[n-1].flush > s.lastFlush {
			return true
		}
	}
	return false
}

// RemoveExpired removes the jobs that finished more than FinishedRetention ago
// and returns the records that delete them from the store.
func (s *Scheduler) RemoveExpired(now Timestamp) []durable.Record {
	var records []durable.Record
	for id, j := range s.jobs {
		if j.durableState.Final() && j.placedTasks == 0 && now.Wall.Sub(j.finishedAt) > s.FinishedRetention {
			delete(s.jobs, id)
			records = append(records, durable.Record{Key: JobKey(id)}, durable.Record{Key: progressKey(id, 0)})
			records = append(records, j.parts.deletions(id)...)
		}
	}
	return records
}
