package scheduler

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
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
func (s *Scheduler) Flush() ([]durable.Record, uint64, error) {
	var records []durable.Record
	for id, j := range s.dirty {
		value, err := proto.Marshal(j.progress())
		if err != nil {
			return nil, 0, err
		}
		records = append(records, durable.Record{Key: progressPrefix + string(id), Value: value})
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

func (j *job) progress() *wire.ProgressRecord {
	record := &wire.ProgressRecord{State: string(j.state), Completed: int32(j.completed)}
	if !j.finishedAt.IsZero() {
		record.EndedUnixMs = j.finishedAt.UnixMilli()
		return record
	}
	for _, o := range j.occurrences {
		record.Occurrences = append(record.Occurrences, o.progress())
	}
	for number := range j.endedEarly {
		record.EndedEarly = append(record.EndedEarly, int32(number))
	}
	return record
}

func (o *occurrence) progress() *wire.OccurrenceProgress {
	record := &wire.OccurrenceProgress{Number: int32(o.number)}
	for _, st := range o.steps {
		if p := st.progress(); p != nil {
			record.Steps = append(record.Steps, p)
		}
	}
	return record
}

// progress returns nil if no task of the step has been ordered or is done.
func (st *step) progress() *wire.StepProgress {
	record := &wire.StepProgress{Step: int32(st.number), Done: make([]byte, (len(st.tasks)+7)/8)}
	begun := false
	for i, t := range st.tasks {
		begun = begun || t.highestAttempt > 0 || t.done
		record.HighestAttempt = max(record.HighestAttempt, int64(t.highestAttempt))
		if t.done {
			record.Done[i/8] |= 1 << (i % 8)
		} else if len(t.failedAttempts) > 0 || t.checkpoint != "" {
			record.Tasks = append(record.Tasks, t.progress())
		}
	}
	if !begun {
		return nil
	}
	return record
}

func (t *task) progress() *wire.TaskProgress {
	record := &wire.TaskProgress{Index: int32(t.id.Index), Checkpoint: t.checkpoint}
	for _, attempt := range t.failedAttempts {
		record.FailedAttempts = append(record.FailedAttempts, int64(attempt))
	}
	return record
}

// Recover restores the jobs and the stray leases from the newest records of an earlier leader. The
// runs that it ordered are not recorded but appear in the agents' reports. No
// task of a recovered job starts until every agent passed to RecoverWorker has
// reported its runs or its lease has expired.
//
// A record that is malformed, for example because another program wrote it, is skipped: as
// an error it would end the term of each leader in turn, and no job would run. Recover
// returns the number of records that it has skipped.
func (s *Scheduler) Recover(items []durable.Item, now Timestamp) (skipped int) {
	progress := make(map[string]*wire.ProgressRecord)
	for _, item := range items {
		if id, ok := cutPrefix(item.Key, progressPrefix); ok {
			record := &wire.ProgressRecord{}
			if err := proto.Unmarshal(item.Value, record); err != nil {
				klog.ErrorS(err, "malformed progress record is skipped; the tasks of the job may run again", "key", item.Key)
				skipped++
				continue
			}
			progress[id] = record
		}
	}
	for _, item := range items {
		if id, ok := cutPrefix(item.Key, strayPrefix); ok {
			if err := s.recoverStrayLease(id, item.Value, now); err != nil {
				klog.ErrorS(err, "malformed record of a stray lease is skipped", "key", item.Key)
				skipped++
			}
			continue
		}
		id, ok := cutPrefix(item.Key, jobPrefix)
		if !ok {
			continue
		}
		j, policy, err := workflow.Decode(item.Value)
		if err == nil && string(j.ID) != id {
			err = fmt.Errorf("record is of job %q", j.ID)
		}
		if err != nil {
			klog.ErrorS(err, "malformed job record is skipped", "key", item.Key)
			skipped++
			continue
		}
		s.recoverJob(j, policy, progress[id], now)
	}
	return skipped
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) <= len(prefix) || s[:len(prefix)] != prefix {
		return "", false
	}
	return s[len(prefix):], true
}

func (s *Scheduler) recoverJob(j *workflow.Job, policy workflow.Policy, p *wire.ProgressRecord, now Timestamp) {
	row := s.addJob(j, policy, now)
	row.recovered = true
	if p == nil {
		s.openDueOccurrences(row, now)
		return
	}
	row.started = true
	row.state, row.durableState = workflow.State(p.GetState()), workflow.State(p.GetState())
	row.completed = min(max(int(p.GetCompleted()), 0), j.Occurrences())
	if row.state.Final() {
		row.finishedAt = time.UnixMilli(p.GetEndedUnixMs())
		delete(s.activeJobs, j.ID)
		return
	}
	row.opened = row.completed
	row.endedEarly = make(map[int]bool, len(p.GetEndedEarly()))
	for _, number := range p.GetEndedEarly() {
		row.endedEarly[int(number)] = true
	}
	for _, op := range p.GetOccurrences() {
		row.openUntil(int(op.GetNumber()))
	}
	s.openDueOccurrences(row, now)
	for _, op := range p.GetOccurrences() {
		for _, o := range row.occurrences {
			if o.number == int(op.GetNumber()) {
				o.recover(op)
			}
		}
	}
	for _, o := range slices.Clone(row.occurrences) {
		if o.stepsLeft == 0 {
			row.occurrences = slices.DeleteFunc(row.occurrences, func(other *occurrence) bool { return other == o })
			s.occurrenceDone(row, o.number, now)
		}
	}
}

func (o *occurrence) recover(p *wire.OccurrenceProgress) {
	for _, sp := range p.GetSteps() {
		if sp.GetStep() < 0 || int(sp.GetStep()) >= len(o.steps) {
			continue
		}
		st := o.steps[sp.GetStep()]
		for i, t := range st.tasks {
			t.highestAttempt = workflow.Attempt(sp.GetHighestAttempt())
			if i/8 < len(sp.GetDone()) && sp.GetDone()[i/8]&(1<<(i%8)) != 0 {
				t.done = true
				st.tasksLeft--
				st.unplaced--
			}
		}
		for _, tp := range sp.GetTasks() {
			if tp.GetIndex() >= 0 && int(tp.GetIndex()) < len(st.tasks) {
				t := st.tasks[tp.GetIndex()]
				t.checkpoint = tp.GetCheckpoint()
				for _, attempt := range tp.GetFailedAttempts() {
					t.failedAttempts = append(t.failedAttempts, workflow.Attempt(attempt))
				}
			}
		}
		if st.tasksLeft == 0 {
			o.stepsLeft--
		}
	}
	o.openSteps()
}

// RecoverWorker adds a worker on which an earlier leader may have ordered runs. These end
// within leaseLeft of now, unless the worker reports them or holds a stray lease. Recover must be
// called before, as it restores the stray leases that are recorded.
func (s *Scheduler) RecoverWorker(id units.WorkerID, leaseLeft time.Duration, now Timestamp) {
	s.AddWorker(id, now)
	w := s.workers[id]
	w.grantEnd = now.Boot.Add(leaseLeft)
	w.latestLeaseEnd = w.grantEnd
	if stray := s.strayLeases[id]; stray != nil {
		w.latestLeaseEnd = max(w.latestLeaseEnd, stray.end)
	}
	w.mayHaveUnknownRuns = true
}

// RemoveExpired removes the jobs that finished more than FinishedRetention ago
// and returns the records that delete them from the store.
func (s *Scheduler) RemoveExpired(now Timestamp) []durable.Record {
	var records []durable.Record
	for id, j := range s.jobs {
		if j.durableState.Final() && j.placedTasks == 0 && now.Wall.Sub(j.finishedAt) > s.FinishedRetention {
			delete(s.jobs, id)
			records = append(records, durable.Record{Key: JobKey(id)}, durable.Record{Key: progressPrefix + string(id)})
		}
	}
	return records
}
