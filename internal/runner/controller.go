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

	mu                sync.Mutex
	info              *Info             // last runner that has answered a call; nil before the first one
	candidate         *Info             // has announced itself under another id and has not answered yet; nil if there is none
	announcedAt       bootclock.Instant // when the candidate last announced itself
	succession                          // of the current runner by the candidate
	pollCurrent       bool              // the last poll of the candidate has failed, so the next one is for the current runner
	ordinal           FencingToken      // counts the incarnations and the ends of all leases; later calls have a higher one
	incarnations      int               // number of incarnations seen by this process
	knownIDs          map[string]bool   // ids of the runners that have listed their runs, to which calls may be under way
	incarnationSeenAt bootclock.Instant // when the current incarnation was first seen
	listed            bool              // a listing of this incarnation has been received
	listedAt          bootclock.Instant // when the last listing was requested
	truncated         bool              // the last listing lacked ended runs
	complete          bool              // a listing of this incarnation lacked none, so each run since is in the table or has ended
	unresponsive      bool              // the last poll failed
	runs              map[workflow.TaskID]*run
	ended             []unrecordedEnd // ordered by number
	rejections        []Rejection
	recordedEnd       uint64            // ended runs up to this number are durably recorded
	acknowledgements  acknowledgements  // of ended runs, in polls
	grantedUntil      bootclock.Instant // when the scheduler's permission to run tasks ends
	runnerClock       ClockTime         // last reading of the runner's clock
	clockReadAt       bootclock.Instant // when runnerClock was received
	leaseUntil        ClockTime         // latest lease expiry sent to this incarnation
	leaseSent         bool              // a call with the current fencing token may carry a lease
	reportSequence    uint64            // sequence number of the last report
	startedAt         bootclock.Instant // when Run was called
	restartedAt       bootclock.Instant // when a new incarnation with the same id was first seen; 0 if the id is new
	lateCallsUntil    bootclock.Instant // until then a call for an earlier incarnation with this id may have given a lease; 0 if none may
	model             interference.Model
	observedAt        bootclock.Instant           // when the model was last updated
	endedReadings     []interference.UsageReading // best-effort tasks that have ended since observedAt
	loweredAt         bootclock.Instant           // when a pace was last lowered
	raisedAt          bootclock.Instant           // when a pace was last raised
	candidateAppeared chan struct{}               // closed and replaced when a runner becomes the candidate
	recordedAdvanced  chan struct{}               // closed and cleared when recordedEnd increases; nil while nobody waits
}

// notifyChange calls OnChange if it is set. The caller does not hold c.mu.
func (c *Controller) notifyChange() {
	if c.OnChange != nil {
		c.OnChange()
	}
}

// MarkRecorded drops the ended runs up to number, which are durably recorded. A
// call for another incarnation than the current one has no effect.
func (c *Controller) MarkRecorded(incarnation Incarnation, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.info == nil || c.info.Incarnation != incarnation || number <= c.recordedEnd {
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

// Run polls the runner, which renews the lease and returns the lists, until ctx
// is done. A poll waits for no other call, as the lease runs out meanwhile.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.startedAt = bootclock.Now()
	if c.candidateAppeared == nil {
		c.candidateAppeared = make(chan struct{})
	}
	c.mu.Unlock()
	watchCtx, stopWatch := context.WithCancel(ctx)
	go c.watch(watchCtx)
	paces := startPacing(watchCtx, c.protectLatency)
	defer paces.wait()
	defer stopWatch()
	for ctx.Err() == nil {
		paces.repanic()
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
		c.noteAcknowledged(call)
		if c.mergeListing(call.Runner, listing, sent) {
			c.notifyChange()
		}
		paces.adjust()
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
	appeared, there := c.candidateAppeared, c.candidate != nil
	c.mu.Unlock()
	if there {
		return
	}
	select {
	case <-appeared:
	case <-ctx.Done():
	}
}

// nextPoll returns the next poll, and whether its reply may wait for the end of a run. It
// must not while the runs are not known or ends are missing. A candidate is polled first, without
// a lease and without an acknowledgement of ends, and in turn with the current runner while it
// does not answer: it may not be there. ok is false if no runner has announced itself.
func (c *Controller) nextPoll() (call PollCall, mayWait, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	c.noteWatch(now)
	waits := c.awaitsPredecessor() && c.mayHoldRuns(now)
	if c.candidate != nil && !waits && (c.info == nil || !c.pollCurrent) {
		return PollCall{Runner: c.candidate.ID, Token: c.fencingToken()}, false, true
	}
	if c.info == nil {
		return PollCall{}, false, false
	}
	c.pollCurrent = false
	call = PollCall{Runner: c.info.ID, Wait: pollWait}
	if !c.outOfTouch(now) { // the next incarnation counts its ended runs anew
		call.Recorded = c.nextAcknowledgement()
	}
	if latencyCritical, bestEffort := c.activeTasks(); len(latencyCritical) > 0 && len(bestEffort) > 0 {
		call.Wait = protectedPollWait
	}
	if until, granted := c.extendLease(now); granted {
		call.Until = until
	}
	call.Token = c.fencingToken()
	return call, !c.silent(now) && !c.truncated && (c.candidate == nil || waits), true
}

// handlePollError marks the runner as unresponsive and waits before the next poll. It drops a
// candidate that is not there.
func (c *Controller) handlePollError(ctx context.Context, id string, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	if Is(err, WrongIncarnation) && c.candidate != nil && c.candidate.ID == id {
		klog.InfoS("runner that has announced itself is not there", "runner", id, "born", c.candidate.StartedUnixMs)
		c.otherSuccessor = c.otherSuccessor || c.candidateAnswered
		c.candidate, c.candidateAnswered = nil, false
		c.mu.Unlock()
		return
	}
	c.noteConnectionEnd(id, err)
	c.pollCurrent = c.candidate != nil && c.candidate.ID == id
	first := !c.unresponsive && c.info != nil && (c.info.ID == id || c.candidate != nil && c.candidate.ID == id)
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
