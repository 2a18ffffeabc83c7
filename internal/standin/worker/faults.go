package worker

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// Faults are the misbehaviours that a test or POST /v1/faults switches on. The
// zero value is a healthy worker.
type Faults struct {
	FailTasks   bool          `json:"failTasks"`   // every task that starts fails at once
	Speed       float64       `json:"speed"`       // share of the full speed at which tasks progress; 0 means 1
	Delay       time.Duration `json:"delay"`       // before each call takes effect, in nanoseconds
	LoseReplies int           `json:"loseReplies"` // next calls that take effect without a reply
	LoseOp      string        `json:"loseOp"`      // restricts LoseReplies to one operation, such as "start"
	Unreachable bool          `json:"unreachable"` // calls fail without effect
}

func (f Faults) speed() float64 {
	if f.Speed == 0 {
		return 1
	}
	return f.Speed
}

// SetFaults replaces the faults in force.
func (c *Core) SetFaults(f Faults) {
	c.lockAndAdvance()
	defer c.mu.Unlock()
	c.faults = f
}

// before applies the faults that precede the effect of a call.
func (c *Core) applyFaults(ctx context.Context, op string) error {
	c.mu.Lock()
	f := c.faults
	c.mu.Unlock()
	if f.Unreachable {
		return fault.New(op, workerapi.Unknown, "worker unreachable")
	}
	if f.Delay > 0 {
		// A call that has reached the worker takes effect even when its
		// caller has given up, so ctx does not cut the delay short.
		time.Sleep(f.Delay)
	}
	if err := ctx.Err(); err != nil && f.Delay == 0 {
		return fault.Wrap(op, workerapi.Unknown, err)
	}
	return nil
}

// after drops the reply of a call that has taken effect.
func (c *Core) loseReply(op string) error {
	if c.faults.LoseReplies == 0 || c.faults.LoseOp != "" && c.faults.LoseOp != op {
		return nil
	}
	c.faults.LoseReplies--
	return fault.New(op, workerapi.Unknown, "reply lost")
}

// Restart stands for a new instance of the worker under the same name: whatever
// ran has ended, the table is empty, the epoch is one nobody holds, and the
// monotonic clock begins anew unless Clock is set.
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
