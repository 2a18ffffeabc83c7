package scheduler

import (
	"hash/fnv"
	"math/bits"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The parts of a job's progress: which there are in the store, and which task is in which. See
// progress.go for what readers and writers rely on.

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

// checksum tells whether a part has changed since it was stored.
func checksum(data []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(data) // never fails
	return h.Sum64()
}

// largest returns the size of the largest part.
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
