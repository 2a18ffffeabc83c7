package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
)

func batch(count, size int) workflow.Step {
	return workflow.Step{Count: count, Size: cores(size), Checkpointing: true, Estimate: 5 * time.Second}
}

// Batch tasks occupy all workers when urgent tasks arrive. Without preemption the urgent
// tasks wait for a batch task to end and are late.
func TestUrgentWorkPreemptsBatch(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	f.submit("runs", batch(4, 2))
	f.tick()
	for _, row := range a.running {
		row.Percent, row.Checkpoint = 40, "saved"
	}
	f.report("a")
	job := f.submit("quick", urgent(3))
	f.tick() // stops as few tasks as needed
	f.report("a")
	started := 0
	for task := range f.tick() {
		if mustParse(t, task).Job == job {
			started++
		}
	}
	if want := 3; started != want {
		t.Errorf("urgent tasks started: got %d, want %d", started, want)
	}
	batchLeft := 0
	for task := range a.running {
		if mustParse(t, task).Job != job {
			batchLeft++
		}
	}
	if want := 2; batchLeft != want {
		t.Errorf("batch tasks that keep running: got %d, want %d", batchLeft, want)
	}
	for _, task := range f.scheduler.jobs[workflow.JobID("0000000000000001")].occurrences[0].steps[0].tasks {
		if task.worker == nil && task.checkpoint != "saved" {
			t.Errorf("preempted task %s: got checkpoint %q, want saved", task.id, task.checkpoint)
		}
	}
}

// Stops take a moment. While they are pending, the same urgent tasks must not cause
// further stops.
func TestPreemptionWaitsForPendingStops(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 8)
	f.submit("runs", batch(8, 1))
	f.tick()
	f.report("a")
	f.submit("quick", urgent(2))
	f.scheduler.Tick(f.now, true)
	f.scheduler.Tick(f.now, true)
	stopped := 0
	for _, task := range f.scheduler.workers["a"].tasks {
		if task.stopOrderedAt != 0 {
			stopped++
		}
	}
	if want := 2; stopped != want {
		t.Errorf("stops after two ticks: got %d, want %d", stopped, want)
	}
}

// Tasks of an equally or more urgent queue, watchers and tasks close to their end must not
// be preempted, and no task for one that would not fit even then.
func TestPreemptionSparesProtectedTasks(t *testing.T) {
	cases := map[string]struct {
		queue   workflow.QueueName
		running workflow.Step
		percent int32
		need    workflow.Step
	}{
		"equally urgent":        {"quick", batch(8, 1), 10, urgent(1)},
		"watchers":              {"runs", workflow.Step{Count: 8, Size: cores(1), LongRunning: true}, 100, urgent(1)},
		"about to end":          {"runs", batch(8, 1), 95, urgent(1)},
		"too large to ever fit": {"runs", batch(8, 1), 10, workflow.Step{Count: 1, Size: cores(9), Estimate: time.Second}},
		"best-effort tasks reserve no processors": {"runs", workflow.Step{Count: 8, Size: cores(1), BestEffort: true, Checkpointing: true, Estimate: time.Second}, 10, workflow.Step{Count: 1, Size: cores(9), Estimate: time.Second}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			a := f.addWorker("a", 8)
			f.submit(test.queue, test.running)
			f.tick()
			for _, row := range a.running {
				row.Percent = test.percent
			}
			f.report("a")
			f.submit("quick", test.need)
			f.scheduler.Tick(f.now, true)
			for _, task := range f.scheduler.workers["a"].tasks {
				if task.stopOrderedAt != 0 {
					t.Errorf("%s is stopped, want it to keep running", task.id)
				}
			}
		})
	}
}
