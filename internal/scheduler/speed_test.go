package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

func urgent(count int) workflow.Step {
	return workflow.Step{Count: count, Size: cores(1), Estimate: time.Second}
}

// reportProgress reports from every worker that its tasks have run for d at the speed
// given by worker id. Speed 1 matches a task of one second that runs as estimated.
func (f *fixture) reportProgress(d time.Duration, speeds map[string]float64) {
	f.advance(d)
	for id, a := range f.agents {
		for _, row := range a.running {
			row.Percent = min(row.Percent+int32(100*speeds[string(id)]*d.Seconds()), 99)
		}
		f.report(id)
	}
}

// slowFixture starts jobs of the urgent queue on worker a as the only worker, and then
// adds two empty workers.
func slowFixture(t *testing.T, jobs int) (*fixture, []workflow.JobID) {
	f := newFixture(t)
	f.addWorker("a", 16)
	var ids []workflow.JobID
	for range jobs {
		ids = append(ids, f.submit("quick", urgent(2)))
	}
	f.tick()
	f.report("a")
	f.addWorker("b", 16)
	f.addWorker("c", 16)
	return f, ids
}

// wantAvoided checks that the worker may not get new tasks.
func (f *fixture) wantAvoided(id units.WorkerID) {
	f.Helper()
	for _, w := range f.scheduler.eligibleWorkers("desk", f.now) {
		if w.id == id {
			f.Errorf("worker %s may get new tasks, want it avoided", id)
		}
	}
}

// A worker that becomes slow has the most free capacity and reports itself as healthy. New
// urgent tasks must go elsewhere once several jobs progress far too slowly there, and its
// tasks must move if they would finish earlier elsewhere.
func TestTasksMoveOffSlowWorker(t *testing.T) {
	f, _ := slowFixture(t, 2)
	for range 3 {
		f.reportProgress(300*time.Millisecond, map[string]float64{"a": 0.1})
	}
	f.wantAvoided("a")
	moved := 0
	for range 3 {
		for _, worker := range f.tick() {
			if worker != "a" {
				moved++
			}
		}
		f.report("a")
		f.advance(relocationInterval)
	}
	if want := 4; moved != want {
		t.Errorf("tasks that moved off the slow worker: got %d, want %d", moved, want)
	}
}

// A worker whose tasks make no progress at all must be avoided as well.
func TestWorkerWithStalledTasksIsAvoided(t *testing.T) {
	f, _ := slowFixture(t, 2)
	for range 3 {
		f.reportProgress(300*time.Millisecond, nil)
	}
	f.wantAvoided("a")
}

// A job whose estimate is far too low looks slow on every worker. The worker must not be
// marked slow for it, or wrong estimates alone would empty workers.
func TestLowEstimateOfOneJobMarksNoWorkerSlow(t *testing.T) {
	f, _ := slowFixture(t, 1)
	for range 4 {
		f.reportProgress(300*time.Millisecond, map[string]float64{"a": 0.1})
	}
	if w := f.scheduler.workers["a"]; w.speed.slow(f.now) || f.now.Boot.Before(w.retryAt) {
		t.Errorf("after readings of one job: got speed %+v, want not slow", w.speed)
	}
}

// If the estimates of all jobs of a queue are too low, all workers look slow although none
// is. The scheduler must learn the speed of the queue instead of relocating tasks.
func TestQueueSpeedIsLearned(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 16)
	f.addWorker("b", 16)
	speeds := map[string]float64{"a": 0.3, "b": 0.3}
	for range 30 {
		f.submit("quick", urgent(2))
		f.submit("quick", urgent(2))
		f.tick()
		for range 4 {
			f.reportProgress(300*time.Millisecond, speeds)
		}
		for id, a := range f.agents {
			for task := range a.running {
				a.end(task, workflow.Done)
			}
			f.report(id)
			f.tick()
		}
	}
	for id, w := range f.scheduler.workers {
		if w.speed.slow(f.now) {
			t.Errorf("worker %s at the speed of the queue: got slow (%+v), want not slow", id, w.speed)
		}
	}
}

// A slow worker must receive tasks again after its backoff, in case it has recovered.
func TestSlowWorkerIsRetried(t *testing.T) {
	f, _ := slowFixture(t, 2)
	for range 3 {
		f.reportProgress(300*time.Millisecond, map[string]float64{"a": 0.1})
	}
	f.wantAvoided("a")
	f.agents["a"].running = make(map[string]*wire.RunRow)
	f.advance(maxBackoff)
	f.report("a")
	if got := len(f.scheduler.eligibleWorkers("desk", f.now)); got != 3 {
		t.Errorf("eligible workers after the backoff: got %d, want 3", got)
	}
}

// Latency-critical tasks on a slow worker are slow regardless of the best-effort tasks
// beside them. The model must not attribute this to the best-effort images, which would
// exclude them from all other workers.
func TestSlowWorkerDoesNotTrainInterferenceModel(t *testing.T) {
	f, _ := slowFixture(t, 2)
	a := f.agents["a"]
	a.runner.Labels = append(a.runner.Labels, "here")
	f.report("a")
	for queue, step := range map[workflow.QueueName]workflow.Step{"quick": latencyCritical("web", 1), "runs": bestEffort("press", 1)} {
		step.RequiredLabel = "here"
		f.submit(queue, step)
	}
	f.tick()
	for range 8 {
		for name, row := range a.running {
			switch step := f.scheduler.task(mustParse(t, name)).step; {
			case step.LongRunning:
				row.Load = 60 // target: 18
			case step.BestEffort:
				row.Load = 4000
			}
		}
		f.reportProgress(600*time.Millisecond, map[string]float64{"a": 0.05})
	}
	if got := f.scheduler.model.LossPerCore("web", "press"); got > 0.1 {
		t.Errorf("loss caused by the image on the slow worker: got %.2f per core, want about 0", got)
	}
}
