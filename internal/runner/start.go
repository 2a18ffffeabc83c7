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
	// callTimeout bounds a call to the runner on the same machine.
	callTimeout = 250 * time.Millisecond
	// startTries is how often an unanswered start is repeated. Repeating is
	// idempotent, and quicker than giving the run up.
	maxStartCalls = 4
	fullPace      = 100
)

// Start begins a run in the background. The run is in the table at once, and
// leaves it with a Rejection when it did not start. The order is meant for one
// incarnation of the runner.
func (c *Controller) Start(ctx context.Context, meant Incarnation, s StartOrder) {
	c.mu.Lock()
	reason := c.refusalReason(meant, s)
	if reason == "" {
		c.runs[s.Task] = &run{attempt: s.Attempt, starting: true, pace: fullPace,
			bestEffort: s.BestEffort, latencyTarget: s.LatencyTarget, image: s.Image, processors: s.Processors}
	} else if reason != duplicateStart {
		c.rejections = append(c.rejections, Rejection{s.Task, s.Attempt, reason})
	}
	c.mu.Unlock()
	switch reason {
	case "":
		go c.callStart(ctx, meant, s)
	case duplicateStart:
	default:
		c.notifyChange()
	}
}

// repeated marks an order that is being carried out already.
const duplicateStart Kind = "repeated"

// refusal returns why an order is not carried out. c.mu is held.
func (c *Controller) refusalReason(meant Incarnation, s StartOrder) Kind {
	switch r := c.runs[s.Task]; {
	case c.info == nil || c.info.Incarnation != meant:
		return WrongIncarnation
	case r != nil && r.attempt == s.Attempt:
		return duplicateStart
	case r != nil || c.info.Draining || !c.listed:
		return Unavailable
	case c.grantedUntil != 0 && !bootclock.Now().Before(c.grantedUntil):
		return LeaseExpired
	}
	return ""
}

func (c *Controller) callStart(ctx context.Context, meant Incarnation, s StartOrder) {
	mayArrive := false // a try without an answer may still be carried out
	var err error
	for try := 0; try < maxStartCalls; try++ {
		call, refused := c.nextStartCall(meant, s)
		if refused == duplicateStart {
			return
		}
		if refused != "" {
			err = fault.New("start", refused, "no further try")
			break
		}
		err = c.callRunner(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.Start(ctx, call) })
		mayArrive = mayArrive || Is(err, Unanswered)
		if err == nil || !Is(err, Unanswered) && !Is(err, NotSent) || ctx.Err() != nil {
			break
		}
	}
	if err == nil {
		c.confirmStart(s)
		return
	}
	klog.InfoS("start failed", "task", s.Task.String(), "attempt", s.Attempt, "runner", meant.ID, "mayArrive", mayArrive, "err", err)
	if mayArrive && !finalRefusals[errorKind(err)] && !c.cancelStart(ctx, meant.ID, s) {
		return // it runs after all, or the runner is another one
	}
	if errorKind(err) == Superseded || mayArrive && !c.hasOtherID(meant) {
		// An earlier try may have been carried out, and the run may even have
		// ended well. Only the lists can tell: the run stays in the table until
		// one that is asked for from now on shows it, its end, or neither.
		c.confirmStart(s)
		return
	}
	c.rejectStart(s, err)
}

// nextTry returns the call of the next try of a start, or why there is none: the
// lease has ended, the runner is another one than was meant, or the lists have
// shown the run or its end (repeated). Another life under the same id would carry
// the start out although the run may have ended in the life that was meant.
func (c *Controller) nextStartCall(meant Incarnation, s StartOrder) (StartCall, Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[s.Task]; r == nil || r.attempt != s.Attempt || !r.starting {
		return StartCall{}, duplicateStart
	}
	if c.info.Incarnation != meant {
		return StartCall{}, WrongIncarnation
	}
	until, granted := c.extendLease(bootclock.Now())
	if !granted {
		return StartCall{}, LeaseExpired
	}
	return StartCall{Runner: meant.ID, Token: c.fencingToken(), Task: s.Task, Attempt: s.Attempt, Spec: s.Spec,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket, Until: until}, ""
}

// replacedBy reports whether the runner has another id than was meant. It then
// refuses everything that is still on its way.
func (c *Controller) hasOtherID(meant Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.info.ID != meant.ID
}

// settles lists the refusals after which no earlier try of the same attempt
// can be carried out any more.
var finalRefusals = map[Kind]bool{Superseded: true, Fenced: true, WrongIncarnation: true}

func errorKind(err error) Kind {
	if e, ok := err.(*Error); ok {
		return e.Kind
	}
	return Unavailable
}

// cancelStart makes an unanswered start impossible: the runner refuses an
// attempt that was stopped before it arrived. It reports false when the run
// is in the lists or the table no longer has it.
func (c *Controller) cancelStart(ctx context.Context, id string, s StartOrder) bool {
	for ctx.Err() == nil {
		c.mu.Lock()
		r := c.runs[s.Task]
		gone := r == nil || r.attempt != s.Attempt || !r.starting
		lapsed := c.allLeasesExpired(bootclock.Now())
		call := StopCall{Runner: id, Token: c.fencingToken(), Task: s.Task, Attempt: s.Attempt}
		c.mu.Unlock()
		if gone {
			return false
		}
		if lapsed {
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

func (c *Controller) confirmStart(s StartOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[s.Task]; r != nil && r.attempt == s.Attempt && r.starting {
		r.starting, r.confirmedAt = false, bootclock.Now()
	}
}

func (c *Controller) rejectStart(s StartOrder, err error) {
	c.mu.Lock()
	if r := c.runs[s.Task]; r != nil && r.attempt == s.Attempt && r.starting {
		delete(c.runs, s.Task)
	}
	c.rejections = append(c.rejections, Rejection{s.Task, s.Attempt, errorKind(err)})
	c.mu.Unlock()
	c.notifyChange()
}

// Stop ends a run in the background and repeats the call until it is answered,
// the run has ended or its lease has.
func (c *Controller) Stop(ctx context.Context, task workflow.TaskID, attempt workflow.Attempt) {
	c.mu.Lock()
	id := ""
	token := c.fencingToken()
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
		go c.callStop(ctx, StopCall{Runner: id, Token: token, Task: task, Attempt: attempt})
	}
}

func (c *Controller) callStop(ctx context.Context, call StopCall) {
	for ctx.Err() == nil {
		err := c.callRunner(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.Stop(ctx, call) })
		if err == nil || !Is(err, Unanswered) && !Is(err, NotSent) && !Is(err, Unavailable) {
			return
		}
		c.mu.Lock()
		over := c.allLeasesExpired(bootclock.Now()) || c.info == nil || c.info.ID != call.Runner
		c.mu.Unlock()
		if over {
			return
		}
		pause.For(ctx, retryDelay)
	}
}

func (c *Controller) callRunner(ctx context.Context, fn func(context.Context) (ClockTime, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := fn(ctx)
	return err
}
