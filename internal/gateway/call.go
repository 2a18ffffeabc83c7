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

// result is the outcome of one or more attempts.
type result struct {
	outcome       headers.Outcome
	reason        headers.Reason // set when outcome is NotRun
	freeRetry     bool           // a retry adds no load: the endpoint is leaving or nothing was sent
	status        int
	header        http.Header
	contentLength int64         // as declared by the endpoint; -1 if undeclared
	body          []byte        // the complete body, or its beginning when remainder is set
	remainder     io.ReadCloser // the rest of a large response after body
	cancel        context.CancelFunc
	hedge         bool
}

// release frees the resources of the result and ends its attempt.
func (res *result) release() {
	if res.cancel != nil {
		res.cancel()
	}
	if res.remainder != nil {
		res.remainder.Close()
	}
}

// execute sends the request until an attempt returns a response or no further
// attempt is allowed. A request that is not idempotent is retried only after
// proof that it did not run.
func (g *Gateway) execute(ctx context.Context, in *inbound) *result {
	var tried []*routing.Endpoint
	unknown := false
	reason := headers.NoEndpoint
	for range maxAttempts {
		choice := g.choose(in, tried)
		if choice == nil {
			break
		}
		if reason == headers.Overload && slices.Contains(tried, choice.Endpoint) {
			choice.End(routing.Cancelled, time.Now())
			break // every endpoint has rejected the request
		}
		tried = append(tried, choice.Endpoint)
		res := g.attemptWithHedge(ctx, in, choice, &tried)
		if res.outcome == headers.Done {
			return res
		}
		res.release()
		unknown = unknown || res.outcome == headers.Unknown
		if res.outcome == headers.NotRun {
			reason = res.reason
		}
		if ctx.Err() != nil || (res.outcome == headers.Unknown && !in.idempotent) {
			break
		}
		if !res.freeRetry && !g.budget.Withdraw() {
			break
		}
		g.metrics.retries.Inc(1)
	}
	if unknown {
		return &result{outcome: headers.Unknown}
	}
	return &result{outcome: headers.NotRun, reason: reason}
}

func (g *Gateway) choose(in *inbound, tried []*routing.Endpoint) *routing.Choice {
	return g.options.Table.Choose(routing.Request{Service: in.service, Idempotent: in.idempotent, Avoid: tried}, time.Now())
}

// attemptWithHedge sends the request to the chosen endpoint. An idempotent
// request is also sent to a second endpoint when the first is slow.
func (g *Gateway) attemptWithHedge(ctx context.Context, in *inbound, choice *routing.Choice, tried *[]*routing.Endpoint) *result {
	if !in.idempotent {
		return g.sendAttempt(ctx, in, choice)
	}
	results := make(chan *result, 2)
	launch := func(c *routing.Choice, hedge bool) context.CancelFunc {
		attemptCtx, cancel := context.WithCancel(ctx)
		g.backgroundAttempts.Go(func() {
			res := g.sendAttempt(attemptCtx, in, c)
			res.hedge = hedge
			results <- res
		})
		return cancel
	}
	cancels := []context.CancelFunc{launch(choice, false)}
	timer := time.NewTimer(choice.HedgeDelay(time.Now()))
	defer timer.Stop()
	unknown := false // an earlier attempt may have run
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
		case res := <-results:
			pending--
			if res.outcome != headers.Done && pending > 0 {
				unknown = unknown || res.outcome == headers.Unknown
				res.release()
				continue
			}
			res = res.withEarlierUnknown(unknown)
			if res.hedge && res.outcome == headers.Done {
				g.metrics.hedgesWon.Inc(1)
			}
			return g.cancelLosers(res, results, pending, cancels)
		}
	}
}

// withEarlierUnknown adjusts the result of the last attempt for the attempts
// before it: when one of them may have run, a rejection of the last attempt
// does not prove that the request did not run.
func (res *result) withEarlierUnknown(unknown bool) *result {
	if unknown && res.outcome == headers.NotRun {
		res.outcome, res.reason, res.freeRetry = headers.Unknown, "", false
	}
	return res
}

// chooseHedge chooses a second endpoint. It returns nil when there is none or
// the retry budget is exhausted.
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

// cancelLosers cancels the attempts that lost and returns the winner, whose
// attempt continues until its body has been copied to the caller. In cancels,
// the first attempt has index 0 and the hedge index 1.
func (g *Gateway) cancelLosers(winner *result, results <-chan *result, pending int, cancels []context.CancelFunc) *result {
	winnerIndex := 0
	if winner.hedge {
		winnerIndex = 1
	}
	cancelAttempt := winner.cancel
	for i, cancel := range cancels {
		if (i == 1) == (winnerIndex == 1) {
			cancelWinner := cancel
			winner.cancel = func() {
				cancelWinner()
				if cancelAttempt != nil {
					cancelAttempt()
				}
			}
			continue
		}
		cancel()
	}
	if pending > 0 {
		g.backgroundAttempts.Go(func() { (<-results).release() })
	}
	return winner
}

// sendAttempt makes one attempt and classifies its outcome.
func (g *Gateway) sendAttempt(ctx context.Context, in *inbound, choice *routing.Choice) *result {
	ctx, cancel := context.WithCancel(ctx)
	response, err := choice.RoundTrip(g.newAgentRequest(ctx, in))
	if err != nil {
		cancel()
		return classifyError(ctx, choice, err)
	}
	res := g.readResponse(response, in)
	res.cancel = cancel
	now := time.Now()
	switch {
	case res.outcome == headers.Done && res.status >= http.StatusInternalServerError:
		choice.End(routing.Failed, now)
	case res.outcome == headers.Done:
		choice.End(routing.Succeeded, now)
	case res.outcome == headers.NotRun && res.reason == headers.Leaving:
		res.freeRetry = true
		choice.End(routing.Leaving, now)
	case res.outcome == headers.NotRun && res.reason != headers.NoConnection:
		choice.End(routing.Rejected, now)
	case errors.Is(context.Cause(ctx), context.Canceled):
		choice.End(routing.Cancelled, now)
	default:
		choice.End(routing.Failed, now)
	}
	return res
}

// classifyError classifies an attempt that failed without a response.
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

// newAgentRequest returns the request in the form that is sent to the agent.
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
	remaining := max(time.Millisecond, in.deadline.Remaining(time.Now()))
	r.Header[headers.DeadlineHeader] = []string{remaining.Round(time.Microsecond).String()}
	r.Header[headers.IdempotentHeader] = []string{strconv.FormatBool(in.idempotent)}
	r.Header[headers.PriorityHeader] = []string{strconv.Itoa(int(in.priority))}
	return r.WithContext(ctx)
}

// readResponse reads the response up to the buffer limit. Only a response that
// an agent marked as done comes from the endpoint.
func (g *Gateway) readResponse(response *http.Response, in *inbound) *result {
	res := &result{status: response.StatusCode, header: response.Header, contentLength: response.ContentLength}
	switch headers.Outcome(response.Header.Get(headers.OutcomeHeader)) {
	case headers.Done:
		res.outcome = headers.Done
	case headers.NotRun:
		response.Body.Close()
		res.outcome, res.reason = headers.NotRun, headers.Reason(response.Header.Get(headers.ReasonHeader))
		return res
	default:
		response.Body.Close()
		res.outcome = headers.Unknown
		return res
	}
	body, err := readUpTo(response, g.options.ResponseBufferBytes)
	switch {
	case err != nil:
		response.Body.Close()
		res.outcome = headers.Unknown
	case int64(len(body)) > g.options.ResponseBufferBytes:
		res.body, res.remainder = body, response.Body
	default:
		response.Body.Close()
		res.body = body
		if res.contentLength < 0 && headers.BodyAllowed(in.request.Method, res.status) {
			res.contentLength = int64(len(body))
		}
	}
	return res
}

// readUpTo reads at most limit+1 bytes of the body. The extra byte shows that
// the body is longer than limit.
func readUpTo(response *http.Response, limit int64) ([]byte, error) {
	if n := response.ContentLength; n >= 0 && n <= limit && response.Request.Method != http.MethodHead {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, limit+1))
}

func (g *Gateway) reject(w http.ResponseWriter, status int, reason headers.Reason, text string) {
	g.metrics.outcomes[headers.NotRun].Inc(1)
	headers.WriteRejection(w, status, reason, text)
}

// writeResult writes the result to the caller. When the rest of a large
// response is truncated it aborts the caller's connection, because the status
// has already been sent.
func (g *Gateway) writeResult(w http.ResponseWriter, in *inbound, res *result) {
	switch res.outcome {
	case headers.NotRun:
		g.reject(w, http.StatusServiceUnavailable, res.reason, string(res.reason))
		return
	case headers.Unknown:
		g.metrics.outcomes[headers.Unknown].Inc(1)
		headers.WriteUnknownOutcome(w, "no whole response in time; the request may have been executed")
		return
	}
	h := w.Header()
	headers.CopyEndToEnd(h, res.header)
	h[headers.OutcomeHeader] = []string{string(headers.Done)}
	if res.contentLength >= 0 && res.status != http.StatusNoContent {
		h["Content-Length"] = []string{strconv.FormatInt(res.contentLength, 10)}
	}
	w.WriteHeader(res.status)
	if len(res.body) > 0 && headers.BodyAllowed(in.request.Method, res.status) {
		_, _ = w.Write(res.body) // an error means that the caller has disconnected
	}
	if res.remainder != nil {
		g.copyRemainder(w, res)
	}
	g.metrics.outcomes[headers.Done].Inc(1)
}

// copyRemainder copies the rest of a large response. Each write must finish
// within writeTimeout.
func (g *Gateway) copyRemainder(w http.ResponseWriter, res *result) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 64<<10)
	for {
		n, err := res.remainder.Read(buffer)
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
