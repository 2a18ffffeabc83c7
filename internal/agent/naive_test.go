package agent

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// naiveAgent is an agent with faults: it starts every launched task under any
// lease, acquires the worker again when it is fenced, treats a lost reply as a
// failed start, and ignores the age of its configuration. It shows that the
// checker detects what an agent must not do.
type naiveAgent struct {
	simulation *simulation
	name       string
	worker     workerapi.Worker
	gate       *gate

	mu      sync.Mutex
	holder  workerapi.Holder
	heldAt  time.Time
	session Session
}

func newNaiveAgent(sim *simulation, name string, access workerapi.Worker, g *gate) process {
	return &naiveAgent{simulation: sim, name: name, worker: access, gate: g}
}

func (n *naiveAgent) Run(ctx context.Context) error {
	n.hold(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /link/launch", link.Handle(n.launch))
	mux.HandleFunc("POST /link/stop", link.Handle(func(context.Context, *wire.Stop) (*wire.StopReply, error) { return &wire.StopReply{}, nil }))
	for ctx.Err() == nil {
		if n.session == nil {
			n.session, _ = n.simulation.dial(n.name, n.gate, "entry", mux)
		}
		n.step(ctx)
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}

func (n *naiveAgent) hold(ctx context.Context) {
	holder, err := n.worker.Hold(ctx, n.name)
	if err == nil {
		n.mu.Lock()
		n.holder, n.heldAt = holder, time.Now()
		n.mu.Unlock()
	}
}

// lease returns a deadline of leaseDuration from now on the worker's clock,
// without any grant.
func (n *naiveAgent) lease() (units.Epoch, workerapi.Clock) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder.Epoch, n.holder.Clock + workerapi.Clock(time.Since(n.heldAt)+leaseDuration)
}

func (n *naiveAgent) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	table, err := n.worker.Tasks(ctx)
	if err != nil {
		return
	}
	epoch, until := n.lease()
	heartbeat := &wire.Heartbeat{Worker: n.name, Epoch: uint64(epoch), Capacity: wire.FromResources(n.holder.Capacity), RunningFull: true, Registered: true}
	var names []units.Task
	for _, t := range table.Tasks {
		if t.State == workerapi.Running {
			names = append(names, t.Task)
			heartbeat.Running = append(heartbeat.Running, wire.NewTaskRef(t.Task, t.Attempt))
		}
		heartbeat.Reports = append(heartbeat.Reports, &wire.TaskReport{Task: wire.NewTaskRef(t.Task, t.Attempt), Outcome: naiveOutcome(t.State), Checkpoint: t.Checkpoint})
	}
	if _, err := n.worker.Renew(ctx, epoch, until, names); fault.Is(err, workerapi.Fenced) {
		n.hold(ctx)
	}
	if n.session != nil {
		_ = n.session.Call(ctx, "/link/heartbeat", heartbeat, &wire.HeartbeatReply{})
	}
}

func naiveOutcome(s workerapi.TaskState) wire.Outcome {
	if s == workerapi.Running {
		return wire.Outcome_OUTCOME_STARTED
	}
	return outcomes[s]
}

func (n *naiveAgent) launch(ctx context.Context, l *wire.Launch) (*wire.LaunchReply, error) {
	reply := &wire.LaunchReply{}
	for _, t := range l.Tasks {
		epoch, until := n.lease()
		err := n.worker.Start(ctx, workerapi.StartRequest{
			Epoch: epoch, Task: t.Task.Task(), Attempt: units.Attempt(t.Task.Attempt), Size: t.Spec.Size.Units(),
			RunTime: time.Duration(t.Spec.RunMilliseconds) * time.Millisecond, LeaseUntil: until, Checkpoint: t.Spec.Checkpoint,
		})
		result := &wire.LaunchResult{Task: t.Task, Outcome: wire.Outcome_OUTCOME_STARTED}
		if err != nil {
			result.Outcome, result.Reason = wire.Outcome_OUTCOME_REFUSED, err.Error()
		}
		reply.Results = append(reply.Results, result)
	}
	return reply, nil
}

// Guards against a checker that detects no violation: under the same faults the
// naive agent must violate the guarantees and the real agent must not.
func TestNaiveAgentViolatesGuarantees(t *testing.T) {
	cases := []struct {
		name   string
		events []event
		want   string // part of a violation
	}{
		{"paused beyond the lease", []event{{kind: "pause", worker: "w1", at: 1500 * time.Millisecond, lasts: 20 * time.Second}}, "ran until"},
		{"isolated beyond the lease", []event{{kind: "isolate", worker: "w2", at: 1500 * time.Millisecond, lasts: 25 * time.Second}}, "ran until"},
		{"replies to starts are lost", []event{{kind: "loseReplies", worker: "w1", op: "start", at: 0}, {kind: "loseReplies", worker: "w2", op: "start", at: 0}, {kind: "loseReplies", worker: "w3", op: "start", at: 0}}, "was refused but ran"},
		{"domain out of service while entry processes cannot read it", []event{{kind: "domainOut", worker: "w3", at: time.Second, lasts: 30 * time.Second}}, "after it was taken out"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			expectNoViolations(t, runHistory(t, c.events, 7, 0, func(*simulation) func(*simulation) { return func(*simulation) {} }))
			problems := runHistory(t, c.events, 7, 0, func(sim *simulation) func(*simulation) {
				sim.newProcess = newNaiveAgent
				sim.platform.ReleaseSilentWorkers = true
				return func(*simulation) {}
			})
			all := strings.Join(problems, "\n")
			if !strings.Contains(all, c.want) {
				t.Errorf("naive agent: got violations %q, want one with %q", all, c.want)
			}
			t.Logf("naive agent: %d violations, the first: %s", len(problems), strings.SplitN(all, "\n", 2)[0])
		})
	}
}
