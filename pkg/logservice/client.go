package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Limits of a Client whose fields are zero.
const (
	DefaultMaxRecord = 1 << 20 // bytes of one payload
	DefaultReadLimit = 1000    // records of one read
	DefaultMaxReply  = 64 << 20
)

// aboveTail is an offset that no stream reaches. Reading there yields the
// positions of a service whose 410 does not carry them.
const aboveTail units.Offset = 1 << 62

// errReplyTooLong makes Read ask for fewer records.
var errReplyTooLong = errors.New("reply too long")

// defaultHTTP keeps a connection for each stream that a process writes and
// follows. It follows no redirect, because that could repeat an append.
var defaultHTTP = &http.Client{
	Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// errorBodyLimit bounds what is read of a reply that reports a failure.
const errorBodyLimit = 4 << 10

// Client is a Service over HTTP. Its fields are set before the first call.
type Client struct {
	BaseURL   string       // such as "http://10.0.0.5:7000"; a trailing slash is ignored
	HTTP      *http.Client // nil means one that all such Clients share
	MaxRecord int          // bytes; larger payloads are refused without a request
	ReadLimit int          // records asked for in one read
	MaxReply  int64        // bytes of one reply; a longer one is an error
}

var _ Service = (*Client)(nil)

// Append implements Service. The outcome is Unknown from the moment that a
// connection is available to carry the request, unless the service itself
// states that it did not append: by a 4xx status, or by 503 with Retry-After.
// Any other 5xx may come from a gateway that lost the reply.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (units.Offset, error) {
	const op = "append"
	if limit := orDefault(c.MaxRecord, DefaultMaxRecord); len(payload) > limit {
		return 0, fail(op, Refused, "payload of %d bytes exceeds %d", len(payload), limit)
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, c.records(stream), bytes.NewReader(payload))
	if err != nil {
		return 0, wrap(op, Refused, err)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := c.client().Do(request)
	if err != nil {
		if connected.Load() {
			return 0, wrap(op, Unknown, err)
		}
		return 0, wrap(op, Unavailable, err)
	}
	defer discard(response.Body)
	if response.StatusCode/100 != 2 {
		return 0, statusError(op, appendKind(response), response)
	}
	reply := struct{ Offset *units.Offset }{}
	body, err := io.ReadAll(io.LimitReader(response.Body, errorBodyLimit))
	if err != nil {
		return 0, wrap(op, Unknown, err)
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.Offset == nil {
		return 0, fail(op, Unknown, "reply %.80q has no offset", body)
	}
	return *reply.Offset, nil
}

// Read implements Service.
func (c *Client) Read(ctx context.Context, stream string, from units.Offset, wait time.Duration) (Batch, error) {
	limit := orDefault(c.ReadLimit, DefaultReadLimit)
	batch, err := c.read(ctx, stream, from, limit, wait)
	for errors.Is(err, errReplyTooLong) && limit > 1 {
		limit = max(1, limit/8) // large records, as those of a snapshot are
		batch, err = c.read(ctx, stream, from, limit, wait)
	}
	if fault.Is(err, Expired) && batch.Next == 0 && from < aboveTail {
		if ends, endsErr := c.read(ctx, stream, aboveTail, 1, 0); endsErr == nil {
			batch = Batch{First: ends.First, Next: ends.Next}
		}
	}
	return batch, err
}

func (c *Client) read(ctx context.Context, stream string, from units.Offset, limit int, wait time.Duration) (Batch, error) {
	const op = "read"
	query := url.Values{
		"from":  {strconv.FormatUint(uint64(from), 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {max(wait, 0).String()},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.records(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Batch{}, wrap(op, Refused, err)
	}
	response, err := c.client().Do(request)
	if err != nil {
		return Batch{}, wrap(op, Unavailable, err)
	}
	defer discard(response.Body)
	if response.StatusCode/100 != 2 && response.StatusCode != http.StatusGone {
		return Batch{}, statusError(op, readKind(response), response)
	}
	most := int64(orDefault(int(c.MaxReply), DefaultMaxReply))
	body, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	if err != nil {
		return Batch{}, wrap(op, Unavailable, err)
	}
	if int64(len(body)) > most {
		return Batch{}, fail(op, Unavailable, "%w: more than %d bytes", errReplyTooLong, most)
	}
	batch, err := decodeBatch(body, from)
	if response.StatusCode == http.StatusGone {
		return Batch{First: batch.First, Next: batch.Next}, fail(op, Expired, "offset %d of stream %s is no longer kept", from, stream)
	}
	if err != nil {
		return Batch{}, wrap(op, Unavailable, err)
	}
	return batch, nil
}

// decodeBatch reads the body of a read's reply and checks that its records
// follow each other without a gap from offset from on.
func decodeBatch(body []byte, from units.Offset) (Batch, error) {
	var reply struct {
		First, Next *units.Offset
		Records     []Record
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return Batch{}, fmt.Errorf("decode reply: %w", err)
	}
	if reply.First == nil || reply.Next == nil {
		return Batch{}, errors.New("decode reply: first or next is missing")
	}
	batch := Batch{Records: reply.Records, First: *reply.First, Next: *reply.Next}
	for i, r := range batch.Records {
		if want := from + units.Offset(i); r.Offset != want || r.Offset >= batch.Next {
			return Batch{First: batch.First, Next: batch.Next}, fmt.Errorf("decode reply: record %d has offset %d, want %d below %d", i, r.Offset, want, batch.Next)
		}
	}
	return batch, nil
}

func (c *Client) records(stream string) string {
	return strings.TrimRight(c.BaseURL, "/") + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTP
}

// appendKind says what the status of a failed append proves.
func appendKind(r *http.Response) Kind {
	switch code := r.StatusCode; {
	case code == http.StatusTooManyRequests,
		code == http.StatusServiceUnavailable && r.Header.Get("Retry-After") != "":
		return Unavailable
	case code == http.StatusRequestTimeout:
		return Unknown
	case code/100 == 4, code/100 == 3:
		return Refused
	}
	return Unknown
}

func readKind(r *http.Response) Kind {
	if code := r.StatusCode; code/100 == 4 && code != http.StatusTooManyRequests && code != http.StatusRequestTimeout {
		return Refused
	}
	return Unavailable
}

func statusError(op string, kind Kind, r *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(r.Body, errorBodyLimit))
	return fail(op, kind, "%s: %s", r.Status, bytes.TrimSpace(text))
}

// discard reads the rest of a short body so that the connection is reused.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, errorBodyLimit)
	_ = body.Close()
}

func orDefault(value, otherwise int) int {
	if value > 0 {
		return value
	}
	return otherwise
}
