package stream

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxWriters bounds the memory of repeated records. A writer is one run of a
// process; at 110 restarts a day, 4,096 writers last for more than a month,
// while a repeated append arrives within seconds.
const maxWriters = 4096

// seen is the last record that counted of one writer.
type lastRecord struct {
	sequence uint64
	offset   units.Offset
}

// writers remembers the last sequence of each writer. A writer appends one
// record at a time in sequence order, so a sequence at or below the last one is
// a repeat, or an append that the writer had already given up on. The memory
// depends only on the records, so that all readers forget the same writers.
type lastRecords map[string]lastRecord

// admit reports whether the record counts, and remembers it.
func (w lastRecords) accept(writer string, sequence uint64, offset units.Offset) bool {
	if writer == "" {
		return true
	}
	last, known := w[writer]
	if known && sequence <= last.sequence {
		return false
	}
	if !known && len(w) >= maxWriters {
		w.removeOldest()
	}
	w[writer] = lastRecord{sequence, offset}
	return true
}

// forgetOldest drops the writer whose last record is the oldest.
func (w lastRecords) removeOldest() {
	oldest, found := "", false
	for name, s := range w {
		if !found || s.offset < w[oldest].offset {
			oldest, found = name, true
		}
	}
	delete(w, oldest)
}

// encodeCheckpoint encodes the state of the caller together with the memory of
// writers: an Envelope whose snapshot holds the state and whose entries are the
// writers, each an Envelope with the offset of its last record in a Snapshot.
func encodeCheckpoint(state []byte, next units.Offset, memory lastRecords) ([]byte, error) {
	checkpoint := &wire.Envelope{Snapshot: &wire.Snapshot{Offset: uint64(next), State: state}}
	for _, name := range slices.Sorted(maps.Keys(memory)) {
		s := memory[name]
		encoded, err := proto.Marshal(&wire.Envelope{
			Writer: name, Sequence: s.sequence, Snapshot: &wire.Snapshot{Offset: uint64(s.offset)},
		})
		if err != nil {
			return nil, err
		}
		checkpoint.Entries = append(checkpoint.Entries, encoded)
	}
	return proto.Marshal(checkpoint)
}

// decodeCheckpoint reverses encodeCheckpoint.
func decodeCheckpoint(encoded []byte) (state []byte, next units.Offset, memory lastRecords, err error) {
	var checkpoint wire.Envelope
	if err := proto.Unmarshal(encoded, &checkpoint); err != nil {
		return nil, 0, nil, err
	}
	if checkpoint.GetSnapshot() == nil || len(checkpoint.GetEntries()) > maxWriters {
		return nil, 0, nil, errors.New("checkpoint without state or with too many writers")
	}
	memory = make(lastRecords, len(checkpoint.GetEntries()))
	for _, encoded := range checkpoint.GetEntries() {
		var w wire.Envelope
		if err := proto.Unmarshal(encoded, &w); err != nil {
			return nil, 0, nil, fmt.Errorf("writer in checkpoint: %w", err)
		}
		memory[w.GetWriter()] = lastRecord{w.GetSequence(), units.Offset(w.GetSnapshot().GetOffset())}
	}
	return checkpoint.GetSnapshot().GetState(), units.Offset(checkpoint.GetSnapshot().GetOffset()), memory, nil
}
