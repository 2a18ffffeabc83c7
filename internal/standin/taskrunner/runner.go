// Package taskrunner stands in for the platform's runners in tests. A Runner
// starts, holds and ends runs under a lease and a fencing token, announces
// itself to its agent, and shows the faults that runners have. A Witness sees
// the runs of all runners and tells which promise was broken.
package taskrunner

import (
	"strings"
	"sync"
	"time"
)

// Work is what a run does.
type Work struct {
	Duration time.Duration // until it ends by itself; 0 for a run that never does
	Fails    bool
}

// Settings describe a runner. They do not change.
type Settings struct {
	ID       string
	Service  string
	Domain   string
	Labels   []string
	Cores    int // capacity
	MemoryMb int
	Work     func(task, spec string) Work
	Recorder *Recorder
	// LeaseLimit bounds a lease; StopTime is how long a stop takes.
	MaxLease  time.Duration
	StopDelay time.Duration
	// AcceptsAll starts whatever the agent asks for, room or not.
	IgnoreCapacity bool
	// ClockRate is the speed of the runner's clock; 1 when zero.
	ClockRate float64
}

// run is a run under way.
type run struct {
	attempt   int64
	startTime time.Time
	timer     *time.Timer
	pace      int
}

// ended is a row of the list of ends.
type endedRun struct {
	number       uint64
	task         string
	attempt      int64
	end          string
	leaseExpired bool // the lease lapsed after the end, so that it can't be acknowledged any more
}

// Fault is how a runner treats its agent.
type Fault struct {
	NoReply      bool          // answer nothing
	Status       int           // refuse every call with this status
	OrderDelay   time.Duration // carry orders out this late, without an answer
	FailRuns     bool          // every run fails at once
	NoHeartbeats bool          // send no announcements
}

// Runner is one runner. Its methods are safe for concurrent use.
type Runner struct {
	Settings

	mu                  sync.Mutex
	startTime           time.Time
	token               uint64
	leaseEnd            time.Time
	runs                map[string]*run
	startCount          int              // runs in all lives
	highestAttempt      map[string]int64 // attempts that were started, stopped or ended here
	endedRuns           []endedRun
	lastEndNumber       uint64
	sequence            int64
	draining            bool
	drainAcknowledgedAt time.Time // when an agent first acknowledged that the runner drains
	crashed             bool
	fault               Fault
	changed             chan struct{}
}

// New returns a runner that has just started.
func New(s Settings) *Runner {
	r := &Runner{Settings: s}
	r.reset()
	return r
}

// reset begins a new incarnation. r.mu is held, or nobody else knows r.
func (r *Runner) reset() {
	for task, x := range r.runs {
		x.timer.Stop()
		r.Recorder.recordEnd(task, x.attempt, r.ID, "gone")
	}
	r.startTime, r.token, r.leaseEnd = time.Now(), 0, time.Time{}
	r.runs, r.highestAttempt = make(map[string]*run), make(map[string]int64)
	r.endedRuns, r.lastEndNumber, r.sequence, r.draining, r.drainAcknowledgedAt = nil, 0, 0, false, time.Time{}
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// Restart ends everything and begins a new life under the same id.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	time.Sleep(2 * time.Millisecond) // two lives differ in the millisecond of their start
	r.crashed = false
	r.reset()
}

// Crash ends everything without a word.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.crashed = true
}

// Drain announces that the runner will leave.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
}

// Drained returns when an agent first acknowledged that the runner drains; zero
// for not yet.
func (r *Runner) DrainAcknowledgedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drainAcknowledgedAt
}

// Set replaces the runner's fault.
func (r *Runner) Set(f Fault) {
	r.mu.Lock()
	r.fault = f
	r.mu.Unlock()
}

// Running returns the number of runs under way.
func (r *Runner) RunningTasks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Started returns the number of runs that were ever started here.
func (r *Runner) StartCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startCount
}

// clock is the runner's own clock in milliseconds.
func (r *Runner) clockMs() int64 {
	return int64(float64(time.Since(r.startTime))*r.clockRate()/float64(time.Millisecond)) + 1
}

// at is when the runner's clock shows untilMs.
func (r *Runner) timeOfClock(untilMs int64) time.Time {
	return r.startTime.Add(time.Duration(float64(untilMs) * float64(time.Millisecond) / r.clockRate()))
}

func (r *Runner) clockRate() float64 {
	if r.ClockRate == 0 {
		return 1
	}
	return r.ClockRate
}

// extend takes over a lease. r.mu is held.
func (r *Runner) extendLease(untilMs int64) {
	r.markUnacknowledgeable()
	until := r.timeOfClock(untilMs)
	if limit := time.Now().Add(r.MaxLease); until.After(limit) {
		until = limit
	}
	if until.After(r.leaseEnd) {
		r.leaseEnd = until
	}
}

// noteLapse marks the ends that were listed when the lease lapsed. r.mu is held.
func (r *Runner) markUnacknowledgeable() {
	if r.leaseEnd.IsZero() || !time.Now().After(r.leaseEnd) {
		return
	}
	for i := range r.endedRuns {
		r.endedRuns[i].leaseExpired = true
	}
}

// start returns the reason of a refusal, empty when the run is there.
func (r *Runner) start(task, spec string, attempt int64, untilMs int64, token uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token < r.token {
		return "fence"
	}
	r.token = token
	r.extendLease(untilMs)
	if x := r.runs[task]; x != nil && x.attempt == attempt {
		return ""
	}
	if attempt <= r.highestAttempt[task] {
		return "old"
	}
	if time.Now().After(r.timeOfClock(untilMs)) {
		return "late"
	}
	if len(r.runs) >= r.Cores && !r.IgnoreCapacity {
		return "room"
	}
	r.startRun(task, spec, attempt)
	return ""
}

// begin starts a run. Every run of the stand-in takes one core.
func (r *Runner) startRun(task, spec string, attempt int64) {
	r.highestAttempt[task] = attempt
	r.startCount++
	work := r.Work(task, spec)
	end := "done"
	if work.Fails || r.fault.FailRuns {
		end = "failed"
	}
	after := work.Duration
	if r.fault.FailRuns {
		after = time.Millisecond
	}
	if after == 0 {
		after = time.Hour
	}
	incarnation := r.startTime
	x := &run{attempt: attempt, startTime: time.Now(), pace: 100}
	x.timer = time.AfterFunc(after, func() { r.endRun(incarnation, task, attempt, end) })
	r.runs[task] = x
	r.Recorder.recordStart(task, attempt, r)
	r.watchLease(incarnation, task, attempt)
}

// watchLease ends a run when its lease expires.
func (r *Runner) watchLease(incarnation time.Time, task string, attempt int64) {
	time.AfterFunc(time.Until(r.leaseEnd)+time.Millisecond, func() {
		r.mu.Lock()
		x := r.runs[task]
		running := r.startTime == incarnation && x != nil && x.attempt == attempt
		if running && time.Now().Before(r.leaseEnd) {
			r.watchLease(incarnation, task, attempt)
			running = false
		}
		r.mu.Unlock()
		if running {
			r.endRun(incarnation, task, attempt, "lapsed")
		}
	})
}

// end ends a run of the given life, unless it has ended.
func (r *Runner) endRun(incarnation time.Time, task string, attempt int64, end string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.runs[task]
	if r.startTime != incarnation || x == nil || x.attempt != attempt {
		return
	}
	x.timer.Stop()
	delete(r.runs, task)
	r.lastEndNumber++
	r.endedRuns = append(r.endedRuns, endedRun{number: r.lastEndNumber, task: task, attempt: attempt, end: end})
	r.Recorder.recordEnd(task, attempt, r.ID, end)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) stop(task string, attempt int64, token uint64) string {
	r.mu.Lock()
	if token < r.token {
		r.mu.Unlock()
		return "fence"
	}
	r.token = token
	r.highestAttempt[task] = max(r.highestAttempt[task], attempt)
	x, incarnation := r.runs[task], r.startTime
	r.mu.Unlock()
	if x != nil && x.attempt <= attempt {
		time.AfterFunc(r.StopDelay, func() { r.endRun(incarnation, task, x.attempt, "stopped") })
	}
	return ""
}

// taskJob returns the job of a task's name.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }
