package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// lifeSeparator precedes the number of the life in the ID of each runner of a machine but the
// first.
const lifeSeparator = "."

// machineHeartbeatInterval is the interval of the heartbeats of runners on real machines.
const machineHeartbeatInterval = 1100 * time.Millisecond

// machine is the machine of an agent, on which runners take turns.
type machine struct {
	index    int
	interval time.Duration // of heartbeats; 0 for that of the stand-in
	recorder *taskrunner.Recorder
	context  context.Context // until the end of the run
	address  *taskrunner.Address
	listener net.Listener
	agents   []string // addresses of the agents that the runners may call, the own one first

	mu     sync.Mutex // guards the fields below
	runner *taskrunner.Runner
	lives  int      // runners so far
	leaves []func() // let runners leave that work on beside their successors; without effect once they have
}

// runner returns the runner of the host that has started last.
func (h *host) runner() *taskrunner.Runner {
	h.machine.mu.Lock()
	defer h.machine.mu.Unlock()
	return h.machine.runner
}

// kindsWithOtherAgents are the only kinds during which a heartbeat that its agent does not
// acknowledge goes to the next agents; "" stands for all kinds of the catalog of real machines
// together. The other kinds show what they break by themselves.
var kindsWithOtherAgents = []string{"", "agentFrozen", "agentKilled"}

// startRunner starts the first runner on the machine of the n-th agent.
func (f *fleet) startRunner(ctx context.Context, r *Run, n int) error {
	h := f.agents[n]
	h.machine = &machine{index: n, recorder: f.runRecorder, context: ctx}
	if r.Catalog == MachineFaults {
		h.machine.interval = machineHeartbeatInterval
	}
	callsOthers := r.Catalog == MachineFaults && slices.Contains(kindsWithOtherAgents, r.Only)
	for i := range f.agents {
		if i == 0 || callsOthers {
			h.machine.agents = append(h.machine.agents, f.agents[(n+i)%len(f.agents)].toAgent.Address())
		}
	}
	listener, err := net.Listen("tcp", h.toRunner.Target())
	if err != nil {
		return fault.Wrap("start runner of "+h.name, NotStarted, err)
	}
	h.machine.listener = listener
	x := h.newRunner()
	h.machine.address = taskrunner.NewAddress(x)
	go h.machine.address.Serve(ctx, listener)
	go x.Announce(ctx, listener.Addr().String(), h.machine.agents...)
	return nil
}

// newRunner returns the next runner of the machine, which is the host's runner from now on.
// The clocks of the runners run up to 2 % slow.
func (h *host) newRunner() *taskrunner.Runner {
	m := h.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lives++
	id := runnerPrefix + h.name
	if m.lives > 1 {
		id += fmt.Sprint(lifeSeparator, m.lives)
	}
	m.runner = taskrunner.New(taskrunner.Settings{
		ID: id, Service: service, Domain: h.domain, Labels: []string{"a", fmt.Sprint("rack-", m.index/2)},
		Cores: runnerCores, MemoryMb: 64_000, Recorder: m.recorder, MaxLease: 10 * time.Second, StopDelay: 20 * time.Millisecond,
		IgnoreCapacity: true, ClockRate: 1 - 0.005*float64(m.index%5), Work: workOf,
		HeartbeatInterval: m.interval,
	})
	return m.runner
}
