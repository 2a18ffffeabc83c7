package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/internal/link"
)

const (
	// responseBufferBytes is the size up to which a response is buffered
	// completely before it is sent on. A request whose buffered response is
	// truncated can still be answered with an error or retried.
	responseBufferBytes = 64 << 10
	// maxAttempts bounds the connections tried for one request.
	maxAttempts = 3
	// A connection counts as unresponsive when no response header arrives within
	// unresponsiveFactor times the service time, but not before
	// minUnresponsiveTime, which covers pauses of the endpoint.
	unresponsiveFactor  = 10
	minUnresponsiveTime = 500 * time.Millisecond
)

// errUnresponsive cancels an attempt on an unresponsive connection.
var errUnresponsive = errors.New("no response header in time although the endpoint announces itself")

// call is one admitted request. It holds a slot.
type call struct {
	forwarder   *Forwarder
	endpoint    *endpoint
	in          *http.Request
	uri         string // request URI for the endpoint
	body        []byte
	idempotent  bool
	deadline    time.Time
	serviceTime time.Duration // duration of a complete response, 0 otherwise
}

// run sends the request until it has written a response or no further attempt
// is allowed. Once bytes were written to the endpoint, only an idempotent
// request is sent again.
func (c *call) run(ctx context.Context, w http.ResponseWriter) {
	unknown := false
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			c.forwarder.retries.Inc(1)
		}
		err = c.attempt(ctx, w)
		if err == nil {
			return
		}
		sent := !fault.Is(err, link.NotSent)
		unknown = unknown || sent
		if ctx.Err() != nil || (sent && (!c.idempotent || !c.endpoint.budget.Withdraw())) {
			break
		}
	}
	if unknown {
		c.forwarder.outcomes[headers.Unknown].Inc(1)
		headers.WriteUnknownOutcome(w, "no whole response from the endpoint")
		return
	}
	c.forwarder.reject(w, http.StatusServiceUnavailable, headers.NoConnection)
}

// attempt sends the request once. After a nil error the response has been
// written.
func (c *call) attempt(ctx context.Context, w http.ResponseWriter) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.endpoint.budget.Deposit()
	start := time.Now()
	stop := c.cancelIfUnresponsive(start, cancel)
	response, err := c.endpoint.transport.Load().RoundTrip(c.newRequest(ctx))
	stop()
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return c.writeResponse(w, response, start)
}

// cancelIfUnresponsive cancels the attempt when no response header arrives in
// time although the endpoint announces itself. The retry then opens a new
// connection. The returned function stops the timer.
func (c *call) cancelIfUnresponsive(start time.Time, cancel context.CancelCauseFunc) (stop func()) {
	if !c.idempotent {
		return func() {} // it may have been executed and cannot be retried, so wait for its response
	}
	_, _, serviceTime := c.endpoint.admission.load()
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(max(minUnresponsiveTime, unresponsiveFactor*serviceTime), func() {
		if !c.endpoint.announcedSince(start) {
			mu.Lock()
			if !stopped {
				timer.Reset(minUnresponsiveTime)
			}
			mu.Unlock()
			return
		}
		c.forwarder.unresponsiveConnections.Inc(1)
		cancel(errUnresponsive)
	})
	return func() {
		mu.Lock()
		stopped = true
		timer.Stop()
		mu.Unlock()
	}
}

func (c *call) newRequest(ctx context.Context) *http.Request {
	target, err := url.ParseRequestURI(c.uri)
	if err != nil {
		target = &url.URL{Path: "/"} // unreachable: net/http has already parsed the URI
	}
	target.Scheme, target.Host = "http", c.endpoint.address
	r := &http.Request{
		Method: c.in.Method, URL: target, Host: c.in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(c.in.Header)), Body: http.NoBody,
	}
	if len(c.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	headers.CopyEndToEnd(r.Header, c.in.Header)
	r.Header.Set(headers.DeadlineHeader, max(time.Millisecond, time.Until(c.deadline)).Round(time.Microsecond).String())
	r.Header.Set(headers.IdempotentHeader, strconv.FormatBool(c.idempotent))
	return r.WithContext(ctx)
}

// writeResponse writes the endpoint's response to w. A truncated response is an
// error if nothing was written yet. Otherwise the stream is aborted, so that
// the entry process also sees a truncated response.
func (c *call) writeResponse(w http.ResponseWriter, response *http.Response, start time.Time) error {
	var buffer bytes.Buffer
	n, err := io.CopyN(&buffer, response.Body, responseBufferBytes+1)
	if err != nil && err != io.EOF {
		return fault.Wrap("response", link.Unknown, err)
	}
	h := w.Header()
	headers.CopyEndToEnd(h, response.Header)
	h.Set(headers.OutcomeHeader, string(headers.Done))
	switch {
	case response.ContentLength >= 0:
		h["Content-Length"] = response.Header["Content-Length"]
	case n <= responseBufferBytes && headers.BodyAllowed(c.in.Method, response.StatusCode):
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	w.WriteHeader(response.StatusCode)
	_, err = w.Write(buffer.Bytes())
	if err == nil && n > responseBufferBytes {
		_, err = io.Copy(w, response.Body)
	}
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		c.forwarder.outcomes[headers.Unknown].Inc(1)
		panic(http.ErrAbortHandler)
	}
	c.serviceTime = max(time.Since(start), time.Nanosecond)
	c.forwarder.outcomes[headers.Done].Inc(1)
	return nil
}
