// Package worker is a stand-in for the platform's worker. Core implements
// workerapi.Worker in memory. Tests use it directly, with their own clock; the
// command serves it over HTTP. It logs every interval in which an attempt actually
// ran, so that a checker can verify that no task ran on two workers at once.
package worker

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// Core is an in-memory worker. Set the exported fields before use. With the zero
// values of the optional fields the worker has no faults.
type Core struct {
	Name       units.WorkerID
	Capacity   units.Resources
	FirstEpoch units.Epoch // the first Hold issues FirstEpoch + 1

	// Clock returns the worker's monotonic clock. If it is nil, the clock is the
	// time since the first call, on the process's monotonic clock.
	Clock func() workerapi.Clock
	// UsageLag is the age at which a usage sample becomes visible.
	UsageLag time.Duration
	// ActualSize returns the resources that a task uses at full speed; nil means
	// its declared size.
	ActualSize func(workerapi.StartRequest) units.Resources
	// ActualRunTime returns the run time of a task at full speed; nil means its
	// declared run time.
	ActualRunTime func(workerapi.StartRequest) time.Duration

	mu              sync.Mutex
	origin          time.Time
	lastAdvance     workerapi.Clock
	epoch           units.Epoch
	holder          string
	tasks           map[units.Task]*row
	highest         map[units.Task]units.Attempt // highest attempt that has run, kept after Forget
	runs            []Run
	faults          Faults
	checkpointCount int
}

var _ workerapi.Worker = (*Core)(nil)

// row is one task. It does not change any more once the task has ended.
type row struct {
	workerapi.Task
	request    workerapi.StartRequest
	workTotal  time.Duration // total work; a task with 0 runs until it is stopped
	workDone   time.Duration // work done, including the work saved in the checkpoint
	actualSize units.Resources
	samples    []sample // ordered by time
	run        int      // index into runs; -1 if not running
}

type sample struct {
	at    workerapi.Clock
	usage units.Resources
}

// active reports whether the task occupies resources and has a lease.
func (r *row) active() bool {
	return r.State == workerapi.Running || r.State == workerapi.Standby
}

// lockAndAdvance locks the mutex and advances all tasks to the current time.
// Leases are checked before progress is counted, so a process that resumes after a
// pause runs no task past its lease.
func (c *Core) lockAndAdvance() {
	c.mu.Lock()
	if c.tasks == nil {
		c.tasks = make(map[units.Task]*row)
		c.highest = make(map[units.Task]units.Attempt)
		c.epoch = c.FirstEpoch
		c.origin = time.Now()
	}
	c.advance(c.now())
}

func (c *Core) now() workerapi.Clock {
	if c.Clock != nil {
		return c.Clock()
	}
	return workerapi.Clock(time.Since(c.origin))
}

// Advance updates leases and progress to the current time. The server calls it
// periodically; every other method does the same first.
func (c *Core) Advance() {
	c.lockAndAdvance()
	c.mu.Unlock()
}

func (c *Core) advance(now workerapi.Clock) {
	elapsed := time.Duration(now - c.lastAdvance)
	from := c.lastAdvance
	c.lastAdvance = now
	for _, r := range c.tasks {
		if !r.active() {
			continue
		}
		if now >= r.LeaseUntil {
			c.end(r, workerapi.Expired, max(from, min(now, r.LeaseUntil)))
			continue
		}
		if r.State != workerapi.Running {
			continue
		}
		r.Ran += elapsed
		r.workDone += time.Duration(float64(elapsed) * r.Throttle * c.faults.speed())
		if r.workTotal > 0 && r.workDone >= r.workTotal {
			c.end(r, workerapi.Completed, now)
		}
	}
}

// end ends a task and closes its run, if any.
func (c *Core) end(r *row, state workerapi.TaskState, at workerapi.Clock) {
	r.State = state
	if r.run >= 0 {
		c.runs[r.run].End, c.runs[r.run].Open, c.runs[r.run].State = c.wallClock(at), false, state
		r.run = -1
	}
	r.samples = append(r.samples, sample{at: at})
}

// Hold implements workerapi.Worker.
func (c *Core) Hold(ctx context.Context, holder string) (workerapi.Holder, error) {
	if err := c.applyFaults(ctx, "hold"); err != nil {
		return workerapi.Holder{}, err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	if holder == "" {
		return workerapi.Holder{}, fault.New("hold", workerapi.Invalid, "no holder named")
	}
	c.epoch++
	c.holder = holder
	return workerapi.Holder{Epoch: c.epoch, Clock: c.lastAdvance, Capacity: c.Capacity}, c.loseReply("hold")
}

// Tasks implements workerapi.Worker. The rows are ordered by task.
func (c *Core) Tasks(ctx context.Context) (workerapi.Table, error) {
	if err := c.applyFaults(ctx, "tasks"); err != nil {
		return workerapi.Table{}, err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	if err := c.loseReply("tasks"); err != nil {
		return workerapi.Table{}, err
	}
	table := workerapi.Table{Epoch: c.epoch, Clock: c.lastAdvance, Tasks: make([]workerapi.Task, 0, len(c.tasks))}
	for _, r := range c.tasks {
		t := r.Task
		t.Usage, t.UsageAge = r.usage(c.lastAdvance, c.UsageLag)
		table.Tasks = append(table.Tasks, t)
	}
	sort.Slice(table.Tasks, func(i, j int) bool { return taskLess(table.Tasks[i].Task, table.Tasks[j].Task) })
	return table, nil
}

func taskLess(a, b units.Task) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}

// usage returns the newest sample that is at least lag old, and drops the samples
// before it.
func (r *row) usage(now workerapi.Clock, lag time.Duration) (units.Resources, time.Duration) {
	var visible units.Resources
	kept := 0
	for i, s := range r.samples {
		if s.at <= now-workerapi.Clock(lag) {
			visible, kept = s.usage, i
		}
	}
	r.samples = r.samples[kept:]
	return visible, lag
}

// Start implements workerapi.Worker.
func (c *Core) Start(ctx context.Context, request workerapi.StartRequest) error {
	if err := c.applyFaults(ctx, "start"); err != nil {
		return err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	if err := c.checkEpoch("start", request.Epoch); err != nil {
		return err
	}
	if request.Attempt == 0 || request.Size.Processors < 0 || request.Size.Memory < 0 || request.Size.Accelerators < 0 || request.RunTime < 0 {
		return fault.New("start", workerapi.Invalid, "task %s: attempt, size or run time out of range", request.Task)
	}
	existing := c.tasks[request.Task]
	if existing != nil && existing.Attempt == request.Attempt {
		return c.loseReply("start")
	}
	if request.Attempt <= c.highest[request.Task] || existing != nil && existing.active() {
		return fault.New("start", workerapi.Conflict, "task %s: attempt %d is not newer than %d", request.Task, request.Attempt, c.highest[request.Task])
	}
	if request.LeaseUntil <= c.lastAdvance {
		return fault.New("start", workerapi.Conflict, "task %s: lease ended before the start", request.Task)
	}
	if !request.Size.Fits(c.Capacity.Sub(c.committed())) {
		return fault.New("start", workerapi.Full, "task %s needs %s", request.Task, request.Size)
	}
	c.addRow(request)
	return c.loseReply("start")
}

func (c *Core) addRow(request workerapi.StartRequest) {
	r := &row{
		Task: workerapi.Task{
			Task: request.Task, Attempt: request.Attempt, Kind: request.Kind, State: workerapi.Standby,
			Size: request.Size, LeaseUntil: request.LeaseUntil, Throttle: 1,
			Checkpoint: request.Checkpoint, Label: request.Label,
		},
		request: request, workTotal: request.RunTime, actualSize: request.Size,
		workDone: checkpointProgress(request.Checkpoint), run: -1,
	}
	if c.ActualSize != nil {
		r.actualSize = c.ActualSize(request)
	}
	if c.ActualRunTime != nil {
		r.workTotal = c.ActualRunTime(request)
	}
	c.tasks[request.Task] = r
	if !request.Standby {
		c.startRow(r)
	}
}

// startRow runs a task. Only then does its attempt count as used: a standby that
// ended without running may be started again with the same attempt.
func (c *Core) startRow(r *row) {
	c.highest[r.Task.Task] = r.Attempt
	r.State = workerapi.Running
	r.samples = append(r.samples, sample{c.lastAdvance, r.actualSize})
	c.recordRunStart(r)
	if c.faults.FailTasks {
		r.Reason = "worker fails every task"
		c.end(r, workerapi.Failed, c.lastAdvance)
	}
}

func (c *Core) committed() units.Resources {
	var sum units.Resources
	for _, r := range c.tasks {
		if r.active() {
			sum = sum.Add(r.Size)
		}
	}
	return sum
}

// Activate implements workerapi.Worker.
func (c *Core) Activate(ctx context.Context, e units.Epoch, t units.Task, attempt, as units.Attempt) error {
	if err := c.applyFaults(ctx, "activate"); err != nil {
		return err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	if err := c.checkEpoch("activate", e); err != nil {
		return err
	}
	r := c.tasks[t]
	switch {
	case r == nil:
		return fault.New("activate", workerapi.NotFound, "no task %s", t)
	case r.Attempt == as && r.State != workerapi.Standby:
		return c.loseReply("activate")
	case r.Attempt != attempt || r.State != workerapi.Standby || as < attempt:
		return fault.New("activate", workerapi.Conflict, "task %s is attempt %d, %s", t, r.Attempt, r.State)
	}
	r.Attempt = as
	c.startRow(r)
	return c.loseReply("activate")
}

// Renew implements workerapi.Worker.
func (c *Core) Renew(ctx context.Context, e units.Epoch, until workerapi.Clock, tasks []units.Task) (workerapi.Clock, error) {
	if err := c.applyFaults(ctx, "renew"); err != nil {
		return 0, err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	if err := c.checkEpoch("renew", e); err != nil {
		return 0, err
	}
	for _, t := range tasks {
		if r := c.tasks[t]; r != nil && r.active() && until > r.LeaseUntil {
			r.LeaseUntil = until
		}
	}
	return c.lastAdvance, c.loseReply("renew")
}

// checkEpoch rejects a call with an epoch other than the current one.
func (c *Core) checkEpoch(op string, e units.Epoch) error {
	if e != c.epoch {
		return fault.New(op, workerapi.Fenced, "epoch %d is not the current epoch %d", e, c.epoch)
	}
	return nil
}

// findAttempt returns the row of an attempt, or an error if the epoch is stale or
// the attempt is not the current one.
func (c *Core) findAttempt(op string, e units.Epoch, t units.Task, a units.Attempt) (*row, error) {
	if err := c.checkEpoch(op, e); err != nil {
		return nil, err
	}
	r := c.tasks[t]
	if r == nil {
		return nil, fault.New(op, workerapi.NotFound, "no task %s", t)
	}
	if r.Attempt != a {
		return nil, fault.New(op, workerapi.Conflict, "task %s is attempt %d, not %d", t, r.Attempt, a)
	}
	return r, nil
}

// checkpointName returns the name of a new checkpoint of r. The name contains the
// work done, in place of saved state, so that any worker can resume from it.
func (c *Core) checkpointName(r *row) string {
	c.checkpointCount++
	return fmt.Sprintf("%s/%s/%d/%d@%s", c.Name, r.Task.Task, r.Attempt, c.checkpointCount, r.workDone.Round(time.Millisecond))
}

// checkpointProgress returns the work done that a checkpoint's name contains.
func checkpointProgress(checkpoint string) time.Duration {
	_, text, _ := strings.Cut(checkpoint, "@")
	done, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return done
}
