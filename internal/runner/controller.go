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
	// pollWait limits how long the runner may delay its reply to a poll when no
	// run ends, and so the age of the lease and of the lists.
	pollWait = time.Second
	// pollSlack is added to the wait of a poll to get the timeout of the call.
	pollSlack = 700 * time.Millisecond
	// unrecordedPollInterval separates polls while the runner lists ended runs
	// that are not recorded yet, because it then replies immediately instead of
	// waiting for a run to end.
	unrecordedPollInterval = 20 * time.Millisecond
	// retryDelay is the delay before an unanswered call is repeated.
	retryDelay = 100 * time.Millisecond
	// maxListAge is the age of the last listing, from its request, above which this process
	// has not run for a while. It exceeds that of a listing while two polls follow each
	// other, both answered at the last moment.
	maxListAge = 2*pollWait + pollSlack
	// maxClockDrift is the fraction by which a runner's clock may run slow.
	maxClockDrift = 0.02
	// maxSilence is the longest lease from the last reading of the runner's clock. A
	// runner that falls silent for less keeps its runs. One that has ended without notice
	// has lost its runs, and their tasks start elsewhere only after that lease: for a
	// long-running task that must take less than 9 s, with the leader's reaction.
	maxSilence = 7500 * time.Millisecond
	// leaseExpiryMargin allows for the time that the runner needs to end its
	// runs after the lease has expired.
	leaseExpiryMargin = 200 * time.Millisecond
	// ordinalBits is the number of low bits of a fencing token that hold the
	// ordinal. 20 bits allow a million of them within one agent process, and the
	// whole token still fits the integers that every JSON decoder represents
	// exactly.
	ordinalBits = 20
)

// run is the state of a run on the runner, or of one that is being started.
type run struct {
	attempt         workflow.Attempt
	starting        bool              // the start order is being carried out
	undecided       bool              // it ended without an answer, and no listing has shown the run yet
	confirmedAt     bootclock.Instant // when the start was confirmed or became undecided; zero while starting
	stopping        bool
	checkpoint      string
	percent         int
	load            int64             // as in RunStatus
	rate            float64           // latency-critical task: target / latency at the last reading; 0 before the first
	overTargetSince bootclock.Instant // latency-critical task: when its latency rose above the target; 0 while it is not above
	bestEffort      bool
	image           string
	processors      units.Millicores // requested
	latencyTarget   time.Duration    // limit of the tail latency; 0 unless the task is latency-critical
	pace            int              // limit of the speed, in percent of full speed
	paceUnconfirmed bool             // the runner may apply another pace
	incomplete      bool             // found in a listing, which lacks the fields of the start order
}

// Rejection reports a start that was not carried out and never will be.
type Rejection struct {
	Task    workflow.TaskID
	Attempt workflow.Attempt
	Reason  Kind
}

// StartOrder is an order of the scheduler to start a run.
type StartOrder struct {
	Task          workflow.TaskID
	Attempt       workflow.Attempt
	Spec          string
	Checkpoint    string
	Ticket        string
	BestEffort    bool
	LatencyTarget time.Duration // limit of the tail latency; 0 unless the task is latency-critical
	Image         string
	Processors    units.Millicores // requested
}

// Controller starts and stops runs on one runner, renews their lease and tracks
// their state. Set the exported fields before calling Run. Its methods may be
// called concurrently.
type Controller struct {
	API API
	// BaseToken is higher for each later agent process of the machine. The
	// fencing tokens of calls are derived from it.
	BaseToken FencingToken
	MaxLease  time.Duration // upper limit of the duration of a lease
	OnChange  func()        // called without locks after a change that the scheduler must receive promptly

	mu                  sync.Mutex
	info                *Info             // nil before the first announcement
	ordinal             FencingToken      // counts the incarnations and the ends of all leases; later calls have a higher one
	incarnations        int               // number of incarnations seen by this process
	incarnationSeenAt   bootclock.Instant // when the current incarnation was first seen
	replaced            bool              // another runner has answered a poll for the current incarnation
	listed              bool              // a listing of this incarnation has been received
	listedAt            bootclock.Instant // when the last listing was requested
	unresponsive        bool              // the last poll failed
	runs                map[workflow.TaskID]*run
	ended               []EndedRun // listed but not recorded yet, ordered by number
	rejections          []Rejection
	recordedEnd         uint64            // ended runs up to this number are durably recorded
	grantedUntil        bootclock.Instant // when the scheduler's permission to run tasks ends
	runnerClock         ClockTime         // last reading of the runner's clock
	clockReadAt         bootclock.Instant // when runnerClock was received
	leaseUntil          ClockTime         // latest lease expiry sent to this incarnation
	leaseSent           bool              // a call with the current fencing token may carry a lease
	reportSequence      uint64            // sequence number of the last report
	startedAt           bootclock.Instant // when Run was called
	restartedAt         bootclock.Instant // when a new incarnation with the same id was first seen; 0 if the id is new
	model               interference.Model
	observedAt          bootclock.Instant           // when the model was last updated
	endedReadings       []interference.UsageReading // best-effort tasks that have ended since observedAt
	loweredAt           bootclock.Instant           // when a pace was last lowered
	raisedAt            bootclock.Instant           // when a pace was last raised
	incarnationAppeared chan struct{}               // closed and replaced when a new incarnation appears
	recordedAdvanced    chan struct{}               // closed and cleared when recordedEnd increases; nil while nobody waits
}

// HandleAnnouncement updates the state of the runner from an announcement of the
// runner. It reports false when the announcement comes from an incarnation that
// has already been replaced.
func (c *Controller) HandleAnnouncement(info Info, clock ClockTime) bool {
	c.mu.Lock()
	changed := false
	switch {
	case c.info == nil || c.isLater(info.Incarnation):
		c.replaceIncarnation(info)
		changed = true
	case info.StartedUnixMs < c.info.StartedUnixMs:
		c.mu.Unlock()
		return false
	case info.Sequence < c.info.Sequence:
		// The announcement was delayed and a later one has been applied.
	default:
		// A draining runner never stops draining.
		changed = info.Draining != c.info.Draining
		info.Draining = info.Draining || c.info.Draining
		c.info = &info
	}
	if clock > c.runnerClock {
		c.setClock(clock)
	}
	c.mu.Unlock()
	if changed {
		klog.InfoS("runner announced a new state", "runner", info.ID, "born", info.StartedUnixMs, "draining", info.Draining, "capacity", info.Capacity.String())
		c.notifyChange()
	}
	return true
}

// isLater reports whether an announced incarnation is later than the current one. Its start
// tells, unless the time of day was stepped back in between: then the runner's replies to
// calls for the current incarnation tell that this one has ended. The caller holds c.mu.
func (c *Controller) isLater(other Incarnation) bool {
	if c.info.ID != other.ID && (c.replaced || c.info.StartedUnixMs == other.StartedUnixMs) {
		return true
	}
	return c.info.StartedUnixMs < other.StartedUnixMs
}

// replaceIncarnation drops the state of the previous incarnation, which no longer
// runs anything. If the new incarnation has the same id, it may have accepted
// starts that were sent to the previous one, including starts that it confirmed
// before the agent detected the restart. The table of runs is therefore kept, and
// the first listing requested from now on shows which runs are lost: that request
// carries a higher token, which fences all earlier calls. The caller holds c.mu.
func (c *Controller) replaceIncarnation(info Info) {
	sameID := c.info != nil && c.info.ID == info.ID
	c.info = &info
	c.ordinal++
	c.incarnations++
	c.incarnationSeenAt, c.replaced = bootclock.Now(), false
	c.listed, c.unresponsive = false, false
	c.restartedAt = 0
	if sameID {
		c.restartedAt = bootclock.Now()
		for _, r := range c.runs {
			r.stopping = false // the stop was sent to the previous incarnation
		}
	} else {
		c.runs = make(map[workflow.TaskID]*run)
	}
	c.ended, c.recordedEnd, c.runnerClock, c.leaseUntil, c.leaseSent = nil, 0, 0, 0, false
	if c.incarnationAppeared != nil {
		close(c.incarnationAppeared)
	}
	c.incarnationAppeared = make(chan struct{})
}

// fencingToken returns the token for calls to the current incarnation. It is
// higher than the tokens of all earlier incarnations with the same id, so that
// the runner rejects a delayed call that was sent to one of them, and higher
// than the tokens of the calls that endLeases has fenced. The caller holds c.mu.
func (c *Controller) fencingToken() FencingToken { return c.BaseToken<<ordinalBits + c.ordinal }

// MarkDraining marks the runner as draining after it has deregistered.
func (c *Controller) MarkDraining(id string) {
	c.mu.Lock()
	if c.info != nil && c.info.ID == id {
		c.info.Draining = true
	}
	c.mu.Unlock()
	c.notifyChange()
}

// notifyChange calls OnChange if it is set. The caller does not hold c.mu.
func (c *Controller) notifyChange() {
	if c.OnChange != nil {
		c.OnChange()
	}
}

// ExtendGrant permits runs to continue until the given instant. It never shortens
// an earlier grant.
func (c *Controller) ExtendGrant(until bootclock.Instant) {
	c.mu.Lock()
	c.grantedUntil = max(c.grantedUntil, until)
	c.mu.Unlock()
}

// MarkRecorded drops the ended runs up to number, which are durably recorded. A
// call for another incarnation than the current one has no effect.
func (c *Controller) MarkRecorded(startedUnixMs int64, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil || c.info.StartedUnixMs != startedUnixMs || number <= c.recordedEnd {
		return
	}
	c.recordedEnd = number
	if c.recordedAdvanced != nil {
		close(c.recordedAdvanced)
		c.recordedAdvanced = nil
	}
	unrecorded := c.ended[:0]
	for _, e := range c.ended {
		if e.Number > number {
			unrecorded = append(unrecorded, e)
		}
	}
	c.ended = unrecorded
}

// setClock stores a reading of the runner's clock. The caller holds c.mu.
func (c *Controller) setClock(clock ClockTime) {
	c.runnerClock, c.clockReadAt = clock, bootclock.Now()
}

// extendLease returns the lease expiry that the grant allows, on the runner's
// clock, or false when the grant has ended or the runner is out of touch: the reading
// may be of an incarnation that has ended, and by the clock of the next one the lease
// could outlast the grant. The lease expires before the grant ends, because the clock
// reading is older than the time of its receipt and because the expiry allows for a
// slow clock. The caller holds c.mu.
func (c *Controller) extendLease(now bootclock.Instant) (ClockTime, bool) {
	if !now.Before(c.grantedUntil) || c.runnerClock == 0 || c.outOfTouch(now) {
		return 0, false
	}
	remaining := min(c.grantedUntil.Sub(c.clockReadAt), c.MaxLease, maxSilence)
	until := c.runnerClock + ClockTime(float64(remaining.Milliseconds())*(1-maxClockDrift))
	c.leaseUntil = max(c.leaseUntil, until)
	c.leaseSent = true
	return c.leaseUntil, true
}

// outOfTouch reports whether the state of the runner may have changed unseen: the last poll
// has failed, or this process has not run for a while. The caller holds c.mu.
func (c *Controller) outOfTouch(now bootclock.Instant) bool {
	return c.unresponsive || c.listed && now.Sub(c.listedAt) > maxListAge
}

// silent reports whether the runs of the current incarnation are not known. The caller
// holds c.mu.
func (c *Controller) silent(now bootclock.Instant) bool { return !c.listed || c.outOfTouch(now) }

// allLeasesExpired reports whether every lease that the runner may hold has
// certainly expired. The caller holds c.mu.
func (c *Controller) allLeasesExpired(now bootclock.Instant) bool {
	longest := c.MaxLease + c.MaxLease/10
	if c.restartedAt != 0 && !now.After(c.restartedAt.Add(longest)) {
		return false // a start sent to an earlier incarnation with this id may have carried a lease
	}
	if c.leaseUntil == 0 { // an earlier agent process may have granted a lease
		return c.startedAt != 0 && now.After(c.startedAt.Add(longest))
	}
	remaining := time.Duration(c.leaseUntil-c.runnerClock) * time.Millisecond
	end := c.clockReadAt.Add(time.Duration(float64(remaining)*(1+2*maxClockDrift)) + leaseExpiryMargin)
	return now.After(end)
}

// endLeases reports whether every lease that the runner may hold has certainly expired. If
// so, no run is active. A start call that is still on its way has an expired lease as well,
// but the runner may carry it out once a later call has extended the lease. So endLeases
// raises the fencing token before that. The caller holds c.mu.
func (c *Controller) endLeases(now bootclock.Instant) bool {
	if !c.allLeasesExpired(now) {
		return false
	}
	if c.leaseSent {
		c.ordinal++
		c.leaseSent = false
	}
	return true
}

// Run polls the runner, which renews the lease and returns the lists, until ctx
// is done.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.startedAt = bootclock.Now()
	if c.incarnationAppeared == nil {
		c.incarnationAppeared = make(chan struct{})
	}
	c.mu.Unlock()
	for ctx.Err() == nil {
		sent := bootclock.Now()
		call, mayWait, ok := c.nextPoll()
		if !ok {
			c.awaitRunner(ctx)
			continue
		}
		if !mayWait {
			call.Wait = 0
		}
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

// awaitRecorded waits briefly for more ended runs to be recorded when the listing
// contains some that are not.
func (c *Controller) awaitRecorded(ctx context.Context, l Listing) {
	c.mu.Lock()
	if len(l.Ended) == 0 || l.Ended[len(l.Ended)-1].Number <= c.recordedEnd {
		c.mu.Unlock()
		return
	}
	if c.recordedAdvanced == nil {
		c.recordedAdvanced = make(chan struct{})
	}
	recorded := c.recordedAdvanced
	c.mu.Unlock()
	timer := time.NewTimer(unrecordedPollInterval)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitRunner waits until a runner has announced itself.
func (c *Controller) awaitRunner(ctx context.Context) {
	c.mu.Lock()
	appeared := c.incarnationAppeared
	c.mu.Unlock()
	select {
	case <-appeared:
	case <-ctx.Done():
	}
}

// nextPoll returns the next poll, and whether its reply may wait for the end of a run. It
// must not while the runs are not known. ok is false if no runner has announced itself.
func (c *Controller) nextPoll() (call PollCall, mayWait, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil {
		return PollCall{}, false, false
	}
	now := bootclock.Now()
	call = PollCall{Runner: c.info.ID, Token: c.fencingToken(), Wait: pollWait}
	if !c.outOfTouch(now) { // the next incarnation counts its ended runs anew
		call.Recorded = c.recordedEnd
	}
	if latencyCritical, bestEffort := c.activeTasks(); len(latencyCritical) > 0 && len(bestEffort) > 0 {
		call.Wait = protectedPollWait
	}
	if until, granted := c.extendLease(now); granted {
		call.Until = until
	}
	return call, !c.silent(now), true
}

// handlePollError marks the runner as unresponsive and waits before the next poll.
func (c *Controller) handlePollError(ctx context.Context, id string, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	if Is(err, WrongIncarnation) && c.info != nil && c.info.ID == id {
		c.replaced = true
	}
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

// mergeListing updates the table from a listing that was requested at sent, and
// reports whether the scheduler must receive the change promptly.
func (c *Controller) mergeListing(id string, l Listing, sent bootclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil || c.info.ID != id {
		return false
	}
	if l.StartedUnixMs != 0 && l.StartedUnixMs != c.info.StartedUnixMs {
		if l.StartedUnixMs < c.info.StartedUnixMs && !sent.After(c.incarnationSeenAt) {
			return false // the reply of an incarnation that has been replaced
		}
		info := *c.info
		info.StartedUnixMs, info.Sequence = l.StartedUnixMs, 0
		c.replaceIncarnation(info)
	}
	prompt := c.silent(bootclock.Now())
	if c.unresponsive {
		klog.InfoS("runner answers again", "runner", id)
	}
	c.listed, c.listedAt, c.unresponsive = true, sent, false
	c.setClock(l.Clock)
	listed := make(map[workflow.TaskID]bool, len(l.Running))
	for _, row := range l.Running {
		listed[row.Task] = true
		c.mergeStatus(row)
	}
	for task, r := range c.runs {
		// The end of a run that is not listed may be among those that the listing lacks.
		if !listed[task] && !l.Truncated && !r.starting && r.confirmedAt.Before(sent) {
			delete(c.runs, task)
			prompt = true
		}
	}
	for _, e := range l.Ended {
		prompt = c.mergeEndedRun(e) || prompt
	}
	return prompt
}

// mergeStatus updates the table from a run in a listing. The caller holds c.mu.
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
	r.undecided = false
	r.checkpoint, r.percent, r.load = row.Checkpoint, row.Percent, row.Load
	switch {
	case r.latencyTarget == 0 || time.Duration(r.load)*time.Millisecond <= r.latencyTarget:
		r.overTargetSince = 0
	case r.overTargetSince == 0:
		r.overTargetSince = bootclock.Now()
	}
}

// mergeEndedRun updates the table from an ended run in a listing, and reports
// whether the end is new. The caller holds c.mu.
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

// stopExpired stops runs that continue after the grant has ended. The runner
// normally ends them itself, but its clock does not advance while the machine is
// suspended.
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
		klog.InfoS("stopping a run because the scheduler's grant has ended", "task", s.Task.String(), "attempt", s.Attempt)
		c.Stop(ctx, s.Task, s.Attempt)
	}
}

// Is reports whether err is, or wraps, an Error of the given kind.
func Is(err error, kind Kind) bool { return fault.Is(err, kind) }
