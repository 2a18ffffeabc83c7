// Package onerun checks that no task runs twice at the same time, by generated schedules of
// faults: real controllers of runners and a real scheduler, with models of the runners, of the
// processes around them and of the links between them, in simulated time.
package onerun

import (
	"bytes"
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

var (
	seeds     = flag.Int("onerun.seeds", 1, "number of schedules of each kind")
	firstSeed = flag.Uint64("onerun.seed", 1, "first seed")
	logFile   = flag.String("onerun.log", "", "file for the log of the first schedule that fails")
)

func TestMain(m *testing.M) {
	bootclock.Replace(func() bootclock.Instant { return bootclock.Instant(time.Hour + time.Since(epoch)) })
	flag.Parse()
	os.Exit(m.Run())
}

// duration is how long a schedule lasts, in simulated time.
const duration = 30 * time.Second

// play plays a schedule and returns the world that it has left.
func play(t *testing.T, seed uint64, f faults) (w *world) {
	synctest.Test(t, func(t *testing.T) {
		w = &world{faults: f, rand: &dice{r: rand.New(rand.NewPCG(seed, 1))}, active: make(map[workflow.TaskID][]*activeRun),
			notedDone: make(map[workflow.TaskID]time.Time), began: make(map[workflow.TaskID]time.Time), done: make(map[runID]time.Time)}
		for i := range f.machines {
			w.machines = append(w.machines, &machine{world: w, name: string(rune('a' + i))})
		}
		go w.step()
		for _, m := range w.machines {
			m.startRunner(1)
			m.startAgent()
			go m.beat()
			go w.every(f.runnerEvery, m.restartRunner)
			go w.every(f.agentEvery, func() { m.restartAgent(w.rand.between(50*time.Millisecond, 9*time.Second)) })
			go w.every(f.freezeEvery, func() { m.freeze(w.rand.between(20*time.Millisecond, 9*time.Second)) })
			go w.every(f.cutEvery, func() { m.cut(w.rand.between(100*time.Millisecond, 9*time.Second)) })
			go w.every(f.deafEvery, func() { m.deafen(w.rand.between(500*time.Millisecond, 8*time.Second)) })
			go w.every(f.stormEvery, m.storm)
		}
		r := &records{items: make(map[string][]byte)}
		l := lead(w, r, 1)
		nextChange := time.Now().Add(duration)
		if f.leaderEvery > 0 {
			nextChange = time.Now().Add(w.rand.between(f.leaderEvery/2, f.leaderEvery*3/2))
		}
		for number, end := 1, time.Now().Add(duration); time.Now().Before(end); number++ {
			l.submit(number <= 2*f.machines, number, 4)
			time.Sleep(w.rand.between(100*time.Millisecond, 900*time.Millisecond))
			if f.stallEvery > 0 && w.rand.chance(0.5/f.stallEvery.Seconds()) {
				l.stalled.Store(int64(bootclock.Now().Add(w.rand.between(100*time.Millisecond, 3*time.Second))))
			}
			if time.Now().After(nextChange) {
				close(l.ended)
				l = lead(w, r, l.term+2)
				nextChange = time.Now().Add(w.rand.between(f.leaderEvery/2, f.leaderEvery*3/2))
			}
		}
		w.mu.Lock()
		w.over = true
		w.mu.Unlock()
		close(l.ended)
		time.Sleep(time.Minute) // every goroutine ends
		w.mu.Lock()
		for _, m := range w.machines {
			m.agent.kill()
		}
		w.mu.Unlock()
		time.Sleep(time.Minute)
	})
	return w
}

// Guards against decisions that runs have ended while they go on: whoever of agent, leader and
// runner is frozen, cut off, replaced or late, no task may run twice at the same time.
func TestNoTaskRunsTwiceAtOnce(t *testing.T) {
	for name, set := range kinds {
		t.Run(name, func(t *testing.T) { check(t, *seeds, set) })
	}
}

// Guards against taking the answer of the next runner at an address for the end of the one
// before, which drains and goes on with its runs until their leases end.
func TestNoTaskRunsTwiceBesideASuccessor(t *testing.T) {
	check(t, max(*seeds, 4), func(f *faults) { f.runnerEvery, f.beside, f.cutEvery = 8*time.Second, 1, 20*time.Second })
}

// check plays the given number of schedules of a kind.
func check(t *testing.T, seeds int, set func(*faults)) {
	t.Helper()
	runs, ignored := 0, 0
	for i := range seeds {
		seed := *firstSeed + uint64(i)
		f := usual
		set(&f)
		var log bytes.Buffer
		captureLog(&log)
		w := play(t, seed, f)
		klog.Flush()
		runs, ignored = runs+w.started, ignored+w.ignored
		if len(w.violations) > 0 {
			t.Errorf("seed %d: got %d second runs, want none; the first:\n%s", seed, len(w.violations), w.violations[0])
			keepLog(t, &log)
		}
	}
	t.Logf("%d runs; %d breaches by late calls to an earlier process under the same id are not counted", runs, ignored)
	if want := 50 * seeds; runs < want {
		t.Errorf("runs: got %d, want at least %d", runs, want)
	}
}

// captureLog directs the log to b.
func captureLog(b *bytes.Buffer) {
	klog.LogToStderr(false)
	klog.SetOutput(b)
}

func keepLog(t *testing.T, b *bytes.Buffer) {
	if *logFile == "" {
		return
	}
	if _, err := os.Stat(*logFile); err == nil {
		return
	}
	if err := os.WriteFile(*logFile, b.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}
