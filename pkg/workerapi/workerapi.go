// Package workerapi is the client of the platform's worker interface: a worker
// runs tasks under leases, reports usage with a lag, and can throttle,
// checkpoint or stop a task.
package workerapi

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Clock is a reading of the worker's monotonic clock. Lease deadlines are
// given on this clock, so that a command delivered late extends no lease.
type Clock time.Duration

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task.
const (
	Running      TaskState = "running"
	Standby      TaskState = "standby" // admitted and held, not running
	Completed    TaskState = "completed"
	Failed       TaskState = "failed"
	Stopped      TaskState = "stopped"
	Checkpointed TaskState = "checkpointed" // stopped after saving a checkpoint
	Expired      TaskState = "expired"      // stopped because its lease ended
)

// Holder is the worker's answer to Hold.
type Holder struct {
	Epoch    units.Epoch
	Clock    Clock
	Capacity units.Resources
}

// Task is one row of the worker's task table. Ended tasks stay until Forget.
type Task struct {
	Task       units.Task
	Attempt    units.Attempt
	Kind       string // job kind
	State      TaskState
	Size       units.Resources // committed
	LeaseUntil Clock
	Throttle   float64 // share of its processors the task may use, 0..1
	Checkpoint string  // last saved checkpoint, empty for none
	Reason     string  // why it failed
	Ran        time.Duration
	Usage      units.Resources // lagging
	UsageAge   time.Duration   // how old Usage is
	Label      string          // opaque, given at start; carries what a restarted agent needs
}

// Table is the worker's task table.
type Table struct {
	Epoch units.Epoch
	Clock Clock
	Tasks []Task
}

// StartRequest asks a worker to run one attempt of a task.
type StartRequest struct {
	Epoch      units.Epoch
	Task       units.Task
	Attempt    units.Attempt
	Kind       string
	Size       units.Resources
	RunTime    time.Duration // 0 for a task that runs until stopped
	LeaseUntil Clock
	Checkpoint string
	Standby    bool   // admit and hold without running
	Label      string // opaque
}

// Worker is what an agent needs of the worker beside it. Client implements it
// over HTTP; tests use fakes. It is safe for concurrent use. Start, Renew,
// Throttle, Checkpoint, Stop, Activate and Forget carry the epoch of the
// holder; the worker refuses an epoch older than its newest with kind Fenced.
type Worker interface {
	// Hold makes holder the holder of the worker with a new, higher epoch.
	Hold(ctx context.Context, holder string) (Holder, error)
	// Tasks returns the task table.
	Tasks(ctx context.Context) (Table, error)
	// Start is idempotent by (task, attempt); an attempt lower than one seen
	// before is refused with kind Conflict, a size beyond the worker's free
	// room with kind Full.
	Start(ctx context.Context, r StartRequest) error
	// Activate runs a task that was started as standby, as the given attempt.
	Activate(ctx context.Context, e units.Epoch, t units.Task, attempt, as units.Attempt) error
	// Renew sets the lease deadline of the named running and standby tasks; it
	// never moves a deadline back.
	Renew(ctx context.Context, e units.Epoch, until Clock, tasks []units.Task) (Clock, error)
	Throttle(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, share float64) error
	// Checkpoint saves the task's state, stops it when stop is set, and returns
	// the name of the checkpoint.
	Checkpoint(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt, stop bool) (string, error)
	Stop(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error
	// Forget removes an ended task from the table. The worker still refuses
	// lower attempts of it.
	Forget(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error
}

// Kind tells failures of a worker apart.
type Kind string

// The kinds of Error.
const (
	Unknown  Kind = "unknown"  // no answer: the command may have taken effect
	Fenced   Kind = "fenced"   // a newer epoch holds the worker
	Conflict Kind = "conflict" // a newer attempt is known, or the task is in another state
	Full     Kind = "full"     // no room
	NotFound Kind = "notFound" // no such task or attempt
	Invalid  Kind = "invalid"  // the request is malformed
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
