package node

import (
	"testing"

	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/workflow"
)

var plainJob = &workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}}

// Guards against a client that waits until its deadline for a job whose record the store does not
// accept, and against a job that runs without a record.
func TestRejectedJobRecordIsAnswered(t *testing.T) {
	l := startTerm(t, &slowStore{})
	replies := make(chan Reply, 1)
	l.submit(Request{Verb: Submit, ID: "j", Job: plainJob}, replies)
	s := l.submissions["j"]
	l.recordRejected(scheduler.JobKey("j"))
	select {
	case got := <-replies:
		if got.Outcome != Unknown {
			t.Errorf("got outcome %s, want %s: the store may have accepted the record before", got.Outcome, Unknown)
		}
	default:
		t.Error("got no reply, want one")
	}
	l.jobAccepted(Request{Verb: Submit, ID: "j", Job: plainJob}, s)
	if l.scheduler.HasJob("j") {
		t.Error("the job exists, want none")
	}
}

// Guards against ends of runs that are acknowledged although the record that contains them was
// rejected: nothing is committed before the flush with the failure of the job.
func TestRejectedProgressIsNotCommitted(t *testing.T) {
	l := startTerm(t, &slowStore{})
	l.scheduler.Accept(plainJob, workflow.Policy{Service: "desk"}, now())
	l.recordRejected("progress/j")
	answered := make(chan Reply, 1)
	l.cancellations = []cancellation{{flush: 0, waiter: answered}}
	l.flushCommitted(0)
	if len(answered) != 0 {
		t.Error("a flush was committed that lacks a record, want it held until the failure of the job is durable")
	}
	_, flush, err := l.scheduler.Flush(now())
	if err != nil {
		t.Fatal(err)
	}
	l.flushCommitted(flush)
	if got, _ := l.scheduler.JobState("j"); got != workflow.Failed || len(answered) != 1 {
		t.Errorf("after flush %d: got state %q and %d answers, want %q and 1", flush, got, len(answered), workflow.Failed)
	}
}
