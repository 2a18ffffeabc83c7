package node

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The requests of clients: those that this process receives, and those that others forward to
// it while it leads.

const (
	// leaderWait is how long a request waits for a leader. A planned change of leader takes
	// less, and its caller would come back only after a second. It is a small part of the time
	// that the caller has, so that a refusal still comes early.
	leaderWait = 300 * time.Millisecond
	// leaderRetryDelay is the delay before such a request is tried again.
	leaderRetryDelay = 40 * time.Millisecond
)

// Serve answers a client request, locally when this process leads and otherwise
// through the session to the leader. A request that had no effect because there is no leader
// waits for one for up to leaderWait.
func (e *Entry) Serve(ctx context.Context, r Request) Reply {
	begin := time.Now()
	reply := e.handleRequest(ctx, r)
	for reply.awaitsLeader && time.Since(begin) < leaderWait && ctx.Err() == nil {
		pause.For(ctx, leaderRetryDelay)
		reply = e.handleRequest(ctx, r)
	}
	e.metrics.recordRequest(r.Verb, reply.Outcome, time.Since(begin))
	return reply
}

func (e *Entry) handleRequest(ctx context.Context, r Request) Reply {
	e.mu.Lock()
	local, session := e.leader, e.session
	e.mu.Unlock()
	if local != nil {
		return local.handleRequest(ctx, r)
	}
	if session == nil {
		return noLeader("no leader is connected")
	}
	message := &wire.ClientCall{Verb: string(r.Verb), JobId: string(r.ID), Queue: string(r.Queue)}
	if r.Job != nil {
		message.Job = workflow.ToWire(r.Job, r.Policy)
	}
	reply := &wire.ClientReply{}
	if err := session.Call(ctx, pathClient, message, reply); err != nil {
		return replyFailedCall(r, err)
	}
	return replyFromWire(reply)
}

// replyFailedCall returns the reply to a client whose call to the leader
// failed. Only a call that was not sent certainly had no effect.
func replyFailedCall(r Request, err error) Reply {
	reply := noLeader(err.Error())
	if !fault.Is(err, link.NotSent) && (r.Verb == Submit || r.Verb == Cancel) {
		reply.Outcome, reply.awaitsLeader = Unknown, false
	}
	return reply
}

// handleClient answers a request that another entry process forwards.
func (e *Entry) handleClient(ctx context.Context, in *wire.ClientCall) (*wire.ClientReply, error) {
	e.mu.Lock()
	local := e.leader
	e.mu.Unlock()
	if local == nil {
		return noLeader("not the leader").toWire(), nil
	}
	r, err := requestFromWire(in)
	if err != nil {
		return nil, err
	}
	return local.handleRequest(ctx, r).toWire(), nil
}

// requestFromWire decodes a forwarded request. It returns an error for one that no entry
// process forwards, because the scheduler relies on valid jobs.
func requestFromWire(in *wire.ClientCall) (Request, error) {
	r := Request{Verb: Verb(in.GetVerb()), Queue: workflow.QueueName(in.GetQueue()), ID: workflow.JobID(in.GetJobId())}
	switch r.Verb {
	case Lookup, Cancel, Count:
		return r, nil
	case Submit:
	default:
		return r, fault.New("forward", link.Rejected, "unknown verb %q", in.GetVerb())
	}
	if in.GetJob() == nil {
		return r, fault.New("forward", link.Rejected, "submission of %q has no job", r.ID)
	}
	r.Job, r.Policy = workflow.FromWire(in.GetJob())
	if err := r.Job.Validate(); err != nil {
		return r, fault.Wrap("forward", link.Rejected, err)
	}
	if r.Job.ID != r.ID || r.ID == "" {
		return r, fault.New("forward", link.Rejected, "submission of %q has job %q", r.ID, r.Job.ID)
	}
	return r, nil
}
