// Package runner controls the runner on the machine of an agent. It starts and
// stops runs, renews their lease, and tracks which runs are active and how runs
// have ended. The agent is the only caller of its runner, so the table of runs
// that it keeps is complete from the first listing on that lacks no ended run.
package runner

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Incarnation identifies one process lifetime of a runner. The id alone does not,
// because a runner may keep its id across a restart.
type Incarnation struct {
	ID            string
	StartedUnixMs int64 // start of the process; "born" on the wire
}

// Info describes a runner as the runner announces itself.
type Info struct {
	Incarnation
	Service   units.ServiceName
	Domain    units.DomainName
	Labels    []string // its kind and its rack
	Capacity  units.Resources
	Draining  bool
	Remaining time.Duration // while draining, lower bound of the time until the runner leaves; 0 when unknown
	Sequence  int64         // increases with each announcement of one incarnation
	Address   string        // as announced (IP:port), for logs: calls go to the address in the settings
	Unknown   bool          // the incarnation has not announced itself: the rest is of the one before
}

// ClockTime is a reading of the runner's own clock, in milliseconds.
type ClockTime int64

// FencingToken orders the callers of a runner. The runner rejects a call whose
// token is lower than one that it has seen.
type FencingToken uint64

// StartCall starts a run.
type StartCall struct {
	Runner     string // id of the runner that must carry out the call
	Token      FencingToken
	Task       workflow.TaskID
	Attempt    workflow.Attempt
	Spec       string
	Checkpoint string    // empty to start without a checkpoint
	Ticket     string    // issued by the advice service; empty where none is needed
	Until      ClockTime // new lease expiry of all runs on the runner
}

// StopCall stops a run.
type StopCall struct {
	Runner  string
	Token   FencingToken
	Task    workflow.TaskID
	Attempt workflow.Attempt
}

// PaceCall sets the pace of a run, which limits its speed.
type PaceCall struct {
	StopCall
	Percent int // of full speed; 0 halts the run
}

// PollCall renews the lease and requests a listing.
type PollCall struct {
	Runner   string
	Token    FencingToken
	Recorded uint64        // the runner may drop ended runs up to this number
	Until    ClockTime     // new lease expiry; 0 leaves the lease unchanged
	Wait     time.Duration // longest time that the reply may wait for a run to end
}

// RunStatus describes an active run.
type RunStatus struct {
	Task       workflow.TaskID
	Attempt    workflow.Attempt // 0 if the runner's list does not tell
	Checkpoint string
	Percent    int   // completed part of the work
	Load       int64 // latency-critical task: tail latency in milliseconds; other tasks: processors in use, in millicores
}

// EndedRun describes a run that has ended and whose end may not be recorded yet.
type EndedRun struct {
	Number     uint64 // starts at 1 and increases with each ended run
	Task       workflow.TaskID
	Attempt    workflow.Attempt
	End        workflow.End
	Checkpoint string
}

// Listing is the reply to a poll.
type Listing struct {
	StartedUnixMs int64 // of the incarnation that replied; 0 if it is not in the reply
	Clock         ClockTime
	Running       []RunStatus
	Ended         []EndedRun // ended runs that the runner has not dropped yet, oldest first
	Truncated     bool       // Ended lacks the latest ended runs
}

// Kind classifies the failures of a call.
type Kind string

// The kinds of Error.
const (
	Fenced               Kind = "fenced"      // the runner has seen a higher token
	Superseded           Kind = "superseded"  // this or a later attempt has already ended on the runner
	LeaseExpired         Kind = "late"        // the lease in the call, or the grant for it, has already expired
	InsufficientCapacity Kind = "noRoom"      // the free resources do not suffice
	InvalidTicket        Kind = "noTicket"    // the ticket is missing or no longer valid
	Cancelled            Kind = "cancelled"   // a stop was ordered before the start took effect
	Unavailable          Kind = "unhealthy"   // the runner or its agent rejected the call, which was not carried out
	WrongIncarnation     Kind = "reborn"      // the call is for another incarnation than the current one
	Invalid              Kind = "invalid"     // the call was rejected as malformed
	NotSent              Kind = "unreachable" // the call did not leave this process
	Unanswered           Kind = "unanswered"  // no usable reply; the call may have been carried out or may still be
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// API is the interface of a runner. Its methods may be called concurrently and
// return errors of type *Error. A call that the runner has answered returns the reading
// of the runner's clock in the reply, even with an error; otherwise the reading is 0.
type API interface {
	Start(ctx context.Context, call StartCall) (ClockTime, error)
	Stop(ctx context.Context, call StopCall) (ClockTime, error)
	SetPace(ctx context.Context, call PaceCall) (ClockTime, error)
	Poll(ctx context.Context, call PollCall) (Listing, error)
}
