// Package logservice is the client of the platform's append-only log service.
//
// The service keeps named streams of records. A record's offset in its stream
// is its place in the total order on which every decision of wasabihill rests.
// The service limits appends to several hundred a second, keeps records for a
// limited time, has outages, and may lose a reply after the append has already
// taken effect.
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
	First   units.Offset // first offset that the service still keeps
	Next    units.Offset // offset that the next append will get: the tail
}

// Service is what the rest of the program needs of the log service. Client
// implements it over HTTP; tests use in-memory fakes. It is safe for concurrent
// use.
type Service interface {
	// Append adds payload to stream and returns its offset. An error of kind
	// Unknown means that the record may or may not have been appended; every
	// other kind means that it was not.
	Append(ctx context.Context, stream string, payload []byte) (units.Offset, error)
	// Read returns records from offset from on. At the tail it waits up to
	// wait for a new record and then returns an empty batch. An error of kind
	// Expired means that from is below First; the batch then still carries First
	// and Next. A from above the tail yields an empty batch.
	Read(ctx context.Context, stream string, from units.Offset, wait time.Duration) (Batch, error)
}

// Kind tells failures of the log service apart.
type Kind string

// The kinds of Error.
const (
	Unknown     Kind = "unknown"     // the append may have taken effect
	Unavailable Kind = "unavailable" // nothing happened; try later
	Expired     Kind = "expired"     // the offset is older than what the service keeps
	Refused     Kind = "refused"     // the request can never succeed (too large, bad name)
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

func fail(op string, kind Kind, format string, args ...any) error {
	return fault.New(op, kind, format, args...)
}

func wrap(op string, kind Kind, err error) error { return fault.Wrap(op, kind, err) }
