// Package stream writes and follows a stream of the log service.
//
// The log service appends several hundred records a second, sometimes loses the
// reply of an append that took effect, and forgets old records. Writer gathers
// entries into few records and finds out what became of an append whose reply
// was lost. Follower folds the records of a stream into a state, in the same
// way in every process, and Snapshotter keeps that state recoverable after the
// records behind it have expired.
package stream

import (
	"context"
	"errors"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/pkg/logservice"
)

// Kind tells the failures of this package apart.
type Kind string

// The kinds of Error.
const (
	Unavailable Kind = "unavailable" // certainly not written; try later
	Unknown     Kind = "unknown"     // the entries may take effect, now or later
	Refused     Kind = "refused"     // certainly not written; can never succeed
	Incomplete  Kind = "incomplete"  // the log no longer holds what the state needs
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

// kindOf translates the kind of an error of the log service. An error of
// another type proves nothing.
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

// backoff spaces retries: each pause doubles up to the limit, and half of it is
// random so that processes that failed together do not retry together.
type backoff struct {
	first, limit time.Duration
	failures     int
}

func (b *backoff) reset() { b.failures = 0 }

// wait pauses and reports false when ctx ended first.
func (b *backoff) wait(ctx context.Context) bool {
	wait := min(b.limit, b.first<<min(b.failures, 16))
	b.failures++
	return pause.Jittered(ctx, wait)
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}
