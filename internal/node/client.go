package node

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// Outcome is what became of a request of a client.
type Outcome string

// The outcomes.
const (
	Accepted    Outcome = "accepted"    // the job's record is durable
	Found       Outcome = "found"       // the job or the queue is known
	JobNotFound Outcome = "noJob"       // no such job exists
	Rejected    Outcome = "refused"     // nothing was done and never will be
	Unknown     Outcome = "undecided"   // the job may have been accepted, or may still be
	Unavailable Outcome = "unavailable" // nothing can be said now; a reading changes nothing
)

// Reply is the answer to a request of a client.
type Reply struct {
	Outcome    Outcome
	State      workflow.State
	Pending    int
	RetryAfter time.Duration // when to come back; 0 when there is no advice
	Reason     string        // for the log
}

func (r Reply) toWire() *wire.ClientReply {
	return &wire.ClientReply{Outcome: string(r.Outcome), State: string(r.State), Pending: int64(r.Pending),
		RetryAfterMs: r.RetryAfter.Milliseconds(), Reason: r.Reason}
}

func replyFromWire(w *wire.ClientReply) Reply {
	return Reply{Outcome: Outcome(w.GetOutcome()), State: workflow.State(w.GetState()), Pending: int(w.GetPending()),
		RetryAfter: time.Duration(w.GetRetryAfterMs()) * time.Millisecond, Reason: w.GetReason()}
}

// Verb is what a client asks for.
type Verb string

// The verbs.
const (
	Submit Verb = "submit"
	Lookup Verb = "look"   // at a job's state
	Cancel Verb = "cancel" // a job
	Count  Verb = "count"  // the jobs of a queue that have not begun
)

// Request is a request of a client whose queue is known.
type Request struct {
	Verb   Verb
	Queue  workflow.QueueName
	ID     workflow.JobID  // empty for Count
	Job    *workflow.Job   // for Submit
	Policy workflow.Policy // for Submit: the queue's policy
}
