package agent

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/standin/entries"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// minimalEntry does the least that an entry process must do: it accepts and answers
// every heartbeat.
type minimalEntry struct {
	mu           sync.Mutex
	listedAt     map[string]time.Time
	agents       int
	agentAddress map[string]string // link address of each agent, through a relay
	relay        func(string) string
	sessions     map[string]*link.Session
	entryList    []*wire.EntryAddress
	lean         bool // lists the entry processes only to a new session and every 10 s
}

func (e *minimalEntry) heartbeat(ctx context.Context, h *wire.Heartbeat) (*wire.HeartbeatReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sessions[h.Worker] = link.SessionFromContext(ctx)
	if e.agentAddress[h.Worker] == "" && h.Epoch != 0 {
		e.agentAddress[h.Worker] = e.relay(h.LinkAddress)
	}
	var number int
	fmt.Sscanf(h.Worker, "worker-%d", &number)
	lessor := fmt.Sprintf("worker-%d", (number+1)%e.agents)
	lessee := fmt.Sprintf("worker-%d", (number+e.agents-1)%e.agents)
	reply := &wire.HeartbeatReply{Entry: "entry-1", Clock: h.Clock, ConfigOffset: 1, LogReachable: true}
	if !e.lean || h.RunningFull || e.listedAt[h.Worker].Before(time.Now().Add(-10*time.Second)) {
		reply.Entries, e.listedAt[h.Worker] = e.entryList, time.Now()
	}
	if h.ConfigOffset == 0 {
		reply.ConfigDocument = entries.NewPlatform(0, nil).Document()
	}
	if e.agentAddress[lessor] != "" && h.Epoch != 0 {
		reply.RegisteredEpoch, reply.LeaseTerm, reply.Lessor, reply.LessorEpoch, reply.LessorAddress = h.Epoch, 1, lessor, h.Epoch, e.agentAddress[lessor]
		reply.Lessees = []*wire.Lessee{{Worker: lessee, Epoch: h.Epoch, Term: 1, Address: e.agentAddress[lessee]}}
	}
	for _, r := range h.Reports {
		reply.ReportsAcknowledged = append(reply.ReportsAcknowledged, r.Task)
	}
	return reply, nil
}

// byteCounter relays TCP connections and counts their payload in both directions.
type byteCounter struct {
	bytes atomic.Int64
	ctx   context.Context
	b     *testing.B
}

func (c *byteCounter) Write(p []byte) (int, error) { c.bytes.Add(int64(len(p))); return len(p), nil }

func (c *byteCounter) relay(target string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.b.Fatal(err)
	}
	context.AfterFunc(c.ctx, func() { listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				from.Close()
				continue
			}
			context.AfterFunc(c.ctx, func() { from.Close(); to.Close() })
			go io.Copy(io.MultiWriter(to, c), from)
			go io.Copy(io.MultiWriter(from, c), to)
		}
	}()
	return listener.Addr().String()
}

// startEntries starts n minimal entry processes and returns their addresses and
// the processes.
func startEntries(b *testing.B, ctx context.Context, n, agents int, lean bool, relay func(string) string) ([]string, []*minimalEntry) {
	var addresses []string
	var all []*minimalEntry
	for range n {
		e := &minimalEntry{agents: agents, lean: lean, listedAt: map[string]time.Time{}, agentAddress: map[string]string{}, relay: relay, sessions: map[string]*link.Session{}}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /link/heartbeat", link.Handle(e.heartbeat))
		listener := &link.Listener{Address: "127.0.0.1:0", Handler: mux}
		address, err := listener.Listen()
		if err != nil {
			b.Fatal(err)
		}
		go listener.Run(ctx)
		context.AfterFunc(ctx, func() { listener.Shutdown(ctx) })
		addresses, all = append(addresses, relay(address.String())), append(all, e)
	}
	for _, e := range all {
		for i, address := range addresses {
			e.entryList = append(e.entryList, &wire.EntryAddress{Entry: fmt.Sprintf("entry-%d", i), Address: address})
		}
	}
	return addresses, all
}

// BenchmarkSteadyState measures the cost of agents that run ten tasks each and
// start no others: payload on the network, and processor time and heap of the
// entire process. The latter two are upper bounds, because the process also
// contains the entry processes, the workers and, when bytes are counted, the
// relays. Lean agents omit unchanged fields, and lean entry processes list each
// other only every 10 s.
func BenchmarkSteadyState(b *testing.B) {
	for _, c := range []struct {
		agents, entries int
		counted, lean   bool
	}{
		{11, 3, true, false}, {11, 3, true, true}, {11, 12, true, false}, {11, 12, true, true},
		{11, 3, false, true}, {11, 12, false, true}, {100, 3, false, true}, {100, 12, false, true}, {400, 3, false, true}, {400, 12, false, true},
	} {
		b.Run(fmt.Sprintf("agents=%d/entries=%d/counted=%t/lean=%t", c.agents, c.entries, c.counted, c.lean), func(b *testing.B) {
			for range b.N {
				steadyState(b, c.agents, c.entries, c.counted, c.lean)
			}
		})
	}
}

func steadyState(b *testing.B, agents, entries int, counted, lean bool) {
	ctx, cancel := context.WithCancel(context.Background())
	count := &byteCounter{ctx: ctx, b: b}
	relay := func(address string) string { return address }
	if counted {
		relay = count.relay
	}
	before := heapInUse()
	addresses, fakes := startEntries(b, ctx, entries, agents, lean, relay)
	var running sync.WaitGroup
	var servers []*httptest.Server
	for i := range agents {
		core := &worker.Core{Name: units.WorkerID(fmt.Sprintf("worker-%d", i)), Capacity: units.Resources{Processors: 32000, Memory: 125e9}, UsageLag: 2 * time.Second}
		server := httptest.NewServer(worker.NewHandler(core))
		servers = append(servers, server)
		a := &Agent{
			WorkerID: core.Name, Domain: "a", Rack: "rack-1", Region: "pwani", LinkAddress: "127.0.0.1:0", OmitUnchanged: lean, EntryAddresses: addresses,
			Worker: &workerapi.Client{BaseURL: server.URL, HTTP: &http.Client{Transport: workerapi.DefaultTransport()}},
			EndpointReports: func() []*wire.EndpointReport {
				return []*wire.EndpointReport{{Service: "desk", State: wire.EndpointState_ENDPOINT_STATE_READY, Slots: 8, Connections: 64, LatencyMicroseconds: 18000}}
			},
		}
		running.Go(func() { _ = a.Run(ctx) })
	}
	time.Sleep(6 * time.Second)
	started := launchTen(b, ctx, fakes[0])
	time.Sleep(5 * time.Second)
	const window = 15 * time.Second
	bytes, cpu := count.bytes.Load(), processorTime()
	time.Sleep(window)
	bytes, cpu = count.bytes.Load()-bytes, processorTime()-cpu
	b.ReportMetric(float64(bytes)/window.Seconds()/float64(agents), "B/s/agent")
	b.ReportMetric(100*cpu.Seconds()/window.Seconds()/float64(agents), "%core/agent")
	b.ReportMetric(float64(heapInUse()-before)/float64(agents)/1e6, "MB/agent")
	b.ReportMetric(float64(started)/float64(agents), "tasks/agent")
	cancel()
	for _, s := range servers {
		s.CloseClientConnections()
		s.Close()
	}
	running.Wait()
}

// launchTen launches ten tasks on every agent and returns how many started.
func launchTen(b *testing.B, ctx context.Context, e *minimalEntry) (started int) {
	e.mu.Lock()
	sessions := maps.Clone(e.sessions)
	e.mu.Unlock()
	for name, session := range sessions {
		l := &wire.Launch{Worker: name, Epoch: 1}
		for i := range uint32(10) {
			l.Tasks = append(l.Tasks, &wire.LaunchTask{Task: &wire.TaskRef{Job: "job-20261204-0017-" + name, Index: i, Attempt: 1}, Spec: newBatchSpec(time.Hour, 1000)})
		}
		reply := &wire.LaunchReply{}
		calling, cancel := context.WithTimeout(ctx, 3*time.Second)
		if err := session.Call(calling, "/link/launch", l, reply); err != nil {
			b.Log(name, err)
		}
		cancel()
		for _, r := range reply.Results {
			if r.Outcome == wire.Outcome_OUTCOME_STARTED {
				started++
			}
		}
	}
	return started
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
