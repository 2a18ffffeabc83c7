// Package headers defines the HTTP headers and paths of requests to services,
// as callers, entry processes and agents use them.
package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Names of headers.
const (
	Deadline   = "Wasabihill-Deadline"   // time left, a Go duration
	Idempotent = "Wasabihill-Idempotent" // true or false; default by method
	Outcome    = "Wasabihill-Outcome"    // on responses
	Reason     = "Wasabihill-Reason"     // why a request was not run
	Priority   = "Wasabihill-Priority"   // from entry to agent only
)

// Result is the value of the header Outcome.
type Result string

// The outcomes of a request.
const (
	Done    Result = "done"    // the endpoint's whole response follows
	NotRun  Result = "notRun"  // the request was not executed and never will be
	Unknown Result = "unknown" // the request may have been executed
)

// Cause is the value of the header Reason.
type Cause string

// Why a request was not run.
const (
	Leaving    Cause = "leaving"    // the endpoint or its agent is about to stop
	Overload   Cause = "overload"   // no slot in time
	TooLate    Cause = "deadline"   // the deadline has passed
	NoEndpoint Cause = "noEndpoint" // none is eligible
	NoConnect  Cause = "noConnection"
	Malformed  Cause = "malformed"
)

// Kind tells errors of this package apart.
type Kind string

// Invalid is the kind of every error of this package.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Prefix is the path under which services are reached.
const Prefix = "/services/"

// maxName bounds the name of a service in a path.
const maxName = 128

// Target splits a request URI into the service and the URI for its endpoint.
func Target(uri string) (units.ServiceName, string, error) {
	rest, ok := strings.CutPrefix(uri, Prefix)
	if !ok {
		return "", "", fault.New("path", Invalid, "want %s{service}/{path}", Prefix)
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	name, rest := rest[:end], rest[end:]
	if name == "" || len(name) > maxName || strings.Trim(name, nameCharacters) != "" {
		return "", "", fault.New("path", Invalid, "malformed name of a service")
	}
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return units.ServiceName(name), rest, nil
}

const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// TimeLeft reads the header Deadline; fallback stands for an absent one and
// limit for a longer one.
func TimeLeft(h http.Header, fallback, limit time.Duration) (time.Duration, error) {
	values := h[Deadline]
	switch {
	case len(values) == 0:
		return fallback, nil
	case len(values) > 1:
		return 0, fault.New(Deadline, Invalid, "given %d times", len(values))
	}
	d, err := time.ParseDuration(values[0])
	if err != nil || d <= 0 {
		return 0, fault.New(Deadline, Invalid, "want a positive duration such as \"250ms\"")
	}
	return min(d, limit), nil
}

// idempotentMethods are safe to repeat unless the caller says otherwise.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true, http.MethodDelete: true,
}

// IsIdempotent reads the header Idempotent; the default follows the method.
func IsIdempotent(method string, h http.Header) (bool, error) {
	values := h[Idempotent]
	switch {
	case len(values) == 0:
		return idempotentMethods[method], nil
	case len(values) == 1 && values[0] == "true":
		return true, nil
	case len(values) == 1 && values[0] == "false":
		return false, nil
	}
	return false, fault.New(Idempotent, Invalid, "want true or false")
}

// PriorityOf reads the header Priority; the default is normal.
func PriorityOf(h http.Header) units.Priority {
	n, err := strconv.Atoi(h.Get(Priority))
	if err != nil || n < int(units.PriorityLow) || n > int(units.PriorityUrgent) {
		return units.PriorityNormal
	}
	return units.Priority(n)
}

// notForwarded are hop-by-hop headers and those that each hop sets itself.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
	Deadline: true, Idempotent: true, Outcome: true, Reason: true, Priority: true,
}

// Copy adds the headers of source that may be passed on to target. The values
// are shared; neither side may change them in place.
func Copy(target, source http.Header) {
	var named []string
	for _, v := range source["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range source {
		if !notForwarded[name] {
			target[name] = values
		}
	}
	for _, name := range named {
		delete(target, name)
	}
}

// Reject answers that the request was not run.
func Reject(w http.ResponseWriter, status int, cause Cause, text string) {
	w.Header().Set(Outcome, string(NotRun))
	w.Header().Set(Reason, string(cause))
	http.Error(w, text, status)
}

// Lose answers that the outcome of the request is unknown.
func Lose(w http.ResponseWriter, text string) {
	w.Header().Set(Outcome, string(Unknown))
	http.Error(w, text, http.StatusGatewayTimeout)
}

// BodyAllowed reports whether a response of that status may carry a body.
func BodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
