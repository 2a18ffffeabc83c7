package scheduler

import (
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// The load patterns that the rules of placement answer, replayed by hand.

func latencyCritical(image string, count int) workflow.Step {
	return workflow.Step{Count: count, Size: cores(6), LongRunning: true, Image: image, LatencyTarget: 18 * time.Millisecond}
}

func bestEffort(image string, count int) workflow.Step {
	return workflow.Step{Count: count, Size: cores(4), BestEffort: true, Checkpointing: true, Image: image, Estimate: 2 * time.Second}
}

// Serving tasks of several images arrive together and reserve most processors.
// Mixed on every worker, nearly every batch image harms one of them and all
// batch work is slowed; so each worker serves one image while there is room.
func TestLatencyCriticalTasksOfOneImageShareWorkers(t *testing.T) {
	f := newFixture(t)
	for i := range 6 {
		f.addWorker(units.WorkerID(fmt.Sprintf("w%d", i)), 32)
	}
	for range 2 {
		for _, image := range []string{"x", "y", "z"} {
			f.submit("quick", latencyCritical(image, 5))
		}
		f.tick()
	}
	for id, w := range f.scheduler.workers {
		images := make(map[string]bool)
		for _, task := range w.tasks {
			images[task.step.Image] = true
		}
		if len(images) > 1 {
			t.Errorf("images on %s: got %v, want one", id, images)
		}
	}
}

// A burst of tasks that fill must not start all at once: together they would
// share the processors that are left, and every step would end late.
func TestBestEffortTasksUseOnlyFreeProcessors(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 32)
	f.submit("runs", bestEffort("b", 40))
	got := len(f.tick())
	if want := 32 / 4; got != want {
		t.Errorf("starts on 32 idle cores for tasks of 4: got %d, want %d", got, want)
	}
}

// A batch image that is known to harm a serving image goes where that image
// does not run.
func TestInterferingImagesAreKeptApart(t *testing.T) {
	f := newFixture(t)
	f.addWorker("serves", 32)
	f.submit("quick", latencyCritical("web", 1))
	f.tick()
	f.addWorker("free", 32)
	f.agents["serves"].running[anyRun(f.agents["serves"])].Load = 9
	f.report("serves")
	for i := range 60 { // 4 ms for each core of the harmful image
		busy := float64(i % 3)
		f.advance(learnInterval)
		f.scheduler.model.Observe(f.now.Boot, []interference.Serving{{Task: workflow.TaskID{Job: "other"}, Image: "web", Latency: 7 + 4*busy, Target: 18}},
			[]interference.Filling{{Image: "press", Cores: busy}})
	}
	f.report("serves")
	f.submit("runs", bestEffort("press", 3))
	for task, worker := range f.tick() {
		if worker != "free" {
			t.Errorf("%s started on %s, want free", task, worker)
		}
	}
}

// A task that is slowed where it is moves when another worker can run it at
// full speed, and goes on from its checkpoint.
func TestThrottledTaskMoves(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	f.submit("runs", bestEffort("b", 1))
	f.tick()
	task := anyRun(a)
	a.running[task] = &wire.RunRow{Task: task, Attempt: 1, Pace: 10, Load: 400, Percent: 30, Checkpoint: "saved"}
	f.report("a")
	f.addWorker("b", 8)
	f.advance(throttledFor + 100*time.Millisecond)
	f.report("a")
	f.tick() // stops it
	f.report("a")
	if got := f.tick()[task]; got != "b" {
		t.Errorf("worker after the move: got %q, want b", got)
	}
	if got := f.scheduler.task(mustParse(t, task)).checkpoint; got != "saved" {
		t.Errorf("checkpoint: got %q, want saved", got)
	}
}

func mustParse(t *testing.T, name string) workflow.TaskID {
	t.Helper()
	id, err := workflow.ParseTaskID(name)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// With more work than room, the job that is worth most for the work that is
// left goes first, and what has begun before what has not. By deadline alone
// all of them end a little late.
func TestOverloadStartsMostValuableJobFirst(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 4)
	step := func(count int) workflow.Step {
		return workflow.Step{Count: count, Size: cores(1), Estimate: 4 * time.Second}
	}
	large := f.submit("runs", step(8))
	small := f.submit("runs", step(2))
	started := make(map[workflow.JobID]int)
	for task := range f.tick() {
		started[mustParse(t, task).Job]++
	}
	if started[small] != 2 || started[large] != 2 {
		t.Errorf("starts: got %v, want both tasks of the small job and the rest of the room for the large one", started)
	}
}

// A job that can't be in time any more must not take the room of one that can.
func TestLateJobWaitsForOnTimeJob(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 2)
	blocker := f.submit("runs", workflow.Step{Count: 2, Size: cores(1), Estimate: time.Second})
	f.tick()
	late := f.submit("runs", workflow.Step{Count: 1, Size: cores(1), Estimate: time.Second})
	f.advance(10 * time.Second)
	inTime := f.submit("runs", workflow.Step{Count: 2, Size: cores(1), Estimate: time.Second})
	for task := range a.running {
		a.end(task, workflow.Done)
	}
	f.report("a")
	for task := range f.tick() {
		if got := mustParse(t, task).Job; got != inTime {
			t.Errorf("started job %s, want %s before the late %s (after %s)", got, inTime, late, blocker)
		}
	}
}

// harmed adds worker a of 32 cores with one serving task at a tail latency in ms,
// for whose image each core of the image press is known to take perCore of the
// rate, which is base alone. It returns the agent and the name of the run.
func (f *fixture) addInterferedWorker(latency int64, base, perCore float64) (*fakeAgent, string) {
	a := f.addWorker("a", 32)
	f.submit("quick", latencyCritical("web", 1))
	f.tick()
	web := anyRun(a)
	a.running[web].Load = latency
	f.report("a")
	for i := range 60 {
		busy := float64(i % 3)
		f.advance(2 * time.Second)
		f.scheduler.model.Observe(f.now.Boot, []interference.Serving{{Task: workflow.TaskID{Job: "other"}, Image: "web", Latency: 18 / (base - perCore*busy), Target: 18}},
			[]interference.Filling{{Image: "press", Cores: busy}})
	}
	f.report("a")
	return a, web
}

// A burst of harmful work comes in small parts, each placed when the readings
// hardly show the part before. Judged by the readings alone, all of it lands on
// one worker and its serving tasks miss their target by far.
func TestSplitBurstKeepsLatencyTarget(t *testing.T) {
	f := newFixture(t)
	a, web := f.addInterferedWorker(9, 2.5, 0.15)
	started := 0
	for range 3 { // within the time that a start needs to show
		f.submit("runs", bestEffort("press", 1))
		started += len(f.tick())
		for task, row := range a.running {
			if task != web {
				row.Load = 300 // of 4 cores, soon after the start
			}
		}
		f.advance(learnInterval)
		f.report("a")
	}
	// 18 / 9 - 1 / 0.82 leaves 0.78 of the rate, and each task takes 0.6.
	if want := 1; started != want {
		t.Errorf("started: got %d, want %d", started, want)
	}
}

// Harmless and harmful work waits at the same time. Harmless work that takes the
// workers on which anything may run leaves the harmful work without any.
func TestHarmlessTasksLeaveCapacityForInterferingTasks(t *testing.T) {
	f := newFixture(t)
	for image, worker := range map[string]units.WorkerID{"delicate": "sensitive", "robust": "robust"} {
		f.addWorker(worker, 16)
		f.submit("quick", workflow.Step{Count: 1, Size: cores(6), LongRunning: true, Image: image, LatencyTarget: 18 * time.Millisecond})
		f.tick()
		a := f.agents[worker]
		a.running[anyRun(a)].Load = 8
	}
	for i := range 80 { // press costs delicate 3 ms a core, everything else nothing
		busy := float64(i % 4)
		f.advance(learnInterval)
		for serving, perCore := range map[string]float64{"delicate": 3, "robust": 0} {
			f.scheduler.model.Observe(f.now.Boot, []interference.Serving{{Task: workflow.TaskID{Job: workflow.JobID(serving)}, Image: serving, Latency: 7 + perCore*busy, Target: 18}},
				[]interference.Filling{{Image: "press", Cores: busy}})
			f.scheduler.model.Observe(f.now.Boot, []interference.Serving{{Task: workflow.TaskID{Job: workflow.JobID(serving + "2")}, Image: serving, Latency: 7, Target: 18}},
				[]interference.Filling{{Image: "quiet", Cores: busy}})
		}
	}
	for id := range f.agents {
		f.report(id)
	}
	f.submit("runs", bestEffort("quiet", 1))
	for task, worker := range f.tick() {
		if worker != "sensitive" {
			t.Errorf("%s, which is harmless, started on %s, want sensitive", task, worker)
		}
	}
}

// A burst of equal tasks comes when much of the rate is left. An estimate that is
// a little too low, multiplied by all of them, saturates the serving task before
// a reading tells; so only a part starts before one does.
func TestBurstWaitsForReading(t *testing.T) {
	f := newFixture(t)
	a, web := f.addInterferedWorker(6, 3, 0.06)
	f.submit("runs", bestEffort("press", 6))
	started := len(f.tick())
	// 18 / 6 - 1 / 0.82 leaves 1.78 of the rate, each task takes 0.24 of it, and
	// three of them keep to what may be unseen.
	if want := 3; started != want {
		t.Errorf("started at once: got %d, want %d", started, want)
	}
	for task, row := range a.running { // the readings show what has started
		if task != web {
			row.Load = 4000
		}
	}
	f.report("a")
	f.advance(readingDelay + learnInterval)
	f.report("a")
	if got := len(f.tick()); got == 0 {
		t.Error("started after the readings: got 0, want more")
	}
}
