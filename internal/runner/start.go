package runner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/workflow"
)

const (
	// callTimeout limits a call to the runner, which is on the same machine.
	callTimeout = 250 * time.Millisecond
	// maxStartCalls limits the calls for one start order. An unanswered call is
	// repeated because that is idempotent and faster than giving up the run.
	maxStartCalls = 4
	fullPace      = 100 // percent
)

// Start starts a run in the background on the given incarnation of the runner.
// The run is added to the table immediately. If it does not start, it is removed
// and a Rejection is reported.
func (c *Controller) Start(ctx context.Context, incarnation Incarnation, s StartOrder) {
	c.mu.Lock()
	reason := c.rejectionReason(incarnation, s)
	if reason == "" {
		c.runs[s.Task] = &run{attempt: s.Attempt, starting: true, pace: fullPace,
			bestEffort: s.BestEffort, latencyTarget: s.LatencyTarget, image: s.Image, processors: s.Processors}
	} else if reason != duplicateStart {
		c.rejections = append(c.rejections, Rejection{s.Task, s.Attempt, reason})
	}
	c.mu.Unlock()
	switch reason {
	case "":
		go c.callStart(ctx, incarnation, s)
	case duplicateStart:
	default:
		c.notifyChange()
	}
}

// duplicateStart marks an order that needs no call, because it is already being
// carried out or a listing has already shown its run.
const duplicateStart Kind = "repeated"

// rejectionReason returns why an order is not carried out, or "" if it is. The
// caller holds c.mu.
func (c *Controller) rejectionReason(incarnation Incarnation, s StartOrder) Kind {
	now := bootclock.Now()
	switch r := c.runs[s.Task]; {
	case c.info == nil || c.info.Incarnation != incarnation:
		return WrongIncarnation
	case r != nil && r.attempt == s.Attempt:
		return duplicateStart
	case r != nil || c.info.Draining || c.info.Unknown || !c.listed || c.awaitsPredecessor():
		return Unavailable
	case c.grantedUntil != 0 && !now.Before(c.grantedUntil):
		return LeaseExpired
	case c.outOfTouch(now):
		return LeaseExpired // none can be extended, and the scheduler may have been told that no run is left
	}
	return ""
}

// callStart carries out a start order. It repeats unanswered calls, and makes sure that
// the run cannot start any more before it reports a Rejection.
func (c *Controller) callStart(ctx context.Context, incarnation Incarnation, s StartOrder) {
	mayArrive := false // the runner may still carry out an unanswered call
	var err error
	for i := 0; i < maxStartCalls; i++ {
		call, rejection := c.nextStartCall(incarnation, s)
		if rejection == duplicateStart {
			return
		}
		if rejection != "" {
			err = fault.New("start", rejection, "no further start call is made")
			break
		}
		err = c.callRunner(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.Start(ctx, call) })
		mayArrive = mayArrive || Is(err, Unanswered)
		if err == nil || ctx.Err() != nil || !c.mayRepeat(err, call) {
			break
		}
	}
	if err == nil {
		c.endStart(s, false)
		return
	}
	klog.InfoS("failed to start a run", "task", s.Task.String(), "attempt", s.Attempt, "runner", incarnation.ID, "mayArrive", mayArrive, "err", err)
	if mayArrive && !finalFailures[errorKind(err)] && !c.cancelStart(ctx, incarnation.ID, s) {
		return // a listing has shown the run, or the runner was replaced
	}
	if errorKind(err) == Superseded || mayArrive && !c.hasOtherID(incarnation) {
		// An earlier call may have been carried out, and the run may even have
		// completed. Only a listing can show that, so the run stays in the table
		// until a listing requested from now on contains the run, its end, or
		// neither.
		c.endStart(s, true)
		c.notifyChange()
		return
	}
	c.rejectStart(s, err)
}

// mayRepeat reports whether a start call that has failed with err may succeed if it is
// repeated: it was not answered, or its lease had expired because the last reading of the
// runner's clock was old, and the reply contained a newer one.
func (c *Controller) mayRepeat(err error, call StartCall) bool {
	switch errorKind(err) {
	case Unanswered, NotSent:
		return true
	case LeaseExpired:
		c.mu.Lock()
		defer c.mu.Unlock()
		until, granted := c.extendLease(bootclock.Now())
		return granted && until > call.Until
	}
	return false
}

// nextStartCall returns the next call for a start order, or why there is none: the
// lease has expired, the incarnation has been replaced, a stop was ordered, or a listing has shown the
// run or its end (duplicateStart). The call is not sent to a new incarnation with
// the same id, which would carry it out although the run may already have ended in
// the previous one.
func (c *Controller) nextStartCall(incarnation Incarnation, s StartOrder) (StartCall, Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[s.Task]; r == nil || r.attempt != s.Attempt || !r.starting {
		return StartCall{}, duplicateStart
	}
	if c.info.Incarnation != incarnation {
		return StartCall{}, WrongIncarnation
	}
	if c.runs[s.Task].stopping {
		return StartCall{}, Cancelled
	}
	until, granted := c.extendLease(bootclock.Now())
	if !granted {
		return StartCall{}, LeaseExpired
	}
	return StartCall{Runner: incarnation.ID, Token: c.fencingToken(), Task: s.Task, Attempt: s.Attempt, Spec: s.Spec,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket, Until: until}, ""
}

// hasOtherID reports whether the current runner has another id than incarnation. The
// current runner then rejects all calls to incarnation that are still in flight.
func (c *Controller) hasOtherID(incarnation Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.info.ID != incarnation.ID
}

// finalFailures are the failures after which the runner can no longer carry out an
// earlier call for the same attempt.
var finalFailures = map[Kind]bool{Superseded: true, Fenced: true, WrongIncarnation: true}

// errorKind returns the kind of an error of the API.
func errorKind(err error) Kind {
	if e, ok := err.(*Error); ok {
		return e.Kind
	}
	return Unavailable
}

// cancelStart prevents an unanswered start from being carried out later, by
// stopping the attempt: the runner rejects the start of an attempt for which it has
// received a stop. Once all leases have ended, the fencing token does that. It
// returns true once the start can no longer take effect, and false when a listing
// has shown the run, the run is no longer in the table, or ctx is done.
func (c *Controller) cancelStart(ctx context.Context, id string, s StartOrder) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		r := c.runs[s.Task]
		settled := r == nil || r.attempt != s.Attempt || !r.starting
		expired := c.endLeases(bootclock.Now())
		call := StopCall{Runner: id, Token: c.fencingToken(), Task: s.Task, Attempt: s.Attempt}
		c.mu.Unlock()
		if settled {
			return false
		}
		if expired {
			return true
		}
		err := c.callRunner(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.Stop(ctx, call) })
		if err == nil || Is(err, WrongIncarnation) || Is(err, Fenced) {
			return true
		}
		pause.For(ctx, retryDelay)
	}
	return false
}

// endStart marks a run as started, or as undecided.
func (c *Controller) endStart(s StartOrder, undecided bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[s.Task]; r != nil && r.attempt == s.Attempt && r.starting {
		r.starting, r.undecided, r.confirmedAt = false, undecided, bootclock.Now()
	}
}

// rejectStart removes a run that has not started and adds a Rejection.
func (c *Controller) rejectStart(s StartOrder, err error) {
	c.mu.Lock()
	if r := c.runs[s.Task]; r != nil && r.attempt == s.Attempt && r.starting {
		delete(c.runs, s.Task)
	}
	c.rejections = append(c.rejections, Rejection{s.Task, s.Attempt, errorKind(err)})
	c.mu.Unlock()
	c.notifyChange()
}

// Stop stops a run in the background. It repeats the call until the runner answers,
// the leases have expired or the runner is replaced.
func (c *Controller) Stop(ctx context.Context, task workflow.TaskID, attempt workflow.Attempt) {
	c.mu.Lock()
	id := ""
	if c.info != nil {
		id = c.info.ID
	}
	if r := c.runs[task]; r != nil && r.attempt == attempt {
		if r.stopping {
			id = ""
		}
		r.stopping = true
	}
	c.mu.Unlock()
	if id != "" {
		go c.callStop(ctx, StopCall{Runner: id, Task: task, Attempt: attempt})
	}
}

// callStop repeats a stop as described for Stop, each time with the current token. A stop
// that it gives up may be ordered again.
func (c *Controller) callStop(ctx context.Context, call StopCall) {
	for ctx.Err() == nil {
		c.mu.Lock()
		call.Token = c.fencingToken()
		c.mu.Unlock()
		err := c.callRunner(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.Stop(ctx, call) })
		if err == nil || !Is(err, Unanswered) && !Is(err, NotSent) && !Is(err, Unavailable) {
			return
		}
		c.mu.Lock()
		obsolete := c.endLeases(bootclock.Now()) || c.info == nil || c.info.ID != call.Runner
		if r := c.runs[call.Task]; obsolete && r != nil && r.attempt == call.Attempt {
			r.stopping = false
		}
		c.mu.Unlock()
		if obsolete {
			return
		}
		pause.For(ctx, retryDelay)
	}
}

// callRunner calls fn with a timeout of callTimeout. It keeps the reading of the runner's
// clock if the runner has not been replaced meanwhile.
func (c *Controller) callRunner(ctx context.Context, fn func(context.Context) (ClockTime, error)) error {
	c.mu.Lock()
	before := c.incarnations
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	clock, err := fn(ctx)
	c.mu.Lock()
	if c.incarnations == before && clock > c.runnerClock {
		c.setClock(clock)
	}
	c.mu.Unlock()
	return err
}
