// Package callers is a stand-in for the users' clients. It submits jobs, queries
// their states and cancels them, and keeps its connections open until the server
// closes them.
package callers

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Step is one step of a job.
type Step struct {
	Tasks       int
	After       []int // indexes of the steps that must complete first
	LongRunning bool
}

// Job is a job to submit. Every task requires one core.
type Job struct {
	Spec  string // instructions for the stand-in of the runners on what the tasks do
	Steps []Step
}

// Result is the result of a request.
type Result struct {
	Status     int // 0 if no complete response was received
	RetryAfter string
	State      string        // state of the job, for a request by State
	Malformed  bool          // the body cannot be decoded
	SentAt     time.Time     // time at which the complete request had been written; zero if it was not
	Elapsed    time.Duration // time from SentAt to the end of the request
	From       string        // local address of the connection, IP:port; empty if there was none
	Err        error
}

// Client sends requests to the entry process at Address. Set the exported fields
// before use.
type Client struct {
	Host    string
	Address string
	Timeout time.Duration

	transport http.Transport
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Submit submits the job.
func (c *Client) Submit(ctx context.Context, path string, job Job) Result {
	steps := make([]map[string]any, len(job.Steps))
	for i, s := range job.Steps {
		steps[i] = map[string]any{"count": s.Tasks, "cpu": 1000, "memMb": 10, "estimateMs": 100}
		if len(s.After) > 0 {
			steps[i]["after"] = s.After
		}
		if s.LongRunning {
			steps[i]["longRunning"] = true
		}
	}
	body, err := json.Marshal(map[string]any{"spec": job.Spec, "steps": steps})
	if err != nil {
		return Result{Err: err}
	}
	return c.send(ctx, http.MethodPost, path, string(body))
}

// State queries the state of the job.
func (c *Client) State(ctx context.Context, path string) Result {
	return c.send(ctx, http.MethodGet, path, "")
}

// Cancel cancels the job.
func (c *Client) Cancel(ctx context.Context, path string) Result {
	return c.send(ctx, http.MethodDelete, path, "")
}

var errIncomplete = errors.New("response is incomplete")

func (c *Client) send(ctx context.Context, method, path, body string) (a Result) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var written atomic.Int64
	var from atomic.Value
	from.Store("")
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { from.Store(i.Conn.LocalAddr().String()) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				written.Store(time.Now().UnixNano())
			}
		},
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return Result{Err: err}
	}
	request.Host, request.ContentLength = c.Host, int64(len(body))
	request.GetBody = nil // prevents net/http from retrying the request
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	defer func() {
		a.From, _ = from.Load().(string)
		if at := written.Load(); at > 0 {
			a.SentAt = time.Unix(0, at)
			a.Elapsed = time.Since(a.SentAt)
		}
	}()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Result{Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{Err: errors.Join(errIncomplete, err)}
	}
	a = Result{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
	if method == http.MethodGet && a.Status == http.StatusOK {
		var in struct {
			State string `json:"state"`
		}
		a.Malformed = json.Unmarshal(data, &in) != nil || in.State == ""
		a.State = in.State
	}
	return a
}

// CutOff reports whether the server dropped a request that it had read: the
// connection ended more than slack after the complete request had been sent. The
// caller's own timeout or cancellation does not count.
func (a Result) CutOff(slack time.Duration) bool {
	var timeout net.Error
	if a.Err == nil || errors.As(a.Err, &timeout) && timeout.Timeout() || errors.Is(a.Err, context.Canceled) {
		return false
	}
	return !a.SentAt.IsZero() && a.Elapsed > slack
}
