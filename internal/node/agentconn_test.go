package node

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// An agent that comes back at another address is attached by a new link. The
// end of the old link must not detach it, or it gets no orders any more.
func TestEndOfOldLinkKeepsNewOne(t *testing.T) {
	l := &leader{scheduler: scheduler.New(time.Second, time.Minute), agents: make(map[units.WorkerID]*agentConn)}
	configuration := &operations.Configuration{Routes: []operations.Route{{Queue: "q", Policy: workflow.Policy{Service: "desk"}}}}
	configuration.Index()
	l.scheduler.SetOperations(operations.State{Configuration: configuration})
	before, after := &agentConn{worker: "w"}, &agentConn{worker: "w"}
	oldSession, newSession := &link.Session{}, &link.Session{}
	l.agents["w"] = before
	l.agentAttached(before, oldSession)
	l.agents["w"] = after
	l.agentAttached(after, newSession)
	l.scheduler.Report("w", &wire.WorkerReport{Sequence: 1, Runner: &wire.RunnerState{Id: "r", Service: "desk", Millicores: 1000, MemoryBytes: 1 << 30}}, now())
	l.agentDetached(before, oldSession)
	l.scheduler.Accept(&workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}, Submitted: time.Now()}, workflow.Policy{Service: "desk"}, now())
	l.scheduler.Tick(now(), true)
	if got := len(l.scheduler.TakeOrders()); got != 1 {
		t.Errorf("workers with orders: got %d, want 1", got)
	}
	l.agentDetached(after, newSession)
	l.scheduler.Tick(now(), true)
	if got := len(l.scheduler.TakeOrders()); got != 0 {
		t.Errorf("workers with orders after the end of the link in use: got %d, want 0", got)
	}
}
