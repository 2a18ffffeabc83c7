package capacity

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// Options are the size and load of the measured cluster.
type Options struct {
	Workers, Entries int
	Tasks            int     // long tasks per worker
	Starts           float64 // short tasks submitted per second during the loaded window
	JobTasks         int     // tasks of each job submitted for Starts
	Rate             float64 // appends per second that the log accepts
	Window           time.Duration
	Changes          int // documents published one after another
}

const (
	// settleTime is the wait until sessions, learned addresses and snapshots are
	// stable.
	settleTime = 5 * time.Second
	// readyTimeout limits each wait for a state of the cluster.
	readyTimeout = 2 * time.Minute
	pollInterval = 50 * time.Millisecond
	shortRunTime = 2 * time.Second
)

// Phase contains the resource use of each role during one window.
type Phase struct {
	Name            string
	Agents, Entries Difference
	Appends, Bytes  float64 // per second, at the log
	RejectedAppends float64 // appends per second that the log rejected because of its rate limit
	Started         float64 // tasks per second that workers started
}

// Result contains the measurements of one cluster.
type Result struct {
	Options
	Phases      []Phase
	AgentsEnd   Sample // after a garbage collection, with the long tasks running
	EntriesEnd  Sample
	EntriesIdle Sample          // after a garbage collection, before any task
	InForce     []time.Duration // time from the publication of each document until the last agent applied it
	Parsed      []float64       // mean number of times that an agent parsed each document
	ChangeBytes []float64       // payload bytes between an agent and entry processes in that time
	Urgent      []time.Duration // time from submission to the start on a worker
}

// cluster is a running cluster: the stand-ins of the platform run in this process,
// each role in its own.
type cluster struct {
	Options
	platform        *platform
	agents, entries *child
	client          *administration.Client
	baseVersion     units.Offset
	published       int
}

// Measure runs a cluster through an idle, a loaded and a starting window.
func Measure(ctx context.Context, o Options) (Result, error) {
	c, err := startCluster(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer c.stop()
	r := Result{Options: o}
	if err := c.awaitWorkers(ctx); err != nil {
		return r, err
	}
	if r.EntriesIdle, err = c.entries.sample(FullAfterGC); err != nil {
		return r, err
	}
	if err := c.measurePhase(ctx, &r, "idle", nil); err != nil {
		return r, err
	}
	if err := c.measureChanges(ctx, &r); err != nil {
		return r, err
	}
	if o.Tasks > 0 {
		if err := c.startLongTasks(ctx); err != nil {
			return r, err
		}
		if err := c.measurePhase(ctx, &r, fmt.Sprintf("%d tasks", o.Tasks), nil); err != nil {
			return r, err
		}
	}
	if r.AgentsEnd, err = c.agents.sample(FullAfterGC); err != nil {
		return r, err
	}
	if r.EntriesEnd, err = c.entries.sample(FullAfterGC); err != nil {
		return r, err
	}
	if o.Starts > 0 {
		err = c.measurePhase(ctx, &r, fmt.Sprintf("%g starts/s", o.Starts), func(ctx context.Context) error { return c.submitSteadily(ctx, &r) })
	}
	return r, err
}

func startCluster(ctx context.Context, o Options) (*cluster, error) {
	p, err := startPlatform(ctx, o.Workers, o.Rate)
	if err != nil {
		return nil, err
	}
	c := &cluster{Options: o, platform: p}
	var ready entriesReady
	if c.entries, err = startChild(ctx, "entries", entriesSettings{o.Entries, p.logAddress}, &ready); err != nil {
		c.stop()
		return nil, err
	}
	c.client = &administration.Client{Servers: ready.Administrations, Token: operatorToken, Timeout: 5 * time.Second}
	if err := await(ctx, "the first document", func() bool { return c.publish(ctx) == nil }); err != nil {
		c.stop()
		return nil, err
	}
	var none struct{}
	if c.agents, err = startChild(ctx, "agents", agentsSettings{o.Workers, p.workersAddress, ready.Links}, &none); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) stop() {
	for _, part := range []*child{c.agents, c.entries} {
		if part != nil {
			part.stop()
		}
	}
	c.platform.close()
}

// publish publishes the next document.
func (c *cluster) publish(ctx context.Context) error {
	published, err := c.client.Publish(ctx, administration.Publication{
		Environment: environmentName, Key: fmt.Sprint("capacity-", c.published), Base: c.baseVersion, Author: "capacity", Text: document(c.published)}, "document")
	if err != nil {
		return err
	}
	c.baseVersion = published.Version
	c.published++
	return nil
}

// await polls a condition until it holds. The error after a timeout names the
// condition.
func await(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("condition not reached: %s: %w", what, ctx.Err())
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *cluster) awaitWorkers(ctx context.Context) error {
	err := await(ctx, "every worker is registered and has a lessor", func() bool {
		list, err := c.client.Workers(ctx)
		ready := 0
		for _, w := range list {
			if w.State == "ready" && w.Lessor != "" {
				ready++
			}
		}
		return err == nil && ready == c.Workers
	})
	if err != nil {
		return err
	}
	return sleep(ctx, settleTime)
}

// measurePhase measures one window while load runs and adds the result to r. load must
// return when its context is done; nil means no load.
func (c *cluster) measurePhase(ctx context.Context, r *Result, name string, load func(context.Context) error) error {
	loading, end := context.WithCancel(ctx)
	defer end()
	var group errgroup.Group
	if load != nil {
		group.Go(func() error { return load(loading) })
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	var agents, entries [2]Sample
	log, runs := c.platform.log.Counts(), c.runCount()
	var err error
	for i := range 2 {
		if agents[i], err = c.agents.sample(Full); err != nil {
			return err
		}
		if entries[i], err = c.entries.sample(Full); err != nil {
			return err
		}
		if i == 0 {
			if err := sleep(ctx, c.Window); err != nil {
				return err
			}
		}
	}
	p := Phase{Name: name, Agents: Between(agents[0], agents[1]), Entries: Between(entries[0], entries[1])}
	after, seconds := c.platform.log.Counts(), p.Entries.Seconds
	p.Appends, p.Bytes = float64(after.Appends-log.Appends)/seconds, float64(after.Bytes-log.Bytes)/seconds
	p.RejectedAppends, p.Started = float64(after.Limited-log.Limited)/seconds, float64(c.runCount()-runs)/seconds
	r.Phases = append(r.Phases, p)
	end()
	return group.Wait()
}

// runCount returns the number of runs that the workers have started.
func (c *cluster) runCount() (n int) {
	for _, core := range c.platform.cores {
		n += len(core.Runs())
	}
	return n
}

// measureChanges publishes documents and waits until every agent has applied each
// of them.
func (c *cluster) measureChanges(ctx context.Context, r *Result) error {
	for range c.Changes {
		before, err := c.agents.sample(Full)
		if err != nil {
			return err
		}
		published := time.Now()
		if err := c.publish(ctx); err != nil {
			return err
		}
		var last Sample
		err = await(ctx, "the document is in force in every agent", func() bool {
			s, err := c.agents.sample(CountersOnly)
			last = s
			return err == nil && s.Counters["documents"]-before.Counters["documents"] >= int64(c.Workers)
		})
		if err != nil {
			return err
		}
		r.InForce = append(r.InForce, last.LastDocument.Sub(published))
		if last, err = c.agents.sample(Full); err != nil {
			return err
		}
		n := float64(c.Workers)
		r.Parsed = append(r.Parsed, float64(last.Counters["parsed"]-before.Counters["parsed"])/n)
		r.ChangeBytes = append(r.ChangeBytes, (float64(last.Traffic["entries"].Payload())-float64(before.Traffic["entries"].Payload()))/n)
	}
	return nil
}

// submit submits a job of small tasks. The key also selects the team, which spreads the jobs
// over the teams.
func (c *cluster) submit(ctx context.Context, key string, tasks int, p units.Priority, run time.Duration) (administration.Job, error) {
	s := administration.Submission{
		Team: units.TeamName(teamName(len(key) + tasks)), Name: "plan", Kind: "plan", Priority: p, Tasks: tasks, RunTime: run,
		Size: units.Resources{Processors: 100, Memory: 100 * units.MiB},
	}
	return c.client.Submit(ctx, "job", administration.EncodeSubmission(s), key)
}

// longJobTasks is the number of tasks of each long job.
const longJobTasks = 10

func (c *cluster) startLongTasks(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(16)
	for i := range c.Workers * c.Tasks / longJobTasks {
		group.Go(func() error {
			_, err := c.submit(ctx, fmt.Sprint("long-", i), longJobTasks, units.PriorityNormal, time.Hour)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	want := c.Workers * c.Tasks / longJobTasks * longJobTasks
	if err := await(ctx, "all long tasks run", func() bool { return c.runCount() >= want }); err != nil {
		return err
	}
	return sleep(ctx, settleTime)
}

// submitSteadily submits Starts short tasks per second, in jobs of JobTasks tasks,
// and one urgent job per second. It adds the start times of the urgent jobs to r.
func (c *cluster) submitSteadily(ctx context.Context, r *Result) error {
	var group errgroup.Group
	group.SetLimit(256)
	interval := time.Duration(float64(c.JobTasks) / c.Starts * float64(time.Second))
	begin := time.Now()
	urgent := make(map[string]time.Time)
	for i, next := 0, begin; ctx.Err() == nil && i < 1_000_000; i, next = i+1, next.Add(interval) {
		if sleep(ctx, time.Until(next)) != nil {
			break
		}
		group.Go(func() error {
			_, _ = c.submit(context.WithoutCancel(ctx), fmt.Sprint("short-", i), c.JobTasks, units.PriorityNormal, shortRunTime)
			return nil
		})
		if time.Since(begin) > time.Duration(len(urgent)+1)*time.Second {
			sent := time.Now()
			if job, err := c.submit(ctx, fmt.Sprint("urgent-", i), 1, units.PriorityUrgent, shortRunTime); err == nil {
				urgent[string(job.ID)] = sent
			}
		}
	}
	_ = group.Wait()
	r.Urgent = c.urgentStarts(urgent)
	return nil
}

// urgentStarts returns the sorted times from submission to the first start of the
// given jobs.
func (c *cluster) urgentStarts(sent map[string]time.Time) (starts []time.Duration) {
	first := make(map[string]time.Time)
	for _, core := range c.platform.cores {
		for _, run := range core.Runs() {
			job, _, _ := strings.Cut(run.Task, "/")
			if at, known := first[job]; !known || run.Start.Before(at) {
				first[job] = run.Start
			}
		}
	}
	for job, at := range sent {
		if start, ok := first[job]; ok {
			starts = append(starts, start.Sub(at))
		}
	}
	slices.Sort(starts)
	return starts
}
