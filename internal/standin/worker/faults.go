package worker

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// Faults are the faults that a test or POST /v1/faults injects. The zero value is
// a healthy worker.
type Faults struct {
	FailTasks   bool          `json:"failTasks"`   // every task that starts fails at once
	Speed       float64       `json:"speed"`       // progress of tasks as a share of the full speed; 0 means 1
	Delay       time.Duration `json:"delay"`       // delay before each call takes effect, in nanoseconds
	LoseReplies int           `json:"loseReplies"` // number of next calls that take effect but whose reply is lost
	LoseOp      string        `json:"loseOp"`      // restricts LoseReplies to one operation, such as "start"
	Unreachable bool          `json:"unreachable"` // calls fail without effect
}

func (f Faults) speed() float64 {
	if f.Speed == 0 {
		return 1
	}
	return f.Speed
}

// SetFaults replaces the injected faults.
func (c *Core) SetFaults(f Faults) {
	c.lockAndAdvance()
	defer c.mu.Unlock()
	c.faults = f
}

// applyFaults applies the faults that precede the effect of a call.
func (c *Core) applyFaults(ctx context.Context, op string) error {
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	if f.Unreachable {
		return fault.New(op, workerapi.Unknown, "worker unreachable")
	}
	if f.Delay > 0 {
		// A call that has reached the worker takes effect even if its caller no
		// longer waits, so the delay does not end when ctx does.
		time.Sleep(f.Delay)
	}
	if err := ctx.Err(); err != nil && f.Delay == 0 {
		return fault.Wrap(op, workerapi.Unknown, err)
	}
	return nil
}

// loseReply returns an error if a fault drops the reply of a call that has taken
// effect.
func (c *Core) loseReply(op string) error {
	if c.faults.LoseReplies == 0 || c.faults.LoseOp != "" && c.faults.LoseOp != op {
		return nil
	}
	c.faults.LoseReplies--
	return fault.New(op, workerapi.Unknown, "reply lost")
}

// Restart simulates a new instance of the worker under the same name: all running
// tasks have failed, the table is empty, no agent has acquired the new epoch, and
// the monotonic clock starts again at 0 unless Clock is set.
func (c *Core) Restart() {
	c.lockAndAdvance()
	defer c.mu.Unlock()
	for _, r := range c.tasks {
		if r.active() {
			c.end(r, workerapi.Failed, c.lastAdvance)
		}
	}
	clear(c.tasks)
	c.epoch += 1000
	if c.Clock == nil {
		c.origin, c.lastAdvance = time.Now(), 0
	}
}
