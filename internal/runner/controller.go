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
	pollWait = time.Second
	// holdSlack is the time for an answer beyond its wait.
	pollSlack = 700 * time.Millisecond
	// endsPause spaces holds while the runner lists ends that are not recorded
	// yet: it then answers at once instead of waiting for an end.
	unrecordedPollInterval = 20 * time.Millisecond
	// retryPause follows a hold without an answer.
	retryDelay = 100 * time.Millisecond
	// clockSlowness is the share by which a runner's clock may be slow.
	maxClockDrift = 0.02
	// lapseMargin covers the time between a lease's end and the end of its runs.
	leaseExpiryMargin = 200 * time.Millisecond
	// lifeBits is the part of a fencing token that counts the lives of the runner:
	// a million within one agent process. The rest still fits the integers that any
	// JSON decoder keeps exactly.
	incarnationBits = 20
)

// run is a row of the controller's table.
type run struct {
	attempt         workflow.Attempt
	starting        bool              // the runner has not confirmed the start
	confirmedAt     bootclock.Instant // when the runner confirmed it; zero while starting
	stopping        bool
	checkpoint      string
	percent         int
	load            int64
	rate            float64           // of a serving task: target / latency, as the last reading shows it; 0 before the first
	overTargetSince bootclock.Instant // since when a serving task exceeds its target; 0 while it does not
	bestEffort      bool
	image           string
	processors      units.Millicores // requested
	latencyTarget   time.Duration    // tail latency to keep; 0 for a task that does not serve
	pace            int              // percent in force
	paceUnconfirmed bool             // the runner may have another pace
	incomplete      bool             // adopted from the lists, which do not say all of this
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

	mu                  sync.Mutex
	info                *Info        // nil before the first announcement
	incarnations        FencingToken // incarnations that this process has known
	listed              bool         // the lists have been read since the incarnation appeared
	unresponsive        bool         // the last hold was not answered
	runs                map[workflow.TaskID]*run
	ended               []EndedRun // listed and not recorded, by number
	rejections          []Rejection
	recordedEnd         uint64            // ends up to this number are durable
	grantedUntil        bootclock.Instant // until when the scheduler lets runs go on
	runnerClock         ClockTime         // last reading of the runner's clock
	clockReadAt         bootclock.Instant // when clock arrived
	leaseUntil          ClockTime         // highest lease sent to this incarnation
	reportSequence      uint64            // of the last report
	startedAt           bootclock.Instant // when Run began
	restartedAt         bootclock.Instant // when this life was first heard of after another one under its id; 0 otherwise
	model               interference.Model
	observedAt          bootclock.Instant           // last reading that the model took in
	endedReadings       []interference.UsageReading // tasks that fill and have ended since then
	loweredAt           bootclock.Instant           // last time a pace was lowered
	raisedAt            bootclock.Instant           // last time a pace was raised
	incarnationAppeared chan struct{}               // closed and replaced when a runner appears
	recordedAdvanced    chan struct{}               // closed and replaced when recorded rises; nil while nobody waits
}

// Announce takes what the runner says of itself. It reports false when the
// announcement is older than what is known.
func (c *Controller) HandleAnnouncement(info Info, clock ClockTime) bool {
	c.mu.Lock()
	changed := false
	switch {
	case c.info == nil || c.info.StartedUnixMs < info.StartedUnixMs || c.info.StartedUnixMs == info.StartedUnixMs && c.info.ID != info.ID:
		c.replaceIncarnation(info)
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
	if clock > c.runnerClock {
		c.setClock(clock)
	}
	c.mu.Unlock()
	if changed {
		klog.InfoS("runner announced", "runner", info.ID, "born", info.StartedUnixMs, "draining", info.Draining, "capacity", info.Capacity.String())
		c.notifyChange()
	}
	return true
}

// replace forgets the previous incarnation, which holds nothing any more. One
// under the same id may have taken starts that were meant for the previous one,
// also such as were answered before anybody knew of the new life. So the table
// stays, and the first listing that was asked for later tells what is gone: it
// is asked for with a higher token, which fences off all earlier calls.
func (c *Controller) replaceIncarnation(info Info) {
	reborn := c.info != nil && c.info.ID == info.ID
	c.info = &info
	c.incarnations++
	c.listed, c.unresponsive = false, false
	c.restartedAt = 0
	if reborn {
		c.restartedAt = bootclock.Now()
		for _, r := range c.runs {
			r.stopping = false // the stop went to the previous life
		}
	} else {
		c.runs = make(map[workflow.TaskID]*run)
	}
	c.ended, c.recordedEnd, c.runnerClock, c.leaseUntil = nil, 0, 0, 0
	if c.incarnationAppeared != nil {
		close(c.incarnationAppeared)
	}
	c.incarnationAppeared = make(chan struct{})
}

// fencingToken returns the token of calls to the present incarnation. It is
// higher than those of every earlier one under the same id, so that a call which
// was meant for an earlier life and arrives late does nothing. c.mu is held.
func (c *Controller) fencingToken() FencingToken {
	return c.BaseToken<<incarnationBits + c.incarnations
}

// Withdraw takes note that the runner has left.
func (c *Controller) MarkDraining(id string) {
	c.mu.Lock()
	if c.info != nil && c.info.ID == id {
		c.info.Draining = true
	}
	c.mu.Unlock()
	c.notifyChange()
}

func (c *Controller) notifyChange() {
	if c.OnChange != nil {
		c.OnChange()
	}
}

// Grant lets runs go on until the instant; it never shortens.
func (c *Controller) ExtendGrant(until bootclock.Instant) {
	c.mu.Lock()
	c.grantedUntil = max(c.grantedUntil, until)
	c.mu.Unlock()
}

// Record takes note that the ends up to number of an incarnation are durable.
func (c *Controller) MarkRecorded(born int64, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil || c.info.StartedUnixMs != born || number <= c.recordedEnd {
		return
	}
	c.recordedEnd = number
	if c.recordedAdvanced != nil {
		close(c.recordedAdvanced)
		c.recordedAdvanced = nil
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
func (c *Controller) setClock(clock ClockTime) {
	c.runnerClock, c.clockReadAt = clock, bootclock.Now()
}

// lease returns the lease that the grant allows, on the runner's clock, and
// false when the grant has ended. The reading was taken before it arrived and
// the clock may be slow, so the lease ends before the grant does.
func (c *Controller) extendLease(now bootclock.Instant) (ClockTime, bool) {
	if !now.Before(c.grantedUntil) || c.runnerClock == 0 {
		return 0, false
	}
	left := min(c.grantedUntil.Sub(c.clockReadAt), c.LongestLease)
	until := c.runnerClock + ClockTime(float64(left.Milliseconds())*(1-maxClockDrift))
	c.leaseUntil = max(c.leaseUntil, until)
	return c.leaseUntil, true
}

// lapsed reports whether every lease has certainly expired.
func (c *Controller) allLeasesExpired(now bootclock.Instant) bool {
	if c.leaseUntil == 0 {
		// An earlier agent process may have granted a lease, or a start that was
		// meant for an earlier life under this id.
		return c.startedAt != 0 && now.After(max(c.startedAt, c.restartedAt).Add(c.LongestLease+c.LongestLease/10))
	}
	left := time.Duration(c.leaseUntil-c.runnerClock) * time.Millisecond
	end := c.clockReadAt.Add(time.Duration(float64(left)*(1+2*maxClockDrift)) + leaseExpiryMargin)
	return now.After(end)
}

// Run holds the lease and reads the lists until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.startedAt = bootclock.Now()
	if c.incarnationAppeared == nil {
		c.incarnationAppeared = make(chan struct{})
	}
	c.mu.Unlock()
	for ctx.Err() == nil {
		call, known, ok := c.nextPoll()
		if !ok {
			c.awaitRunner(ctx)
			continue
		}
		if !known {
			call.Wait = 0
		}
		sent := bootclock.Now()
		callCtx, cancel := context.WithTimeout(ctx, call.Wait+pollSlack)
		listing, err := c.API.Poll(callCtx, call)
		cancel()
		if err != nil {
			c.handlePollError(ctx, call.Runner, err)
			continue
		}
		if c.mergeListing(call.Runner, listing, sent) {
			c.notifyChange()
		}
		c.protectLatency(ctx)
		c.stopExpired(ctx)
		c.awaitRecorded(ctx, listing)
	}
	return nil
}

// awaitRecord waits for a record when the listing holds ends that lack one.
func (c *Controller) awaitRecorded(ctx context.Context, l Listing) {
	c.mu.Lock()
	if len(l.Ended) == 0 || l.Ended[len(l.Ended)-1].Number <= c.recordedEnd {
		c.mu.Unlock()
		return
	}
	if c.recordedAdvanced == nil {
		c.recordedAdvanced = make(chan struct{})
	}
	advanced := c.recordedAdvanced
	c.mu.Unlock()
	timer := time.NewTimer(unrecordedPollInterval)
	defer timer.Stop()
	select {
	case <-advanced:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Controller) awaitRunner(ctx context.Context) {
	c.mu.Lock()
	appeared := c.incarnationAppeared
	c.mu.Unlock()
	select {
	case <-appeared:
	case <-ctx.Done():
	}
}

func (c *Controller) nextPoll() (call PollCall, known, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil {
		return PollCall{}, false, false
	}
	call = PollCall{Runner: c.info.ID, Token: c.fencingToken(), Recorded: c.recordedEnd, Wait: pollWait}
	if serving, filling := c.activeTasks(); len(serving) > 0 && len(filling) > 0 {
		call.Wait = protectedPollWait
	}
	if until, granted := c.extendLease(bootclock.Now()); granted {
		call.Until = until
	}
	return call, c.listed, true
}

func (c *Controller) handlePollError(ctx context.Context, id string, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	first := !c.unresponsive && c.info != nil && c.info.ID == id
	if first {
		c.unresponsive = true
	}
	c.mu.Unlock()
	if first {
		klog.InfoS("runner does not answer", "runner", id, "err", err)
		c.notifyChange()
	}
	pause.For(ctx, retryDelay)
}

// merge takes over a listing that was requested at sent, and reports whether
// something changed that the scheduler waits for.
func (c *Controller) mergeListing(id string, l Listing, sent bootclock.Instant) bool {
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
		c.replaceIncarnation(info)
	}
	urgent := !c.listed || c.unresponsive
	if c.unresponsive {
		klog.InfoS("runner answers again", "runner", id)
	}
	c.listed, c.unresponsive = true, false
	c.setClock(l.Clock)
	listed := make(map[workflow.TaskID]bool, len(l.Running))
	for _, row := range l.Running {
		listed[row.Task] = true
		c.mergeStatus(row)
	}
	for task, r := range c.runs {
		if !listed[task] && !r.starting && r.confirmedAt.Before(sent) {
			delete(c.runs, task)
			urgent = true
		}
	}
	for _, e := range l.Ended {
		urgent = c.mergeEndedRun(e) || urgent
	}
	return urgent
}

func (c *Controller) mergeStatus(row RunStatus) {
	r := c.runs[row.Task]
	if r == nil || r.attempt < row.Attempt {
		r = &run{attempt: row.Attempt, pace: fullPace, incomplete: true}
		c.runs[row.Task] = r
	}
	if r.attempt != row.Attempt {
		return
	}
	if r.starting || r.confirmedAt == 0 {
		r.starting, r.confirmedAt = false, bootclock.Now()
	}
	r.checkpoint, r.percent, r.load = row.Checkpoint, row.Percent, row.Load
	switch {
	case r.latencyTarget == 0 || time.Duration(r.load)*time.Millisecond <= r.latencyTarget:
		r.overTargetSince = 0
	case r.overTargetSince == 0:
		r.overTargetSince = bootclock.Now()
	}
}

// mergeEnd reports whether the end is new.
func (c *Controller) mergeEndedRun(e EndedRun) bool {
	if e.Number <= c.recordedEnd {
		return false
	}
	if r := c.runs[e.Task]; r != nil && r.attempt <= e.Attempt {
		if r.bestEffort {
			c.endedReadings = append(c.endedReadings, interference.UsageReading{Image: r.image, Cores: float64(r.load) / 1000, Ended: true})
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
	if !bootclock.Now().Before(c.grantedUntil) && c.grantedUntil != 0 {
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
