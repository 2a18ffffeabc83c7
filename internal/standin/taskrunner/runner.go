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
	attempt int64
	began   time.Time
	timer   *time.Timer
	pace    int
}

// ended is a row of the list of ends.
type ended struct {
	number  uint64
	task    string
	attempt int64
	how     string
	lapsed  bool // the lease lapsed after the end, so that it can't be acknowledged any more
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

	mu       sync.Mutex
	born     time.Time
	token    uint64
	until    time.Time
	runs     map[string]*run
	begun    int              // runs in all lives
	highest  map[string]int64 // attempts that were started, stopped or ended here
	ends     []ended
	number   uint64
	seq      int64
	draining bool
	drained  time.Time // when an agent first acknowledged that the runner drains
	down     bool
	fault    Fault
	changed  chan struct{}
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
	r.born, r.token, r.until = time.Now(), 0, time.Time{}
	r.runs, r.highest = make(map[string]*run), make(map[string]int64)
	r.ends, r.number, r.seq, r.draining, r.drained = nil, 0, 0, false, time.Time{}
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
	r.down = false
	r.reset()
}

// Crash ends everything without a word.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.down = true
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
	return r.drained
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
	return r.begun
}

// clock is the runner's own clock in milliseconds.
func (r *Runner) clock() int64 {
	return int64(float64(time.Since(r.born))*r.rate()/float64(time.Millisecond)) + 1
}

// at is when the runner's clock shows untilMs.
func (r *Runner) at(untilMs int64) time.Time {
	return r.born.Add(time.Duration(float64(untilMs) * float64(time.Millisecond) / r.rate()))
}

func (r *Runner) rate() float64 {
	if r.ClockRate == 0 {
		return 1
	}
	return r.ClockRate
}

// extend takes over a lease. r.mu is held.
func (r *Runner) extend(untilMs int64) {
	r.noteLapse()
	until := r.at(untilMs)
	if limit := time.Now().Add(r.MaxLease); until.After(limit) {
		until = limit
	}
	if until.After(r.until) {
		r.until = until
	}
}

// noteLapse marks the ends that were listed when the lease lapsed. r.mu is held.
func (r *Runner) noteLapse() {
	if r.until.IsZero() || !time.Now().After(r.until) {
		return
	}
	for i := range r.ends {
		r.ends[i].lapsed = true
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
	r.extend(untilMs)
	if x := r.runs[task]; x != nil && x.attempt == attempt {
		return ""
	}
	if attempt <= r.highest[task] {
		return "old"
	}
	if time.Now().After(r.at(untilMs)) {
		return "late"
	}
	if len(r.runs) >= r.Cores && !r.IgnoreCapacity {
		return "room"
	}
	r.begin(task, spec, attempt)
	return ""
}

// begin starts a run. Every run of the stand-in takes one core.
func (r *Runner) begin(task, spec string, attempt int64) {
	r.highest[task] = attempt
	r.begun++
	work := r.Work(task, spec)
	how := "done"
	if work.Fails || r.fault.FailRuns {
		how = "failed"
	}
	after := work.Duration
	if r.fault.FailRuns {
		after = time.Millisecond
	}
	if after == 0 {
		after = time.Hour
	}
	born := r.born
	x := &run{attempt: attempt, began: time.Now(), pace: 100}
	x.timer = time.AfterFunc(after, func() { r.end(born, task, attempt, how) })
	r.runs[task] = x
	r.Recorder.recordStart(task, attempt, r)
	r.watchLease(born, task, attempt)
}

// watchLease ends a run when its lease expires.
func (r *Runner) watchLease(born time.Time, task string, attempt int64) {
	time.AfterFunc(time.Until(r.until)+time.Millisecond, func() {
		r.mu.Lock()
		x := r.runs[task]
		live := r.born == born && x != nil && x.attempt == attempt
		if live && time.Now().Before(r.until) {
			r.watchLease(born, task, attempt)
			live = false
		}
		r.mu.Unlock()
		if live {
			r.end(born, task, attempt, "lapsed")
		}
	})
}

// end ends a run of the given life, unless it has ended.
func (r *Runner) end(born time.Time, task string, attempt int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.runs[task]
	if r.born != born || x == nil || x.attempt != attempt {
		return
	}
	x.timer.Stop()
	delete(r.runs, task)
	r.number++
	r.ends = append(r.ends, ended{number: r.number, task: task, attempt: attempt, how: how})
	r.Recorder.recordEnd(task, attempt, r.ID, how)
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
	r.highest[task] = max(r.highest[task], attempt)
	x, born := r.runs[task], r.born
	r.mu.Unlock()
	if x != nil && x.attempt <= attempt {
		time.AfterFunc(r.StopDelay, func() { r.end(born, task, x.attempt, "stopped") })
	}
	return ""
}

// taskJob returns the job of a task's name.
func taskJob(task string) string { return task[:strings.IndexByte(task, '.')] }
