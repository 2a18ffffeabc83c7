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

// maxWriters bounds the table of last records. Each run of a process is a writer
// of its own; at 110 restarts a day, 4,096 entries cover more than a month, while
// a duplicate append arrives within seconds.
const maxWriters = 4096

// lastRecord is the last accepted record of one writer.
type lastRecord struct {
	sequence uint64
	offset   units.Offset
}

// writerTable contains the last accepted record of each writer. A writer appends one
// record at a time in sequence order, so a sequence at or below the last one is
// a duplicate, or an append that the writer has already abandoned. The table
// depends only on the records of the stream, so that all readers evict the same
// writers.
type writerTable map[string]lastRecord

// accept reports whether the record is new and, if so, stores it as the last one
// of its writer. Records without a writer are always new.
func (t writerTable) accept(writer string, sequence uint64, offset units.Offset) bool {
	if writer == "" {
		return true
	}
	last, found := t[writer]
	if found && sequence <= last.sequence {
		return false
	}
	if !found && len(t) >= maxWriters {
		t.removeOldest()
	}
	t[writer] = lastRecord{sequence, offset}
	return true
}

// removeOldest removes the writer whose last record has the lowest offset.
func (t writerTable) removeOldest() {
	oldest, found := "", false
	for name, s := range t {
		if !found || s.offset < t[oldest].offset {
			oldest, found = name, true
		}
	}
	delete(t, oldest)
}

// encodeCheckpoint encodes a state together with the last record of each writer.
// The result is an Envelope whose snapshot contains the state and whose entries
// describe the writers. Each entry is itself an Envelope, with the offset of the
// writer's last record in its Snapshot.
func encodeCheckpoint(state []byte, next units.Offset, records writerTable) ([]byte, error) {
	checkpoint := &wire.Envelope{Snapshot: &wire.Snapshot{Offset: uint64(next), State: state}}
	for _, name := range slices.Sorted(maps.Keys(records)) {
		s := records[name]
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

// decodeCheckpoint decodes the result of encodeCheckpoint.
func decodeCheckpoint(encoded []byte) (state []byte, next units.Offset, records writerTable, err error) {
	var checkpoint wire.Envelope
	if err := proto.Unmarshal(encoded, &checkpoint); err != nil {
		return nil, 0, nil, err
	}
	if checkpoint.GetSnapshot() == nil || len(checkpoint.GetEntries()) > maxWriters {
		return nil, 0, nil, errors.New("checkpoint has no state or too many writers")
	}
	records = make(writerTable, len(checkpoint.GetEntries()))
	for _, encoded := range checkpoint.GetEntries() {
		var w wire.Envelope
		if err := proto.Unmarshal(encoded, &w); err != nil {
			return nil, 0, nil, fmt.Errorf("decode a writer in the checkpoint: %w", err)
		}
		records[w.GetWriter()] = lastRecord{w.GetSequence(), units.Offset(w.GetSnapshot().GetOffset())}
	}
	return checkpoint.GetSnapshot().GetState(), units.Offset(checkpoint.GetSnapshot().GetOffset()), records, nil
}
