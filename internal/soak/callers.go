package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/standin/callers"
)

const (
	callersHost = "desk.example"
	callerCount = 5
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 3 * time.Second
	// meanRequestGap is the mean time between two requests of a caller.
	meanRequestGap = 120 * time.Millisecond
	// submitTimeout is how long a caller retries a submission that is not accepted.
	submitTimeout = 6 * time.Second
	retryDelay    = 150 * time.Millisecond
	// watcherStopTimeout is how long a watcher may still run after the
	// acknowledgement of its cancellation at the end of the run, when no fault is
	// injected.
	watcherStopTimeout = 5 * time.Second
)

// The specs of jobs, by which the runner stand-ins select what the tasks do.
const (
	quickSpec   = "quick"
	slowSpec    = "slow"
	failingSpec = "hopeless"
	longSpec    = "long"
	watchSpec   = "watch"
)

// The final states of a job in responses to callers.
const (
	completed = "completed"
	failed    = "failed"
	cancelled = "cancelled"
)

var finalStates = map[string]bool{completed: true, failed: true, cancelled: true}

// jobTemplate is a kind of job and its relative frequency.
type jobTemplate struct {
	queue  string
	weight int
	job    callers.Job
}

var jobTemplates = []jobTemplate{
	{"quick", 8, callers.Job{Spec: quickSpec, Steps: []callers.Step{{Tasks: 3}, {Tasks: 2, After: []int{0}}}}},
	{"runs", 5, callers.Job{Spec: slowSpec, Steps: []callers.Step{{Tasks: 4}, {Tasks: 1, After: []int{0}}}}},
	{"runs", 1, callers.Job{Spec: failingSpec, Steps: []callers.Step{{Tasks: 1}}}},
	{"quick", 1, callers.Job{Spec: watchSpec, Steps: []callers.Step{{Tasks: 2, LongRunning: true}}}},
}

// observedState is a job state that a caller received.
type observedState struct {
	at    time.Time
	state string
}

// job records what callers observed of a job. Only its caller writes it until all
// callers have stopped.
type job struct {
	id       string
	path     string
	template *jobTemplate
	accepted time.Time // zero until a submission succeeds
	rejected bool      // every submission was rejected
	// cancelSent and cancelled are the times at which the cancellation was first
	// sent and first acknowledged.
	cancelSent time.Time
	cancelled  time.Time
	states     []observedState
}

func (j *job) lastState() string {
	if len(j.states) == 0 {
		return ""
	}
	return j.states[len(j.states)-1].state
}

// abortedRequest is a request whose connection an entry process closed before the
// response was complete.
type abortedRequest struct {
	host      string
	sent      time.Time
	abortedAt time.Time
	reason    string
}

// loadGenerator contains the callers of a run and the jobs that they submitted.
type loadGenerator struct {
	fleet     *fleet
	callers   []*caller
	templates []jobTemplate

	mu                  sync.Mutex // guards the fields below
	jobs                map[string]*job
	jobsInOrder         []*job
	abortedRequests     []abortedRequest
	unexpectedResponses []Broken // responses that no fault explains
	responses           int
	watcherJobs         int
}

// caller sends requests one at a time, to the entry processes in turn, over one
// persistent connection to each.
type caller struct {
	generator  *loadGenerator
	random     *rand.Rand
	clients    []*callers.Client
	nextClient int // counter; modulo len(clients) it is the index
	accepted   []*job
}

func newLoadGenerator(f *fleet, seed uint64, templates []jobTemplate) *loadGenerator {
	g := &loadGenerator{fleet: f, jobs: make(map[string]*job), templates: templates}
	for i := range callerCount {
		c := &caller{generator: g, random: rand.New(rand.NewPCG(seed, uint64(i)+2)), nextClient: i}
		for _, h := range f.entries {
			c.clients = append(c.clients, &callers.Client{Host: callersHost, Address: h.clients.Address(), Timeout: callerTimeout})
		}
		g.callers = append(g.callers, c)
	}
	return g
}

func (g *loadGenerator) close() {
	for _, c := range g.callers {
		for _, client := range c.clients {
			client.Close()
		}
	}
}

// run runs the callers until ctx ends.
func (g *loadGenerator) run(ctx context.Context) {
	var wait sync.WaitGroup
	for _, c := range g.callers {
		wait.Go(func() {
			for pause.For(ctx, time.Duration(c.random.ExpFloat64()*float64(meanRequestGap))) {
				c.sendRandomRequest(ctx)
			}
		})
	}
	wait.Wait()
}

// sendRandomRequest submits a job, or queries or cancels a job of this caller.
func (c *caller) sendRandomRequest(ctx context.Context) {
	switch n := c.random.IntN(100); {
	case n < 50 || len(c.accepted) == 0:
		c.submit(ctx, c.newJob())
	case n < 95:
		c.queryState(ctx, c.accepted[c.random.IntN(len(c.accepted))])
	default:
		c.cancel(ctx, c.accepted[c.random.IntN(len(c.accepted))])
	}
}

func (c *caller) newJob() *job {
	templates := c.generator.templates
	total := 0
	for _, s := range templates {
		total += s.weight
	}
	n := c.random.IntN(total)
	index := 0
	for n >= templates[index].weight {
		n -= templates[index].weight
		index++
	}
	g := c.generator
	g.mu.Lock()
	defer g.mu.Unlock()
	// Watchers never end by themselves, so their number is limited to that of the
	// agents to leave capacity for other jobs.
	if templates[index].job.Spec == watchSpec {
		if g.watcherJobs++; g.watcherJobs > len(g.fleet.agents) {
			index = 0
		}
	}
	j := &job{id: fmt.Sprintf("%016x", c.random.Uint64()), template: &templates[index]}
	j.path = "/" + j.template.queue + "/" + j.id
	g.jobs[j.id] = j
	g.jobsInOrder = append(g.jobsInOrder, j)
	return j
}

// send sends a request to the next entry process and records its outcome.
func (c *caller) send(request func(*callers.Client) callers.Result) callers.Result {
	n := c.nextClient % len(c.clients)
	c.nextClient++
	a := request(c.clients[n])
	g := c.generator
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Status != 0 {
		g.responses++
	}
	if a.CutOff(abortTolerance) && !g.fleet.entries[n].clients.Refused(a.From) {
		g.abortedRequests = append(g.abortedRequests, abortedRequest{host: g.fleet.entries[n].name, sent: a.SentAt, abortedAt: a.SentAt.Add(a.Elapsed), reason: a.Err.Error()})
	}
	return a
}

// recordUnexpected records a response that no fault explains.
func (g *loadGenerator) recordUnexpected(j *job, promise, format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unexpectedResponses = append(g.unexpectedResponses, Broken{Promise: promise, At: time.Now(), Job: j.id, Text: fmt.Sprintf(format, args...)})
}

// submit submits the job and retries under the same job ID until it is accepted or
// the caller gives up.
func (c *caller) submit(ctx context.Context, j *job) {
	rejections, attempts := 0, 0
	for deadline := time.Now().Add(submitTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		attempts++
		a := c.send(func(client *callers.Client) callers.Result { return client.Submit(ctx, j.path, j.template.job) })
		switch a.Status {
		case http.StatusOK:
			j.accepted = time.Now()
			c.accepted = append(c.accepted, j)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			rejections++
			if c.random.IntN(2) == 0 {
				deadline = time.Now() // the caller gives up after a rejection
			}
		case http.StatusNotFound, http.StatusGone:
			c.generator.recordUnexpected(j, "a queue that exists is found", "submission got status %d", a.Status)
		}
		pause.For(ctx, retryDelay)
	}
	j.rejected = rejections == attempts
}

// queryState queries the state of the job and checks it against earlier ones.
func (c *caller) queryState(ctx context.Context, j *job) {
	a := c.send(func(client *callers.Client) callers.Result { return client.State(ctx, j.path) })
	switch {
	case a.Malformed:
		c.generator.recordUnexpected(j, "answers are whole", "the response to a state query is malformed")
	case a.Status == http.StatusGone || a.Status == http.StatusNotFound:
		c.generator.recordUnexpected(j, "an accepted job is known", "state query got status %d, %v after the job was accepted", a.Status, time.Since(j.accepted).Round(time.Millisecond))
	case a.Status == http.StatusOK:
		if before := j.lastState(); finalStates[before] && a.State != before {
			c.generator.recordUnexpected(j, "a final state stays", "state is %s after it was %s", a.State, before)
		}
		j.states = append(j.states, observedState{time.Now(), a.State})
	}
}

// cancel sends a cancellation of the job and records its acknowledgement.
func (c *caller) cancel(ctx context.Context, j *job) {
	if j.cancelSent.IsZero() {
		j.cancelSent = time.Now()
	}
	a := c.send(func(client *callers.Client) callers.Result { return client.Cancel(ctx, j.path) })
	if a.Status == http.StatusOK && j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
	if a.Status == http.StatusGone {
		c.generator.recordUnexpected(j, "an accepted job is known", "cancellation got status %d", a.Status)
	}
}

// waitForJobs queries every accepted job until it has settled, then cancels the
// watchers and waits until their tasks have stopped.
func (g *loadGenerator) waitForJobs(ctx context.Context, within time.Duration) {
	c := g.callers[0]
	deadline := time.Now().Add(within)
	for _, j := range g.jobsInOrder {
		// An unacknowledged cancellation may have taken effect, so it is retried.
		for !j.cancelSent.IsZero() && j.cancelled.IsZero() && !finalStates[j.lastState()] && time.Now().Before(deadline) && ctx.Err() == nil {
			c.cancel(ctx, j)
		}
		for !j.accepted.IsZero() && !g.settled(j) && time.Now().Before(deadline) && ctx.Err() == nil {
			c.queryState(ctx, j)
			if !g.settled(j) {
				pause.For(ctx, pollInterval)
			}
		}
	}
	for _, j := range g.jobsInOrder {
		if !j.accepted.IsZero() && !g.settled(j) {
			g.recordUnexpected(j, "an accepted job ends", "last state was %q, %d of its tasks are running", j.lastState(), g.fleet.runRecorder.RunningTasks(j.id))
		}
	}
	g.cancelWatchers(ctx, c)
}

// settled reports whether the job is in a final state, or is a watcher that was
// not cancelled and whose tasks are all running.
func (g *loadGenerator) settled(j *job) bool {
	if j.template.job.Spec == watchSpec && j.cancelSent.IsZero() {
		return g.fleet.runRecorder.RunningTasks(j.id) == j.template.job.Steps[0].Tasks
	}
	return finalStates[j.lastState()]
}

func (g *loadGenerator) cancelWatchers(ctx context.Context, c *caller) {
	var watchers []*job
	for _, j := range g.jobsInOrder {
		if j.template.job.Spec == watchSpec && !j.accepted.IsZero() {
			watchers = append(watchers, j)
			for tries := 0; j.cancelled.IsZero() && tries < 20 && ctx.Err() == nil; tries++ {
				c.cancel(ctx, j)
			}
		}
	}
	deadline := time.Now().Add(watcherStopTimeout)
	for _, j := range watchers {
		for g.fleet.runRecorder.RunningTasks(j.id) > 0 && time.Now().Before(deadline) && pause.For(ctx, pollInterval) {
		}
		if n := g.fleet.runRecorder.RunningTasks(j.id); n > 0 && ctx.Err() == nil {
			g.recordUnexpected(j, "cancelled jobs stop", "%d tasks are still running", n)
		}
	}
}
