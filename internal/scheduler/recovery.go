package scheduler

import (
	"cmp"
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

// maxJobIDBytes is the length of the longest job id. With it the keys of all records of a job are
// valid.
const maxJobIDBytes = 200

// recordedProgress is the progress of a job as read from the store.
type recordedProgress struct {
	main  *wire.ProgressRecord // nil if the store has none
	parts []recordedPart       // in the order of their numbers, after sort
}

type recordedPart struct {
	number partNumber
	record *wire.ProgressRecord
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
	progress, skipped := decodeProgress(items)
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
		if err == nil && (string(j.ID) != id || len(id) > maxJobIDBytes) {
			err = fmt.Errorf("record is of job %q; want one of at most %d bytes", j.ID, maxJobIDBytes)
		}
		if err != nil {
			klog.ErrorS(err, "malformed job record is skipped", "key", item.Key)
			skipped++
			continue
		}
		s.recoverJob(j, policy, progress[j.ID], now)
	}
	return skipped
}

// decodeProgress returns the recorded progress of each job, and the number of malformed records.
func decodeProgress(items []durable.Item) (progress map[workflow.JobID]*recordedProgress, skipped int) {
	progress = make(map[workflow.JobID]*recordedProgress)
	for _, item := range items {
		if _, ok := cutPrefix(item.Key, progressPrefix); !ok {
			continue
		}
		id, number, ok := parseProgressKey(item.Key)
		record := &wire.ProgressRecord{}
		err := proto.Unmarshal(item.Value, record)
		if err == nil && !ok {
			err = fmt.Errorf("key names no part")
		}
		if err != nil {
			klog.ErrorS(err, "malformed progress record is skipped; the tasks of the job may run again", "key", item.Key)
			skipped++
			continue
		}
		if progress[id] == nil {
			progress[id] = &recordedProgress{}
		}
		progress[id].add(number, record)
	}
	return progress, skipped
}

func (p *recordedProgress) add(number partNumber, record *wire.ProgressRecord) {
	if number == 0 {
		p.main = record
		return
	}
	p.parts = append(p.parts, recordedPart{number, record})
}

// records returns all records, those with the newest checkpoints last.
func (p *recordedProgress) records() []*wire.ProgressRecord {
	slices.SortFunc(p.parts, func(a, b recordedPart) int { return cmp.Compare(a.number, b.number) })
	var records []*wire.ProgressRecord
	if p.main != nil {
		records = append(records, p.main)
	}
	for _, part := range p.parts {
		records = append(records, part.record)
	}
	return records
}

func cutPrefix(s, prefix string) (string, bool) {
	if len(s) <= len(prefix) || s[:len(prefix)] != prefix {
		return "", false
	}
	return s[len(prefix):], true
}

func (s *Scheduler) recoverJob(j *workflow.Job, policy workflow.Policy, p *recordedProgress, now Timestamp) {
	row := s.addJob(j, policy, now)
	row.recovered = true
	if p == nil {
		s.openDueOccurrences(row, now)
		return
	}
	row.started = true
	for _, part := range p.parts {
		row.parts.add(part.number)
	}
	if p.main != nil {
		row.state, row.durableState = workflow.State(p.main.GetState()), workflow.State(p.main.GetState())
		row.failure = p.main.GetFailure()
		if row.state.Final() {
			row.finishedAt = time.UnixMilli(p.main.GetEndedUnixMs())
			delete(s.activeJobs, j.ID)
			return
		}
		s.recoverOpen(row, p.main)
	}
	records := p.records()
	for _, record := range records {
		for _, o := range record.GetOccurrences() {
			s.openUntil(row, int(o.GetNumber()))
		}
	}
	s.openDueOccurrences(row, now)
	for _, record := range records {
		row.recoverTasks(record)
	}
	s.recoverEnds(row, now)
}

// recoverOpen restores which occurrences have ended and which are open.
func (s *Scheduler) recoverOpen(j *job, p *wire.ProgressRecord) {
	j.opened = min(max(int(p.GetCompleted()), 0), j.Occurrences())
	if p.GetOpened() > 0 {
		s.recoverListedOpen(j, p)
		return
	}
	ended, last := make(map[int]bool, len(p.GetEndedEarly())), j.opened
	for _, number := range p.GetEndedEarly() {
		if n := int(number); n >= j.opened && n < j.Occurrences() {
			ended[n], last = true, max(last, n+1)
		}
	}
	for j.opened < last && (ended[j.opened] || s.mayOpen(j)) {
		if ended[j.opened] {
			j.opened++
			continue
		}
		j.openNext()
	}
}

// recoverListedOpen restores the open occurrences from a record that lists them.
func (s *Scheduler) recoverListedOpen(j *job, p *wire.ProgressRecord) {
	end := min(int(p.GetOpened()), j.Occurrences())
	for _, gap := range p.GetOpenGaps() {
		if j.opened+int(gap) >= end || !s.mayOpen(j) {
			return // the record is malformed, so that the others open and run again
		}
		j.opened += int(gap)
		j.openNext()
	}
	j.opened = max(j.opened, end)
}

// recoverTasks adds what a record says of the tasks of open occurrences.
func (j *job) recoverTasks(p *wire.ProgressRecord) {
	for _, recorded := range p.GetOccurrences() {
		if o, _ := j.occurrence(int(recorded.GetNumber())); o != nil {
			o.recover(recorded)
		}
	}
}

func (o *occurrence) recover(p *wire.OccurrenceProgress) {
	for _, sp := range p.GetSteps() {
		if sp.GetStep() >= 0 && int(sp.GetStep()) < len(o.steps) {
			o.steps[sp.GetStep()].recover(sp)
		}
	}
}

func (st *step) recover(p *wire.StepProgress) {
	done := p.GetDone()
	for i, t := range st.tasks {
		t.highestAttempt = max(t.highestAttempt, workflow.Attempt(p.GetHighestAttempt()))
		if i/8 < len(done) && done[i/8]&(1<<(i%8)) != 0 && !t.done {
			t.done = true
			st.tasksLeft--
			st.unplaced--
		}
	}
	for _, tp := range p.GetTasks() {
		if tp.GetIndex() >= 0 && int(tp.GetIndex()) < len(st.tasks) {
			st.tasks[tp.GetIndex()].recover(tp)
		}
	}
}

func (t *task) recover(p *wire.TaskProgress) {
	t.checkpoint = cmp.Or(p.GetCheckpoint(), t.checkpoint)
	for _, attempt := range p.GetFailedAttempts() {
		if a := workflow.Attempt(attempt); !slices.Contains(t.failedAttempts, a) {
			t.failedAttempts = append(t.failedAttempts, a)
		}
	}
}

// recoverEnds derives from the tasks that are done which steps and occurrences have ended.
func (s *Scheduler) recoverEnds(j *job, now Timestamp) {
	for _, o := range slices.Clone(j.occurrences) {
		o.stepsLeft = 0
		for _, st := range o.steps {
			if st.tasksLeft > 0 {
				o.stepsLeft++
			}
		}
		o.openSteps()
		if o.stepsLeft == 0 {
			s.endOccurrence(j, o.number, now)
		}
	}
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
