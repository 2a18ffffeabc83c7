// Errors say whether a request may have taken effect, because clients need this to
// decide whether to repeat it.

package administration

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of Error.
const (
	KindInvalid      Kind = "invalid"      // the request is not valid; Details.Problems lists the problems of a document or job
	KindUnauthorized Kind = "unauthorized" // the token is missing or unknown
	KindForbidden    Kind = "forbidden"    // the token doesn't permit the operation
	KindNotFound     Kind = "notFound"     // the request refers to something that doesn't exist
	KindLostRace     Kind = "lostRace"     // another version was published first: Details.Winner
	KindConflict     Kind = "conflict"     // the idempotency key was used for a different request
	KindTooLarge     Kind = "tooLarge"     // the body exceeds its limit
	KindBusy         Kind = "busy"         // too many concurrent requests; the request was not run
	KindUnavailable  Kind = "unavailable"  // the log service can't be reached; Details.Outcome says whether the request was run
	KindInternal     Kind = "internal"     // a failure inside the server, or a reply that is not one of this API
)

// httpStatuses maps each kind to its HTTP status.
var httpStatuses = map[Kind]int{
	KindInvalid:      http.StatusBadRequest,
	KindUnauthorized: http.StatusUnauthorized,
	KindForbidden:    http.StatusForbidden,
	KindNotFound:     http.StatusNotFound,
	KindLostRace:     http.StatusConflict,
	KindConflict:     http.StatusConflict,
	KindTooLarge:     http.StatusRequestEntityTooLarge,
	KindBusy:         http.StatusServiceUnavailable,
	KindUnavailable:  http.StatusServiceUnavailable,
	KindInternal:     http.StatusInternalServerError,
}

// Kinds lists every kind in alphabetical order, for the reference manual.
func Kinds() []Kind { return slices.Sorted(maps.Keys(httpStatuses)) }

// Status returns the HTTP status of the kind; 500 for an unknown kind.
func (k Kind) Status() int {
	if s, ok := httpStatuses[k]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Outcome says whether a failed mutation may have taken effect.
type Outcome string

// The outcomes of a failed request.
const (
	OutcomeNotRun  Outcome = "notRun"  // it had no effect
	OutcomeUnknown Outcome = "unknown" // it may take or have taken effect; repeat it with the same key
)

// Details holds the machine-readable part of an Error.
type Details struct {
	Problems []environment.Problem `json:"problems,omitempty"`
	Winner   units.Offset          `json:"winner,omitempty"`  // version that was published first, for lostRace
	Outcome  Outcome               `json:"outcome,omitempty"` // empty for a read and where the kind implies it
}

// Error is the error of a failed operation. The server sends it as {"error":{...}},
// and the methods of Client return it.
type Error struct {
	Op      string  `json:"-"`
	Kind    Kind    `json:"kind"`
	Message string  `json:"message"`
	Details Details `json:"details"`
	Err     error   `json:"-"` // cause; not sent
}

// Error formats the operation, the kind, the message, the details and every problem.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Op != "" {
		b.WriteString(e.Op + ": ")
	}
	b.WriteString(string(e.Kind) + ": " + e.Message)
	if e.Details.Winner != 0 {
		fmt.Fprintf(&b, " (version %d won)", e.Details.Winner)
	}
	if e.Details.Outcome != "" {
		fmt.Fprintf(&b, " (outcome: %s)", e.Details.Outcome)
	}
	for _, p := range e.Details.Problems {
		b.WriteString("\n  " + p.String())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the Error that err wraps, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// OutcomeOf returns the outcome of the Error that err wraps, or "".
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Details.Outcome
	}
	return ""
}

// Errorf returns an error of the given kind with a formatted message.
func Errorf(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// LostRace returns the error of a publication whose base is no longer the current
// version. winner is the version that was published first.
func LostRace(winner units.Offset) *Error {
	return &Error{Kind: KindLostRace, Message: "another version was published first; read it and edit again", Details: Details{Winner: winner}}
}

// Unavailable returns the error of a request that needs the log service while it
// can't be reached.
func Unavailable(outcome Outcome, cause error) *Error {
	message := "the log cannot be reached; the request was not run"
	if outcome == OutcomeUnknown {
		message = "the log did not confirm the request; it may take effect; repeat it with the same key"
	}
	return &Error{Kind: KindUnavailable, Message: message, Details: Details{Outcome: outcome}, Err: cause}
}
