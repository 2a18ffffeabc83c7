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
	startTries = 4
	fullPace   = 100
)

// Start begins a run in the background. The run is in the table at once, and
// leaves it with a Rejection when it did not start. The order is meant for one
// incarnation of the runner.
func (c *Controller) Start(ctx context.Context, meant Incarnation, s StartOrder) {
	c.mu.Lock()
	reason := c.refusal(meant, s)
	if reason == "" {
		c.runs[s.Task] = &run{attempt: s.Attempt, starting: true, pace: fullPace,
			fills: s.BestEffort, target: s.LatencyTarget, image: s.Image, processors: s.Processors}
	} else if reason != repeated {
		c.rejected = append(c.rejected, Rejection{s.Task, s.Attempt, reason})
	}
	c.mu.Unlock()
	switch reason {
	case "":
		go c.start(ctx, meant, s)
	case repeated:
	default:
		c.changed()
	}
}

// repeated marks an order that is being carried out already.
const repeated Kind = "repeated"

// refusal returns why an order is not carried out. c.mu is held.
func (c *Controller) refusal(meant Incarnation, s StartOrder) Kind {
	switch r := c.runs[s.Task]; {
	case c.info == nil || c.info.Incarnation != meant:
		return WrongIncarnation
	case r != nil && r.attempt == s.Attempt:
		return repeated
	case r != nil || c.info.Draining || !c.known:
		return Unavailable
	case c.grant != 0 && !bootclock.Now().Before(c.grant):
		return LeaseExpired
	}
	return ""
}

func (c *Controller) start(ctx context.Context, meant Incarnation, s StartOrder) {
	mayArrive := false // a try without an answer may still be carried out
	var err error
	for try := 0; try < startTries; try++ {
		call, refused := c.nextTry(meant, s)
		if refused == repeated {
			return
		}
		if refused != "" {
			err = fault.New("start", refused, "no further try")
			break
		}
		err = c.call(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.Start(ctx, call) })
		mayArrive = mayArrive || Is(err, Unanswered)
		if err == nil || !Is(err, Unanswered) && !Is(err, NotSent) || ctx.Err() != nil {
			break
		}
	}
	if err == nil {
		c.confirm(s)
		return
	}
	klog.InfoS("start failed", "task", s.Task.String(), "attempt", s.Attempt, "runner", meant.ID, "mayArrive", mayArrive, "err", err)
	if mayArrive && !settles[kindOf(err)] && !c.cancelStart(ctx, meant.ID, s) {
		return // it runs after all, or the runner is another one
	}
	if kindOf(err) == Superseded || mayArrive && !c.replacedBy(meant) {
		// An earlier try may have been carried out, and the run may even have
		// ended well. Only the lists can tell: the run stays in the table until
		// one that is asked for from now on shows it, its end, or neither.
		c.confirm(s)
		return
	}
	c.reject(s, err)
}

// nextTry returns the call of the next try of a start, or why there is none: the
// lease has ended, the runner is another one than was meant, or the lists have
// shown the run or its end (repeated). Another life under the same id would carry
// the start out although the run may have ended in the life that was meant.
func (c *Controller) nextTry(meant Incarnation, s StartOrder) (StartCall, Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[s.Task]; r == nil || r.attempt != s.Attempt || !r.starting {
		return StartCall{}, repeated
	}
	if c.info.Incarnation != meant {
		return StartCall{}, WrongIncarnation
	}
	until, granted := c.lease(bootclock.Now())
	if !granted {
		return StartCall{}, LeaseExpired
	}
	return StartCall{Runner: meant.ID, Token: c.fencingToken(), Task: s.Task, Attempt: s.Attempt, Spec: s.Spec,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket, Until: until}, ""
}

// replacedBy reports whether the runner has another id than was meant. It then
// refuses everything that is still on its way.
func (c *Controller) replacedBy(meant Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.info.ID != meant.ID
}

// settles lists the refusals after which no earlier try of the same attempt
// can be carried out any more.
var settles = map[Kind]bool{Superseded: true, Fenced: true, WrongIncarnation: true}

func kindOf(err error) Kind {
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
		lapsed := c.lapsed(bootclock.Now())
		call := StopCall{Runner: id, Token: c.fencingToken(), Task: s.Task, Attempt: s.Attempt}
		c.mu.Unlock()
		if gone {
			return false
		}
		if lapsed {
			return true
		}
		err := c.call(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.Stop(ctx, call) })
		if err == nil || Is(err, WrongIncarnation) || Is(err, Fenced) {
			return true
		}
		pause.For(ctx, retryPause)
	}
	return false
}

func (c *Controller) confirm(s StartOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.runs[s.Task]; r != nil && r.attempt == s.Attempt && r.starting {
		r.starting, r.confirmed = false, bootclock.Now()
	}
}

func (c *Controller) reject(s StartOrder, err error) {
	c.mu.Lock()
	if r := c.runs[s.Task]; r != nil && r.attempt == s.Attempt && r.starting {
		delete(c.runs, s.Task)
	}
	c.rejected = append(c.rejected, Rejection{s.Task, s.Attempt, kindOf(err)})
	c.mu.Unlock()
	c.changed()
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
		go c.stop(ctx, StopCall{Runner: id, Token: token, Task: task, Attempt: attempt})
	}
}

func (c *Controller) stop(ctx context.Context, call StopCall) {
	for ctx.Err() == nil {
		err := c.call(ctx, func(ctx context.Context) (ClockTime, error) { return c.API.Stop(ctx, call) })
		if err == nil || !Is(err, Unanswered) && !Is(err, NotSent) && !Is(err, Unavailable) {
			return
		}
		c.mu.Lock()
		over := c.lapsed(bootclock.Now()) || c.info == nil || c.info.ID != call.Runner
		c.mu.Unlock()
		if over {
			return
		}
		pause.For(ctx, retryPause)
	}
}

func (c *Controller) call(ctx context.Context, fn func(context.Context) (ClockTime, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := fn(ctx)
	return err
}
