// Package fault gives every other package the same shape of error: what was
// attempted, which kind of failure it was, and the cause. A package declares
//
//	type Kind string
//	type Error = fault.Error[Kind]
//
// and callers test kinds with fault.Is.
package fault

import (
	"errors"
	"fmt"
)

// Error is a failed operation. K is the package's own kind type.
type Error[K ~string] struct {
	Op   string // what was attempted, such as "append"
	Kind K      // which failure, for callers that decide on it
	Err  error  // cause; may be nil
}

// New returns an error whose cause is formatted from format and args; %w works.
func New[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// Wrap returns an error with cause err.
func Wrap[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Error formats "op: kind: cause".
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// Is reports whether err is, or wraps, an Error of the given kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.Kind == kind
}
