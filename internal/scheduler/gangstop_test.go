package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// The stop of a gang's member is forgotten if the session with its agent ends before the
// agent has received it. The member then waits alone until the runner ends it.
func TestStopOfAGangMemberIsForgottenWithTheSession(t *testing.T) {
	f := newFixture(t)
	a, b := f.addWorker("a", 2), f.addWorker("b", 2)
	id := f.submit("quick", workflow.Step{Count: 2, Size: cores(2), Gang: true})
	if got := f.tick(); len(got) != 2 {
		t.Fatalf("got starts %v, want both members", got)
	}
	f.report("a")
	f.report("b")
	failed := string(id) + ".0.0.0"
	broken, waiting := a, b
	waitingID := f.agentID(b)
	if b.running[failed] != nil {
		broken, waiting, waitingID = b, a, f.agentID(a)
	}
	broken.end(failed, workflow.Errored)
	f.report(f.agentID(broken)) // orders the stop of the other member
	f.scheduler.Detach(waitingID)
	f.scheduler.Attach(waitingID, f.now)
	waiting.sequence = 0
	for range 5 {
		f.report(waitingID)
		f.tick()
		f.advance(time.Second)
	}
	if row := waiting.running[string(id)+".0.0.1"]; row != nil && row.GetAttempt() == 1 {
		t.Error("the member whose gang has ended: still runs 5 s later, want it stopped")
	}
}

// agentID returns the id of the worker of a.
func (f *fixture) agentID(a *fakeAgent) units.WorkerID {
	for id, other := range f.agents {
		if other == a {
			return id
		}
	}
	f.Fatal("unknown agent")
	return ""
}
