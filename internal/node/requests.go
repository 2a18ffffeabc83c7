package node

import (
	"context"
	"fmt"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The leader's answers to the requests of clients.

// handleRequest answers a client request.
func (l *leader) handleRequest(ctx context.Context, r Request) Reply {
	replies := make(chan Reply, 1)
	if !l.enqueue(func() { l.processRequest(r, replies) }) {
		return noLeader("leader has ended")
	}
	select {
	case reply := <-replies:
		return l.confirm(reply)
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	if r.Verb == Submit || r.Verb == Cancel {
		return Reply{Outcome: Unknown, Reason: "the store has not answered"}
	}
	return noLeader("leader has ended")
}

// confirm returns the reply if it holds now. This process may have been suspended since
// processRequest, and a later leader may know jobs and states that this one does not.
// A reply about a durable record holds for good.
func (l *leader) confirm(r Reply) Reply {
	if r.Outcome == JobNotFound && !l.isLeading() {
		return noLeader("leadership has ended meanwhile")
	}
	return r
}

// processRequest must be called in the goroutine that runs the scheduler.
func (l *leader) processRequest(r Request, replyTo chan Reply) {
	if !l.isLeading() {
		replyTo <- noLeader("leadership is not certain")
		return
	}
	switch r.Verb {
	case Submit:
		l.submit(r, replyTo)
	case Lookup:
		state, found := l.scheduler.JobState(r.ID)
		if !found {
			replyTo <- l.replyUnknownJob(r.ID)
			return
		}
		replyTo <- Reply{Outcome: Found, State: state, Reason: l.scheduler.JobFailure(r.ID)}
	case Cancel:
		l.cancel(r, replyTo)
	case Count:
		replyTo <- Reply{Outcome: Found, Pending: l.scheduler.PendingJobs(r.Queue)}
	}
}

// replyUnknownJob returns the reply for a job without a durable record. A job
// whose record is being written may exist soon.
func (l *leader) replyUnknownJob(id workflow.JobID) Reply {
	if l.submissions[id] != nil {
		return Reply{Outcome: Unavailable, RetryAfter: unavailableRetryAfter, Reason: "job is being accepted"}
	}
	return l.jobNotFound()
}

// jobNotFound returns the reply for a job that does not exist, with what the log needs to
// tell a lost job from one that never was.
func (l *leader) jobNotFound() Reply {
	return Reply{Outcome: JobNotFound, Reason: fmt.Sprintf("not among the %d jobs of term %d", l.scheduler.JobCount(), l.term)}
}

func (l *leader) submit(r Request, replyTo chan Reply) {
	id := r.ID
	if l.scheduler.HasJob(id) {
		replyTo <- Reply{Outcome: Accepted, Reason: "known"}
		return
	}
	if s := l.submissions[id]; s != nil {
		s.waiters = append(s.waiters, replyTo)
		return
	}
	if l.writer.Stalled(l.storeReachable()) {
		replyTo <- Reply{Outcome: Rejected, RetryAfter: unavailableRetryAfter, Reason: "store does not answer"}
		return
	}
	value, err := workflow.Encode(r.Job, r.Policy)
	if err != nil {
		replyTo <- Reply{Outcome: Rejected, Reason: err.Error()}
		return
	}
	record := durable.Record{Key: scheduler.JobKey(id), Value: value}
	if size, limit := record.KeyedSize(), l.writer.Limits.RecordBytes; size > limit {
		replyTo <- Reply{Outcome: TooLarge, Reason: fmt.Sprintf("the record of the job has %d bytes; the store accepts %d", size, limit)}
		return
	}
	s := &submission{waiters: []chan Reply{replyTo}}
	l.submissions[id] = s
	l.writer.Write([]durable.Record{record}, func() { l.enqueue(func() { l.jobAccepted(r, s) }) })
}

// submissionRejected answers the clients of a job that is being accepted if the key is that of its
// record, which the store does not accept.
func (l *leader) submissionRejected(key string) bool {
	for id, s := range l.submissions {
		if scheduler.JobKey(id) != key {
			continue
		}
		delete(l.submissions, id)
		for _, waiter := range s.waiters {
			waiter <- Reply{Outcome: Unknown, Reason: "the store does not accept the record of the job"}
		}
		return true
	}
	return false
}

func (l *leader) jobAccepted(r Request, s *submission) {
	if l.submissions[r.ID] != s {
		return // its record was rejected
	}
	delete(l.submissions, r.ID)
	klog.InfoS("job accepted", "job", r.ID, "queue", r.Queue, "priority", r.Policy.Priority, "steps", r.Job.Summary())
	l.scheduler.Accept(r.Job, r.Policy, now())
	for _, waiter := range s.waiters {
		waiter <- Reply{Outcome: Accepted}
	}
}

func (l *leader) cancel(r Request, replyTo chan Reply) {
	if l.submissions[r.ID] != nil {
		replyTo <- Reply{Outcome: Unavailable, RetryAfter: unavailableRetryAfter, Reason: "job is being accepted"}
		return
	}
	if !l.scheduler.HasJob(r.ID) {
		replyTo <- l.jobNotFound()
		return
	}
	flush := l.scheduler.Cancel(r.ID, now())
	if flush == 0 {
		replyTo <- Reply{Outcome: Found} // already final, or cancelled before
		return
	}
	l.cancellations = append(l.cancellations, cancellation{flush, replyTo})
}
