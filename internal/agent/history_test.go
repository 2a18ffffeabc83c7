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

// fault is one entry of a generated history.
type event struct {
	kind string
	name string // worker
	op   string
	at   time.Duration
	long time.Duration
}

func (e event) String() string {
	return fmt.Sprintf("%s %s %s at %s for %s", e.kind, e.name, e.op, e.at, e.long)
}

// injections carry out the events.
var injections = map[string]func(*world, event){
	// pause stops the process, possibly past its lease, and wakes it.
	"pause": func(w *world, e event) { w.pauseLoop(e.name, e.long) },
	// kill ends the process right after an operation took effect on the
	// worker and starts its successor later.
	"kill": func(w *world, e event) {
		w.killAfter(e.name, e.op)
		time.Sleep(e.long)
		w.restart(e.name)
	},
	// double starts a second agent while the first goes on.
	"double": func(w *world, e event) { w.start(e.name) },
	"cutFromEntries": func(w *world, e event) {
		w.network.SetCut(e.name, "entry", true)
		time.Sleep(e.long)
		w.network.SetCut(e.name, "entry", false)
	},
	"isolate": func(w *world, e event) {
		others := []string{"w1", "w2", "w3", "entry"}
		for _, o := range others {
			w.network.SetCut(e.name, o, true)
		}
		time.Sleep(e.long)
		for _, o := range others {
			w.network.SetCut(e.name, o, false)
		}
	},
	"logDown": func(w *world, e event) {
		w.platform.SetLog(false)
		time.Sleep(e.long)
		w.platform.SetLog(true)
	},
	// domainOut takes a domain out while the entries cannot read it, and lets
	// new tasks arrive meanwhile: so many that some are assigned to the domain.
	"domainOut": func(w *world, e event) {
		w.platform.Freeze(true)
		w.platform.Publish([]string{string(domains[e.name])}, nil)
		time.Sleep(4 * time.Second)
		for i := range uint32(tasksWhileOut) {
			w.platform.Submit(200+uint32(e.at/time.Millisecond)*tasksWhileOut+i, batch(2*time.Second, 1000))
		}
		time.Sleep(e.long)
		w.platform.Freeze(false)
		w.platform.Publish([]string{string(domains[e.name])}, nil)
		time.Sleep(5 * time.Second)
		w.platform.Publish(nil, nil)
	},
	// replace puts a new instance in the place of the worker.
	"replace": func(w *world, e event) { w.cores[e.name].Restart() },
	// drain empties a worker for a while.
	"drain": func(w *world, e event) {
		w.platform.Publish(nil, []units.WorkerID{units.WorkerID(e.name)})
		time.Sleep(e.long)
		w.platform.Publish(nil, nil)
	},
	"loseReplies": func(w *world, e event) {
		w.cores[e.name].SetFaults(worker.Faults{LoseReplies: 2, LoseOp: e.op})
	},
	"slowWorker": func(w *world, e event) {
		w.cores[e.name].SetFaults(worker.Faults{Delay: 1500 * time.Millisecond, Speed: 0.5})
		time.Sleep(e.long)
		w.cores[e.name].SetFaults(worker.Faults{})
	},
}

// tasksWhileOut is how many tasks arrive while a domain is out. Each is assigned
// to one of three workers at random; with 6 of them every eleventh history offered
// the domain nothing.
const tasksWhileOut = 30

func drawHistory(rt *rapid.T) []event {
	kinds := []string{"pause", "kill", "double", "cutFromEntries", "isolate", "logDown", "loseReplies", "slowWorker", "domainOut", "drain", "replace"}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			name: rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(rt, "worker"),
			op:   rapid.SampledFrom([]string{"start", "tasks", "forget", "renew"}).Draw(rt, "op"),
			at:   time.Duration(rapid.IntRange(3000, 40000).Draw(rt, "at")) * time.Millisecond,
			long: time.Duration(rapid.IntRange(200, 25000).Draw(rt, "for")) * time.Millisecond,
		}
	}), 1, 6).Draw(rt, "history")
}

// play runs a history over ten tasks and two watchers, heals everything, and
// returns the violations.
func play(t *testing.T, history []event, seed uint64, noise float64, variant func(*world) func(*world)) []string {
	return simulate(t, seed, noise, func(w *world) {
		healed := variant(w)
		w.start("w1", "w2", "w3")
		for i := range uint32(10) {
			w.platform.Submit(i, batch(time.Duration(3+i)*time.Second, 2000+500*units.Millicores(i%3)))
		}
		for i := range uint32(2) {
			watcher := batch(0, 500)
			watcher.Kind = wire.TaskKind_TASK_KIND_WATCHER
			w.platform.Submit(100+i, watcher)
		}
		ordered := slices.Clone(history)
		slices.SortFunc(ordered, func(a, b event) int { return int(a.at - b.at) })
		start := time.Now()
		for _, e := range ordered {
			time.Sleep(e.at - time.Since(start))
			go injections[e.kind](w, e)
		}
		time.Sleep(70*time.Second - time.Since(start))
		w.network.SetNoise(0)
		healed(w)
	})
}

// Guards against an agent that, under any mix of pauses, restarts, rivals,
// partitions, log outages and lost or late messages, runs a task in two places,
// runs a refused attempt, commits more than the worker has, or loses a task.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := drawHistory(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		problems := play(t, history, seed, 0.1, func(*world) func(*world) {
			return func(w *world) {
				if !w.settle(2 * time.Minute) {
					w.platform.Problem("tasks are unfinished two minutes after the faults ended")
				}
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%v\n%s", history, strings.Join(problems, "\n"))
		}
	})
}
