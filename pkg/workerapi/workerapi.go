// Package workerapi defines the platform's worker interface and implements a client
// and an HTTP handler for it. A worker runs tasks under leases, reports usage with a
// delay, and can throttle, checkpoint or stop a task.
package workerapi

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Clock is a reading of the worker's monotonic clock, as the time since an arbitrary
// start; it is sent in milliseconds. Lease deadlines refer to this clock, so that a
// command that is delivered late does not extend a lease.
type Clock time.Duration

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task.
const (
	Running      TaskState = "running"
	Standby      TaskState = "standby" // admitted, with its resources reserved, but not running
	Completed    TaskState = "completed"
	Failed       TaskState = "failed"
	Stopped      TaskState = "stopped"
	Checkpointed TaskState = "checkpointed" // stopped after saving a checkpoint
	Expired      TaskState = "expired"      // stopped because its lease expired
)

// Holder is the reply to Hold: the new epoch, the time on the worker's clock, and the
// worker's capacity.
type Holder struct {
	Epoch    units.Epoch
	Clock    Clock
	Capacity units.Resources
}

// Task is one row of the worker's task table. An ended task stays until Forget.
type Task struct {
	Task       units.Task
	Attempt    units.Attempt
	Kind       string // job kind
	State      TaskState
	Size       units.Resources // reserved
	LeaseUntil Clock
	Throttle   float64         // share of its processors that the task may use, 0 to 1
	Checkpoint string          // last saved checkpoint, empty for none
	Reason     string          // why the task failed
	Ran        time.Duration   // time for which it has run
	Usage      units.Resources // measured UsageAge ago
	UsageAge   time.Duration
	Label      string // opaque, from StartRequest; holds the state that a restarted agent needs
}

// Table is the worker's task table.
type Table struct {
	Epoch units.Epoch
	Clock Clock
	Tasks []Task
}

// StartRequest is the request to a worker to run one attempt of a task.
type StartRequest struct {
	Epoch      units.Epoch
	Task       units.Task
	Attempt    units.Attempt
	Kind       string
	Size       units.Resources
	RunTime    time.Duration // declared run time; 0 for a task that runs until it is stopped
	LeaseUntil Clock
	Checkpoint string // checkpoint to resume from, empty for none
	Standby    bool   // admit the task and reserve its resources without running it
	Label      string // opaque
}

// Worker is the interface of a worker to the agent on its machine. Client implements
// it over HTTP; tests use fakes. Implementations are safe for concurrent use and
// return an *Error on failure: Unknown if the command may have taken effect, Invalid
// if it is malformed, and NotFound if it refers to a task or an attempt that the
// worker doesn't have. Start, Renew, Throttle, Checkpoint, Stop, Activate and Forget
// contain the epoch of the holder as a fencing token; the worker rejects an epoch
// older than its newest with kind Fenced.
type Worker interface {
	// Hold makes holder the holder of the worker, with a new, higher epoch.
	Hold(ctx context.Context, holder string) (Holder, error)
	// Tasks returns the task table.
	Tasks(ctx context.Context) (Table, error)
	// Start starts an attempt. It is idempotent for the same task and attempt. An
	// attempt lower than an earlier one of the task is rejected with kind Conflict,
	// and a size that exceeds the worker's free resources with kind Full.
	Start(ctx context.Context, r StartRequest) error
	// Activate runs a task that was started on standby; its attempt becomes as.
	Activate(ctx context.Context, e units.Epoch, t units.Task, attempt, as units.Attempt) error
	// Renew extends the leases of the given running and standby tasks to until and
	// returns the time on the worker's clock. It never shortens a lease.
	Renew(ctx context.Context, e units.Epoch, until Clock, tasks []units.Task) (Clock, error)
	// Throttle limits a task to a share of its processors, 0 to 1.
	Throttle(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, share float64) error
	// Checkpoint saves the state of a task, stops the task if stop is set, and
	// returns the name of the checkpoint.
	Checkpoint(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, stop bool) (string, error)
	// Stop stops a task.
	Stop(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error
	// Forget removes an ended task from the table. The worker still rejects lower
	// attempts of the task.
	Forget(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error
}

// Kind is the kind of an Error.
type Kind string

// The kinds of Error.
const (
	Unknown  Kind = "unknown"  // no reply, or an unreadable one: the command may have taken effect
	Fenced   Kind = "fenced"   // the worker has a newer epoch
	Conflict Kind = "conflict" // the worker has a newer attempt of the task, or the task is in another state
	Full     Kind = "full"     // the free resources don't suffice
	NotFound Kind = "notFound" // no such task or attempt
	Invalid  Kind = "invalid"  // the request is malformed
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
