package stream

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/wire"
)

// Record is the decoded payload of one log record: entries or a snapshot part.
type Record struct {
	Writer   string // empty when the record carries no identity
	Sequence uint64
	Entries  [][]byte
	Snapshot *wire.Snapshot
}

// Decoder decodes a payload. It must give the same result in every process and
// every version of the program, because it decides which records count. An
// error means that the record is malformed and has no effect.
type Decoder func(payload []byte) (Record, error)

// maxSnapshotParts bounds what a reader collects of one snapshot.
const maxSnapshotParts = 4096

// DecodeEnvelope is the Decoder of streams that hold only wire.Envelope.
func DecodeEnvelope(payload []byte) (Record, error) {
	var envelope wire.Envelope
	if err := proto.Unmarshal(payload, &envelope); err != nil {
		return Record{}, err
	}
	switch s := envelope.GetSnapshot(); {
	case envelope.GetWriter() == "" || envelope.GetSequence() == 0:
		return Record{}, errors.New("envelope without writer or sequence")
	case s == nil && len(envelope.GetEntries()) == 0:
		return Record{}, errors.New("envelope without entries or snapshot")
	case s != nil && len(envelope.GetEntries()) > 0:
		return Record{}, errors.New("envelope with both entries and snapshot")
	case s != nil && (s.GetParts() == 0 || s.GetParts() > maxSnapshotParts || s.GetPart() >= s.GetParts()):
		return Record{}, errors.New("snapshot part out of range")
	}
	return Record{envelope.GetWriter(), envelope.GetSequence(), envelope.GetEntries(), envelope.GetSnapshot()}, nil
}
