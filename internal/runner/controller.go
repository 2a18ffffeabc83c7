package runner

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// holdWait bounds how old the lease and the lists get without an end.
	holdWait = time.Second
	// holdSlack is the time for an answer beyond its wait.
	holdSlack = 700 * time.Millisecond
	// endsPause spaces holds while the runner lists ends that are not recorded
	// yet: it then answers at once instead of waiting for an end.
	endsPause = 20 * time.Millisecond
	// retryPause follows a hold without an answer.
	retryPause = 100 * time.Millisecond
	// clockSlowness is the share by which a runner's clock may be slow.
	clockSlowness = 0.02
	// lapseMargin covers the time between a lease's end and the end of its runs.
	lapseMargin = 200 * time.Millisecond
	// lifeBits is the part of a fencing token that counts the lives of the runner:
	// a million within one agent process. The rest still fits the integers that any
	// JSON decoder keeps exactly.
	lifeBits = 20
)

// run is a row of the controller's table.
type run struct {
	attempt    workflow.Attempt
	starting   bool              // the runner has not confirmed the start
	confirmed  bootclock.Instant // when the runner confirmed it; zero while starting
	stopping   bool
	checkpoint string
	percent    int
	load       int64
	rate       float64           // of a serving task: target / latency, as the last reading shows it; 0 before the first
	over       bootclock.Instant // since when a serving task exceeds its target; 0 while it does not
	fills      bool
	image      string
	processors units.Millicores // requested
	target     time.Duration    // tail latency to keep; 0 for a task that does not serve
	pace       int              // percent in force
	paceUnset  bool             // the runner may have another pace
	unknown    bool             // adopted from the lists, which do not say all of this
}

// Rejection is a start that did not happen and never will.
type Rejection struct {
	Task    workflow.TaskID
	Attempt workflow.Attempt
	Reason  Kind
}

// Start is an order to start a run.
type StartOrder struct {
	Task          workflow.TaskID
	Attempt       workflow.Attempt
	Spec          string
	Checkpoint    string
	Ticket        string
	BestEffort    bool
	LatencyTarget time.Duration // tail latency that a serving task must keep; 0 for another
	Image         string
	Processors    units.Millicores // requested
}

// Controller owns the table of a runner. Set the exported fields before Run.
// Its methods may be called concurrently.
type Controller struct {
	API API
	// Token orders the agent processes of a machine; calls carry fencingToken.
	BaseToken    FencingToken
	LongestLease time.Duration
	OnChange     func() // called without locks after a change that the scheduler waits for

	mu         sync.Mutex
	info       *Info        // nil before the first announcement
	lives      FencingToken // incarnations that this process has known
	known      bool         // the lists have been read since the incarnation appeared
	silent     bool         // the last hold was not answered
	runs       map[workflow.TaskID]*run
	ended      []EndedRun // listed and not recorded, by number
	rejected   []Rejection
	recorded   uint64            // ends up to this number are durable
	grant      bootclock.Instant // until when the scheduler lets runs go on
	clock      ClockTime         // last reading of the runner's clock
	clockRead  bootclock.Instant // when clock arrived
	leaseUntil ClockTime         // highest lease sent to this incarnation
	sequence   uint64            // of the last report
	started    bootclock.Instant // when Run began
	reborn     bootclock.Instant // when this life was first heard of after another one under its id; 0 otherwise
	model      interference.Model
	observed   bootclock.Instant           // last reading that the model took in
	finished   []interference.UsageReading // tasks that fill and have ended since then
	slowed     bootclock.Instant           // last time a pace was lowered
	raised     bootclock.Instant           // last time a pace was raised
	appeared   chan struct{}               // closed and replaced when a runner appears
	advanced   chan struct{}               // closed and replaced when recorded rises; nil while nobody waits
}

// Announce takes what the runner says of itself. It reports false when the
// announcement is older than what is known.
func (c *Controller) HandleAnnouncement(info Info, clock ClockTime) bool {
	c.mu.Lock()
	changed := false
	switch {
	case c.info == nil || c.info.StartedUnixMs < info.StartedUnixMs || c.info.StartedUnixMs == info.StartedUnixMs && c.info.ID != info.ID:
		c.replace(info)
		changed = true
	case info.StartedUnixMs < c.info.StartedUnixMs:
		c.mu.Unlock()
		return false
	case info.Sequence < c.info.Sequence:
		// A delayed announcement; a runner that drains never stops draining.
	default:
		changed = info.Draining != c.info.Draining
		info.Draining = info.Draining || c.info.Draining
		c.info = &info
	}
	if clock > c.clock {
		c.readClock(clock)
	}
	c.mu.Unlock()
	if changed {
		klog.InfoS("runner announced", "runner", info.ID, "born", info.StartedUnixMs, "draining", info.Draining, "capacity", info.Capacity.String())
		c.changed()
	}
	return true
}

// replace forgets the previous incarnation, which holds nothing any more. One
// under the same id may have taken starts that were meant for the previous one,
// also such as were answered before anybody knew of the new life. So the table
// stays, and the first listing that was asked for later tells what is gone: it
// is asked for with a higher token, which fences off all earlier calls.
func (c *Controller) replace(info Info) {
	reborn := c.info != nil && c.info.ID == info.ID
	c.info = &info
	c.lives++
	c.known, c.silent = false, false
	c.reborn = 0
	if reborn {
		c.reborn = bootclock.Now()
		for _, r := range c.runs {
			r.stopping = false // the stop went to the previous life
		}
	} else {
		c.runs = make(map[workflow.TaskID]*run)
	}
	c.ended, c.recorded, c.clock, c.leaseUntil = nil, 0, 0, 0
	if c.appeared != nil {
		close(c.appeared)
	}
	c.appeared = make(chan struct{})
}

// fencingToken returns the token of calls to the present incarnation. It is
// higher than those of every earlier one under the same id, so that a call which
// was meant for an earlier life and arrives late does nothing. c.mu is held.
func (c *Controller) fencingToken() FencingToken { return c.BaseToken<<lifeBits + c.lives }

// Withdraw takes note that the runner has left.
func (c *Controller) MarkDraining(id string) {
	c.mu.Lock()
	if c.info != nil && c.info.ID == id {
		c.info.Draining = true
	}
	c.mu.Unlock()
	c.changed()
}

func (c *Controller) changed() {
	if c.OnChange != nil {
		c.OnChange()
	}
}

// Grant lets runs go on until the instant; it never shortens.
func (c *Controller) ExtendGrant(until bootclock.Instant) {
	c.mu.Lock()
	c.grant = max(c.grant, until)
	c.mu.Unlock()
}

// Record takes note that the ends up to number of an incarnation are durable.
func (c *Controller) MarkRecorded(born int64, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil || c.info.StartedUnixMs != born || number <= c.recorded {
		return
	}
	c.recorded = number
	if c.advanced != nil {
		close(c.advanced)
		c.advanced = nil
	}
	keep := c.ended[:0]
	for _, e := range c.ended {
		if e.Number > number {
			keep = append(keep, e)
		}
	}
	c.ended = keep
}

// readClock remembers a reading of the runner's clock. c.mu is held.
func (c *Controller) readClock(clock ClockTime) {
	c.clock, c.clockRead = clock, bootclock.Now()
}

// lease returns the lease that the grant allows, on the runner's clock, and
// false when the grant has ended. The reading was taken before it arrived and
// the clock may be slow, so the lease ends before the grant does.
func (c *Controller) lease(now bootclock.Instant) (ClockTime, bool) {
	if !now.Before(c.grant) || c.clock == 0 {
		return 0, false
	}
	left := min(c.grant.Sub(c.clockRead), c.LongestLease)
	until := c.clock + ClockTime(float64(left.Milliseconds())*(1-clockSlowness))
	c.leaseUntil = max(c.leaseUntil, until)
	return c.leaseUntil, true
}

// lapsed reports whether every lease has certainly expired.
func (c *Controller) lapsed(now bootclock.Instant) bool {
	if c.leaseUntil == 0 {
		// An earlier agent process may have granted a lease, or a start that was
		// meant for an earlier life under this id.
		return c.started != 0 && now.After(max(c.started, c.reborn).Add(c.LongestLease+c.LongestLease/10))
	}
	left := time.Duration(c.leaseUntil-c.clock) * time.Millisecond
	end := c.clockRead.Add(time.Duration(float64(left)*(1+2*clockSlowness)) + lapseMargin)
	return now.After(end)
}

// Run holds the lease and reads the lists until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.started = bootclock.Now()
	if c.appeared == nil {
		c.appeared = make(chan struct{})
	}
	c.mu.Unlock()
	for ctx.Err() == nil {
		call, known, ok := c.nextHold()
		if !ok {
			c.awaitRunner(ctx)
			continue
		}
		if !known {
			call.Wait = 0
		}
		sent := bootclock.Now()
		callCtx, cancel := context.WithTimeout(ctx, call.Wait+holdSlack)
		listing, err := c.API.Poll(callCtx, call)
		cancel()
		if err != nil {
			c.holdFailed(ctx, call.Runner, err)
			continue
		}
		if c.merge(call.Runner, listing, sent) {
			c.changed()
		}
		c.protectLatency(ctx)
		c.stopExpired(ctx)
		c.awaitRecord(ctx, listing)
	}
	return nil
}

// awaitRecord waits for a record when the listing holds ends that lack one.
func (c *Controller) awaitRecord(ctx context.Context, l Listing) {
	c.mu.Lock()
	if len(l.Ended) == 0 || l.Ended[len(l.Ended)-1].Number <= c.recorded {
		c.mu.Unlock()
		return
	}
	if c.advanced == nil {
		c.advanced = make(chan struct{})
	}
	advanced := c.advanced
	c.mu.Unlock()
	timer := time.NewTimer(endsPause)
	defer timer.Stop()
	select {
	case <-advanced:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Controller) awaitRunner(ctx context.Context) {
	c.mu.Lock()
	appeared := c.appeared
	c.mu.Unlock()
	select {
	case <-appeared:
	case <-ctx.Done():
	}
}

func (c *Controller) nextHold() (call PollCall, known, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil {
		return PollCall{}, false, false
	}
	call = PollCall{Runner: c.info.ID, Token: c.fencingToken(), Recorded: c.recorded, Wait: holdWait}
	if serving, filling := c.neighbours(); len(serving) > 0 && len(filling) > 0 {
		call.Wait = guardedWait
	}
	if until, granted := c.lease(bootclock.Now()); granted {
		call.Until = until
	}
	return call, c.known, true
}

func (c *Controller) holdFailed(ctx context.Context, id string, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	first := !c.silent && c.info != nil && c.info.ID == id
	if first {
		c.silent = true
	}
	c.mu.Unlock()
	if first {
		klog.InfoS("runner does not answer", "runner", id, "err", err)
		c.changed()
	}
	pause.For(ctx, retryPause)
}

// merge takes over a listing that was requested at sent, and reports whether
// something changed that the scheduler waits for.
func (c *Controller) merge(id string, l Listing, sent bootclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil || c.info.ID != id {
		return false
	}
	if l.StartedUnixMs != 0 && l.StartedUnixMs != c.info.StartedUnixMs {
		if l.StartedUnixMs < c.info.StartedUnixMs {
			return false // answered before the runner was replaced
		}
		info := *c.info
		info.StartedUnixMs, info.Sequence = l.StartedUnixMs, 0
		c.replace(info)
	}
	urgent := !c.known || c.silent
	if c.silent {
		klog.InfoS("runner answers again", "runner", id)
	}
	c.known, c.silent = true, false
	c.readClock(l.Clock)
	listed := make(map[workflow.TaskID]bool, len(l.Running))
	for _, row := range l.Running {
		listed[row.Task] = true
		c.mergeRow(row)
	}
	for task, r := range c.runs {
		if !listed[task] && !r.starting && r.confirmed.Before(sent) {
			delete(c.runs, task)
			urgent = true
		}
	}
	for _, e := range l.Ended {
		urgent = c.mergeEnd(e) || urgent
	}
	return urgent
}

func (c *Controller) mergeRow(row RunStatus) {
	r := c.runs[row.Task]
	if r == nil || r.attempt < row.Attempt {
		r = &run{attempt: row.Attempt, pace: fullPace, unknown: true}
		c.runs[row.Task] = r
	}
	if r.attempt != row.Attempt {
		return
	}
	if r.starting || r.confirmed == 0 {
		r.starting, r.confirmed = false, bootclock.Now()
	}
	r.checkpoint, r.percent, r.load = row.Checkpoint, row.Percent, row.Load
	switch {
	case r.target == 0 || time.Duration(r.load)*time.Millisecond <= r.target:
		r.over = 0
	case r.over == 0:
		r.over = bootclock.Now()
	}
}

// mergeEnd reports whether the end is new.
func (c *Controller) mergeEnd(e EndedRun) bool {
	if e.Number <= c.recorded {
		return false
	}
	if r := c.runs[e.Task]; r != nil && r.attempt <= e.Attempt {
		if r.fills {
			c.finished = append(c.finished, interference.UsageReading{Image: r.image, Cores: float64(r.load) / 1000, Ended: true})
		}
		delete(c.runs, e.Task)
	}
	if n := len(c.ended); n > 0 && c.ended[n-1].Number >= e.Number {
		return false
	}
	c.ended = append(c.ended, e)
	return true
}

// stopExpired ends what still runs although the grant has ended. The runner
// does that itself, unless the machine was suspended: its clock stood still.
func (c *Controller) stopExpired(ctx context.Context) {
	c.mu.Lock()
	var stops []Rejection
	if !bootclock.Now().Before(c.grant) && c.grant != 0 {
		for task, r := range c.runs {
			if !r.stopping {
				stops = append(stops, Rejection{Task: task, Attempt: r.attempt})
			}
		}
	}
	c.mu.Unlock()
	for _, s := range stops {
		klog.InfoS("run is stopped because its lease has ended", "task", s.Task.String(), "attempt", s.Attempt)
		c.Stop(ctx, s.Task, s.Attempt)
	}
}

// Is reports whether err is of the kind.
func Is(err error, kind Kind) bool { return fault.Is(err, kind) }
