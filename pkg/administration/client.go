// The client tries each server at most once per call. Mutations carry an idempotency
// key, so that a request whose reply was lost can safely be sent to the next server.

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

// maxReply limits a reply, in bytes, as protection against an address that belongs
// to another kind of server. A job with 10,000 tasks takes about a tenth of it.
const maxReply = 32 << 20

// Client calls the administration API. Its fields must be set before the first call;
// from then on it is safe for concurrent use.
//
// Every method returns an *Error on failure. A request that fails with
// KindUnavailable, KindBusy or KindInternal is sent to the next server. An error of
// the client itself has KindInvalid if there is no server or its URL is not valid,
// KindUnavailable if a server couldn't be reached or its reply was lost, and
// KindInternal if a reply is too long or can't be decoded. For a mutation,
// Details.Outcome says whether it may have taken effect.
type Client struct {
	Servers []string // base URLs or IP:port, tried in order
	Token   string
	Timeout time.Duration // per server; 10 s when zero
	HTTP    *http.Client  // when nil, a client that follows no redirects
}

// defaultHTTP follows no redirects: an entry process sends none, and following one
// could disclose the token to another host.
var defaultHTTP = &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// NewKey returns a new random idempotency key.
func NewKey() string { return rand.Text() }

type call struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	key    string  // idempotency key; empty for a read
	raw    *[]byte // receives the reply as it is, if set
	out    any     // receives the decoded JSON reply otherwise
}

// do tries each server once. A mutation carries an idempotency key, so trying the
// next server is safe even if the previous one may have executed it.
func (c *Client) do(ctx context.Context, call call) error {
	if len(c.Servers) == 0 {
		return &Error{Op: call.op, Kind: KindInvalid, Message: "no server is given"}
	}
	var failures []string
	var lastErr *Error
	outcome := mutationOutcome(call, OutcomeNotRun)
	for _, server := range c.Servers {
		lastErr = c.callServer(ctx, server, call)
		if lastErr == nil {
			return nil
		}
		if !mayRetryElsewhere(lastErr) {
			if outcome == OutcomeUnknown && lastErr.Kind != KindLostRace { // a publication on a replaced base can no longer win
				lastErr.Details.Outcome = OutcomeUnknown
			}
			return lastErr
		}
		failures = append(failures, server+": "+lastErr.Message)
		if lastErr.Details.Outcome == OutcomeUnknown {
			outcome = OutcomeUnknown
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &Error{Op: call.op, Kind: lastErr.Kind, Message: strings.Join(failures, "; "), Details: Details{Outcome: outcome}, Err: lastErr}
}

// mayRetryElsewhere reports whether the request may succeed at another server.
func mayRetryElsewhere(err *Error) bool {
	switch err.Kind {
	case KindUnavailable, KindBusy, KindInternal:
		return true
	}
	return false
}

func (c *Client) callServer(ctx context.Context, server string, call call) *Error {
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
		return &Error{Op: call.op, Kind: KindInternal, Message: fmt.Sprintf("the reply exceeds %d bytes", maxReply), Details: Details{Outcome: mutationOutcome(call, OutcomeUnknown)}}
	}
	return decode(call, response, body)
}

func baseURL(server string) string {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	return strings.TrimRight(server, "/")
}

// mutationOutcome returns outcome for a mutation and "" for a read, which has no
// outcome.
func mutationOutcome(call call, outcome Outcome) Outcome {
	if call.key == "" {
		return ""
	}
	return outcome
}

// transportError returns the error of a request without a complete reply. Only a
// failure to connect proves that the request was not run.
func transportError(call call, err error) *Error {
	outcome := mutationOutcome(call, OutcomeUnknown)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		outcome = mutationOutcome(call, OutcomeNotRun)
	}
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err // omits the method and the URL
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
				Details: Details{Outcome: mutationOutcome(call, OutcomeUnknown)}, Err: err}
		}
		return nil
	}
	var reply struct{ Error *Error }
	if err := json.Unmarshal(body, &reply); err != nil || reply.Error == nil {
		return &Error{Op: call.op, Kind: KindInternal, Message: "got " + response.Status + " without an error of this API",
			Details: Details{Outcome: mutationOutcome(call, OutcomeUnknown)}}
	}
	reply.Error.Op = call.op
	if reply.Error.Kind == KindInternal {
		reply.Error.Details.Outcome = mutationOutcome(call, OutcomeUnknown)
	}
	return reply.Error
}

func environmentPath(name units.EnvironmentName, rest string) string {
	return "/v1/environments/" + url.PathEscape(string(name)) + rest
}

func versionQuery(key string, version units.Offset) url.Values {
	if version == 0 {
		return url.Values{}
	}
	return url.Values{key: {strconv.FormatUint(uint64(version), 10)}}
}

// Document returns a version of the document; version 0 is the current one. The
// error has KindNotFound if there is no such version.
func (c *Client) Document(ctx context.Context, env units.EnvironmentName, version units.Offset) (Document, error) {
	var d Document
	err := c.do(ctx, call{op: "show", method: http.MethodGet, path: environmentPath(env, "/document"), query: versionQuery("version", version), out: &d})
	return d, err
}

// History returns up to limit versions without their texts, newest first.
func (c *Client) History(ctx context.Context, env units.EnvironmentName, limit int) ([]Document, error) {
	var list []Document
	err := c.do(ctx, call{op: "history", method: http.MethodGet, path: environmentPath(env, "/history"), query: url.Values{"limit": {strconv.Itoa(limit)}}, out: &list})
	return list, err
}

// Check checks a text against the current document without publishing it. An
// invalid text is not an error: its problems are in the result. file is the file
// name in the problems.
func (c *Client) Check(ctx context.Context, env units.EnvironmentName, file string, text []byte) (Checked, error) {
	var out Checked
	err := c.do(ctx, call{op: "check", method: http.MethodPost, path: environmentPath(env, "/check"), query: url.Values{"file": {file}}, body: text, out: &out})
	return out, err
}

// Publish publishes p.Text as the version that follows p.Base. The error has
// KindInvalid if the text is not valid, KindLostRace if p.Base is no longer the
// current version, and KindUnavailable if the log service couldn't be reached. file
// is the file name in the problems.
func (c *Client) Publish(ctx context.Context, p Publication, file string) (Published, error) {
	query := url.Values{"base": {strconv.FormatUint(uint64(p.Base), 10)}, "file": {file}, "author": {p.Author}}
	var out Published
	err := c.do(ctx, call{op: "publish", method: http.MethodPut, path: environmentPath(p.Environment, "/document"), query: query, body: p.Text, key: p.Key, out: &out})
	return out, err
}

// Compare lists the changes from one version to another; 0 is the current version.
func (c *Client) Compare(ctx context.Context, env units.EnvironmentName, from, to units.Offset) ([]environment.Change, error) {
	query := url.Values{"from": {strconv.FormatUint(uint64(from), 10)}, "to": {strconv.FormatUint(uint64(to), 10)}}
	var out []environment.Change
	err := c.do(ctx, call{op: "compare", method: http.MethodGet, path: environmentPath(env, "/changes"), query: query, out: &out})
	return out, err
}

// Promote publishes a version of the document of environment from, 0 for the
// current one, in environment to. base is the version there that it replaces, 0 for
// none. It fails with the same kinds as Publish, and with KindNotFound if there is
// no such document.
func (c *Client) Promote(ctx context.Context, from, to units.EnvironmentName, version, base units.Offset, author, key string) (Published, error) {
	query := url.Values{"from": {string(from)}, "version": {strconv.FormatUint(uint64(version), 10)},
		"base": {strconv.FormatUint(uint64(base), 10)}, "author": {author}}
	var out Published
	err := c.do(ctx, call{op: "promote", method: http.MethodPost, path: environmentPath(to, "/promote"), query: query, key: key, out: &out})
	return out, err
}

// SetDomainState takes a failure domain out of service or returns it to service. The
// error has KindNotFound if the document doesn't list the failure domain.
func (c *Client) SetDomainState(ctx context.Context, env units.EnvironmentName, domain units.DomainName, state environment.DomainState, author, key string) (Published, error) {
	path := environmentPath(env, "/domains/"+url.PathEscape(string(domain))+"/"+string(state))
	var out Published
	err := c.do(ctx, call{op: "domain", method: http.MethodPost, path: path, query: url.Values{"author": {author}}, key: key, out: &out})
	return out, err
}

// SetDrained starts or ends the draining of a worker: a drained worker receives no
// new work. The error has KindNotFound if a worker to be drained is unknown.
func (c *Client) SetDrained(ctx context.Context, env units.EnvironmentName, worker units.WorkerID, drained bool, author, key string) (Published, error) {
	verb := map[bool]string{true: "drain", false: "undrain"}[drained]
	path := environmentPath(env, "/workers/"+url.PathEscape(string(worker))+"/"+verb)
	var out Published
	err := c.do(ctx, call{op: verb, method: http.MethodPost, path: path, query: url.Values{"author": {author}}, key: key, out: &out})
	return out, err
}

// Submit submits the job that body describes, in the format of ParseSubmission. file
// is the file name in the problems. The error has KindInvalid if the job is not
// valid, and KindForbidden if it belongs to a team other than the token's.
func (c *Client) Submit(ctx context.Context, file string, body []byte, key string) (Job, error) {
	var j Job
	err := c.do(ctx, call{op: "submit", method: http.MethodPost, path: "/v1/jobs", query: url.Values{"file": {file}}, body: body, key: key, out: &j})
	return j, err
}

// JobFilter selects jobs. An empty field does not restrict the selection.
type JobFilter struct {
	Team  units.TeamName
	State string
	Limit int // number of the newest jobs; 100 when zero
}

// Jobs lists jobs without their tasks, newest first.
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

// Job returns one job with its tasks. The error has KindNotFound if there is no such
// job or it belongs to another team.
func (c *Client) Job(ctx context.Context, id units.JobID) (Job, error) {
	var j Job
	err := c.do(ctx, call{op: "job", method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(string(id)), out: &j})
	return j, err
}

// Cancel cancels a job. Cancelling a job that has ended or is already cancelled has
// no effect. The error has KindNotFound if there is no such job or it belongs to
// another team.
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

// Teams lists the teams with their quotas and usage: every team for an operator, its
// own for a team.
func (c *Client) Teams(ctx context.Context) ([]Team, error) { return list[Team](ctx, c, "teams") }

func list[T any](ctx context.Context, c *Client, name string) ([]T, error) {
	var out []T
	err := c.do(ctx, call{op: name, method: http.MethodGet, path: "/v1/" + name, out: &out})
	return out, err
}

// TimelineFilter selects events. An empty field does not restrict the selection.
type TimelineFilter struct {
	Subject string // substring of the subject
	Lane    string
	Limit   int // number of the newest events; 500 when zero
}

// Timeline returns the timeline in the given format: text, json or html.
func (c *Client) Timeline(ctx context.Context, f TimelineFilter, format string) ([]byte, error) {
	query := url.Values{"format": {format}, "subject": {f.Subject}, "lane": {f.Lane}}
	if f.Limit > 0 {
		query.Set("limit", strconv.Itoa(f.Limit))
	}
	var body []byte
	err := c.do(ctx, call{op: "timeline", method: http.MethodGet, path: "/v1/timeline", query: query, raw: &body})
	return body, err
}
