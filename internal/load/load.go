// Package load offers requests at planned times, whatever the responses do,
// and measures latency from the planned time, so that a stalled system does
// not hide behind requests that were never sent.
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

// Options configures a run.
type Options struct {
	Targets            []string                // base URLs of entry processes, used in turn
	Target             func(number int) string // chooses the base URL instead of Targets; called concurrently
	Service            string                  // empty sends straight to an endpoint, without outcomes
	Rate               float64                 // planned requests per second
	Duration           time.Duration
	MaxInFlight        int // most requests at a time; later ones are sent late, not dropped
	BodyBytes          int
	Deadline           time.Duration // 0 sends none
	NonIdempotentShare float64       // share of requests that must run at most once, 0 to 1
	Poisson            bool          // exponential gaps between requests instead of constant ones
	Seed               uint64
	Prefix             string       // of request ids, so that a checker can tell runs apart
	Observe            func(Sample) // told of each request when it has ended; called concurrently; may be nil
}

// Sample is what became of one request.
type Sample struct {
	ID         string
	Target     string // base URL that it was sent to
	Idempotent bool
	Planned    time.Time
	Latency    time.Duration // from the planned time
	Outcome    string        // done, notRun, unknown, or broken when no whole response came
}

// request is one planned request.
type request struct {
	number     int
	planned    time.Time
	idempotent bool
}

// result is what one worker counted; workers share nothing while they run.
type workerResult struct {
	outcomes map[string]int
	statuses map[int]int
	faults   map[string]int
	done     *hdrhistogram.Histogram // microseconds from the planned time
	notRun   *hdrhistogram.Histogram
	late     *hdrhistogram.Histogram // from the planned time until it was sent
}

// Latencies are recorded from 1 us to 5 minutes with three digits.
const (
	maxLatencyMicroseconds = int64(5 * time.Minute / time.Microsecond)
	significantDigits      = 3
)

func newWorkerResult() *workerResult {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits) }
	return &workerResult{outcomes: map[string]int{}, statuses: map[int]int{}, faults: map[string]int{}, done: h(), notRun: h(), late: h()}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicroseconds)) // always in range
}

// Run offers the load until it is complete or ctx ends.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Target == nil {
		o.Target = func(number int) string { return o.Targets[number%len(o.Targets)] }
	} else if len(o.Targets) == 0 {
		o.Targets = []string{""}
	}
	if len(o.Targets) == 0 || o.Rate <= 0 || o.Duration <= 0 || o.MaxInFlight <= 0 {
		return nil, fmt.Errorf("load: targets, rate, time and in-flight limit must be positive")
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

// runner sends requests.
type sender struct {
	options Options
	client  *http.Client
	body    []byte
	digest  string
}

// plan hands out requests at their planned times and returns how many.
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

// send sends one request, counts what became of it and tells the observer.
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

// request builds the HTTP request. Its body cannot be read twice, so that
// net/http never sends it twice.
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
	h.Header.Set(endpoint.RequestID, id)
	h.Header.Set(headers.IdempotentHeader, strconv.FormatBool(q.idempotent))
	if r.options.Deadline > 0 {
		h.Header.Set(headers.DeadlineHeader, r.options.Deadline.String())
	}
	return h, nil
}

// broken is the outcome of a request that got no whole response.
const outcomeBroken = "broken"

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
		return outcomeBroken, latency // cut in the middle, and seen to be
	}
	return string(r.checkResponse(response, body, id, latency, into)), latency
}

// judge returns the outcome and checks that an answer is the request's own and
// whole.
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
	if response.Header.Get(endpoint.RequestID) != id {
		into.faults["answer of another request"]++
	}
	if response.Header.Get(endpoint.Digest) != r.digest {
		into.faults["request body changed"]++
	}
	if response.Header.Get(endpoint.WholeCheck) != fmt.Sprintf("%016x", xxhash.Sum64(body)) {
		into.faults["answer not whole"]++
	}
	return outcome
}
