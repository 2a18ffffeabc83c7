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
	// wholeBytes is the largest response that is read completely before it is
	// passed on; a truncated one can then still be answered or retried.
	responseBufferBytes = 64 << 10
	// attempts bounds the connections tried for one request.
	maxAttempts = 3
	// A connection without a response header is suspected after ten service
	// times, but not before minimumStall, which covers pauses of the endpoint.
	silenceFactor = 10
	minSilence    = 500 * time.Millisecond
)

// errSilent cancels an attempt on a connection that went silent.
var errSilentConnection = errors.New("connection is silent while the endpoint announces itself")

// call is one admitted request. It holds a slot.
type call struct {
	forwarder   *Forwarder
	endpoint    *endpoint
	in          *http.Request
	uri         string // for the endpoint
	body        []byte
	idempotent  bool
	deadline    time.Time
	serviceTime time.Duration // service time of a whole response, 0 otherwise
}

// run sends the request until an answer arrives or another attempt is not
// allowed: after bytes were written, only idempotent requests get one.
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

// attempt sends the request once. After nil the response has been written.
func (c *call) attempt(ctx context.Context, w http.ResponseWriter) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.endpoint.budget.Deposit()
	start := time.Now()
	stop := c.cancelIfSilent(start, cancel)
	response, err := c.endpoint.transport.Load().RoundTrip(c.newRequest(ctx))
	stop()
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return c.writeResponse(w, response, start)
}

// watch suspects the connection when the response header takes too long while
// the endpoint announces itself, and cancels the attempt; the retry opens a new
// connection. The returned function ends the watch.
func (c *call) cancelIfSilent(start time.Time, cancel context.CancelCauseFunc) (stop func()) {
	if !c.idempotent {
		return func() {} // it may have been executed: its answer is worth waiting for
	}
	_, _, serviceTime := c.endpoint.admission.load()
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(max(minSilence, silenceFactor*serviceTime), func() {
		if !c.endpoint.announcedSince(start) {
			mu.Lock()
			if !stopped {
				timer.Reset(minSilence)
			}
			mu.Unlock()
			return
		}
		c.forwarder.silentConnections.Inc(1)
		cancel(errSilentConnection)
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
		target = &url.URL{Path: "/"} // net/http has parsed the URI before
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

// pass writes the endpoint's response. A truncated one is an error before
// anything was written; later it aborts the stream, which the entry process
// sees as truncated.
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
