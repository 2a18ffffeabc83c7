// The client tries each server once. Mutations carry a key, so that a request whose
// reply was lost can go to the next server.

package administration

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxReply limits a reply, for a server that is not what it seems. A job with
// 10,000 tasks takes about a tenth of it.
const maxReply = 32 << 20

// Client calls the administration API. Fields are set before the first call.
type Client struct {
	Servers []string // base URLs or IP:port, tried in order
	Token   string
	Timeout time.Duration // for one server; 10 s when zero
	HTTP    *http.Client  // one that follows no redirects when nil
}

// defaultHTTP follows no redirects: an entry process sends none, and following
// one could hand the token to another host.
var defaultHTTP = &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// NewKey returns a fresh idempotency key.
func NewKey() string { return rand.Text() }

type call struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	key    string // set for a mutation
	raw    *[]byte
	out    any
}

// do tries each server once. A mutation carries a key, so trying the next
// server is safe even when the last one may have run it.
func (c *Client) do(ctx context.Context, call call) error {
	if len(c.Servers) == 0 {
		return &Error{Op: call.op, Kind: KindInvalid, Message: "no server is given"}
	}
	var failures []string
	var last *Error
	outcome := unknownIf(call, OutcomeNotRun)
	for _, server := range c.Servers {
		last = c.try(ctx, server, call)
		if last == nil {
			return nil
		}
		if !nextServer(last) {
			if outcome == OutcomeUnknown && last.Kind != KindLostRace { // a base that was replaced can no longer win
				last.Details.Outcome = OutcomeUnknown
			}
			return last
		}
		failures = append(failures, server+": "+last.Message)
		if last.Details.Outcome == OutcomeUnknown {
			outcome = OutcomeUnknown
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &Error{Op: call.op, Kind: last.Kind, Message: strings.Join(failures, "; "), Details: Details{Outcome: outcome}, Err: last}
}

// nextServer reports whether another server may do better.
func nextServer(err *Error) bool {
	switch err.Kind {
	case KindUnavailable, KindBusy, KindInternal:
		return true
	}
	return false
}

func (c *Client) try(ctx context.Context, server string, call call) *Error {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = 10 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, baseURL(server)+call.path, bytes.NewReader(call.body))
	if err != nil {
		return &Error{Op: call.op, Kind: KindInvalid, Message: err.Error(), Err: err}
	}
	request.URL.RawQuery = call.query.Encode()
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if call.key != "" {
		request.Header.Set(KeyHeader, call.key)
	}
	client := c.HTTP
	if client == nil {
		client = defaultHTTP
	}
	response, err := client.Do(request)
	if err != nil {
		return transportError(call, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return transportError(call, err)
	}
	if len(body) > maxReply {
		return &Error{Op: call.op, Kind: KindInternal, Message: fmt.Sprintf("the reply exceeds %d bytes", maxReply), Details: Details{Outcome: unknownIf(call, OutcomeUnknown)}}
	}
	return decode(call, response, body)
}

func baseURL(server string) string {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	return strings.TrimRight(server, "/")
}

// unknownIf returns outcome for a mutation; a read has none.
func unknownIf(call call, outcome Outcome) Outcome {
	if call.key == "" {
		return ""
	}
	return outcome
}

// transportError says that a request was not run only when no connection was
// made.
func transportError(call call, err error) *Error {
	outcome := unknownIf(call, OutcomeUnknown)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		outcome = unknownIf(call, OutcomeNotRun)
	}
	var outer *url.Error
	if errors.As(err, &outer) {
		err = outer.Err // without the method and the URL
	}
	return &Error{Op: call.op, Kind: KindUnavailable, Message: err.Error(), Details: Details{Outcome: outcome}, Err: err}
}

func decode(call call, response *http.Response, body []byte) *Error {
	if response.StatusCode/100 == 2 {
		if call.raw != nil {
			*call.raw = body
			return nil
		}
		if err := json.Unmarshal(body, call.out); err != nil {
			return &Error{Op: call.op, Kind: KindInternal, Message: fmt.Sprintf("the reply cannot be read: %v", err),
				Details: Details{Outcome: unknownIf(call, OutcomeUnknown)}, Err: err}
		}
		return nil
	}
	var failed struct{ Error *Error }
	if err := json.Unmarshal(body, &failed); err != nil || failed.Error == nil {
		return &Error{Op: call.op, Kind: KindInternal, Message: "got " + response.Status + " without an error of this API",
			Details: Details{Outcome: unknownIf(call, OutcomeUnknown)}}
	}
	failed.Error.Op = call.op
	if failed.Error.Kind == KindInternal {
		failed.Error.Details.Outcome = unknownIf(call, OutcomeUnknown)
	}
	return failed.Error
}

func environmentPath(name units.EnvironmentName, rest string) string {
	return "/v1/environments/" + url.PathEscape(string(name)) + rest
}

func versionQuery(key string, v units.Offset) url.Values {
	if v == 0 {
		return url.Values{}
	}
	return url.Values{key: {strconv.FormatUint(uint64(v), 10)}}
}

// Document returns a version of the document; version 0 is the current one.
func (c *Client) Document(ctx context.Context, env units.EnvironmentName, version units.Offset) (Document, error) {
	var d Document
	err := c.do(ctx, call{op: "show", method: http.MethodGet, path: environmentPath(env, "/document"), query: versionQuery("version", version), out: &d})
	return d, err
}

// History returns the newest versions without their texts, newest first.
func (c *Client) History(ctx context.Context, env units.EnvironmentName, limit int) ([]Document, error) {
	var list []Document
	err := c.do(ctx, call{op: "history", method: http.MethodGet, path: environmentPath(env, "/history"), query: url.Values{"limit": {strconv.Itoa(limit)}}, out: &list})
	return list, err
}

// Check checks a text against the current document without publishing it.
func (c *Client) Check(ctx context.Context, env units.EnvironmentName, file string, text []byte) (Checked, error) {
	var out Checked
	err := c.do(ctx, call{op: "check", method: http.MethodPost, path: environmentPath(env, "/check"), query: url.Values{"file": {file}}, body: text, out: &out})
	return out, err
}

// Publish replaces version base of the document.
func (c *Client) Publish(ctx context.Context, p Publication, file string) (Published, error) {
	query := url.Values{"base": {strconv.FormatUint(uint64(p.Base), 10)}, "file": {file}, "author": {p.Author}}
	var out Published
	err := c.do(ctx, call{op: "publish", method: http.MethodPut, path: environmentPath(p.Environment, "/document"), query: query, body: p.Text, key: p.Key, out: &out})
	return out, err
}

// Compare lists the changes from one version to another; 0 is the current one.
func (c *Client) Compare(ctx context.Context, env units.EnvironmentName, from, to units.Offset) ([]environment.Change, error) {
	query := url.Values{"from": {strconv.FormatUint(uint64(from), 10)}, "to": {strconv.FormatUint(uint64(to), 10)}}
	var out []environment.Change
	err := c.do(ctx, call{op: "compare", method: http.MethodGet, path: environmentPath(env, "/changes"), query: query, out: &out})
	return out, err
}

// Promote publishes the current document of one environment in another one.
func (c *Client) Promote(ctx context.Context, from, to units.EnvironmentName, version, base units.Offset, author, key string) (Published, error) {
	query := url.Values{"from": {string(from)}, "version": {strconv.FormatUint(uint64(version), 10)},
		"base": {strconv.FormatUint(uint64(base), 10)}, "author": {author}}
	var out Published
	err := c.do(ctx, call{op: "promote", method: http.MethodPost, path: environmentPath(to, "/promote"), query: query, key: key, out: &out})
	return out, err
}

// SetDomainState takes a failure domain out of service or returns it.
func (c *Client) SetDomainState(ctx context.Context, env units.EnvironmentName, domain units.DomainName, state environment.DomainState, author, key string) (Published, error) {
	path := environmentPath(env, "/domains/"+url.PathEscape(string(domain))+"/"+string(state))
	var out Published
	err := c.do(ctx, call{op: "domain", method: http.MethodPost, path: path, query: url.Values{"author": {author}}, key: key, out: &out})
	return out, err
}

// SetDrained drains a worker or ends that.
func (c *Client) SetDrained(ctx context.Context, env units.EnvironmentName, worker units.WorkerID, drained bool, author, key string) (Published, error) {
	verb := map[bool]string{true: "drain", false: "undrain"}[drained]
	path := environmentPath(env, "/workers/"+url.PathEscape(string(worker))+"/"+verb)
	var out Published
	err := c.do(ctx, call{op: verb, method: http.MethodPost, path: path, query: url.Values{"author": {author}}, key: key, out: &out})
	return out, err
}

// Submit submits the job that body describes.
func (c *Client) Submit(ctx context.Context, file string, body []byte, key string) (Job, error) {
	var j Job
	err := c.do(ctx, call{op: "submit", method: http.MethodPost, path: "/v1/jobs", query: url.Values{"file": {file}}, body: body, key: key, out: &j})
	return j, err
}

// JobFilter selects jobs. Empty fields select all.
type JobFilter struct {
	Team  units.TeamName
	State string
	Limit int // the newest ones; 100 when zero
}

// Jobs lists jobs, newest first.
func (c *Client) Jobs(ctx context.Context, f JobFilter) ([]Job, error) {
	query := url.Values{}
	for key, value := range map[string]string{"team": string(f.Team), "state": f.State} {
		if value != "" {
			query.Set(key, value)
		}
	}
	if f.Limit > 0 {
		query.Set("limit", strconv.Itoa(f.Limit))
	}
	var list []Job
	err := c.do(ctx, call{op: "jobs", method: http.MethodGet, path: "/v1/jobs", query: query, out: &list})
	return list, err
}

// Job returns one job with its tasks.
func (c *Client) Job(ctx context.Context, id units.JobID) (Job, error) {
	var j Job
	err := c.do(ctx, call{op: "job", method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(string(id)), out: &j})
	return j, err
}

// Cancel cancels a job. Cancelling it again has no effect.
func (c *Client) Cancel(ctx context.Context, id units.JobID, reason, key string) (Job, error) {
	var j Job
	err := c.do(ctx, call{op: "cancel", method: http.MethodPost, path: "/v1/jobs/" + url.PathEscape(string(id)) + "/cancel",
		query: url.Values{"reason": {reason}}, key: key, out: &j})
	return j, err
}

// Workers lists the workers.
func (c *Client) Workers(ctx context.Context) ([]Worker, error) {
	return list[Worker](ctx, c, "workers")
}

// Entries lists the entry processes.
func (c *Client) Entries(ctx context.Context) ([]Entry, error) {
	return list[Entry](ctx, c, "entries")
}

// Teams lists the teams with the use of their quotas.
func (c *Client) Teams(ctx context.Context) ([]Team, error) { return list[Team](ctx, c, "teams") }

func list[T any](ctx context.Context, c *Client, name string) ([]T, error) {
	var out []T
	err := c.do(ctx, call{op: name, method: http.MethodGet, path: "/v1/" + name, out: &out})
	return out, err
}

// TimelineFilter selects events. Empty fields select all.
type TimelineFilter struct {
	Subject string // part of the subject
	Lane    string
	Limit   int // the newest ones; 500 when zero
}

// Timeline returns the time line in format text, json or html.
func (c *Client) Timeline(ctx context.Context, f TimelineFilter, format string) ([]byte, error) {
	query := url.Values{"format": {format}, "subject": {f.Subject}, "lane": {f.Lane}}
	if f.Limit > 0 {
		query.Set("limit", strconv.Itoa(f.Limit))
	}
	var body []byte
	err := c.do(ctx, call{op: "timeline", method: http.MethodGet, path: "/v1/timeline", query: query, raw: &body})
	return body, err
}
