package administration_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/administration/administrationtest"
	"wasabihill.example/wasabihill/internal/settings"
	api "wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

const document = `{
  "environment": "production",
  "failureDomains": [{"name": "pwani-a", "region": "pwani", "state": "in"}, {"name": "pwani-b", "region": "pwani", "state": "in"}], // two
  "teams": [{"name": "moulds", "quota": {"processors": "64", "memory": "256GiB"}}, {"name": "coldRooms", "quota": {"processors": "1", "memory": "1GiB"}}],
  "largestWorker": {"processors": "32", "memory": "125GB"}
}`

const job = `{"name": "festival", "tasks": 2, "size": {"processors": "2", "memory": "1GiB"}, "runTime": "5m"}`

const (
	operator = "operator-token-0123456789"
	moulds   = "moulds-token-0123456789"
	cold     = "cold-rooms-token-0123456789"
)

type fixture struct {
	backend *administrationtest.Backend
	server  *httptest.Server
}

func start(t *testing.T, change func(*administration.Config)) fixture {
	t.Helper()
	f := fixture{backend: administrationtest.New()}
	c := administration.Config{Backend: f.backend, Environment: "production", OperatorToken: settings.NewSecret(operator),
		TeamTokens: map[units.TeamName]settings.Secret{"moulds": settings.NewSecret(moulds), "coldRooms": settings.NewSecret(cold)}, Body: 4 * units.KiB}
	if change != nil {
		change(&c)
	}
	f.server = httptest.NewServer(administration.NewServer(c))
	t.Cleanup(f.server.Close)
	f.backend.WorkerList = []api.Worker{{ID: "worker-1"}}
	f.backend.TeamList = []api.Team{{Name: "moulds"}, {Name: "coldRooms"}}
	if status, body := f.call(t, "PUT", "/v1/environments/production/document?base=0", operator, "setup", document); status != 200 {
		t.Fatalf("setup: %d %s", status, body)
	}
	return f
}

func (f fixture) call(t *testing.T, method, path, token, key, body string) (int, string) {
	t.Helper()
	q, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		q.Header.Set("Authorization", "Bearer "+token)
	}
	if key != "" {
		q.Header.Set(api.KeyHeader, key)
	}
	response, err := f.server.Client().Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(got)
}

const production = "/v1/environments/production"

// Guards against a change of the API: who may do what, which requests are rejected,
// and with which status and kind.
func TestContract(t *testing.T) {
	down := func(b *administrationtest.Backend) {
		b.Fail = api.Unavailable(api.OutcomeNotRun, errors.New("refused"))
	}
	for _, c := range []struct {
		name, method, path, token, key, body string
		prepare                              func(*administrationtest.Backend)
		status                               int
		want                                 string // part of the body
	}{
		{name: "health without token", method: "GET", path: "/healthz", status: 200, want: "ok"},
		{name: "ready", method: "GET", path: "/readyz", status: 200, want: "ok"},
		{name: "not ready", method: "GET", path: "/readyz", prepare: down, status: 503, want: "not ready"},
		{name: "unknown path", method: "GET", path: "/v2/jobs", token: operator, status: 404, want: `"kind":"notFound"`},
		{name: "unknown method", method: "DELETE", path: "/v1/jobs", token: operator, status: 404, want: `"kind":"notFound"`},
		{name: "no token", method: "GET", path: "/v1/jobs", status: 401, want: `"kind":"unauthorized"`},
		{name: "wrong token", method: "GET", path: "/v1/jobs", token: operator + "x", status: 401, want: `"kind":"unauthorized"`},
		{name: "team publishes", method: "PUT", path: production + "/document?base=1", token: moulds, key: "k", body: document, status: 403, want: `"kind":"forbidden"`},
		{name: "team sees workers", method: "GET", path: "/v1/workers", token: moulds, status: 403, want: `"kind":"forbidden"`},
		{name: "team sees timeline", method: "GET", path: "/v1/timeline", token: moulds, status: 403, want: `"kind":"forbidden"`},
		{name: "team sees itself", method: "GET", path: "/v1/teams", token: moulds, status: 200, want: `[{"name":"moulds"`},
		{name: "team sees another's job", method: "GET", path: "/v1/jobs/job-1", token: cold, status: 404, want: `no job \"job-1\"`},
		{name: "team cancels another's job", method: "POST", path: "/v1/jobs/job-1/cancel", token: cold, key: "k", status: 404, want: `no job \"job-1\"`},
		{name: "team lists another's jobs", method: "GET", path: "/v1/jobs?team=moulds", token: cold, status: 403, want: `"kind":"forbidden"`},
		{name: "team lists its jobs", method: "GET", path: "/v1/jobs", token: cold, status: 200, want: "[]"},
		{name: "team submits for another", method: "POST", path: "/v1/jobs", token: cold, key: "k", body: strings.Replace(job, "{", `{"team": "moulds", `, 1), status: 403, want: `"kind":"forbidden"`},
		{name: "submit", method: "POST", path: "/v1/jobs", token: moulds, key: "k", body: job, status: 202, want: `"id":"job-2"`},
		{name: "submit again", method: "POST", path: "/v1/jobs", token: moulds, key: "setup", body: job, status: 202, want: `"id":"job-1"`},
		{name: "submit without key", method: "POST", path: "/v1/jobs", token: moulds, body: job, status: 400, want: "Idempotency-Key"},
		{name: "key too long", method: "POST", path: "/v1/jobs", token: moulds, key: strings.Repeat("k", 129), body: job, status: 400, want: "Idempotency-Key"},
		{name: "submit with two errors", method: "POST", path: "/v1/jobs?file=a.json", token: moulds, key: "k", body: strings.NewReplacer(`"2"`, `"33"`, `"5m"`, `5`).Replace(job), status: 400, want: `"field":"size.processors","message":"got 33; want at most the 32 of largestWorker"},{"file":"a.json"`},
		{name: "submit beyond quota", method: "POST", path: "/v1/jobs", token: cold, key: "k", body: strings.Replace(job, "{", `{"team": "coldRooms", `, 1), status: 400, want: "can never run"},
		{name: "submit beyond own quota", method: "POST", path: "/v1/jobs", token: cold, key: "k", body: job, status: 400, want: "can never run"},
		{name: "truncated JSON", method: "POST", path: "/v1/jobs", token: moulds, key: "k", body: job[:40], status: 400, want: `"kind":"invalid"`},
		{name: "empty body", method: "POST", path: "/v1/jobs", token: moulds, key: "k", status: 400, want: `"kind":"invalid"`},
		{name: "deep nesting", method: "POST", path: "/v1/jobs", token: moulds, key: "k", body: strings.Repeat("[", 1000), status: 400, want: "nested deeper"},
		{name: "oversized", method: "POST", path: "/v1/jobs", token: moulds, key: "k", body: strings.Repeat(" ", 5000), status: 413, want: `"kind":"tooLarge"`},
		{name: "bad filter", method: "GET", path: "/v1/jobs?state=asleep", token: moulds, status: 400, want: "want pending"},
		{name: "bad limit", method: "GET", path: "/v1/jobs?limit=0", token: moulds, status: 400, want: "query limit"},
		{name: "log down for a submission", method: "POST", path: "/v1/jobs", token: moulds, key: "k", body: job, prepare: down, status: 503, want: `"outcome":"notRun"`},
		{name: "reply lost", method: "POST", path: "/v1/jobs", token: moulds, key: "k", body: job, status: 503, want: `"outcome":"unknown"`,
			prepare: func(b *administrationtest.Backend) {
				b.FailAfter = api.Unavailable(api.OutcomeUnknown, io.ErrUnexpectedEOF)
			}},
		{name: "time limit", method: "POST", path: "/v1/jobs", token: moulds, key: "k", body: job, status: 503, want: `"outcome":"unknown"`,
			prepare: func(b *administrationtest.Backend) { b.Delay = time.Minute }},
		{name: "internal cause stays inside", method: "POST", path: "/v1/jobs", token: moulds, key: "k", body: job, status: 500, want: `"message":"internal error"`,
			prepare: func(b *administrationtest.Backend) { b.Fail = errors.New("secret detail") }},
		{name: "race lost", method: "PUT", path: production + "/document?base=7", token: operator, key: "k", body: document, status: 409, want: `"winner":1`},
		{name: "publish again", method: "PUT", path: production + "/document?base=0", token: operator, key: "setup", body: document, status: 200, want: `"version":1`},
		{name: "publish without base", method: "PUT", path: production + "/document", token: operator, key: "k", body: document, status: 400, want: "query base"},
		{name: "publish elsewhere", method: "PUT", path: "/v1/environments/trial/document?base=0", token: operator, key: "k", body: document, status: 400, want: `want \"trial\"`},
		{name: "publish invalid", method: "PUT", path: production + "/document?base=1&file=x.json", token: operator, key: "k", body: "{}", status: 400, want: `{"file":"x.json","line":1,"column":1,"field":"environment"`},
		{name: "quota below what runs", method: "PUT", path: production + "/document?base=1", token: operator, key: "k", body: strings.Replace(document, `"64"`, `"2"`, 1), status: 400, want: "the team runs 20",
			prepare: func(b *administrationtest.Backend) {
				b.RunningResources = map[units.TeamName]units.Resources{"moulds": {Processors: 20000}}
			}},
		{name: "check", method: "POST", path: production + "/check", token: operator, body: strings.Replace(document, `"64"`, `"2"`, 1), status: 200, want: `"changes":[{"field":"teams[moulds].quota.processors","before":"64","after":"2"}]`},
		{name: "domain out", method: "POST", path: production + "/domains/pwani-a/out", token: operator, key: "k", status: 200, want: `"version":2,"changes":[{"field":"failureDomains[pwani-a].state","before":"in","after":"out"}]`},
		{name: "domain already in", method: "POST", path: production + "/domains/pwani-a/in", token: operator, key: "k", status: 200, want: `"version":1,"changes":[]`},
		{name: "unknown domain", method: "POST", path: production + "/domains/pwani-z/out", token: operator, key: "k", status: 404, want: "want one of: pwani-a, pwani-b"},
		{name: "unknown state", method: "POST", path: production + "/domains/pwani-a/off", token: operator, key: "k", status: 400, want: "want in or out"},
		{name: "domain out after a lost race", method: "POST", path: production + "/domains/pwani-a/out", token: operator, key: "k", status: 200, want: `"version":3`,
			prepare: func(b *administrationtest.Backend) {
				b.BeforeWrite = func() {
					_, _ = b.Publish(t.Context(), api.Publication{Environment: "production", Key: "other", Base: 1, Text: []byte(document)})
				}
			}},
		{name: "drain", method: "POST", path: production + "/workers/worker-1/drain", token: operator, key: "k", status: 200, want: `"field":"drainedWorkers[worker-1]"`},
		{name: "drain unknown worker", method: "POST", path: production + "/workers/worker-9/drain", token: operator, key: "k", status: 404, want: "unknown worker"},
		{name: "promote nothing", method: "POST", path: production + "/promote?from=trial&base=1", token: operator, key: "k", status: 404, want: `"kind":"notFound"`},
		{name: "promote", method: "POST", path: "/v1/environments/trial/promote?from=production&base=0", token: operator, key: "k", status: 200, want: `"environment":"trial","version":2`},
		{name: "timeline", method: "GET", path: "/v1/timeline?format=html", token: operator, status: 200, want: "<svg"},
		{name: "timeline format", method: "GET", path: "/v1/timeline?format=pdf", token: operator, status: 400, want: "want text, json or html"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := start(t, func(config *administration.Config) { config.Timeout = 200 * time.Millisecond })
			if status, body := f.call(t, "POST", "/v1/jobs", moulds, "setup", job); status != 202 {
				t.Fatalf("setup: %d %s", status, body)
			}
			if c.prepare != nil {
				c.prepare(f.backend)
			}
			status, body := f.call(t, c.method, c.path, c.token, c.key, c.body)
			if status != c.status || !strings.Contains(body, c.want) {
				t.Errorf("got %d %s, want %d with %s", status, body, c.status, c.want)
			}
			if status >= 400 && strings.HasPrefix(c.path, "/v1") && !json.Valid([]byte(body)) {
				t.Errorf("got an error that is no JSON: %s", body)
			}
			if strings.Contains(body, "secret detail") || strings.Contains(body, "token-0123") {
				t.Errorf("the reply reveals internals: %s", body)
			}
		})
	}
}

// Guards against a burst of requests that overloads the process: requests beyond the
// limit are rejected immediately with an error that says that they were not run.
func TestConcurrencyLimit(t *testing.T) {
	f := start(t, func(c *administration.Config) { c.Requests = 1 })
	entered, leave := make(chan struct{}), make(chan struct{})
	f.backend.BeforeWrite = func() { close(entered); <-leave }
	done := make(chan string)
	go func() {
		status, body := f.call(t, "POST", production+"/domains/pwani-a/out", operator, "k", "")
		done <- fmt.Sprint(status, body)
	}()
	<-entered
	if status, body := f.call(t, "POST", "/v1/jobs", moulds, "k", job); status != 503 || !strings.Contains(body, `"kind":"busy"`) || !strings.Contains(body, `"notRun"`) {
		t.Errorf("got %d %s, want 503 busy, not run", status, body)
	}
	close(leave)
	if got := <-done; !strings.HasPrefix(got, "200") {
		t.Errorf("got %s for the first request, want 200", got)
	}
}

// Guards against a promotion that returns a failure domain of the target environment to
// service or ends the draining of a worker there, because the source document has
// neither.
func TestPromotionKeepsOperationsOfTheTarget(t *testing.T) {
	f := start(t, nil)
	trial := strings.Replace(strings.Replace(document, "production", "trial", 1), `"64"`, `"48"`, 1)
	for _, c := range []struct{ method, path, body string }{
		{"PUT", "/v1/environments/trial/document?base=0", trial},
		{"POST", production + "/domains/pwani-a/out", ""},
		{"POST", production + "/workers/worker-1/drain", ""},
		{"POST", production + "/promote?from=trial&base=4", ""},
	} {
		if status, body := f.call(t, c.method, c.path, operator, c.path, c.body); status != 200 {
			t.Fatalf("%s: got %d %s", c.path, status, body)
		}
	}
	_, got := f.call(t, "GET", production+"/changes?from=4", operator, "", "")
	if want := `[{"field":"teams[moulds].quota.processors","before":"64","after":"48"}]`; strings.TrimSpace(got) != want {
		t.Errorf("got changes %s, want %s", got, want)
	}
}

// Guards against metrics in a format that Prometheus can't scrape.
func TestMetrics(t *testing.T) {
	scope, handler, closer := administration.NewMetrics("entry-1")
	f := start(t, func(c *administration.Config) { c.Scope, c.MetricsHandler = scope, handler })
	if err := closer.Close(); err != nil { // flushes the counters
		t.Fatal(err)
	}
	status, body := f.call(t, "GET", "/metrics", "", "", "")
	if want := `wasabihill_administration_requests{process="entry-1",route="publish",status="200"} 1`; status != 200 || !strings.Contains(body, want) {
		t.Errorf("got %d %s, want %s", status, body, want)
	}
}
