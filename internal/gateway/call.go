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
type result struct {
	outcome       headers.Outcome
	reason        headers.Reason // with NotRun
	freeRetry     bool           // a retry costs no endpoint anything: leaving or not sent
	status        int
	header        http.Header
	contentLength int64         // declared by the endpoint, -1 for none
	body          []byte        // the whole body, or its beginning when rest is set
	remainder     io.ReadCloser // what follows body in a large response
	cancel        context.CancelFunc
	hedge         bool
}

// discard releases what the answer holds; the attempt is over afterwards.
func (a *result) release() {
	if a.cancel != nil {
		a.cancel()
	}
	if a.remainder != nil {
		a.remainder.Close()
	}
}

// call sends the request until an answer is whole or another attempt is not
// allowed. A request that is not idempotent goes on only after proof that it
// did not run.
func (g *Gateway) execute(ctx context.Context, in *inbound) *result {
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
		a := g.attemptWithHedge(ctx, in, choice, &tried)
		if a.outcome == headers.Done {
			return a
		}
		a.release()
		unknown = unknown || a.outcome == headers.Unknown
		if a.outcome == headers.NotRun {
			cause = a.reason
		}
		if ctx.Err() != nil || (a.outcome == headers.Unknown && !in.idempotent) {
			break
		}
		if !a.freeRetry && !g.budget.Withdraw() {
			break
		}
		g.metrics.retries.Inc(1)
	}
	if unknown {
		return &result{outcome: headers.Unknown}
	}
	return &result{outcome: headers.NotRun, reason: cause}
}

func (g *Gateway) choose(in *inbound, tried []*routing.Endpoint) *routing.Choice {
	return g.options.Table.Choose(routing.Request{Service: in.service, Idempotent: in.idempotent, Avoid: tried}, time.Now())
}

// attempt sends the request to the choice, and for an idempotent request to a
// second endpoint when the first is slow.
func (g *Gateway) attemptWithHedge(ctx context.Context, in *inbound, choice *routing.Choice, tried *[]*routing.Endpoint) *result {
	if !in.idempotent {
		return g.sendAttempt(ctx, in, choice)
	}
	answers := make(chan *result, 2)
	launch := func(c *routing.Choice, hedge bool) context.CancelFunc {
		attemptCtx, cancel := context.WithCancel(ctx)
		g.cancelledAttempts.Go(func() {
			a := g.sendAttempt(attemptCtx, in, c)
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
			second := g.chooseHedge(in, *tried)
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
				a.release()
				continue
			}
			a = a.withEarlierUnknown(unknown)
			if a.hedge && a.outcome == headers.Done {
				g.metrics.hedgesWon.Inc(1)
			}
			return g.cancelLosers(a, answers, pending, cancels)
		}
	}
}

// after returns the answer of the last attempt in view of those before it: when
// one of them may have run, a refusal of the last proves nothing.
func (a *result) withEarlierUnknown(unknown bool) *result {
	if unknown && a.outcome == headers.NotRun {
		a.outcome, a.reason, a.freeRetry = headers.Unknown, "", false
	}
	return a
}

// hedge chooses a second endpoint when the budget allows one and there is one.
func (g *Gateway) chooseHedge(in *inbound, tried []*routing.Endpoint) *routing.Choice {
	second := g.choose(in, tried)
	if second == nil {
		return nil
	}
	if slices.Contains(tried, second.Endpoint) || !g.budget.Withdraw() {
		second.End(routing.Cancelled, time.Now())
		return nil
	}
	g.metrics.hedges.Inc(1)
	return second
}

// settle gives up the attempts that lost. The winner's attempt goes on until
// its body has been passed on.
func (g *Gateway) cancelLosers(winner *result, answers <-chan *result, pending int, cancels []context.CancelFunc) *result {
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
		g.cancelledAttempts.Go(func() { (<-answers).release() })
	}
	return winner
}

// send makes one attempt and classifies its answer.
func (g *Gateway) sendAttempt(ctx context.Context, in *inbound, choice *routing.Choice) *result {
	ctx, cancel := context.WithCancel(ctx)
	response, err := choice.RoundTrip(g.newAgentRequest(ctx, in))
	if err != nil {
		cancel()
		return classifyError(ctx, choice, err)
	}
	a := g.readResponse(response, in)
	a.cancel = cancel
	now := time.Now()
	switch {
	case a.outcome == headers.Done && a.status >= http.StatusInternalServerError:
		choice.End(routing.Failed, now)
	case a.outcome == headers.Done:
		choice.End(routing.Succeeded, now)
	case a.outcome == headers.NotRun && a.reason == headers.Leaving:
		a.freeRetry = true
		choice.End(routing.Leaving, now)
	case a.outcome == headers.NotRun && a.reason != headers.NoConnection:
		choice.End(routing.Rejected, now)
	case errors.Is(context.Cause(ctx), context.Canceled):
		choice.End(routing.Cancelled, now)
	default:
		choice.End(routing.Failed, now)
	}
	return a
}

// failed classifies an attempt without a response.
func classifyError(ctx context.Context, choice *routing.Choice, err error) *result {
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
		return &result{outcome: headers.NotRun, reason: headers.NoConnection, freeRetry: true}
	}
	return &result{outcome: headers.Unknown}
}

// outbound is the request as the agent gets it.
func (g *Gateway) newAgentRequest(ctx context.Context, in *inbound) *http.Request {
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
func (g *Gateway) readResponse(response *http.Response, in *inbound) *result {
	a := &result{status: response.StatusCode, header: response.Header, contentLength: response.ContentLength}
	switch headers.Outcome(response.Header.Get(headers.OutcomeHeader)) {
	case headers.Done:
		a.outcome = headers.Done
	case headers.NotRun:
		response.Body.Close()
		a.outcome, a.reason = headers.NotRun, headers.Reason(response.Header.Get(headers.ReasonHeader))
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
		a.body, a.remainder = body, response.Body
	default:
		response.Body.Close()
		a.body = body
		if a.contentLength < 0 && headers.BodyAllowed(in.request.Method, a.status) {
			a.contentLength = int64(len(body))
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
	g.metrics.outcomes[headers.NotRun].Inc(1)
	headers.WriteRejection(w, status, cause, text)
}

// write passes the answer to the caller. A large response that is cut in the
// middle aborts the caller's connection, because the status has been sent.
func (g *Gateway) writeResult(w http.ResponseWriter, in *inbound, a *result) {
	switch a.outcome {
	case headers.NotRun:
		g.reject(w, http.StatusServiceUnavailable, a.reason, string(a.reason))
		return
	case headers.Unknown:
		g.metrics.outcomes[headers.Unknown].Inc(1)
		headers.WriteUnknownOutcome(w, "no whole response in time; the request may have been executed")
		return
	}
	h := w.Header()
	headers.CopyEndToEnd(h, a.header)
	h[headers.OutcomeHeader] = []string{string(headers.Done)}
	if a.contentLength >= 0 && a.status != http.StatusNoContent {
		h["Content-Length"] = []string{strconv.FormatInt(a.contentLength, 10)}
	}
	w.WriteHeader(a.status)
	if len(a.body) > 0 && headers.BodyAllowed(in.request.Method, a.status) {
		_, _ = w.Write(a.body) // a caller that left needs no response
	}
	if a.remainder != nil {
		g.copyRemainder(w, a)
	}
	g.metrics.outcomes[headers.Done].Inc(1)
}

// stream copies the rest of a large response. The caller must keep reading.
func (g *Gateway) copyRemainder(w http.ResponseWriter, a *result) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 64<<10)
	for {
		n, err := a.remainder.Read(buffer)
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
			g.metrics.truncated.Inc(1)
			g.metrics.outcomes[headers.Unknown].Inc(1)
			panic(http.ErrAbortHandler)
		}
	}
}
