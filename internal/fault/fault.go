// Package fault provides the error type that the other packages share. An error
// states the operation that failed, the kind of failure and the cause. A package
// declares
//
//	type Kind string
//	type Error = fault.Error[Kind]
//
// and its callers test for a kind with fault.Is.
package fault

import (
	"errors"
	"fmt"
)

// Error describes a failed operation. K is the kind type of the package that
// returns it.
type Error[K ~string] struct {
	Op   string // operation, such as "append"
	Kind K      // kind of failure, for callers that handle kinds differently
	Err  error  // cause; may be nil
}

// New returns an error whose cause is formatted from format and args as by
// fmt.Errorf.
func New[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// Wrap returns an error with cause err.
func Wrap[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Error returns "op: kind: cause", or "op: kind" without a cause.
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
