// One table lists the operations of the API with who may use them.

package administration

import (
	"net/http"
	"strconv"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// route is one operation of the API.
type route struct {
	name          string // label of its metrics
	pattern       string
	operatorsOnly bool
	mutates       bool // requires an idempotency key
	document      bool // its body is a document
	status        int  // of success; 200 when zero
	handle        func(*request) (any, error)
}

const environmentPattern = "/v1/environments/{environment}"

var routes = []route{
	{name: "document", pattern: "GET " + environmentPattern + "/document", operatorsOnly: true, handle: showDocument},
	{name: "history", pattern: "GET " + environmentPattern + "/history", operatorsOnly: true, handle: showHistory},
	{name: "changes", pattern: "GET " + environmentPattern + "/changes", operatorsOnly: true, handle: compareVersions},
	{name: "check", pattern: "POST " + environmentPattern + "/check", operatorsOnly: true, document: true, handle: checkDocument},
	{name: "publish", pattern: "PUT " + environmentPattern + "/document", operatorsOnly: true, mutates: true, document: true, handle: publishDocument},
	{name: "promote", pattern: "POST " + environmentPattern + "/promote", operatorsOnly: true, mutates: true, handle: promoteDocument},
	{name: "domain", pattern: "POST " + environmentPattern + "/domains/{domain}/{state}", operatorsOnly: true, mutates: true, handle: setDomainState},
	{name: "drain", pattern: "POST " + environmentPattern + "/workers/{worker}/{verb}", operatorsOnly: true, mutates: true, handle: setDrained},
	{name: "submit", pattern: "POST /v1/jobs", mutates: true, status: http.StatusAccepted, handle: submitJob},
	{name: "jobs", pattern: "GET /v1/jobs", handle: listJobs},
	{name: "job", pattern: "GET /v1/jobs/{job}", handle: showJob},
	{name: "cancel", pattern: "POST /v1/jobs/{job}/cancel", mutates: true, handle: cancelJob},
	{name: "workers", pattern: "GET /v1/workers", operatorsOnly: true, handle: listWorkers},
	{name: "entries", pattern: "GET /v1/entries", operatorsOnly: true, handle: listEntries},
	{name: "teams", pattern: "GET /v1/teams", handle: listTeams},
	{name: "timeline", pattern: "GET /v1/timeline", operatorsOnly: true, handle: showTimeline},
}

// environment returns the environment in the path.
func (r *request) environment() units.EnvironmentName {
	return units.EnvironmentName(r.http.PathValue("environment"))
}

// version reads a version in the query; 0 when it is absent.
func (r *request) version(name string) (units.Offset, error) {
	text := r.http.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, administration.Errorf(administration.KindInvalid, "query %s: got %q; want a version number", name, text)
	}
	return units.Offset(v), nil
}

// limit reads the number of results in the query.
func (r *request) limit(otherwise, most int) (int, error) {
	text := r.http.URL.Query().Get("limit")
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > most {
		return 0, administration.Errorf(administration.KindInvalid, "query limit: got %q; want 1 to %d", text, most)
	}
	return n, nil
}

// label reads a short text for people, such as an author, from the query.
func (r *request) label(name, otherwise string) (string, error) {
	text := r.http.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	if len(text) > 200 {
		return "", administration.Errorf(administration.KindInvalid, "query %s: has %d bytes; at most 200 are allowed", name, len(text))
	}
	for _, c := range text {
		if c < ' ' || c == 0x7f || c == '\ufffd' {
			return "", administration.Errorf(administration.KindInvalid, "query %s: has control characters", name)
		}
	}
	return text, nil
}
