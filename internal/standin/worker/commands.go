package worker

import (
	"context"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// Throttle implements workerapi.Worker.
func (c *Core) Throttle(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, share float64) error {
	if err := c.before(ctx, "throttle"); err != nil {
		return err
	}
	c.lock()
	defer c.mu.Unlock()
	r, err := c.find("throttle", e, t, a)
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
	usage := r.actual
	usage.Processors = units.Millicores(float64(usage.Processors) * share)
	r.samples = append(r.samples, sample{c.last, usage})
	return c.after("throttle")
}

// Checkpoint implements workerapi.Worker. A repeated call for a task that has
// already been checkpointed and stopped returns the same checkpoint.
func (c *Core) Checkpoint(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, stop bool) (string, error) {
	if err := c.before(ctx, "checkpoint"); err != nil {
		return "", err
	}
	c.lock()
	defer c.mu.Unlock()
	r, err := c.find("checkpoint", e, t, a)
	if err != nil {
		return "", err
	}
	if r.State == workerapi.Checkpointed {
		return r.Checkpoint, c.after("checkpoint")
	}
	if r.State != workerapi.Running {
		return "", fault.New("checkpoint", workerapi.Conflict, "task %s is %s", t, r.State)
	}
	name := c.checkpointName(r)
	r.Checkpoint = name
	if stop {
		c.end(r, workerapi.Checkpointed, c.last)
	}
	return name, c.after("checkpoint")
}

// Stop implements workerapi.Worker. Stopping an ended task has no effect.
func (c *Core) Stop(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error {
	if err := c.before(ctx, "stop"); err != nil {
		return err
	}
	c.lock()
	defer c.mu.Unlock()
	r, err := c.find("stop", e, t, a)
	if err != nil {
		return err
	}
	if r.held() {
		c.end(r, workerapi.Stopped, c.last)
	}
	return c.after("stop")
}

// Forget implements workerapi.Worker. Forgetting an unknown task has no effect,
// so that a repeated call is harmless.
func (c *Core) Forget(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error {
	if err := c.before(ctx, "forget"); err != nil {
		return err
	}
	c.lock()
	defer c.mu.Unlock()
	if err := c.fence("forget", e); err != nil {
		return err
	}
	r := c.tasks[t]
	switch {
	case r == nil:
	case r.Attempt != a || r.held():
		return fault.New("forget", workerapi.Conflict, "task %s is attempt %d, %s", t, r.Attempt, r.State)
	default:
		delete(c.tasks, t)
	}
	return c.after("forget")
}
