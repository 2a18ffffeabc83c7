// Package runner controls the one runner beside an agent: it starts and stops
// runs, keeps their lease, and knows what runs there and how runs have ended.
// The agent is the only caller of its runner, so its table is complete.
package runner

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Incarnation identifies one life of a runner. A runner may return under its
// old id, so the id alone does not.
type Incarnation struct {
	ID            string
	StartedUnixMs int64 // Unix milliseconds of its start
}

// Info is what a runner says of itself.
type Info struct {
	Incarnation
	Service   units.ServiceName
	Domain    units.DomainName
	Labels    []string // its kind and its rack
	Capacity  units.Resources
	Draining  bool
	Remaining time.Duration // lower bound of its time left while draining; 0 when unknown
	Sequence  int64         // rises with each announcement of one incarnation
}

// Clock is the runner's own clock, in milliseconds.
type ClockTime int64

// Token is a fencing token: a runner does nothing for a lower one than it has seen.
type FencingToken uint64

// StartCall orders a run.
type StartCall struct {
	Runner     string // incarnation that the call is meant for
	Token      FencingToken
	Task       workflow.TaskID
	Attempt    workflow.Attempt
	Spec       string
	Checkpoint string    // empty to start from the beginning
	Ticket     string    // of the advice service; empty where none is needed
	Until      ClockTime // lease of everything on the runner
}

// StopCall ends a run.
type StopCall struct {
	Runner  string
	Token   FencingToken
	Task    workflow.TaskID
	Attempt workflow.Attempt
}

// PaceCall limits the speed of a run.
type PaceCall struct {
	StopCall
	Percent int // 0 to 100
}

// HoldCall extends the lease and reads the lists.
type PollCall struct {
	Runner   string
	Token    FencingToken
	Recorded uint64        // ends up to this number may be forgotten
	Until    ClockTime     // 0 leaves the lease as it is
	Wait     time.Duration // the answer waits at most this long for an end
}

// Row is a run on the runner.
type RunStatus struct {
	Task       workflow.TaskID
	Attempt    workflow.Attempt
	Checkpoint string
	Percent    int   // of its work
	Load       int64 // a serving task: tail latency in ms; another: processors in use
}

// Ended is a run that has ended and whose end may not be recorded yet.
type EndedRun struct {
	Number     uint64 // from 1, rising
	Task       workflow.TaskID
	Attempt    workflow.Attempt
	End        workflow.End
	Checkpoint string
}

// Listing is the answer to a hold.
type Listing struct {
	StartedUnixMs int64
	Clock         ClockTime
	Running       []RunStatus
	Ended         []EndedRun
}

// Kind tells the failures of a call apart.
type Kind string

// The kinds of Error.
const (
	Fenced               Kind = "fenced"      // a higher token has been seen
	Superseded           Kind = "superseded"  // this or a higher attempt has ended there
	LeaseExpired         Kind = "late"        // the lease in the call has expired
	InsufficientCapacity Kind = "noRoom"      // it does not fit
	InvalidTicket        Kind = "noTicket"    // the ticket is missing or no longer valid
	Unavailable          Kind = "unhealthy"   // the runner refuses and has done nothing
	WrongIncarnation     Kind = "reborn"      // another incarnation answered
	Invalid              Kind = "invalid"     // the call was refused as malformed
	NotSent              Kind = "unreachable" // the call did not leave this machine
	Unanswered           Kind = "unanswered"  // the call may have been, or may still be, carried out
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// API is the interface of a runner. Calls may be made concurrently. Errors are
// of type *Error.
type API interface {
	Start(ctx context.Context, call StartCall) (ClockTime, error)
	Stop(ctx context.Context, call StopCall) (ClockTime, error)
	SetPace(ctx context.Context, call PaceCall) (ClockTime, error)
	Poll(ctx context.Context, call PollCall) (Listing, error)
}
