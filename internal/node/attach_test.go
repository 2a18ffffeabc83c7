package node

import (
	"context"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// attachWait is how long the tests in this file watch a leader that dials an agent.
const attachWait = 900 * time.Millisecond

// playEvents runs the events of the term until it ends.
func playEvents(l *leader) {
	l.group.Go(func() error {
		for {
			select {
			case fn := <-l.events:
				fn()
			case <-l.ctx.Done():
				return nil
			}
		}
	})
}

// inTerm runs fn among the events of the term and waits for it.
func inTerm(l *leader, fn func()) {
	done := make(chan struct{})
	l.enqueue(func() {
		defer close(done)
		fn()
	})
	<-done
}

// Guards against an agent that reports its runs as those of the machine that had its address
// before, which the leader takes for the end of all runs there.
func TestAgentRejectsAttachMeantForAnotherWorker(t *testing.T) {
	a, _ := testAgent(t)
	if _, err := a.handleAttach(t.Context(), &wire.Attach{Term: 9, Leader: "leader", Attachment: 9, Worker: "other"}); err == nil {
		t.Errorf("attach for worker other at the agent of %q: got no error, want a rejection", a.Settings.Name)
	}
	if _, err := a.handleAttach(t.Context(), &wire.Attach{Term: 3, Leader: "leader", Attachment: 1, Worker: "agent"}); err != nil {
		t.Errorf("attach for this worker after the rejected ones of a later term: got %v, want it attached", err)
	}
}

// Guards against an agent that the leader of an earlier version can't attach to: the processes
// are upgraded one by one.
func TestAgentAcceptsAttachWithoutAWorker(t *testing.T) {
	a, _ := testAgent(t)
	if _, err := a.handleAttach(t.Context(), &wire.Attach{Term: 3, Leader: "leader", Attachment: 1}); err != nil {
		t.Errorf("attach that names no worker: got %v, want it attached", err)
	}
}

// idleRunner is a runner that answers each poll with an empty list.
type idleRunner struct{ runner.API }

func (idleRunner) Poll(ctx context.Context, _ runner.PollCall) (runner.Listing, error) {
	pause.For(ctx, 10*time.Millisecond)
	return runner.Listing{StartedUnixMs: 1, Clock: 1}, nil
}

// Guards against the release of the runs of a machine that may only be cut off: another one has
// got its address, and its agent answers the leader there.
func TestRunsStayWhenAnotherMachineHasTheAddress(t *testing.T) {
	l := startTerm(t, &slowStore{})
	l.settings.Name = "leader"
	l.scheduler.Attach("gone", now())
	l.scheduler.ApplyReport("gone", deskReport(), now())
	l.scheduler.ExtendLease("gone", deskReport(), now())
	l.scheduler.Accept(&workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}, Submitted: time.Now()}, workflow.Policy{Service: "desk"}, now())
	if got := l.orderedStarts(now().Boot); got != 1 {
		t.Fatalf("starts on the worker: got %d, want 1", got)
	}
	l.scheduler.Detach("gone")
	a, address := testAgent(t)
	a.Controller.API = idleRunner{}
	a.Controller.HandleAnnouncement(runner.Info{Incarnation: runner.Incarnation{ID: "another", StartedUnixMs: 1}, Service: "desk"}, 1)
	l.group.Go(func() error { return a.Controller.Run(l.ctx) })
	playEvents(l)
	inTerm(l, func() { l.handleMember(member{role: RoleAgent, name: "gone", address: address}) })
	time.Sleep(attachWait)
	inTerm(l, func() {
		l.scheduler.Attach("free", now())
		l.scheduler.ApplyReport("free", deskReport(), now())
		l.scheduler.ExtendLease("free", deskReport(), now())
		if got := l.orderedStarts(now().Boot); got != 0 {
			t.Errorf("starts while the run on the worker may go on: got %d, want 0", got)
		}
	})
}

// Guards against a leader that dials an address without a pause because another machine's
// agent rejects it there, and against one that never tries again.
func TestRejectedAttachIsRepeatedSlowly(t *testing.T) {
	l := startTerm(t, &slowStore{})
	_, address := testAgent(t)
	playEvents(l)
	inTerm(l, func() { l.handleMember(member{role: RoleAgent, name: "gone", address: address}) })
	attempts := func() (n uint64) {
		inTerm(l, func() { n = l.agents[units.WorkerID("gone")].attachment })
		return n
	}
	time.Sleep(attachWait)
	if got := attempts(); got < 1 || got > 2 {
		t.Errorf("attempts to attach within %v: got %d, want 1 or 2", attachWait, got)
	}
	time.Sleep(2 * rejectedAttachDelay)
	if got := attempts(); got < 2 {
		t.Errorf("attempts to attach within %v: got %d, want at least 2", attachWait+2*rejectedAttachDelay, got)
	}
}
