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

	"wasabihill.example/wasabihill/internal/connpool"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Limits that a Client uses for fields that are zero.
const (
	DefaultMaxRecord = 1 << 20  // bytes of one payload
	DefaultReadLimit = 1000     // records of one read
	DefaultMaxReply  = 64 << 20 // bytes of one reply
)

// aboveTail is an offset that no stream reaches. A read from there returns First and
// Next of a service whose replies with status 410 don't contain them.
const aboveTail units.Offset = 1 << 62

// errReplyTooLong makes Read repeat the request for fewer records.
var errReplyTooLong = errors.New("reply too long")

// defaultHTTP keeps enough idle connections for the streams that a process writes
// and follows. It follows no redirects, because that could repeat an append.
var defaultHTTP = &http.Client{
	Transport: &connpool.Pool{New: func() *http.Transport {
		return &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     30 * time.Second,
		}
	}},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// errorBodyLimit is how much is read of the body of an error reply or of the reply
// to an append, in bytes.
const errorBodyLimit = 4 << 10

// Client implements Service over HTTP. Its fields must be set before the first call;
// from then on it is safe for concurrent use.
type Client struct {
	BaseURL   string       // such as "http://10.0.0.5:7000"; a trailing slash is ignored
	HTTP      *http.Client // nil means a client that all such Clients share
	MaxRecord int          // bytes; Append rejects a larger payload without a request
	ReadLimit int          // maximum number of records in one read
	MaxReply  int64        // bytes; if a reply is longer, Read repeats the request for fewer records
}

var _ Service = (*Client)(nil)

// Append implements Service. As soon as a connection is available for the request,
// a failure has kind Unknown, unless the service itself states that it did not
// append: by a 3xx or 4xx status other than 408, or by 503 with Retry-After. Any
// other 5xx may come from a gateway that lost the reply.
func (c *Client) Append(ctx context.Context, stream string, payload []byte) (units.Offset, error) {
	const op = "append"
	if limit := orDefault(c.MaxRecord, DefaultMaxRecord); len(payload) > limit {
		return 0, newError(op, Refused, "payload of %d bytes exceeds %d", len(payload), limit)
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, c.recordsURL(stream), bytes.NewReader(payload))
	if err != nil {
		return 0, wrapError(op, Refused, err)
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := c.httpClient().Do(request)
	if err != nil {
		if connected.Load() {
			return 0, wrapError(op, Unknown, err)
		}
		return 0, wrapError(op, Unavailable, err)
	}
	defer discard(response.Body)
	if response.StatusCode/100 != 2 {
		return 0, statusError(op, appendKind(response), response)
	}
	reply := struct{ Offset *units.Offset }{}
	body, err := io.ReadAll(io.LimitReader(response.Body, errorBodyLimit))
	if err != nil {
		return 0, wrapError(op, Unknown, err)
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.Offset == nil {
		return 0, newError(op, Unknown, "reply %.80q has no offset", body)
	}
	return *reply.Offset, nil
}

// Read implements Service.
func (c *Client) Read(ctx context.Context, stream string, from units.Offset, wait time.Duration) (Batch, error) {
	limit := orDefault(c.ReadLimit, DefaultReadLimit)
	batch, err := c.read(ctx, stream, from, limit, wait)
	for errors.Is(err, errReplyTooLong) && limit > 1 {
		limit = max(1, limit/8) // the records may be large, like those of a snapshot
		batch, err = c.read(ctx, stream, from, limit, wait)
	}
	if fault.Is(err, Expired) && batch.Next == 0 && from < aboveTail {
		if positions, positionsErr := c.read(ctx, stream, aboveTail, 1, 0); positionsErr == nil {
			batch = Batch{First: positions.First, Next: positions.Next}
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Batch{}, wrapError(op, Refused, err)
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		return Batch{}, wrapError(op, Unavailable, err)
	}
	defer discard(response.Body)
	if response.StatusCode/100 != 2 && response.StatusCode != http.StatusGone {
		return Batch{}, statusError(op, readKind(response), response)
	}
	maxReply := int64(orDefault(int(c.MaxReply), DefaultMaxReply))
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return Batch{}, wrapError(op, Unavailable, err)
	}
	if int64(len(body)) > maxReply {
		return Batch{}, newError(op, Unavailable, "%w: more than %d bytes", errReplyTooLong, maxReply)
	}
	batch, err := decodeBatch(body, from)
	if response.StatusCode == http.StatusGone {
		return Batch{First: batch.First, Next: batch.Next}, newError(op, Expired, "offset %d of stream %s is no longer kept", from, stream)
	}
	if err != nil {
		return Batch{}, wrapError(op, Unavailable, err)
	}
	return batch, nil
}

// decodeBatch decodes the reply to a read and checks that its records have
// consecutive offsets that begin at from.
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

func (c *Client) recordsURL(stream string) string {
	return strings.TrimRight(c.BaseURL, "/") + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTP
}

// appendKind returns the kind of the error of a failed append: Unknown unless the
// status proves that nothing was appended.
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
	return newError(op, kind, "%s: %s", r.Status, bytes.TrimSpace(text))
}

// discard reads the rest of a short body, so that the connection can be reused.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, errorBodyLimit)
	_ = body.Close()
}

func orDefault(value, defaultValue int) int {
	if value > 0 {
		return value
	}
	return defaultValue
}
