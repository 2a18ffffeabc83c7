// Package load sends requests at planned times, independently of the responses
// (an open workload), and measures latency from the planned time. A stall of the
// system thus shows in the latency of all requests planned during it.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/internal/standin/endpoint"
)

// Options configures a load run.
type Options struct {
	Targets            []string                // base URLs of entry processes, used round robin
	Target             func(number int) string // returns the base URL and replaces Targets; called concurrently
	Service            string                  // if empty, requests go directly to endpoints, which send no outcomes
	Rate               float64                 // planned requests per second
	Duration           time.Duration
	MaxInFlight        int // concurrent requests; further requests are sent late, not dropped
	BodyBytes          int
	Deadline           time.Duration // 0 for none
	NonIdempotentShare float64       // share of non-idempotent requests, 0 to 1
	Poisson            bool          // exponentially distributed instead of constant gaps between requests
	Seed               uint64
	Prefix             string       // of request IDs, so that a checker can distinguish runs
	Observe            func(Sample) // called concurrently with the sample of each finished request; may be nil
}

// Sample is the result of one request.
type Sample struct {
	ID         string
	Target     string // base URL to which the request was sent
	Idempotent bool
	Planned    time.Time
	Latency    time.Duration // from the planned time
	Outcome    string        // done, notRun, unknown, or broken without a complete response
}

// request is one planned request.
type request struct {
	number     int
	planned    time.Time
	idempotent bool
}

// workerResult holds the counts of one worker goroutine. Workers share no state
// while they run.
type workerResult struct {
	outcomes map[string]int
	statuses map[int]int
	faults   map[string]int
	done     *hdrhistogram.Histogram // microseconds from the planned time
	notRun   *hdrhistogram.Histogram
	late     *hdrhistogram.Histogram // from the planned time to the send time
}

// Latencies are recorded from 1 us to 5 minutes with three significant digits.
const (
	maxLatencyMicroseconds = int64(5 * time.Minute / time.Microsecond)
	significantDigits      = 3
)

func newWorkerResult() *workerResult {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits) }
	return &workerResult{outcomes: map[string]int{}, statuses: map[int]int{}, faults: map[string]int{}, done: h(), notRun: h(), late: h()}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicroseconds)) // cannot fail: the value is in range
}

// Run sends the planned requests until all have ended or ctx ends. It returns an error only
// if the options are not valid; what happened to the requests is in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	noTarget := o.Target == nil && len(o.Targets) == 0
	if o.Target == nil {
		o.Target = func(number int) string { return o.Targets[number%len(o.Targets)] }
	}
	if noTarget || o.Rate <= 0 || o.Duration <= 0 || o.MaxInFlight <= 0 {
		return nil, fmt.Errorf("load: want at least one target, and a rate, a duration and an in-flight limit above 0")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight, DisableCompression: true, MaxResponseHeaderBytes: 64 << 10}
	defer transport.CloseIdleConnections()
	r := &sender{options: o, client: &http.Client{Transport: transport}, body: bytes.Repeat([]byte("b"), o.BodyBytes)}
	r.digest = fmt.Sprintf("%016x", xxhash.Sum64(r.body))
	requests := make(chan request, o.MaxInFlight)
	results := make([]*workerResult, o.MaxInFlight)
	var wait sync.WaitGroup
	for i := range results {
		results[i] = newWorkerResult()
		wait.Go(func() {
			for q := range requests {
				r.send(ctx, q, results[i])
			}
		})
	}
	start := time.Now()
	planned := r.schedule(ctx, start, requests)
	close(requests)
	wait.Wait()
	return newReport(o, planned, time.Since(start), results), nil
}

// sender sends the requests of a run.
type sender struct {
	options Options
	client  *http.Client
	body    []byte
	digest  string
}

// schedule passes requests to the workers at their planned times and returns the
// number of requests.
func (r *sender) schedule(ctx context.Context, start time.Time, requests chan<- request) int {
	random := rand.New(rand.NewPCG(r.options.Seed, 2))
	gap := float64(time.Second) / r.options.Rate
	at := 0.0
	number := 0
	for ; at < float64(r.options.Duration); number++ {
		q := request{number: number, planned: start.Add(time.Duration(at)), idempotent: random.Float64() >= r.options.NonIdempotentShare}
		if d := time.Until(q.planned); d > 0 {
			select {
			case <-time.After(d):
			case <-ctx.Done():
				return number
			}
		}
		select {
		case requests <- q:
		case <-ctx.Done():
			return number
		}
		step := gap
		if r.options.Poisson {
			step *= random.ExpFloat64()
		}
		at += step
	}
	return number
}

// send sends one request, counts its outcome and calls Observe.
func (r *sender) send(ctx context.Context, q request, into *workerResult) {
	id := r.options.Prefix + strconv.Itoa(q.number)
	target := r.options.Target(q.number)
	h, err := r.newRequest(ctx, q, id, target)
	if err != nil {
		into.faults[err.Error()]++
		return
	}
	recordLatency(into.late, time.Since(q.planned))
	outcome, latency := r.exchange(h, q, id, into)
	into.outcomes[outcome]++
	if r.options.Observe != nil {
		r.options.Observe(Sample{ID: id, Target: target, Idempotent: q.idempotent, Planned: q.planned, Latency: latency, Outcome: outcome})
	}
}

// newRequest builds the HTTP request. Its body cannot be rewound, so net/http never
// retries the request.
func (r *sender) newRequest(ctx context.Context, q request, id, target string) (*http.Request, error) {
	url := target + "/"
	if r.options.Service != "" {
		url += "services/" + r.options.Service + "/load"
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(r.body)))
	if err != nil {
		return nil, err
	}
	h.ContentLength = int64(len(r.body))
	if len(r.body) == 0 {
		h.Body = http.NoBody
	}
	h.Header.Set(endpoint.RequestIDHeader, id)
	h.Header.Set(headers.IdempotentHeader, strconv.FormatBool(q.idempotent))
	if r.options.Deadline > 0 {
		h.Header.Set(headers.DeadlineHeader, r.options.Deadline.String())
	}
	return h, nil
}

// outcomeBroken is the outcome of a request without a complete response.
const outcomeBroken = "broken"

// exchange sends a request, reads the whole response and returns the outcome and the latency
// from the planned time.
func (r *sender) exchange(h *http.Request, q request, id string, into *workerResult) (string, time.Duration) {
	response, err := r.client.Do(h)
	if err != nil {
		return outcomeBroken, time.Since(q.planned)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	latency := time.Since(q.planned)
	into.statuses[response.StatusCode]++
	if err != nil {
		return outcomeBroken, latency // the truncation of the body was detected
	}
	return string(r.checkResponse(response, body, id, latency, into)), latency
}

// checkResponse returns the outcome, and checks that a response is complete and
// belongs to the request.
func (r *sender) checkResponse(response *http.Response, body []byte, id string, latency time.Duration, into *workerResult) headers.Outcome {
	outcome := headers.Outcome(response.Header.Get(headers.OutcomeHeader))
	if outcome == "" && r.options.Service == "" {
		outcome = headers.Done
	}
	switch outcome {
	case headers.NotRun:
		recordLatency(into.notRun, latency)
		return outcome
	case headers.Done:
	default:
		return outcome
	}
	recordLatency(into.done, latency)
	if response.StatusCode != http.StatusOK {
		return outcome
	}
	if response.Header.Get(endpoint.RequestIDHeader) != id {
		into.faults["response belongs to another request"]++
	}
	if response.Header.Get(endpoint.BodyDigestHeader) != r.digest {
		into.faults["endpoint received another request body"]++
	}
	if response.Header.Get(endpoint.ResponseDigestHeader) != fmt.Sprintf("%016x", xxhash.Sum64(body)) {
		into.faults["response body is truncated or changed"]++
	}
	return outcome
}
