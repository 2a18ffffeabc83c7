package agent

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/standin/entries"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// process is the agent of a worker, real or naive.
type process interface{ Run(context.Context) error }

// simulation contains three workers, one per failure domain, their agents, and a
// simulated platform that dispatches tasks and checks the guarantees.
type simulation struct {
	t            *testing.T
	mu           sync.Mutex // guards the maps below and events
	ctx          context.Context
	network      *entries.Network
	platform     *entries.Platform
	cores        map[string]*worker.Core
	processGates map[string]*gate
	agents       map[string]process
	errors       map[string]chan error
	newProcess   func(*simulation, string, workerapi.Worker, *gate) process
	events       []string
}

var domains = map[string]units.DomainName{"w1": "a", "w2": "b", "w3": "c"}

func newSimulation(t *testing.T, ctx context.Context, seed uint64, noise float64) *simulation {
	n := entries.NewNetwork(ctx, seed, noise)
	sim := &simulation{t: t, ctx: ctx, network: n, cores: map[string]*worker.Core{}, processGates: map[string]*gate{}, agents: map[string]process{},
		errors: map[string]chan error{}, newProcess: newRealAgent}
	sim.platform = entries.NewPlatform(seed, n)
	for name := range domains {
		sim.cores[name] = &worker.Core{Name: units.WorkerID(name), Capacity: units.Resources{Processors: 8000, Memory: 16 * units.GiB}, UsageLag: 2 * time.Second}
	}
	return sim
}

func (sim *simulation) start(names ...string) {
	for _, name := range names {
		g := newGate()
		process := sim.newProcess(sim, name, &gatedWorker{Worker: sim.cores[name], gate: g}, g)
		failed := make(chan error, 1)
		sim.mu.Lock()
		sim.processGates[name], sim.agents[name], sim.errors[name] = g, process, failed
		sim.mu.Unlock()
		go func() { failed <- process.Run(sim.ctx) }()
	}
}

// dial connects a process to the simulated entry process or to another agent.
func (sim *simulation) dial(name string, g *gate, address string, handler http.Handler) (Session, error) {
	if err := g.wait(); err != nil {
		return nil, err
	}
	if address == "entry" {
		return gatedSession{sim.network.Connect(name, "entry", sim.platform.SessionHandler(gateHandler(g, handler))), g}, nil
	}
	s, err := sim.network.Dial(name, strings.TrimPrefix(address, "link/"), address)
	if err != nil {
		return nil, err
	}
	return gatedSession{s, g}, nil
}

// gateHandler delays requests while the process is paused and drops them once it
// is killed.
func gateHandler(g *gate, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.wait() == nil {
			handler.ServeHTTP(w, r)
		}
	})
}

type gatedSession struct {
	*entries.Session
	*gate
}

func (s gatedSession) Call(ctx context.Context, path string, message, reply Message) error {
	if err := s.wait(); err != nil {
		return err
	}
	if err := s.Session.Call(ctx, path, message, reply); err != nil {
		return err
	}
	return s.wait()
}

func newRealAgent(sim *simulation, name string, access workerapi.Worker, g *gate) process {
	a := &Agent{
		WorkerID: units.WorkerID(name), Domain: domains[name], Rack: "rack", Region: "r", LinkAddress: "link/" + name,
		Worker: access, EntryAddresses: []string{"entry"},
		EndpointReports: func() []*wire.EndpointReport {
			return []*wire.EndpointReport{{Service: "desk", State: wire.EndpointState_ENDPOINT_STATE_READY, Slots: 8}}
		},
		Dial: func(_ context.Context, address string, handler http.Handler) (Session, error) {
			return sim.dial(name, g, address, handler)
		},
		Listen: func(_ context.Context, address string, handler http.Handler) (func(context.Context), error) {
			sim.network.Serve(address, gateHandler(g, handler))
			return func(context.Context) {}, nil
		},
	}
	a.RecordEvent = func(kind, subject, text string) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.events = append(sim.events, fmt.Sprintf("%s %s %s %s %s", time.Now().Format("05.000"), name, kind, subject, text))
	}
	return a
}

func newBatchSpec(run time.Duration, cores units.Millicores) *wire.TaskSpec {
	return &wire.TaskSpec{Kind: wire.TaskKind_TASK_KIND_BATCH, Priority: wire.Priority_PRIORITY_NORMAL, JobKind: "cut", Team: "moulds",
		RunMilliseconds: run.Milliseconds(), Size: wire.FromResources(units.Resources{Processors: cores, Memory: units.GiB})}
}

// pauseProcess stops everything that the process does for d, like SIGSTOP.
func (sim *simulation) pauseProcess(name string, d time.Duration) {
	process, g := sim.current(name)
	if a, ok := process.(*Agent); ok {
		go a.post(func() { time.Sleep(d) })
	}
	g.pause(d)
}

// restart kills the process and starts its successor at once.
func (sim *simulation) restart(name string) {
	_, g := sim.current(name)
	g.kill()
	sim.start(name)
}

func (sim *simulation) current(name string) (process, *gate) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.agents[name], sim.processGates[name]
}

// violations returns a description of every violated guarantee.
func (sim *simulation) violations() []string {
	var runs []worker.Run
	for _, c := range sim.cores {
		runs = append(runs, c.Runs()...)
	}
	return sim.platform.Violations(runs, domains)
}

// waitForBatchTasks waits until every batch task has ended, at most for limit.
func (sim *simulation) waitForBatchTasks(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if sim.platform.Done() {
			return true
		}
	}
	return false
}

// simulate runs a scenario in fake time and returns the violations.
func simulate(t *testing.T, seed uint64, noise float64, scenario func(*simulation)) (problems []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(t, ctx, seed, noise)
		go sim.platform.Dispatch(ctx)
		scenario(sim)
		problems = sim.violations()
		if t.Failed() || len(problems) > 0 {
			for _, e := range sim.events {
				t.Log(e)
			}
		}
		cancel()
		time.Sleep(time.Minute) // time for every process to end
	})
	return problems
}

func expectNoViolations(t *testing.T, problems []string) {
	t.Helper()
	for _, p := range problems {
		t.Error(p)
	}
}

// Guards against tasks that do not get from launch to end, and against rows of
// ended tasks that stay in the worker's table.
func TestTasksComplete(t *testing.T) {
	expectNoViolations(t, simulate(t, 1, 0, func(sim *simulation) {
		sim.start("w1", "w2", "w3")
		for i := range uint32(12) {
			sim.platform.Submit(i, newBatchSpec(5*time.Second, 2000))
		}
		if !sim.waitForBatchTasks(time.Minute) {
			sim.t.Error("tasks have not ended after one minute")
		}
		for name, core := range sim.cores {
			time.Sleep(2 * time.Second)
			if table, _ := core.Tasks(sim.ctx); len(table.Tasks) != 0 {
				sim.t.Errorf("worker %s: got %d rows in the task table, want 0 after all tasks ended", name, len(table.Tasks))
			}
		}
	}))
}

// Guards against an agent that continues to act after a second agent has acquired
// a newer epoch of its worker.
func TestSecondAgentFencesTheFirst(t *testing.T) {
	expectNoViolations(t, simulate(t, 2, 0, func(sim *simulation) {
		sim.start("w1", "w2", "w3")
		sim.platform.Submit(0, newBatchSpec(30*time.Second, 2000))
		time.Sleep(5 * time.Second)
		first := sim.errors["w1"]
		sim.start("w1")
		select {
		case err := <-first:
			if !fault.Is(err, Fenced) {
				sim.t.Errorf("first agent: got %v, want kind %s", err, Fenced)
			}
		case <-time.After(5 * time.Second):
			sim.t.Error("first agent still runs 5 s after the second acquired the worker")
		}
		if !sim.waitForBatchTasks(time.Minute) {
			sim.t.Error("the task has not ended after one minute")
		}
	}))
}

// killAfter kills the process right after its next call of the operation has
// taken effect on the worker.
func (sim *simulation) killAfter(name, op string) {
	process, _ := sim.current(name)
	if a, ok := process.(*Agent); ok {
		a.Worker.(*gatedWorker).setKillAfter(op)
	}
}
