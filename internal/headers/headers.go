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
	DeadlineHeader   = "Wasabihill-Deadline"   // time left, a Go duration
	IdempotentHeader = "Wasabihill-Idempotent" // true or false; default by method
	OutcomeHeader    = "Wasabihill-Outcome"    // on responses
	ReasonHeader     = "Wasabihill-Reason"     // why a request was not run
	PriorityHeader   = "Wasabihill-Priority"   // from entry to agent only
)

// Result is the value of the header Outcome.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "done"    // the endpoint's whole response follows
	NotRun  Outcome = "notRun"  // the request was not executed and never will be
	Unknown Outcome = "unknown" // the request may have been executed
)

// Cause is the value of the header Reason.
type Reason string

// Why a request was not run.
const (
	Leaving          Reason = "leaving"    // the endpoint or its agent is about to stop
	Overload         Reason = "overload"   // no slot in time
	DeadlineExceeded Reason = "deadline"   // the deadline has passed
	NoEndpoint       Reason = "noEndpoint" // none is eligible
	NoConnection     Reason = "noConnection"
	Malformed        Reason = "malformed"
)

// Kind tells errors of this package apart.
type Kind string

// Invalid is the kind of every error of this package.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Prefix is the path under which services are reached.
const ServicePathPrefix = "/services/"

// maxName bounds the name of a service in a path.
const maxName = 128

// Target splits a request URI into the service and the URI for its endpoint.
func ParseTarget(uri string) (units.ServiceName, string, error) {
	rest, ok := strings.CutPrefix(uri, ServicePathPrefix)
	if !ok {
		return "", "", fault.New("path", Invalid, "want %s{service}/{path}", ServicePathPrefix)
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
func ParseTimeout(h http.Header, fallback, limit time.Duration) (time.Duration, error) {
	values := h[DeadlineHeader]
	switch {
	case len(values) == 0:
		return fallback, nil
	case len(values) > 1:
		return 0, fault.New(DeadlineHeader, Invalid, "given %d times", len(values))
	}
	d, err := time.ParseDuration(values[0])
	if err != nil || d <= 0 {
		return 0, fault.New(DeadlineHeader, Invalid, "want a positive duration such as \"250ms\"")
	}
	return min(d, limit), nil
}

// idempotentMethods are safe to repeat unless the caller says otherwise.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true, http.MethodDelete: true,
}

// IsIdempotent reads the header Idempotent; the default follows the method.
func ParseIdempotent(method string, h http.Header) (bool, error) {
	values := h[IdempotentHeader]
	switch {
	case len(values) == 0:
		return idempotentMethods[method], nil
	case len(values) == 1 && values[0] == "true":
		return true, nil
	case len(values) == 1 && values[0] == "false":
		return false, nil
	}
	return false, fault.New(IdempotentHeader, Invalid, "want true or false")
}

// PriorityOf reads the header Priority; the default is normal.
func ParsePriority(h http.Header) units.Priority {
	n, err := strconv.Atoi(h.Get(PriorityHeader))
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
	DeadlineHeader: true, IdempotentHeader: true, OutcomeHeader: true, ReasonHeader: true, PriorityHeader: true,
}

// Copy adds the headers of source that may be passed on to target. The values
// are shared; neither side may change them in place.
func CopyEndToEnd(target, source http.Header) {
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
func WriteRejection(w http.ResponseWriter, status int, reason Reason, text string) {
	w.Header().Set(OutcomeHeader, string(NotRun))
	w.Header().Set(ReasonHeader, string(reason))
	http.Error(w, text, status)
}

// Lose answers that the outcome of the request is unknown.
func WriteUnknownOutcome(w http.ResponseWriter, text string) {
	w.Header().Set(OutcomeHeader, string(Unknown))
	http.Error(w, text, http.StatusGatewayTimeout)
}

// BodyAllowed reports whether a response of that status may carry a body.
func BodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
