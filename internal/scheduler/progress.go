package scheduler

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/wire"
)

// The stored form of a job's progress. Mostly it is one record. Progress that is too large for
// one is spread over several: the main one, with the state of the job and the numbers of its open
// occurrences, and numbered parts with what is known of their tasks. A reader takes the union of
// all, so that parts may be written in several appends, and a stale part does no harm:
//   - What a part says holds for good, but for checkpoints, of which the one in the part with the
//     highest number is the newest.
//   - A task is always in the same part while the number of parts is the same. That number is a
//     power of two and only rises, and a task then moves to a part with a higher number.
//   - Parts with higher numbers are written first, the main record last. So a task is stored in
//     its new place before it is removed from the old one.

const (
	// partBytes is the usual size of a part, and the size of the progress up to which there are
	// none. Each change of a task writes its part anew.
	partBytes = 32 << 10
	// maxParts limits the number of parts of a job.
	maxParts = 1 << 16
	// maxListedEnds limits the occurrences that have ended before an earlier one and that are
	// listed as such. Of a job with more of them, the open ones are listed.
	maxListedEnds = 1000
	// bytesPerListedOccurrence bounds what an open occurrence takes in the main record, on the
	// average of a whole schedule: a gap of less than 128 takes one byte, and the gaps of a
	// schedule that take more are few.
	bytesPerListedOccurrence = 2
	// mainRecordReserve is room in the main record for all but the open occurrences.
	mainRecordReserve = 4 << 10
)

// maxListedOccurrences returns how many open occurrences the main record can list.
func (s *Scheduler) maxListedOccurrences() int {
	return (s.MaxRecordBytes - mainRecordReserve) / bytesPerListedOccurrence
}

// progressRecords returns the records that bring the stored progress of the job up to date. A
// job whose progress can't be stored fails, alone.
func (s *Scheduler) progressRecords(j *job, now Timestamp) ([]durable.Record, error) {
	records, err := s.encodeProgress(j)
	if err != nil || s.fitStore(records) {
		return records, err
	}
	klog.InfoS("progress of a job can't be stored; the job fails", "job", j.ID, "records", len(records), "maxRecordBytes", s.MaxRecordBytes)
	s.failJob(j, fmt.Sprintf("its progress exceeds the %d bytes of a record of the store", s.MaxRecordBytes), now)
	return s.encodeProgress(j)
}

// fitStore reports whether the store accepts each of the records.
func (s *Scheduler) fitStore(records []durable.Record) bool {
	return !slices.ContainsFunc(records, func(r durable.Record) bool { return r.KeyedSize() > s.MaxRecordBytes })
}

// encodeProgress returns the records that differ from the stored ones: the main one always, and the
// parts that have changed. The main record of a job that has ended goes first and its parts are
// deleted, as nothing of them is needed then.
func (s *Scheduler) encodeProgress(j *job) ([]durable.Record, error) {
	main := j.mainRecord()
	if j.state.Final() {
		records, err := encodeRecord(nil, progressKey(j.ID, 0), main)
		records = append(records, j.parts.deletions(j.ID)...)
		j.parts = progressParts{}
		return records, err
	}
	for _, o := range j.occurrences {
		if p := o.progress(); p != nil {
			main.Occurrences = append(main.Occurrences, p)
		}
	}
	if j.parts.count == 0 && proto.Size(main) <= min(partBytes, s.MaxRecordBytes/2) {
		return encodeRecord(nil, progressKey(j.ID, 0), main)
	}
	return s.encodeParts(j, main)
}

// encodeParts returns the records of the changed parts, the highest first, and the main record.
func (s *Scheduler) encodeParts(j *job, main *wire.ProgressRecord) ([]durable.Record, error) {
	occurrences := main.Occurrences
	main.Occurrences = nil
	target := min(partBytes, s.MaxRecordBytes/2)
	size := proto.Size(&wire.ProgressRecord{Occurrences: occurrences})
	count := max(j.parts.count, powerOfTwo((size+target-1)/target))
	parts, err := spread(occurrences, count)
	for err == nil && count < maxParts && largest(parts)+mainRecordReserve > s.MaxRecordBytes {
		count *= 2
		parts, err = spread(occurrences, count)
	}
	if err != nil {
		return nil, err
	}
	j.parts.count = count
	return encodeRecord(j.parts.update(j.ID, parts), progressKey(j.ID, 0), main)
}

// encodeRecord appends the record with the key and the message to records.
func encodeRecord(records []durable.Record, key string, m proto.Message) ([]durable.Record, error) {
	value, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append(records, durable.Record{Key: key, Value: value}), nil
}

// mainRecord returns the progress of the job without that of its tasks.
func (j *job) mainRecord() *wire.ProgressRecord {
	record := &wire.ProgressRecord{State: string(j.state), Completed: int32(j.firstOpen()), Failure: j.failure}
	if !j.finishedAt.IsZero() {
		record.EndedUnixMs = j.finishedAt.UnixMilli()
		return record
	}
	first := j.firstOpen()
	if ended := j.opened - first - len(j.occurrences); ended <= maxListedEnds {
		record.EndedEarly = j.endedEarly()
		return record
	}
	record.Opened = int32(j.opened)
	next := first
	for _, o := range j.occurrences {
		record.OpenGaps = append(record.OpenGaps, uint32(o.number-next))
		next = o.number + 1
	}
	return record
}

// endedEarly returns the occurrences that have ended before an earlier one.
func (j *job) endedEarly() []int32 {
	var ended []int32
	next := j.firstOpen()
	for _, o := range j.occurrences {
		for ; next < o.number; next++ {
			ended = append(ended, int32(next))
		}
		next = o.number + 1
	}
	for ; next < j.opened; next++ {
		ended = append(ended, int32(next))
	}
	return ended
}

// progress returns nil if nothing is known of the occurrence but that it is open.
func (o *occurrence) progress() *wire.OccurrenceProgress {
	record := &wire.OccurrenceProgress{Number: int32(o.number)}
	for _, st := range o.steps {
		if p := st.progress(); p != nil {
			record.Steps = append(record.Steps, p)
		}
	}
	if len(record.Steps) == 0 {
		return nil
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
