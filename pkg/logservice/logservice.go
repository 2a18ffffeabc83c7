// Package logservice implements a client for the platform's append-only log service.
//
// The service stores named streams of records. The offset of a record is its
// position in the total order of its stream, on which every decision of wasabihill
// is based. The service limits appends to several hundred per second, keeps records
// for a limited time, has outages, and may lose a reply after the append has taken
// effect.
package logservice

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Record is one record of a stream.
type Record struct {
	Offset  units.Offset
	Payload []byte
}

// Batch is the result of a read.
type Batch struct {
	Records []Record     // in offset order, without gaps, possibly empty
	First   units.Offset // lowest offset that the service still keeps
	Next    units.Offset // offset of the next append: the tail of the stream
}

// Service is the log service as the other packages use it. Client implements it over
// HTTP; tests use in-memory fakes. Implementations are safe for concurrent use. The
// methods return an *Error on failure.
type Service interface {
	// Append appends payload to stream and returns its offset. An error of kind
	// Unknown means that the record may or may not have been appended; with kind
	// Unavailable or Refused it was not.
	Append(ctx context.Context, stream string, payload []byte) (units.Offset, error)
	// Read returns records that begin at offset from. At the tail it waits up to
	// wait for a new record and then returns an empty batch. If from is above the
	// tail, the batch is empty. An error of kind Expired means that from is below
	// First; the batch still contains First and Next unless they could not be
	// obtained. Other errors have kind Unavailable or Refused.
	Read(ctx context.Context, stream string, from units.Offset, wait time.Duration) (Batch, error)
}

// Kind is the kind of an Error.
type Kind string

// The kinds of Error.
const (
	Unknown     Kind = "unknown"     // the append may have taken effect
	Unavailable Kind = "unavailable" // the request had no effect; it can be repeated later
	Expired     Kind = "expired"     // the record at the offset is no longer kept
	Refused     Kind = "refused"     // the request can never succeed (too large, bad name)
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return fault.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, err error) error { return fault.Wrap(op, kind, err) }
