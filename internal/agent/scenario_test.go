package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/guard"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/standin/entries"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// Guards against leases that can never be granted again after all agents have lost
// theirs at the same time: isolated, paused or restarted together.
func TestAllLeasesLost(t *testing.T) {
	for name, injectFault := range map[string]func(*simulation, string){
		"isolated": func(s *simulation, name string) { faults["isolate"](s, event{worker: name, lasts: 15 * time.Second}) },
		"paused":   func(sim *simulation, name string) { sim.pauseProcess(name, 15*time.Second) },
		"restarted": func(sim *simulation, name string) {
			_, g := sim.current(name)
			g.kill()
			time.Sleep(15 * time.Second)
			sim.start(name)
		},
	} {
		t.Run(name, func(t *testing.T) {
			expectNoViolations(t, simulate(t, 3, 0, func(sim *simulation) {
				sim.start("w1", "w2", "w3")
				time.Sleep(3 * time.Second)
				for name := range domains {
					go injectFault(sim, name)
				}
				time.Sleep(16 * time.Second)
				sim.platform.Submit(0, newBatchSpec(20*time.Second, 2000))
				if !sim.waitForBatchTasks(45 * time.Second) {
					sim.t.Error("a task of 20 s has not ended after 45 s")
				}
			}))
		})
	}
}

// Guards against a watcher that does not run when its worker fails during a log
// outage, and against one that runs twice once the log is reachable again.
func TestStandbyRunsWhileTheLogIsDown(t *testing.T) {
	expectNoViolations(t, simulate(t, 4, 0, func(sim *simulation) {
		watcher := newBatchSpec(0, 500)
		watcher.Kind = wire.TaskKind_TASK_KIND_WATCHER
		// The first two become each other's lessor, so the lessor of the third
		// keeps its lease when the third is killed.
		for _, name := range []string{"w1", "w2", "w3"} {
			sim.start(name)
			time.Sleep(2 * time.Second)
		}
		sim.platform.Publish(nil, []units.WorkerID{"w1", "w2"})
		time.Sleep(2 * time.Second)
		sim.platform.Submit(0, watcher)
		time.Sleep(3 * time.Second)
		sim.platform.Publish(nil, nil)
		time.Sleep(5 * time.Second)
		_, holder := sim.platform.Attempt(units.Task{Job: "job"})
		if holder != "w3" {
			sim.t.Fatalf("the watcher runs on %q, want w3", holder)
		}
		sim.platform.SetLogReachable(false)
		time.Sleep(3 * time.Second)
		sim.processGates[holder].kill()
		failedAt := time.Now()
		for time.Since(failedAt) < 12*time.Second {
			time.Sleep(200 * time.Millisecond)
			for name, core := range sim.cores {
				runs := core.Runs()
				if name == holder || len(runs) == 0 {
					continue
				}
				t.Logf("the standby runs %s after the holder failed", runs[0].Start.Sub(failedAt).Round(time.Millisecond))
				sim.platform.SetLogReachable(true)
				time.Sleep(20 * time.Second)
				if attempt, now := sim.platform.Attempt(units.Task{Job: "job"}); now != name || attempt != runs[0].Attempt {
					sim.t.Errorf("recorded: got attempt %d on %q, want %d on %s", attempt, now, runs[0].Attempt, name)
				}
				return
			}
		}
		sim.t.Error("no standby runs 12 s after the holder failed")
	}))
}

// withSingleAgent runs a test with one agent and a function that sends messages to
// it.
func withSingleAgent(t *testing.T, test func(sim *simulation, send func(path string, message, reply Message) error)) {
	expectNoViolations(t, simulate(t, 5, 0, func(sim *simulation) {
		sim.start("w1")
		time.Sleep(3 * time.Second)
		test(sim, func(path string, message, reply Message) error {
			ctx, cancel := context.WithTimeout(sim.ctx, 5*time.Second)
			defer cancel()
			return sim.network.Connect("entry", "w1", sim.platform.AgentHandler("w1")).Call(ctx, path, message, reply)
		})
	}))
}

func newLaunch(epoch uint64, mayEvict bool, index, attempt uint32, spec *wire.TaskSpec) *wire.Launch {
	return &wire.Launch{Worker: "w1", Epoch: epoch, Tasks: []*wire.LaunchTask{
		{Task: &wire.TaskRef{Job: "x", Index: index, Attempt: attempt}, Spec: spec, MayEvict: mayEvict}}}
}

// Guards against a launch result that changes when a message arrives late,
// repeatedly, out of order or for another epoch.
func TestLaunchResultsDoNotChange(t *testing.T) {
	withSingleAgent(t, func(sim *simulation, send func(string, Message, Message) error) {
		stop := &wire.Stop{Worker: "w1", Epoch: 1, Tasks: []*wire.TaskRef{{Job: "x", Index: 2, Attempt: 1}}}
		if err := send("/link/stop", stop, &wire.StopReply{}); err != nil {
			t.Fatal(err)
		}
		steps := []struct {
			name   string
			launch *wire.Launch
			want   wire.Outcome // UNSPECIFIED for no result
		}{
			{"first", newLaunch(1, false, 0, 2, newBatchSpec(time.Second, 1000)), wire.Outcome_OUTCOME_STARTED},
			{"repeated", newLaunch(1, false, 0, 2, newBatchSpec(time.Second, 1000)), wire.Outcome_OUTCOME_STARTED},
			{"lower attempt", newLaunch(1, false, 0, 1, newBatchSpec(time.Second, 1000)), wire.Outcome_OUTCOME_UNSPECIFIED},
			{"stopped before its launch", newLaunch(1, false, 2, 1, newBatchSpec(time.Second, 1000)), wire.Outcome_OUTCOME_REFUSED},
			{"too large", newLaunch(1, false, 3, 1, newBatchSpec(time.Second, 9000)), wire.Outcome_OUTCOME_REFUSED},
			{"too large, repeated with a smaller size", newLaunch(1, false, 3, 1, newBatchSpec(time.Second, 1000)), wire.Outcome_OUTCOME_REFUSED},
			{"older epoch", newLaunch(0, false, 4, 1, newBatchSpec(time.Second, 1000)), wire.Outcome_OUTCOME_UNSPECIFIED},
			{"negative size", newLaunch(1, false, 5, 1, newBatchSpec(time.Second, -1)), wire.Outcome_OUTCOME_REFUSED},
		}
		check := func(when string) {
			for _, s := range steps {
				reply := &wire.LaunchReply{}
				err := send("/link/launch", s.launch, reply)
				got := wire.Outcome_OUTCOME_UNSPECIFIED
				if len(reply.Results) == 1 {
					got = reply.Results[0].Outcome
				}
				if err != nil || got != s.want {
					t.Errorf("%s, %s: got %v, %v, want %v", s.name, when, got, err, s.want)
				}
			}
		}
		check("immediately")
		time.Sleep(5 * time.Second) // the task has ended and is forgotten
		check("after the task ended")
		if err := send("/link/launch", newLaunch(2, false, 6, 1, newBatchSpec(time.Second, 1000)), &wire.LaunchReply{}); err == nil {
			t.Error("launch of a newer epoch: got a reply, want an error")
		}
		if got := len(sim.cores["w1"].Runs()); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
}

// Guards against an eviction that is not needed or stops the wrong task, and
// against a start before the resources are free.
func TestEvictsOnlyLowerPriority(t *testing.T) {
	withSingleAgent(t, func(sim *simulation, send func(string, Message, Message) error) {
		spec := func(p wire.Priority, cores units.Millicores) *wire.TaskSpec {
			s := newBatchSpec(time.Hour, cores)
			s.Priority = p
			return s
		}
		// One core of eight is reserved for the service.
		launches := []*wire.Launch{
			newLaunch(1, false, 0, 1, spec(wire.Priority_PRIORITY_NORMAL, 3000)),
			newLaunch(1, false, 1, 1, spec(wire.Priority_PRIORITY_LOW, 3000)),
			newLaunch(1, true, 2, 1, spec(wire.Priority_PRIORITY_HIGH, 3000)),
			newLaunch(1, true, 3, 1, spec(wire.Priority_PRIORITY_NORMAL, 3000)),
			newLaunch(1, false, 4, 1, spec(wire.Priority_PRIORITY_URGENT, 2000)),
		}
		var got []wire.Outcome
		for _, l := range launches {
			reply := &wire.LaunchReply{}
			if err := send("/link/launch", l, reply); err != nil || len(reply.Results) != 1 {
				t.Fatalf("launch: got reply %v and error %v, want one result", reply, err)
			}
			got = append(got, reply.Results[0].Outcome)
		}
		started, rejected := wire.Outcome_OUTCOME_STARTED, wire.Outcome_OUTCOME_REFUSED
		if want := []wire.Outcome{started, started, started, rejected, rejected}; !slices.Equal(got, want) {
			t.Errorf("got launch outcomes %v, want %v", got, want)
		}
		for _, r := range sim.cores["w1"].Runs() {
			if evicted := r.State == workerapi.Checkpointed; evicted != (r.Task == "x/1") {
				t.Errorf("task %s: got %s, want only x/1 checkpointed", r.Task, r.State)
			}
		}
	})
}

// Guards against task leases on the worker that outlast the agent's own lease
// because readings of the worker's clock arrive late.
func TestWorkerClockIsNeverLate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		origin := time.Unix(5000, 0)
		w := workerState{origin: origin}
		ahead := time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(rt, "ahead")) // worker clock - agent clock
		now := origin
		for range rapid.IntRange(1, 20).Draw(rt, "readings") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 5e9).Draw(rt, "pause")))
			read := workerapi.Clock(now.Sub(origin) + ahead)
			now = now.Add(time.Duration(rapid.Int64Range(0, 2e9).Draw(rt, "delay")))
			w.observeClock(read, now)
			deadline := now.Add(leaseDuration)
			if got, latest := w.workerClockAt(deadline), workerapi.Clock(deadline.Sub(origin)+ahead); got > latest {
				rt.Fatalf("deadline on the worker: got %v, want at most %v", got, latest)
			}
		}
	})
}

// Guards against a guard that does not receive the latency of the endpoint or does
// not throttle tasks on the worker.
func TestGuardThrottles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(t, ctx, 6, 0)
		reports, began := int64(0), time.Now()
		sim.newProcess = func(sim *simulation, name string, access workerapi.Worker, g *gate) process {
			a := newRealAgent(sim, name, access, g).(*Agent)
			a.Guard = &guard.Controller{}
			a.EndpointReports = func() []*wire.EndpointReport {
				reports++ // each report is a new measurement
				latency := 10000 + reports
				if time.Since(began) > 10*time.Second {
					latency *= 6
				}
				return []*wire.EndpointReport{{Service: "desk", State: wire.EndpointState_ENDPOINT_STATE_READY, LatencyMicroseconds: latency}}
			}
			return a
		}
		sim.platform.EnableGuards()
		sim.start("w1")
		go sim.platform.Dispatch(ctx)
		time.Sleep(8 * time.Second)
		sim.platform.Submit(0, newBatchSpec(time.Hour, 2000))
		throttled := false
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && !throttled; time.Sleep(100 * time.Millisecond) {
			table, err := sim.cores["w1"].Tasks(ctx)
			throttled = err == nil && len(table.Tasks) == 1 && table.Tasks[0].Throttle < 1
		}
		if !throttled {
			t.Error("the task beside a slow endpoint is not throttled after 8 s")
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a planned stop that cuts off a request in flight or ends sessions
// without notice to the entry process. It uses real sessions.
func TestPlannedStopFinishesRequests(t *testing.T) {
	platform := entries.NewPlatform(1, nil)
	sessions := make(chan *link.Session, 64)
	accept := platform.SessionHandler(nil)
	listener := &link.Listener{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case sessions <- link.SessionFromContext(r.Context()):
		default:
		}
		accept.ServeHTTP(w, r)
	})}
	address, err := listener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	serving, stopServing := context.WithCancel(t.Context())
	go listener.Run(serving)
	started, finish := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	a := &Agent{WorkerID: "w1", Domain: "a", LinkAddress: net.JoinHostPort("127.0.0.1", "0"), EntryAddresses: []string{address.String()},
		Worker: &worker.Core{Name: "w1", Capacity: units.Resources{Processors: 1000}},
		RequestHandler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-finish
			fmt.Fprint(w, "complete")
		})}
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	session := <-sessions
	answered := make(chan string, 1)
	go func() {
		request, _ := http.NewRequest(http.MethodGet, "http://link/services/desk/quote", nil)
		response, err := session.RoundTrip(request)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		answered <- fmt.Sprint(string(body), err)
	}()
	<-started
	cancel()
	time.AfterFunc(2*time.Second, func() { close(finish) })
	if got, want := <-answered, "complete<nil>"; got != want {
		t.Errorf("request in flight: got %q, want %q", got, want)
	}
	if err := <-ended; err != nil {
		t.Errorf("Run: got %v, want nil", err)
	}
	stopServing()
	listener.Shutdown(t.Context())
}
