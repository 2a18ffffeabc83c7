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

// The tests in this file replay the load patterns that the placement rules are meant for.

func latencyCritical(image string, count int) workflow.Step {
	return workflow.Step{Count: count, Size: cores(6), LongRunning: true, Image: image, LatencyTarget: 18 * time.Millisecond}
}

func bestEffort(image string, count int) workflow.Step {
	return workflow.Step{Count: count, Size: cores(4), BestEffort: true, Checkpointing: true, Image: image, Estimate: 2 * time.Second}
}

// Latency-critical tasks of several images arrive together and reserve most processors.
// If every worker runs a mix of them, nearly every batch image interferes with one of
// them and all batch tasks are throttled. So each worker should run one image as long as
// capacity allows.
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

// A burst of best-effort tasks must not start all at once: the tasks would share the free
// processors, and every step would finish late.
func TestBestEffortTasksUseOnlyFreeProcessors(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 32)
	f.submit("runs", bestEffort("b", 40))
	got := len(f.tick())
	if want := 32 / 4; got != want {
		t.Errorf("starts of 4-core tasks on 32 free cores: got %d, want %d", got, want)
	}
}

// A batch image that interferes with a latency-critical image, according to the model, must
// be placed where that image does not run; otherwise it raises the latency there.
func TestInterferingImagesAreKeptApart(t *testing.T) {
	f := newFixture(t)
	f.addWorker("serves", 32)
	f.submit("quick", latencyCritical("web", 1))
	f.tick()
	f.addWorker("free", 32)
	f.agents["serves"].running[anyRun(f.agents["serves"])].Load = 9
	f.report("serves")
	for i := range 60 { // 4 ms per core of the interfering image
		busy := float64(i % 3)
		f.advance(learnInterval)
		f.scheduler.model.Observe(f.now.Boot, []interference.LatencyReading{{Task: workflow.TaskID{Job: "other"}, Image: "web", Latency: 7 + 4*busy, Target: 18}},
			[]interference.UsageReading{{Image: "press", Cores: busy}})
	}
	f.report("serves")
	f.submit("runs", bestEffort("press", 3))
	for task, worker := range f.tick() {
		if worker != "free" {
			t.Errorf("%s started on %s, want free", task, worker)
		}
	}
}

// A throttled task must move when another worker can run it at full speed, and resume
// from its checkpoint.
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
	f.tick() // stops the task on a
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

// Under overload, the job with the highest value per remaining core-second goes first,
// and started jobs go before new ones. With earliest deadline first, all jobs would
// finish a little late.
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
		t.Errorf("starts: got %v, want both tasks of the small job, and two of the large job in the remaining capacity", started)
	}
}

// A job that can no longer meet its objective must not take the capacity of one that can.
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
			t.Errorf("started job %s, want %s before the late job %s (blocked by %s)", got, inTime, late, blocker)
		}
	}
}

// addInterferedWorker adds worker a of 32 cores with one latency-critical task at the
// given tail latency in ms. The model learns that its image has the service rate base, of
// which each core of the image press takes perCore. It returns the agent and the id of
// the task.
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
		f.scheduler.model.Observe(f.now.Boot, []interference.LatencyReading{{Task: workflow.TaskID{Job: "other"}, Image: "web", Latency: 18 / (base - perCore*busy), Target: 18}},
			[]interference.UsageReading{{Image: "press", Cores: busy}})
	}
	f.report("a")
	return a, web
}

// A burst of interfering tasks arrives in small parts, each of which is placed while the
// readings hardly show the previous part. Based on the readings alone, the whole burst
// lands on one worker, whose latency-critical tasks miss their target by far.
func TestSplitBurstKeepsLatencyTarget(t *testing.T) {
	f := newFixture(t)
	a, web := f.addInterferedWorker(9, 2.5, 0.15)
	started := 0
	for range 3 { // within the time that a start needs to show in the readings
		f.submit("runs", bestEffort("press", 1))
		started += len(f.tick())
		for task, row := range a.running {
			if task != web {
				row.Load = 300 // of 4000 millicores, shortly after the start
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

// Best-effort tasks with and without interference are pending at the same time. If those
// without interference took the workers that tolerate any image, none would be left for
// the others.
func TestNonInterferingTasksLeaveCapacityForInterferingTasks(t *testing.T) {
	f := newFixture(t)
	for image, worker := range map[string]units.WorkerID{"delicate": "sensitive", "robust": "robust"} {
		f.addWorker(worker, 16)
		f.submit("quick", workflow.Step{Count: 1, Size: cores(6), LongRunning: true, Image: image, LatencyTarget: 18 * time.Millisecond})
		f.tick()
		a := f.agents[worker]
		a.running[anyRun(a)].Load = 8
	}
	for i := range 80 { // press adds 3 ms per core to delicate; all other pairs do not interfere
		busy := float64(i % 4)
		f.advance(learnInterval)
		for image, perCore := range map[string]float64{"delicate": 3, "robust": 0} {
			f.scheduler.model.Observe(f.now.Boot, []interference.LatencyReading{{Task: workflow.TaskID{Job: workflow.JobID(image)}, Image: image, Latency: 7 + perCore*busy, Target: 18}},
				[]interference.UsageReading{{Image: "press", Cores: busy}})
			f.scheduler.model.Observe(f.now.Boot, []interference.LatencyReading{{Task: workflow.TaskID{Job: workflow.JobID(image + "2")}, Image: image, Latency: 7, Target: 18}},
				[]interference.UsageReading{{Image: "quiet", Cores: busy}})
		}
	}
	for id := range f.agents {
		f.report(id)
	}
	f.submit("runs", bestEffort("quiet", 1))
	for task, worker := range f.tick() {
		if worker != "sensitive" {
			t.Errorf("%s, which does not interfere, started on %s, want sensitive", task, worker)
		}
	}
}

// A burst of equal tasks arrives while much of the service rate is free. If the estimate
// is a little too low, the whole burst saturates the latency-critical task before a
// reading shows it. So only part of the burst may start before a reading.
func TestBurstWaitsForReading(t *testing.T) {
	f := newFixture(t)
	a, web := f.addInterferedWorker(6, 3, 0.06)
	f.submit("runs", bestEffort("press", 6))
	started := len(f.tick())
	// 18 / 6 - 1 / 0.82 leaves 1.78 of the rate, each task takes 0.24 of it, and three
	// of them stay below maxUnobservedLoss.
	if want := 3; started != want {
		t.Errorf("started at once: got %d, want %d", started, want)
	}
	for task, row := range a.running { // the readings show the started tasks
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
