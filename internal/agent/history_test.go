package agent

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/generated"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

func TestMain(m *testing.M) {
	generated.Configure(60)
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// event is one fault of a generated history.
type event struct {
	kind   string
	worker string
	op     string // operation of the worker that a kill or a lost reply follows
	at     time.Duration
	lasts  time.Duration
}

func (e event) String() string {
	return fmt.Sprintf("%s %s %s at %s for %s", e.kind, e.worker, e.op, e.at, e.lasts)
}

// faults contains the function that injects each kind of fault.
var faults = map[string]func(*simulation, event){
	// pause stops the agent, possibly beyond the end of its lease, and resumes it.
	"pause": func(sim *simulation, e event) { sim.pauseProcess(e.worker, e.lasts) },
	// kill kills the agent right after an operation has taken effect on the worker
	// and starts its successor later.
	"kill": func(sim *simulation, e event) {
		sim.killAfter(e.worker, e.op)
		time.Sleep(e.lasts)
		sim.restart(e.worker)
	},
	// double starts a second agent while the first one still runs.
	"double": func(sim *simulation, e event) { sim.start(e.worker) },
	"cutFromEntries": func(sim *simulation, e event) {
		sim.network.SetPartition(e.worker, "entry", true)
		time.Sleep(e.lasts)
		sim.network.SetPartition(e.worker, "entry", false)
	},
	"isolate": func(sim *simulation, e event) {
		others := []string{"w1", "w2", "w3", "entry"}
		for _, o := range others {
			sim.network.SetPartition(e.worker, o, true)
		}
		time.Sleep(e.lasts)
		for _, o := range others {
			sim.network.SetPartition(e.worker, o, false)
		}
	},
	"logDown": func(sim *simulation, e event) {
		sim.platform.SetLogReachable(false)
		time.Sleep(e.lasts)
		sim.platform.SetLogReachable(true)
	},
	// domainOut takes a failure domain out of service while the entry processes
	// cannot read that change, and submits enough tasks meanwhile that some are
	// assigned to the domain.
	"domainOut": func(sim *simulation, e event) {
		sim.platform.SetConfigurationFrozen(true)
		sim.platform.Publish([]string{string(domains[e.worker])}, nil)
		time.Sleep(4 * time.Second)
		for i := range uint32(tasksWhileOut) {
			sim.platform.Submit(200+uint32(e.at/time.Millisecond)*tasksWhileOut+i, newBatchSpec(2*time.Second, 1000))
		}
		time.Sleep(e.lasts)
		sim.platform.SetConfigurationFrozen(false)
		sim.platform.Publish([]string{string(domains[e.worker])}, nil)
		time.Sleep(5 * time.Second)
		sim.platform.Publish(nil, nil)
	},
	// replace replaces the worker by a new instance.
	"replace": func(sim *simulation, e event) { sim.cores[e.worker].Restart() },
	// drain drains a worker for a while.
	"drain": func(sim *simulation, e event) {
		sim.platform.Publish(nil, []units.WorkerID{units.WorkerID(e.worker)})
		time.Sleep(e.lasts)
		sim.platform.Publish(nil, nil)
	},
	"loseReplies": func(sim *simulation, e event) {
		sim.cores[e.worker].SetFaults(worker.Faults{LoseReplies: 2, LoseOp: e.op})
	},
	"slowWorker": func(sim *simulation, e event) {
		sim.cores[e.worker].SetFaults(worker.Faults{Delay: 1500 * time.Millisecond, Speed: 0.5})
		time.Sleep(e.lasts)
		sim.cores[e.worker].SetFaults(worker.Faults{})
	},
}

// tasksWhileOut is the number of tasks submitted while a domain is out of service.
// Each is assigned to one of three workers at random. With 6 tasks, one history in
// eleven assigned none to the domain.
const tasksWhileOut = 30

func drawHistory(rt *rapid.T) []event {
	kinds := []string{"pause", "kill", "double", "cutFromEntries", "isolate", "logDown", "loseReplies", "slowWorker", "domainOut", "drain", "replace"}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			worker: rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(rt, "worker"),
			op:     rapid.SampledFrom([]string{"start", "tasks", "forget", "renew"}).Draw(rt, "op"),
			at:     time.Duration(rapid.IntRange(3000, 40000).Draw(rt, "at")) * time.Millisecond,
			lasts:  time.Duration(rapid.IntRange(200, 25000).Draw(rt, "for")) * time.Millisecond,
		}
	}), 1, 6).Draw(rt, "history")
}

// runHistory runs ten batch tasks and two watchers while it injects the faults of
// the history, ends all faults, and returns the violations.
func runHistory(t *testing.T, history []event, seed uint64, noise float64, setUp func(*simulation) func(*simulation)) []string {
	return simulate(t, seed, noise, func(sim *simulation) {
		afterFaults := setUp(sim)
		sim.start("w1", "w2", "w3")
		for i := range uint32(10) {
			sim.platform.Submit(i, newBatchSpec(time.Duration(3+i)*time.Second, 2000+500*units.Millicores(i%3)))
		}
		for i := range uint32(2) {
			watcher := newBatchSpec(0, 500)
			watcher.Kind = wire.TaskKind_TASK_KIND_WATCHER
			sim.platform.Submit(100+i, watcher)
		}
		ordered := slices.Clone(history)
		slices.SortFunc(ordered, func(a, b event) int { return int(a.at - b.at) })
		start := time.Now()
		for _, e := range ordered {
			time.Sleep(e.at - time.Since(start))
			go faults[e.kind](sim, e)
		}
		time.Sleep(70*time.Second - time.Since(start))
		sim.network.SetFaultRate(0)
		afterFaults(sim)
	})
}

// Guards against a task that runs on two workers, a rejected attempt that runs, a
// worker that is committed beyond its capacity, and a lost task, under any mix of
// pauses, restarts, second agents, partitions, log outages, and lost or late
// messages.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := drawHistory(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		problems := runHistory(t, history, seed, 0.1, func(*simulation) func(*simulation) {
			return func(sim *simulation) {
				if !sim.waitForBatchTasks(2 * time.Minute) {
					sim.platform.AddViolation("tasks have not ended two minutes after the last fault")
				}
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%v\n%s", history, strings.Join(problems, "\n"))
		}
	})
}
