// Package headers defines the HTTP headers and paths of requests to services,
// which callers, entry processes and agents use.
package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Header names.
const (
	DeadlineHeader   = "Wasabihill-Deadline"   // time left, a Go duration
	IdempotentHeader = "Wasabihill-Idempotent" // true or false; default by method
	OutcomeHeader    = "Wasabihill-Outcome"    // an Outcome, on responses
	ReasonHeader     = "Wasabihill-Reason"     // a Reason, on responses with outcome NotRun
	PriorityHeader   = "Wasabihill-Priority"   // a number, from entry process to agent only
)

// Outcome is the value of OutcomeHeader.
type Outcome string

// Outcomes of a request.
const (
	Done    Outcome = "done"    // the endpoint's complete response follows
	NotRun  Outcome = "notRun"  // the request was not executed and never will be
	Unknown Outcome = "unknown" // the request may have been executed
)

// Reason is the value of ReasonHeader.
type Reason string

// Reasons why a request was not run.
const (
	Leaving          Reason = "leaving"    // the endpoint or its agent is about to stop
	Overload         Reason = "overload"   // no slot is free before the deadline, or a limit is reached
	DeadlineExceeded Reason = "deadline"   // the deadline has passed
	NoEndpoint       Reason = "noEndpoint" // no endpoint of the service is eligible
	NoConnection     Reason = "noConnection"
	Malformed        Reason = "malformed"
)

// Kind classifies the errors of this package.
type Kind string

// Invalid is the kind of every error of this package.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// ServicePathPrefix is the path prefix of requests to services.
const ServicePathPrefix = "/services/"

// maxServiceNameBytes bounds the service name in a path.
const maxServiceNameBytes = 128

// ParseTarget splits a request URI into the service name and the URI for the
// service's endpoint.
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
	if name == "" || len(name) > maxServiceNameBytes || strings.Trim(name, serviceNameCharacters) != "" {
		return "", "", fault.New("path", Invalid, "malformed name of a service")
	}
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return units.ServiceName(name), rest, nil
}

const serviceNameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// ParseTimeout parses DeadlineHeader. It returns fallback when the header is
// absent, and at most limit.
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

// idempotentMethods are the methods that are idempotent unless the caller
// states otherwise.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true, http.MethodDelete: true,
}

// ParseIdempotent parses IdempotentHeader. The default depends on the method.
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

// ParsePriority parses PriorityHeader. The default, also for an invalid value,
// is normal.
func ParsePriority(h http.Header) units.Priority {
	n, err := strconv.Atoi(h.Get(PriorityHeader))
	if err != nil || n < int(units.PriorityLow) || n > int(units.PriorityUrgent) {
		return units.PriorityNormal
	}
	return units.Priority(n)
}

// hopByHop are the hop-by-hop headers and those that each hop sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
	DeadlineHeader: true, IdempotentHeader: true, OutcomeHeader: true, ReasonHeader: true, PriorityHeader: true,
}

// CopyEndToEnd copies the headers of source that may be forwarded to target.
// The values are shared, so neither header may change them in place.
func CopyEndToEnd(target, source http.Header) {
	var listed []string
	for _, v := range source["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			listed = append(listed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range source {
		if !hopByHop[name] {
			target[name] = values
		}
	}
	for _, name := range listed {
		delete(target, name)
	}
}

// WriteRejection writes the response to a request that was not run.
func WriteRejection(w http.ResponseWriter, status int, reason Reason, text string) {
	w.Header().Set(OutcomeHeader, string(NotRun))
	w.Header().Set(ReasonHeader, string(reason))
	http.Error(w, text, status)
}

// WriteUnknownOutcome writes the response to a request whose outcome is
// unknown.
func WriteUnknownOutcome(w http.ResponseWriter, text string) {
	w.Header().Set(OutcomeHeader, string(Unknown))
	http.Error(w, text, http.StatusGatewayTimeout)
}

// BodyAllowed reports whether a response with the status to a request with the
// method may carry a body.
func BodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
