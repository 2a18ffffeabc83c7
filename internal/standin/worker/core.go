// Package worker is a stand-in for the platform's worker. Core implements
// workerapi.Worker in memory; tests use it directly, with a clock of their own,
// and the command serves it over HTTP. It keeps a log of every interval in
// which an attempt really ran, so that a checker can prove that no task ran on
// two workers at once.
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

// Core is a worker in memory. Set the exported fields before use; the zero
// value of each optional field is a well-behaved worker.
type Core struct {
	Name       units.WorkerID
	Capacity   units.Resources
	FirstEpoch units.Epoch // the first Hold issues FirstEpoch + 1

	// Clock reads the worker's monotonic clock; nil means the time since the
	// first call, on the process's monotonic clock.
	Clock func() workerapi.Clock
	// UsageLag is how old a usage sample is when it becomes visible.
	UsageLag time.Duration
	// ActualSize returns what a task really uses at full speed; nil means its
	// declared size.
	ActualSize func(workerapi.StartRequest) units.Resources
	// ActualRunTime returns how long a task really runs; nil means its
	// declared run time.
	ActualRunTime func(workerapi.StartRequest) time.Duration

	mu      sync.Mutex
	origin  time.Time
	last    workerapi.Clock
	epoch   units.Epoch
	holder  string
	tasks   map[units.Task]*row
	highest map[units.Task]units.Attempt // highest attempt seen, kept after Forget
	runs    []Run
	faults  Faults
	saved   int
}

var _ workerapi.Worker = (*Core)(nil)

// row is one task. Once its state is an ended one it never changes again.
type row struct {
	workerapi.Task
	request workerapi.StartRequest
	target  time.Duration // work to do; 0 runs until stopped
	done    time.Duration // work done, including that of the checkpoint
	actual  units.Resources
	samples []sample // in order of time
	run     int      // index into runs, -1 while not running
}

type sample struct {
	at    workerapi.Clock
	usage units.Resources
}

func (r *row) held() bool {
	return r.State == workerapi.Running || r.State == workerapi.Standby
}

// lock takes the mutex and brings the table up to the present: leases are
// checked before any progress is counted, so that a process that resumes after
// a pause runs nothing past its leases.
func (c *Core) lock() {
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

// Advance brings leases and progress up to the present. The server calls it on
// a ticker; every other method does so first.
func (c *Core) Advance() {
	c.lock()
	c.mu.Unlock()
}

func (c *Core) advance(now workerapi.Clock) {
	elapsed := time.Duration(now - c.last)
	from := c.last
	c.last = now
	for _, r := range c.tasks {
		if !r.held() {
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
		r.done += time.Duration(float64(elapsed) * r.Throttle * c.faults.speed())
		if r.target > 0 && r.done >= r.target {
			c.end(r, workerapi.Completed, now)
		}
	}
}

func (c *Core) end(r *row, state workerapi.TaskState, at workerapi.Clock) {
	r.State = state
	if r.run >= 0 {
		c.runs[r.run].End, c.runs[r.run].Open, c.runs[r.run].State = c.wall(at), false, state
		r.run = -1
	}
	r.samples = append(r.samples, sample{at: at})
}

// Hold implements workerapi.Worker.
func (c *Core) Hold(ctx context.Context, holder string) (workerapi.Holder, error) {
	if err := c.before(ctx, "hold"); err != nil {
		return workerapi.Holder{}, err
	}
	c.lock()
	defer c.mu.Unlock()
	if holder == "" {
		return workerapi.Holder{}, fault.New("hold", workerapi.Invalid, "no holder named")
	}
	c.epoch++
	c.holder = holder
	return workerapi.Holder{Epoch: c.epoch, Clock: c.last, Capacity: c.Capacity}, c.after("hold")
}

// Tasks implements workerapi.Worker. The rows are ordered by task.
func (c *Core) Tasks(ctx context.Context) (workerapi.Table, error) {
	if err := c.before(ctx, "tasks"); err != nil {
		return workerapi.Table{}, err
	}
	c.lock()
	defer c.mu.Unlock()
	if err := c.after("tasks"); err != nil {
		return workerapi.Table{}, err
	}
	table := workerapi.Table{Epoch: c.epoch, Clock: c.last, Tasks: make([]workerapi.Task, 0, len(c.tasks))}
	for _, r := range c.tasks {
		t := r.Task
		t.Usage, t.UsageAge = r.usage(c.last, c.UsageLag)
		table.Tasks = append(table.Tasks, t)
	}
	sort.Slice(table.Tasks, func(i, j int) bool { return less(table.Tasks[i].Task, table.Tasks[j].Task) })
	return table, nil
}

func less(a, b units.Task) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}

// usage returns the newest sample that is at least lag old.
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
	if err := c.before(ctx, "start"); err != nil {
		return err
	}
	c.lock()
	defer c.mu.Unlock()
	if err := c.fence("start", request.Epoch); err != nil {
		return err
	}
	if request.Attempt == 0 || request.Size.Processors < 0 || request.Size.Memory < 0 || request.Size.Accelerators < 0 || request.RunTime < 0 {
		return fault.New("start", workerapi.Invalid, "task %s: attempt, size or run time out of range", request.Task)
	}
	existing := c.tasks[request.Task]
	if existing != nil && existing.Attempt == request.Attempt {
		return c.after("start")
	}
	if request.Attempt <= c.highest[request.Task] || existing != nil && existing.held() {
		return fault.New("start", workerapi.Conflict, "task %s: attempt %d is not newer than %d", request.Task, request.Attempt, c.highest[request.Task])
	}
	if request.LeaseUntil <= c.last {
		return fault.New("start", workerapi.Conflict, "task %s: lease ended before the start", request.Task)
	}
	if !request.Size.Fits(c.Capacity.Sub(c.committed())) {
		return fault.New("start", workerapi.Full, "task %s needs %s", request.Task, request.Size)
	}
	c.add(request)
	return c.after("start")
}

func (c *Core) add(request workerapi.StartRequest) {
	r := &row{
		Task: workerapi.Task{
			Task: request.Task, Attempt: request.Attempt, Kind: request.Kind, State: workerapi.Standby,
			Size: request.Size, LeaseUntil: request.LeaseUntil, Throttle: 1,
			Checkpoint: request.Checkpoint, Label: request.Label,
		},
		request: request, target: request.RunTime, actual: request.Size,
		done: progressOf(request.Checkpoint), run: -1,
	}
	if c.ActualSize != nil {
		r.actual = c.ActualSize(request)
	}
	if c.ActualRunTime != nil {
		r.target = c.ActualRunTime(request)
	}
	c.tasks[request.Task] = r
	if !request.Standby {
		c.runRow(r)
	}
}

// runRow runs a task. Only now does its attempt count as seen: a standby that is
// dropped without having run may be admitted again.
func (c *Core) runRow(r *row) {
	c.highest[r.Task.Task] = r.Attempt
	r.State = workerapi.Running
	r.samples = append(r.samples, sample{c.last, r.actual})
	c.openRun(r)
	if c.faults.FailTasks {
		r.Reason = "worker fails every task"
		c.end(r, workerapi.Failed, c.last)
	}
}

func (c *Core) committed() units.Resources {
	var sum units.Resources
	for _, r := range c.tasks {
		if r.held() {
			sum = sum.Add(r.Size)
		}
	}
	return sum
}

// Activate implements workerapi.Worker.
func (c *Core) Activate(ctx context.Context, e units.Epoch, t units.Task, attempt, as units.Attempt) error {
	if err := c.before(ctx, "activate"); err != nil {
		return err
	}
	c.lock()
	defer c.mu.Unlock()
	if err := c.fence("activate", e); err != nil {
		return err
	}
	r := c.tasks[t]
	switch {
	case r == nil:
		return fault.New("activate", workerapi.NotFound, "no task %s", t)
	case r.Attempt == as && r.State != workerapi.Standby:
		return c.after("activate")
	case r.Attempt != attempt || r.State != workerapi.Standby || as < attempt:
		return fault.New("activate", workerapi.Conflict, "task %s is attempt %d, %s", t, r.Attempt, r.State)
	}
	r.Attempt = as
	c.runRow(r)
	return c.after("activate")
}

// Renew implements workerapi.Worker.
func (c *Core) Renew(ctx context.Context, e units.Epoch, until workerapi.Clock, tasks []units.Task) (workerapi.Clock, error) {
	if err := c.before(ctx, "renew"); err != nil {
		return 0, err
	}
	c.lock()
	defer c.mu.Unlock()
	if err := c.fence("renew", e); err != nil {
		return 0, err
	}
	for _, t := range tasks {
		if r := c.tasks[t]; r != nil && r.held() && until > r.LeaseUntil {
			r.LeaseUntil = until
		}
	}
	return c.last, c.after("renew")
}

func (c *Core) fence(op string, e units.Epoch) error {
	if e != c.epoch {
		return fault.New(op, workerapi.Fenced, "epoch %d is not the current epoch %d", e, c.epoch)
	}
	return nil
}

// find returns the row of an attempt.
func (c *Core) find(op string, e units.Epoch, t units.Task, a units.Attempt) (*row, error) {
	if err := c.fence(op, e); err != nil {
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

// checkpointName names a new checkpoint of r. The name carries the work done,
// which stands for the saved state: any worker can resume from it.
func (c *Core) checkpointName(r *row) string {
	c.saved++
	return fmt.Sprintf("%s/%s/%d/%d@%s", c.Name, r.Task.Task, r.Attempt, c.saved, r.done.Round(time.Millisecond))
}

func progressOf(checkpoint string) time.Duration {
	_, text, _ := strings.Cut(checkpoint, "@")
	done, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return done
}
