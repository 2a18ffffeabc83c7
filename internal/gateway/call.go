package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/routing"
)

// maxAttempts bounds the endpoints tried one after the other for a request.
const maxAttempts = 4

// answer is the result of one or more attempts.
type answer struct {
	outcome headers.Outcome
	cause   headers.Reason // with NotRun
	free    bool           // a retry costs no endpoint anything: leaving or not sent
	status  int
	header  http.Header
	length  int64         // declared by the endpoint, -1 for none
	body    []byte        // the whole body, or its beginning when rest is set
	rest    io.ReadCloser // what follows body in a large response
	cancel  context.CancelFunc
	hedge   bool
}

// discard releases what the answer holds; the attempt is over afterwards.
func (a *answer) discard() {
	if a.cancel != nil {
		a.cancel()
	}
	if a.rest != nil {
		a.rest.Close()
	}
}

// call sends the request until an answer is whole or another attempt is not
// allowed. A request that is not idempotent goes on only after proof that it
// did not run.
func (g *Gateway) call(ctx context.Context, in *inbound) *answer {
	var tried []*routing.Endpoint
	unknown := false
	cause := headers.NoEndpoint
	for range maxAttempts {
		choice := g.choose(in, tried)
		if choice == nil {
			break
		}
		if cause == headers.Overload && slices.Contains(tried, choice.Endpoint) {
			choice.End(routing.Cancelled, time.Now())
			break // every endpoint has refused
		}
		tried = append(tried, choice.Endpoint)
		a := g.attempt(ctx, in, choice, &tried)
		if a.outcome == headers.Done {
			return a
		}
		a.discard()
		unknown = unknown || a.outcome == headers.Unknown
		if a.outcome == headers.NotRun {
			cause = a.cause
		}
		if ctx.Err() != nil || (a.outcome == headers.Unknown && !in.idempotent) {
			break
		}
		if !a.free && !g.budget.Withdraw() {
			break
		}
		g.counters.retries.Inc(1)
	}
	if unknown {
		return &answer{outcome: headers.Unknown}
	}
	return &answer{outcome: headers.NotRun, cause: cause}
}

func (g *Gateway) choose(in *inbound, tried []*routing.Endpoint) *routing.Choice {
	return g.options.Table.Choose(routing.Request{Service: in.service, Idempotent: in.idempotent, Avoid: tried}, time.Now())
}

// attempt sends the request to the choice, and for an idempotent request to a
// second endpoint when the first is slow.
func (g *Gateway) attempt(ctx context.Context, in *inbound, choice *routing.Choice, tried *[]*routing.Endpoint) *answer {
	if !in.idempotent {
		return g.send(ctx, in, choice)
	}
	answers := make(chan *answer, 2)
	launch := func(c *routing.Choice, hedge bool) context.CancelFunc {
		attemptCtx, cancel := context.WithCancel(ctx)
		g.attempts.Go(func() {
			a := g.send(attemptCtx, in, c)
			a.hedge = hedge
			answers <- a
		})
		return cancel
	}
	cancels := []context.CancelFunc{launch(choice, false)}
	timer := time.NewTimer(choice.HedgeDelay(time.Now()))
	defer timer.Stop()
	unknown := false // an attempt that lost may have run
	for pending := 1; ; {
		select {
		case <-timer.C:
			second := g.hedge(in, *tried)
			if second == nil {
				continue
			}
			*tried = append(*tried, second.Endpoint)
			cancels = append(cancels, launch(second, true))
			pending++
		case a := <-answers:
			pending--
			if a.outcome != headers.Done && pending > 0 {
				unknown = unknown || a.outcome == headers.Unknown
				a.discard()
				continue
			}
			a = a.after(unknown)
			if a.hedge && a.outcome == headers.Done {
				g.counters.hedgesWon.Inc(1)
			}
			return g.settle(a, answers, pending, cancels)
		}
	}
}

// after returns the answer of the last attempt in view of those before it: when
// one of them may have run, a refusal of the last proves nothing.
func (a *answer) after(unknown bool) *answer {
	if unknown && a.outcome == headers.NotRun {
		a.outcome, a.cause, a.free = headers.Unknown, "", false
	}
	return a
}

// hedge chooses a second endpoint when the budget allows one and there is one.
func (g *Gateway) hedge(in *inbound, tried []*routing.Endpoint) *routing.Choice {
	second := g.choose(in, tried)
	if second == nil {
		return nil
	}
	if slices.Contains(tried, second.Endpoint) || !g.budget.Withdraw() {
		second.End(routing.Cancelled, time.Now())
		return nil
	}
	g.counters.hedges.Inc(1)
	return second
}

// settle gives up the attempts that lost. The winner's attempt goes on until
// its body has been passed on.
func (g *Gateway) settle(winner *answer, answers <-chan *answer, pending int, cancels []context.CancelFunc) *answer {
	lost := 0
	if winner.hedge {
		lost = 1
	}
	own := winner.cancel
	for i, cancel := range cancels {
		if (i == 1) == (lost == 1) {
			winning := cancel
			winner.cancel = func() {
				winning()
				if own != nil {
					own()
				}
			}
			continue
		}
		cancel()
	}
	if pending > 0 {
		g.attempts.Go(func() { (<-answers).discard() })
	}
	return winner
}

// send makes one attempt and classifies its answer.
func (g *Gateway) send(ctx context.Context, in *inbound, choice *routing.Choice) *answer {
	ctx, cancel := context.WithCancel(ctx)
	response, err := choice.RoundTrip(g.outbound(ctx, in))
	if err != nil {
		cancel()
		return failed(ctx, choice, err)
	}
	a := g.receive(response, in)
	a.cancel = cancel
	now := time.Now()
	switch {
	case a.outcome == headers.Done && a.status >= http.StatusInternalServerError:
		choice.End(routing.Failed, now)
	case a.outcome == headers.Done:
		choice.End(routing.Succeeded, now)
	case a.outcome == headers.NotRun && a.cause == headers.Leaving:
		a.free = true
		choice.End(routing.Leaving, now)
	case a.outcome == headers.NotRun && a.cause != headers.NoConnection:
		choice.End(routing.Rejected, now)
	case errors.Is(context.Cause(ctx), context.Canceled):
		choice.End(routing.Cancelled, now)
	default:
		choice.End(routing.Failed, now)
	}
	return a
}

// failed classifies an attempt without a response.
func failed(ctx context.Context, choice *routing.Choice, err error) *answer {
	now := time.Now()
	notSent := fault.Is(err, link.NotSent)
	switch {
	case errors.Is(err, context.Canceled):
		choice.End(routing.Cancelled, now)
	case notSent && ctx.Err() == context.DeadlineExceeded:
		choice.End(routing.Rejected, now)
	case notSent:
		choice.End(routing.NotSent, now)
	default:
		choice.End(routing.Failed, now)
	}
	if notSent {
		return &answer{outcome: headers.NotRun, cause: headers.NoConnection, free: true}
	}
	return &answer{outcome: headers.Unknown}
}

// outbound is the request as the agent gets it.
func (g *Gateway) outbound(ctx context.Context, in *inbound) *http.Request {
	source := in.request
	target := *source.URL
	target.Scheme, target.Host = "http", "link"
	r := &http.Request{
		Method: source.Method, URL: &target, Host: source.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(source.Header)+3), Body: http.NoBody,
	}
	if len(in.body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(in.body)), int64(len(in.body))
	}
	headers.CopyEndToEnd(r.Header, source.Header)
	if source.Header["User-Agent"] == nil {
		r.Header["User-Agent"] = nil // net/http would add its own
	}
	left := max(time.Millisecond, in.deadline.Remaining(time.Now()))
	r.Header[headers.DeadlineHeader] = []string{left.Round(time.Microsecond).String()}
	r.Header[headers.IdempotentHeader] = []string{strconv.FormatBool(in.idempotent)}
	r.Header[headers.PriorityHeader] = []string{strconv.Itoa(int(in.priority))}
	return r.WithContext(ctx)
}

// receive reads the response up to the buffer limit. Only a response that an
// agent marked as done is one of the endpoint.
func (g *Gateway) receive(response *http.Response, in *inbound) *answer {
	a := &answer{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	switch headers.Outcome(response.Header.Get(headers.OutcomeHeader)) {
	case headers.Done:
		a.outcome = headers.Done
	case headers.NotRun:
		response.Body.Close()
		a.outcome, a.cause = headers.NotRun, headers.Reason(response.Header.Get(headers.ReasonHeader))
		return a
	default:
		response.Body.Close()
		a.outcome = headers.Unknown
		return a
	}
	body, err := readUpTo(response, g.options.ResponseBufferBytes)
	switch {
	case err != nil:
		response.Body.Close()
		a.outcome = headers.Unknown
	case int64(len(body)) > g.options.ResponseBufferBytes:
		a.body, a.rest = body, response.Body
	default:
		response.Body.Close()
		a.body = body
		if a.length < 0 && headers.BodyAllowed(in.request.Method, a.status) {
			a.length = int64(len(body))
		}
	}
	return a
}

// readUpTo reads at most one byte more than limit.
func readUpTo(response *http.Response, limit int64) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= limit && response.Request.Method != http.MethodHead {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, limit+1))
}

func (g *Gateway) reject(w http.ResponseWriter, status int, cause headers.Reason, text string) {
	g.counters.outcomes[headers.NotRun].Inc(1)
	headers.WriteRejection(w, status, cause, text)
}

// write passes the answer to the caller. A large response that is cut in the
// middle aborts the caller's connection, because the status has been sent.
func (g *Gateway) write(w http.ResponseWriter, in *inbound, a *answer) {
	switch a.outcome {
	case headers.NotRun:
		g.reject(w, http.StatusServiceUnavailable, a.cause, string(a.cause))
		return
	case headers.Unknown:
		g.counters.outcomes[headers.Unknown].Inc(1)
		headers.WriteUnknownOutcome(w, "no whole response in time; the request may have been executed")
		return
	}
	h := w.Header()
	headers.CopyEndToEnd(h, a.header)
	h[headers.OutcomeHeader] = []string{string(headers.Done)}
	if a.length >= 0 && a.status != http.StatusNoContent {
		h["Content-Length"] = []string{strconv.FormatInt(a.length, 10)}
	}
	w.WriteHeader(a.status)
	if len(a.body) > 0 && headers.BodyAllowed(in.request.Method, a.status) {
		_, _ = w.Write(a.body) // a caller that left needs no response
	}
	if a.rest != nil {
		g.stream(w, a)
	}
	g.counters.outcomes[headers.Done].Inc(1)
}

// stream copies the rest of a large response. The caller must keep reading.
func (g *Gateway) stream(w http.ResponseWriter, a *answer) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 64<<10)
	for {
		n, err := a.rest.Read(buffer)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := w.Write(buffer[:n]); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			_ = control.SetWriteDeadline(time.Time{})
			return
		}
		if err != nil {
			g.counters.cut.Inc(1)
			g.counters.outcomes[headers.Unknown].Inc(1)
			panic(http.ErrAbortHandler)
		}
	}
}
