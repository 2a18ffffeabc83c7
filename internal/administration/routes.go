// One table defines the operations of the API and who may use them.

package administration

import (
	"net/http"
	"strconv"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// route is one operation of the API.
type route struct {
	name          string // tag of its metrics
	pattern       string
	operatorsOnly bool
	mutates       bool   // requires an idempotency key
	document      bool   // its body is a document, which may be larger than other bodies
	status        int    // of success; 200 when zero
	query         string // parameters, for the reference manual
	purpose       string // for the reference manual
	handle        func(*request) (any, error)
}

const environmentPattern = "/v1/environments/{environment}"

var routes = []route{
	{name: "document", pattern: "GET " + environmentPattern + "/document", operatorsOnly: true,
		query: "version", purpose: "the document in force, or a version", handle: showDocument},
	{name: "history", pattern: "GET " + environmentPattern + "/history", operatorsOnly: true,
		query: "limit", purpose: "newest versions without text", handle: showHistory},
	{name: "changes", pattern: "GET " + environmentPattern + "/changes", operatorsOnly: true,
		query: "from, to", purpose: "fields that differ between two versions", handle: compareVersions},
	{name: "check", pattern: "POST " + environmentPattern + "/check", operatorsOnly: true, document: true,
		query: "file", purpose: "checks the text in the body against the document in force and what runs", handle: checkDocument},
	{name: "publish", pattern: "PUT " + environmentPattern + "/document", operatorsOnly: true, mutates: true, document: true,
		query: "base, author, file", purpose: "replaces version `base` with the text in the body", handle: publishDocument},
	{name: "promote", pattern: "POST " + environmentPattern + "/promote", operatorsOnly: true, mutates: true,
		query: "from, version, base, author", purpose: "publishes the document of environment `from`", handle: promoteDocument},
	{name: "domain", pattern: "POST " + environmentPattern + "/domains/{domain}/{state}", operatorsOnly: true, mutates: true,
		query: "author", purpose: "takes a failure domain `out` of service or back `in`", handle: setDomainState},
	{name: "drain", pattern: "POST " + environmentPattern + "/workers/{worker}/{verb}", operatorsOnly: true, mutates: true,
		query: "author", purpose: "`drain` gives a worker no new work; `undrain` ends that", handle: setDrained},
	{name: "submit", pattern: "POST /v1/jobs", mutates: true, status: http.StatusAccepted,
		query: "file", purpose: "submits the job in the body; answers 202", handle: submitJob},
	{name: "jobs", pattern: "GET /v1/jobs",
		query: "team, state, limit", purpose: "jobs without their tasks, newest first", handle: listJobs},
	{name: "job", pattern: "GET /v1/jobs/{job}",
		purpose: "a job with its tasks, attempts and reasons", handle: showJob},
	{name: "cancel", pattern: "POST /v1/jobs/{job}/cancel", mutates: true,
		query: "reason", purpose: "cancels a job", handle: cancelJob},
	{name: "workers", pattern: "GET /v1/workers", operatorsOnly: true,
		purpose: "workers with what they are committed to", handle: listWorkers},
	{name: "entries", pattern: "GET /v1/entries", operatorsOnly: true,
		purpose: "entry processes", handle: listEntries},
	{name: "teams", pattern: "GET /v1/teams",
		purpose: "teams with the use of their quotas", handle: listTeams},
	{name: "timeline", pattern: "GET /v1/timeline", operatorsOnly: true,
		query: "format, subject, lane, limit", purpose: "events of all processes, as json, text or html", handle: showTimeline},
}

// RouteRow describes an operation in the reference manual.
type RouteRow struct{ Pattern, Who, Query, Purpose string }

// Reference lists the operations of the API, for the reference manual.
func Reference() []RouteRow {
	rows := make([]RouteRow, len(routes))
	for i, r := range routes {
		rows[i] = RouteRow{r.pattern, "teams, operators", r.query, r.purpose}
		if r.operatorsOnly {
			rows[i].Who = "operators"
		}
		if r.mutates {
			rows[i].Purpose += "; needs a key"
		}
	}
	return rows
}

// environment returns the environment in the path.
func (r *request) environment() units.EnvironmentName {
	return units.EnvironmentName(r.http.PathValue("environment"))
}

// versionParameter returns the version in a query parameter; 0 when it is absent.
func (r *request) versionParameter(name string) (units.Offset, error) {
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

// limitParameter returns the maximum number of results in the query.
func (r *request) limitParameter(defaultLimit, maximum int) (int, error) {
	text := r.http.URL.Query().Get("limit")
	if text == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maximum {
		return 0, administration.Errorf(administration.KindInvalid, "query limit: got %q; want 1 to %d", text, maximum)
	}
	return n, nil
}

// textParameter returns a short text for people, such as an author, from the query.
func (r *request) textParameter(name, defaultText string) (string, error) {
	text := r.http.URL.Query().Get(name)
	if text == "" {
		return defaultText, nil
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
