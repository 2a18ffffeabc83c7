package stream

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/wire"
)

// Record is the decoded payload of one log record. It contains either entries or a
// snapshot part.
type Record struct {
	Writer   string // empty when the record names no writer
	Sequence uint64
	Entries  [][]byte
	Snapshot *wire.Snapshot
}

// Decoder decodes a payload. It must give the same result in every process and
// every version of the program, because it decides which records take effect. An
// error means that the record is malformed and has no effect.
type Decoder func(payload []byte) (Record, error)

// maxSnapshotParts bounds the parts that a reader collects for one snapshot.
const maxSnapshotParts = 4096

// DecodeEnvelope is the Decoder of streams whose records are all wire.Envelopes.
func DecodeEnvelope(payload []byte) (Record, error) {
	var envelope wire.Envelope
	if err := proto.Unmarshal(payload, &envelope); err != nil {
		return Record{}, err
	}
	switch s := envelope.GetSnapshot(); {
	case envelope.GetWriter() == "" || envelope.GetSequence() == 0:
		return Record{}, errors.New("envelope has no writer or no sequence number")
	case s == nil && len(envelope.GetEntries()) == 0:
		return Record{}, errors.New("envelope has neither entries nor a snapshot")
	case s != nil && len(envelope.GetEntries()) > 0:
		return Record{}, errors.New("envelope has both entries and a snapshot")
	case s != nil && (s.GetParts() == 0 || s.GetParts() > maxSnapshotParts || s.GetPart() >= s.GetParts()):
		return Record{}, errors.New("snapshot part number is out of range")
	}
	return Record{envelope.GetWriter(), envelope.GetSequence(), envelope.GetEntries(), envelope.GetSnapshot()}, nil
}
