package worker

import (
	"context"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// Throttle implements workerapi.Worker.
func (c *Core) Throttle(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, share float64) error {
	if err := c.applyFaults(ctx, "throttle"); err != nil {
		return err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	r, err := c.findAttempt("throttle", e, t, a)
	if err != nil {
		return err
	}
	if !(share > 0 && share <= 1) {
		return fault.New("throttle", workerapi.Invalid, "share %v is not in (0, 1]", share)
	}
	if r.State != workerapi.Running {
		return fault.New("throttle", workerapi.Conflict, "task %s is %s", t, r.State)
	}
	r.Throttle = share
	usage := r.actualSize
	usage.Processors = units.Millicores(float64(usage.Processors) * share)
	r.samples = append(r.samples, sample{c.lastAdvance, usage})
	return c.loseReply("throttle")
}

// Checkpoint implements workerapi.Worker. A repeated call for a task that has
// already been checkpointed and stopped returns the existing checkpoint.
func (c *Core) Checkpoint(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, stop bool) (string, error) {
	if err := c.applyFaults(ctx, "checkpoint"); err != nil {
		return "", err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	r, err := c.findAttempt("checkpoint", e, t, a)
	if err != nil {
		return "", err
	}
	if r.State == workerapi.Checkpointed {
		return r.Checkpoint, c.loseReply("checkpoint")
	}
	if r.State != workerapi.Running {
		return "", fault.New("checkpoint", workerapi.Conflict, "task %s is %s", t, r.State)
	}
	name := c.checkpointName(r)
	r.Checkpoint = name
	if stop {
		c.end(r, workerapi.Checkpointed, c.lastAdvance)
	}
	return name, c.loseReply("checkpoint")
}

// Stop implements workerapi.Worker. It has no effect on a task that has ended.
func (c *Core) Stop(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error {
	if err := c.applyFaults(ctx, "stop"); err != nil {
		return err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	r, err := c.findAttempt("stop", e, t, a)
	if err != nil {
		return err
	}
	if r.active() {
		c.end(r, workerapi.Stopped, c.lastAdvance)
	}
	return c.loseReply("stop")
}

// Forget implements workerapi.Worker. It has no effect on a task that is not in
// the table, and so none when it is repeated.
func (c *Core) Forget(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error {
	if err := c.applyFaults(ctx, "forget"); err != nil {
		return err
	}
	c.lockAndAdvance()
	defer c.mu.Unlock()
	if err := c.checkEpoch("forget", e); err != nil {
		return err
	}
	r := c.tasks[t]
	switch {
	case r == nil:
	case r.Attempt != a || r.active():
		return fault.New("forget", workerapi.Conflict, "task %s is attempt %d, %s", t, r.Attempt, r.State)
	default:
		delete(c.tasks, t)
	}
	return c.loseReply("forget")
}
