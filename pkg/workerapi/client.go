package workerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxReply limits a reply of a worker, in bytes. A table of 10,000 tasks is smaller.
const maxReply = 8 << 20

// Client implements Worker over HTTP. Its fields must be set before the first call;
// from then on it is safe for concurrent use. A command without a reply fails with
// kind Unknown, even if the connection could not be opened, because a proxy may have
// forwarded the command.
type Client struct {
	BaseURL string       // such as "http://127.0.0.1:7001"
	HTTP    *http.Client // nil means http.DefaultClient
}

var _ Worker = (*Client)(nil)

// Hold implements Worker.
func (c *Client) Hold(ctx context.Context, holder string) (Holder, error) {
	var reply holderBody
	if err := c.call(ctx, "hold", http.MethodPost, "/v1/holder", holdBody{Holder: holder}, &reply); err != nil {
		return Holder{}, err
	}
	return Holder{Epoch: reply.Epoch, Clock: reply.Clock.clock(), Capacity: reply.Capacity.resources()}, nil
}

// Tasks implements Worker.
func (c *Client) Tasks(ctx context.Context) (Table, error) {
	var reply tableBody
	if err := c.call(ctx, "tasks", http.MethodGet, "/v1/tasks", nil, &reply); err != nil {
		return Table{}, err
	}
	table, err := reply.table()
	if err != nil {
		return Table{}, fault.New("tasks", Unknown, "decode reply: %w", err)
	}
	return table, nil
}

// Start implements Worker.
func (c *Client) Start(ctx context.Context, r StartRequest) error {
	return c.call(ctx, "start", http.MethodPost, "/v1/tasks", startBodyOf(r), nil)
}

// Activate implements Worker.
func (c *Client) Activate(ctx context.Context, e units.Epoch, t units.Task, attempt, as units.Attempt) error {
	return c.command(ctx, "activate", t, commandBody{Epoch: e, Attempt: attempt, As: as}, nil)
}

// Renew implements Worker.
func (c *Client) Renew(ctx context.Context, e units.Epoch, until Clock, tasks []units.Task) (Clock, error) {
	body := renewBody{Epoch: e, LeaseUntil: millisecondsOf(until), Tasks: make([]string, len(tasks))}
	for i, t := range tasks {
		body.Tasks[i] = t.String()
	}
	var reply clockBody
	if err := c.call(ctx, "renew", http.MethodPost, "/v1/leases", body, &reply); err != nil {
		return 0, err
	}
	return reply.Clock.clock(), nil
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, share float64) error {
	return c.command(ctx, "throttle", t, commandBody{Epoch: e, Attempt: a, Share: share}, nil)
}

// Checkpoint implements Worker.
func (c *Client) Checkpoint(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, stop bool) (string, error) {
	var reply checkpointBody
	err := c.command(ctx, "checkpoint", t, commandBody{Epoch: e, Attempt: a, Stop: stop}, &reply)
	return reply.Checkpoint, err
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error {
	return c.command(ctx, "stop", t, commandBody{Epoch: e, Attempt: a}, nil)
}

// Forget implements Worker.
func (c *Client) Forget(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error {
	query := url.Values{
		"attempt": {strconv.FormatUint(uint64(a), 10)},
		"epoch":   {strconv.FormatUint(uint64(e), 10)},
	}
	return c.call(ctx, "forget", http.MethodDelete, "/v1/tasks/"+url.PathEscape(t.String())+"?"+query.Encode(), nil, nil)
}

func (c *Client) command(ctx context.Context, verb string, t units.Task, body commandBody, reply any) error {
	return c.call(ctx, verb, http.MethodPost, "/v1/tasks/"+url.PathEscape(t.String())+"/"+verb, body, reply)
}

func (c *Client) call(ctx context.Context, op, method, path string, body, reply any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fault.Wrap(op, Invalid, err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, reader)
	if err != nil {
		return fault.Wrap(op, Invalid, err)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return fault.Wrap(op, Unknown, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return fault.Wrap(op, Unknown, err)
	}
	if len(data) > maxReply {
		return fault.New(op, Unknown, "reply exceeds %d bytes", maxReply)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(op, response.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fault.New(op, Unknown, "decode reply: %w", err)
	}
	return nil
}

// kindOfStatus maps the status of an error reply without a kind. A worker that sends
// no kinds uses 409 for an outdated epoch, as the interface documents it.
var kindOfStatus = map[int]Kind{
	http.StatusBadRequest:            Invalid,
	http.StatusRequestEntityTooLarge: Invalid,
	http.StatusNotFound:              NotFound,
	http.StatusConflict:              Fenced,
	http.StatusInsufficientStorage:   Full,
}

func statusError(op string, status int, data []byte) error {
	var body errorBody
	_ = json.Unmarshal(data, &body)
	if body.Kind == "" {
		body.Kind = Unknown
		if kind, ok := kindOfStatus[status]; ok {
			body.Kind = kind
		}
	}
	if body.Error == "" {
		body.Error = http.StatusText(status)
	}
	return fault.New(op, body.Kind, "status %d: %s", status, body.Error)
}

// DefaultTransport returns a transport with limits for an agent that connects only to
// the worker on its machine. A reply's header must arrive within 10 s.
func DefaultTransport() *http.Transport {
	return &http.Transport{MaxIdleConns: 4, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, ResponseHeaderTimeout: 10 * time.Second}
}
