package scheduler

import (
	"fmt"
	"hash/fnv"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
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

// partNumber is the number of a part of a job's progress, from 1.
type partNumber int

// progressParts describes the parts of a job's progress in the store.
type progressParts struct {
	count  int                   // of the parts over which tasks are spread: 0 or a power of two
	stored map[partNumber]uint64 // checksum of each part that is or will be in the store; 0 if unknown
}

// add records that the store has a part, whose content is not compared.
func (p *progressParts) add(n partNumber) {
	if p.stored == nil {
		p.stored = make(map[partNumber]uint64)
	}
	p.stored[n] = 0
	p.count = max(p.count, powerOfTwo(int(n)))
}

// deletions returns the records that delete all parts.
func (p *progressParts) deletions(id workflow.JobID) []durable.Record {
	records := make([]durable.Record, 0, len(p.stored))
	for n := range p.stored {
		records = append(records, durable.Record{Key: progressKey(id, n)})
	}
	return records
}

// powerOfTwo returns the lowest power of two that is not below n.
func powerOfTwo(n int) int { return 1 << bits.Len(uint(max(n, 1)-1)) }

// progressKey returns the key of a part, or of the main record if the number is 0.
func progressKey(id workflow.JobID, n partNumber) string {
	if n == 0 {
		return progressPrefix + string(id)
	}
	return progressPrefix + string(id) + "/" + strconv.Itoa(int(n))
}

// parseProgressKey is the inverse of progressKey.
func parseProgressKey(key string) (id workflow.JobID, n partNumber, ok bool) {
	rest, ok := cutPrefix(key, progressPrefix)
	if !ok {
		return "", 0, false
	}
	name, number, isPart := strings.Cut(rest, "/")
	if !isPart {
		return workflow.JobID(name), 0, true
	}
	parsed, err := strconv.Atoi(number)
	return workflow.JobID(name), partNumber(parsed), err == nil && parsed >= 1 && parsed <= maxParts
}

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

// update returns the records of the parts that differ from the stored ones, the highest first.
func (p *progressParts) update(id workflow.JobID, parts map[partNumber][]byte) []durable.Record {
	if p.stored == nil {
		p.stored = make(map[partNumber]uint64)
	}
	var records []durable.Record
	for n := partNumber(p.count); n >= 1; n-- {
		value, exists := parts[n]
		stored, wasStored := p.stored[n]
		switch {
		case !exists && wasStored:
			delete(p.stored, n)
			records = append(records, durable.Record{Key: progressKey(id, n)})
		case exists && (!wasStored || stored != checksum(value)):
			p.stored[n] = checksum(value)
			records = append(records, durable.Record{Key: progressKey(id, n), Value: value})
		}
	}
	return records
}

func checksum(data []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(data) // never fails
	return h.Sum64()
}

func largest(parts map[partNumber][]byte) int {
	size := 0
	for _, value := range parts {
		size = max(size, len(value))
	}
	return size
}

// spread distributes the tasks over count parts and returns those that are not empty.
func spread(occurrences []*wire.OccurrenceProgress, count int) (map[partNumber][]byte, error) {
	parts := make(map[partNumber]*wire.ProgressRecord)
	for _, o := range occurrences {
		for _, st := range o.GetSteps() {
			spreadStep(parts, o.GetNumber(), st, count)
		}
	}
	encoded := make(map[partNumber][]byte, len(parts))
	for n, part := range parts {
		value, err := proto.Marshal(part)
		if err != nil {
			return nil, err
		}
		encoded[n] = value
	}
	return encoded, nil
}

// spreadStep adds what is known of a step and of each of its tasks to the parts that they are in.
func spreadStep(parts map[partNumber]*wire.ProgressRecord, occurrence int32, st *wire.StepProgress, count int) {
	inPart := make(map[partNumber]*wire.StepProgress)
	share := func(n partNumber) *wire.StepProgress {
		if inPart[n] == nil {
			if parts[n] == nil {
				parts[n] = &wire.ProgressRecord{}
			}
			inPart[n] = &wire.StepProgress{Step: st.GetStep(), HighestAttempt: st.GetHighestAttempt()}
			parts[n].Occurrences = append(parts[n].Occurrences, &wire.OccurrenceProgress{Number: occurrence, Steps: []*wire.StepProgress{inPart[n]}})
		}
		return inPart[n]
	}
	share(partOf(occurrence, st.GetStep(), -1, count)).Done = st.GetDone()
	for _, t := range st.GetTasks() {
		p := share(partOf(occurrence, st.GetStep(), t.GetIndex(), count))
		p.Tasks = append(p.Tasks, t)
	}
}

// partOf returns the part that a task is in, or, with index -1, the ends of all tasks of a step.
func partOf(occurrence, step, index int32, count int) partNumber {
	h := uint64(uint32(occurrence))<<32 ^ uint64(uint32(step))<<20 ^ uint64(uint32(index))
	// The finalizer of SplitMix64, which spreads similar numbers evenly.
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	h ^= h >> 31
	return partNumber(h&uint64(count-1)) + 1
}

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
