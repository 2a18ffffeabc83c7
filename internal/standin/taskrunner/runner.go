// Package taskrunner is a stand-in for the platform's runners in tests. A Runner
// starts and stops runs, checks the fencing token of each call, ends the runs when
// their lease expires, sends heartbeats to its agent, and can inject the faults
// that runners have. A Recorder records the runs of all runners and detects tasks
// that run twice at a time or again after their recorded completion.
package taskrunner

import (
	"strings"
	"sync"
	"time"
)

// Work is what a run does.
type Work struct {
	Duration time.Duration // time until the run ends by itself; 0 if it does not
	Fails    bool
}

// Settings describes a runner. It must not change after New.
type Settings struct {
	ID       string
	Service  string
	Domain   string
	Labels   []string
	Cores    int // each run takes one
	MemoryMb int
	Work     func(task, spec string) Work
	Recorder *Recorder
	// MaxLease is the longest lease; StopDelay is how long a run takes to stop.
	MaxLease  time.Duration
	StopDelay time.Duration
	// IgnoreCapacity starts every requested run, even without a free core.
	IgnoreCapacity bool
	// ClockRate is the speed of the runner's clock relative to real time; 0 means 1.
	ClockRate float64
	// HeartbeatInterval is the interval of heartbeats; 0 means a short one.
	HeartbeatInterval time.Duration
}

// run is a run that has not ended.
type run struct {
	attempt   int64
	startTime time.Time
	timer     *time.Timer
	pace      int
}

// endedRun is an entry of the list of ended runs.
type endedRun struct {
	number       uint64
	task         string
	attempt      int64
	end          string
	leaseExpired bool // the lease expired after the end, so that an acknowledgement no longer counts
}

// Fault is how a runner deviates from a working one. The zero value is no fault.
type Fault struct {
	NoReply      bool          // do not reply
	Status       int           // reject every call with this HTTP status
	ApplyDelay   time.Duration // execute starts, stops and pace changes after this time, without a reply
	DelayPolls   bool          // ApplyDelay holds for polls, too
	DelaySpread  time.Duration // ApplyDelay and HeartbeatDelay vary by up to this, so that messages overtake each other
	FailRuns     bool          // new runs fail after a millisecond
	NoHeartbeats bool          // send no heartbeats
	// HeartbeatDelay is how long heartbeats are held up on their way. They arrive even if the
	// runner has crashed since.
	HeartbeatDelay time.Duration
}

// Runner is one runner. Its methods are safe for concurrent use.
type Runner struct {
	Settings

	mu                  sync.Mutex
	startTime           time.Time // of the incarnation; it identifies it
	token               uint64    // newest fencing token of a call
	leaseEnd            time.Time
	runs                map[string]*run
	startCount          int              // of runs in all incarnations
	callCount           uint64           // of calls received
	lateCalls           int              // calls executed after Fault.ApplyDelay
	highestAttempt      map[string]int64 // of each task that was started or stopped in this incarnation
	endedRuns           []endedRun
	lastEndNumber       uint64
	sequence            int64
	draining            bool
	drainAcknowledgedAt time.Time // when an agent first acknowledged the draining state
	crashed             bool
	fault               Fault
	changed             chan struct{} // closed and replaced when a run ends or an incarnation begins
}

// New returns a runner that has just started.
func New(s Settings) *Runner {
	r := &Runner{Settings: s}
	r.reset()
	return r
}

// reset ends all runs and begins a new incarnation. r.mu must be held, unless r is
// not shared yet.
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

// Restart ends all runs and begins a new incarnation under the same ID.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	time.Sleep(2 * time.Millisecond) // incarnations are distinguished by the millisecond of their start
	r.crashed = false
	r.reset()
}

// Crash ends all runs. Until Restart the runner sends no heartbeats and resets the
// connections of its callers.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.crashed = true
}

// hasEnded reports whether the incarnation that started at the given time has ended.
func (r *Runner) hasEnded(incarnation time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed || r.startTime != incarnation
}

// Drain makes the runner report in its heartbeats that it is draining.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
}

// DrainAcknowledgedAt returns when an agent first acknowledged a heartbeat with the
// draining state, or the zero time if none has.
func (r *Runner) DrainAcknowledgedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.drainAcknowledgedAt
}

// Set replaces the fault that the runner applies.
func (r *Runner) Set(f Fault) {
	r.mu.Lock()
	r.fault = f
	r.mu.Unlock()
}

// RunningTasks returns the number of runs that have not ended.
func (r *Runner) RunningTasks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// StartCount returns the number of runs started in all incarnations.
func (r *Runner) StartCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startCount
}

// LateCalls returns the number of calls that were executed after Fault.ApplyDelay.
func (r *Runner) LateCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateCalls
}

// start starts a run. It returns the reason of a rejection, or "" if the run was
// started or is already running.
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
	if time.Now().After(r.timeAtClock(untilMs)) {
		return "late"
	}
	if len(r.runs) >= r.Cores && !r.IgnoreCapacity {
		return "room"
	}
	r.startRun(task, spec, attempt)
	return ""
}

// startRun starts a run, which takes one core. r.mu must be held.
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

// endRun ends a run of the given incarnation, unless it has already ended.
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

// stop stops the run of a task up to the given attempt, and prevents later starts
// of these attempts. It returns the reason of a rejection, or "".
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

// setPace sets the pace of a run. It returns the reason of a rejection, or "".
func (r *Runner) setPace(task string, attempt int64, percent int, token uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token < r.token {
		return "fence"
	}
	r.token = token
	if x := r.runs[task]; x != nil && x.attempt == attempt {
		x.pace = percent
	}
	return ""
}

// jobOf returns the job part of a task's name.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }
