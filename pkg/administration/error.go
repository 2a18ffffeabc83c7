// Errors say whether a request took effect, because callers decide by that whether
// to repeat it.

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
	KindInvalid      Kind = "invalid"      // the request is wrong; Details.Problems lists why
	KindUnauthorized Kind = "unauthorized" // no token, or an unknown one
	KindForbidden    Kind = "forbidden"    // the token does not allow it
	KindNotFound     Kind = "notFound"
	KindLostRace     Kind = "lostRace"    // another version was published first; Details.Winner
	KindConflict     Kind = "conflict"    // the key was used for another request
	KindTooLarge     Kind = "tooLarge"    // the body exceeds its limit
	KindBusy         Kind = "busy"        // too many requests at a time; not run
	KindUnavailable  Kind = "unavailable" // the log cannot be reached; Details.Outcome
	KindInternal     Kind = "internal"
)

// statuses maps each kind to its HTTP status.
var statuses = map[Kind]int{
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

// Kinds lists every kind for the manual.
func Kinds() []Kind { return slices.Sorted(maps.Keys(statuses)) }

// Status returns the HTTP status of the kind.
func (k Kind) Status() int {
	if s, ok := statuses[k]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Outcome says whether a failed request may have taken effect.
type Outcome string

// The outcomes of a failed request.
const (
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Details tell a program what to do about an Error.
type Details struct {
	Problems []environment.Problem `json:"problems,omitempty"`
	Winner   units.Offset          `json:"winner,omitempty"`  // version that won the race
	Outcome  Outcome               `json:"outcome,omitempty"` // for unavailable and busy
}

// Error is a failed operation. It is what a Backend returns, what travels as
// {"error":{...}}, and what the client returns.
type Error struct {
	Op      string  `json:"-"`
	Kind    Kind    `json:"kind"`
	Message string  `json:"message"`
	Details Details `json:"details"`
	Err     error   `json:"-"` // cause; stays in the process
}

// Error formats the operation, the kind, the message and every problem.
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

// KindOf returns the kind of an Error in err, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// OutcomeOf returns the outcome of an Error in err, or "".
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Details.Outcome
	}
	return ""
}

// Errorf returns an error of that kind.
func Errorf(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// LostRace returns the error of an edit whose base is no longer current.
func LostRace(winner units.Offset) *Error {
	return &Error{Kind: KindLostRace, Message: "another version was published first; read it and edit again", Details: Details{Winner: winner}}
}

// Unavailable returns the error of a request that needs the log while it cannot
// be reached.
func Unavailable(outcome Outcome, cause error) *Error {
	message := "the log cannot be reached; the request was not run"
	if outcome == OutcomeUnknown {
		message = "the log did not confirm the request; it may take effect; repeat it with the same key"
	}
	return &Error{Kind: KindUnavailable, Message: message, Details: Details{Outcome: outcome}, Err: cause}
}
