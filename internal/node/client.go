package node

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// Outcome is the result of a client request.
type Outcome string

// Outcomes of client requests. They travel in replies and tag metrics.
const (
	Accepted    Outcome = "accepted"    // the job's record is durable
	Found       Outcome = "found"       // the job or the queue exists
	JobNotFound Outcome = "noJob"       // no such job exists
	Rejected    Outcome = "refused"     // the request had no effect and never will
	TooLarge    Outcome = "tooLarge"    // the job can't be stored; the request had no effect and never will
	Unknown     Outcome = "undecided"   // the request may have taken effect, or may still do so
	Unavailable Outcome = "unavailable" // the request cannot be processed now and had no effect
)

// Reply is the result of a client request.
type Reply struct {
	Outcome    Outcome
	State      workflow.State
	Pending    int
	RetryAfter time.Duration // how long to wait before a retry; 0 when there is no hint
	Reason     string        // for the log
	// awaitsLeader is set if the outcome is Unavailable because no process leads now.
	awaitsLeader bool
}

// noLeader returns the reply to a request that had no effect because no process leads now.
func noLeader(reason string) Reply {
	return Reply{Outcome: Unavailable, RetryAfter: unavailableRetryAfter, Reason: reason, awaitsLeader: true}
}

func (r Reply) toWire() *wire.ClientReply {
	return &wire.ClientReply{Outcome: string(r.Outcome), State: string(r.State), Pending: int64(r.Pending),
		RetryAfterMs: r.RetryAfter.Milliseconds(), Reason: r.Reason, AwaitsLeader: r.awaitsLeader}
}

func replyFromWire(w *wire.ClientReply) Reply {
	return Reply{Outcome: Outcome(w.GetOutcome()), State: workflow.State(w.GetState()), Pending: int(w.GetPending()),
		RetryAfter: time.Duration(w.GetRetryAfterMs()) * time.Millisecond, Reason: w.GetReason(), awaitsLeader: w.GetAwaitsLeader()}
}

// Verb is the operation that a client requests.
type Verb string

// Verbs of client requests. They travel between entry processes and tag metrics.
const (
	Submit Verb = "submit"
	Lookup Verb = "look"   // returns a job's state
	Cancel Verb = "cancel" // cancels a job
	Count  Verb = "count"  // counts a queue's jobs that have not started
)

// Request is a client request whose queue has been resolved.
type Request struct {
	Verb   Verb
	Queue  workflow.QueueName
	ID     workflow.JobID  // empty for Count
	Job    *workflow.Job   // for Submit
	Policy workflow.Policy // for Submit: the queue's policy
}
