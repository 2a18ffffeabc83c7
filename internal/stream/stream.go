// Package stream writes to and reads from a stream of the log service.
//
// The log service appends several hundred records a second, sometimes loses the
// reply to an append that took effect, and deletes old records. Writer batches
// entries into few records and, after a lost reply, reads the log back to find
// out whether the append took effect. Follower applies the records of a stream to
// a state, deterministically in every process. Snapshotter appends snapshots of
// that state, so that it can be recovered after its records have expired.
package stream

import (
	"context"
	"errors"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/pkg/logservice"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	Unavailable Kind = "unavailable" // not written; a later attempt may succeed
	Unknown     Kind = "unknown"     // the entries may have taken effect or may still do so
	Refused     Kind = "refused"     // not written; no attempt can succeed
	Incomplete  Kind = "incomplete"  // the log no longer contains all records that the state needs
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// NotWritten reports whether err proves that an append had no effect and never
// will have one.
func NotWritten(err error) bool {
	return fault.Is(err, Unavailable) || fault.Is(err, Refused)
}

func newError(op string, kind Kind, format string, args ...any) error {
	return fault.New(op, kind, format, args...)
}

// kindOf returns the Kind that corresponds to an error of the log service. For an
// error of another type the outcome is Unknown.
func kindOf(err error) Kind {
	var failure *logservice.Error
	if !errors.As(err, &failure) {
		return Unknown
	}
	switch failure.Kind {
	case logservice.Unavailable:
		return Unavailable
	case logservice.Refused:
		return Refused
	}
	return Unknown
}

// backoff delays retries. The delay doubles with each failure up to the limit, and
// half of it is random, so that processes that failed at the same time do not
// retry at the same time.
type backoff struct {
	first, limit time.Duration
	failures     int
}

func (b *backoff) reset() { b.failures = 0 }

// wait waits for the next delay. It reports false when ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	wait := min(b.limit, b.first<<min(b.failures, 16))
	b.failures++
	return pause.Jittered(ctx, wait)
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
