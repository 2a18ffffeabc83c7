// Package callers stands in for the users' clients: it submits jobs, asks for
// their states and cancels them, and keeps its connection open until the other
// side ends it.
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

// Step is a step of a job.
type Step struct {
	Tasks       int
	After       []int // steps that must be done first
	LongRunning bool
}

// Job is what a caller submits. Every task takes one core.
type Job struct {
	Spec  string // tells the stand-in of the runners what the tasks do
	Steps []Step
}

// Answer is what a caller gets.
type Answer struct {
	Status     int // 0 without a whole answer
	RetryAfter string
	State      string        // of the job, when asked for
	Malformed  bool          // a body that can't be read
	SentAt     time.Time     // when the whole request had been written; zero if it never was
	Elapsed    time.Duration // from then to the end
	Err        error
}

// Client sends to one entry process at a time. Set the exported fields before use.
type Client struct {
	Host    string
	Address string
	Timeout time.Duration

	transport http.Transport
}

// Close gives up open connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Submit hands the job in.
func (c *Client) Submit(ctx context.Context, path string, job Job) Answer {
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
		return Answer{Err: err}
	}
	return c.send(ctx, http.MethodPost, path, string(body))
}

// State asks for the job's state.
func (c *Client) State(ctx context.Context, path string) Answer {
	return c.send(ctx, http.MethodGet, path, "")
}

// Cancel cancels the job.
func (c *Client) Cancel(ctx context.Context, path string) Answer {
	return c.send(ctx, http.MethodDelete, path, "")
}

var errIncomplete = errors.New("the answer is incomplete")

func (c *Client) send(ctx context.Context, method, path, body string) (a Answer) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var written atomic.Int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				written.Store(time.Now().UnixNano())
			}
		},
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host, request.ContentLength = c.Host, int64(len(body))
	request.GetBody = nil // net/http must not send it a second time by itself
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	defer func() {
		if at := written.Load(); at > 0 {
			a.SentAt = time.Unix(0, at)
			a.Elapsed = time.Since(a.SentAt)
		}
	}()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: errors.Join(errIncomplete, err)}
	}
	a = Answer{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After")}
	if method == http.MethodGet && a.Status == http.StatusOK {
		var in struct {
			State string `json:"state"`
		}
		a.Malformed = json.Unmarshal(data, &in) != nil || in.State == ""
		a.State = in.State
	}
	return a
}

// Cut reports whether the other side broke off a request that it had read: the
// whole request had been sent for longer than slack when the connection ended.
func (a Answer) CutOff(slack time.Duration) bool {
	var timeout net.Error
	if a.Err == nil || errors.As(a.Err, &timeout) && timeout.Timeout() || errors.Is(a.Err, context.Canceled) {
		return false
	}
	return !a.SentAt.IsZero() && a.Elapsed > slack
}
