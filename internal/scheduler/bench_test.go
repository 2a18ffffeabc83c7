package scheduler

import (
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// overloadedFixture returns a deployment whose processors are all in use. Every worker
// runs latency-critical and best-effort tasks, half of the latter are throttled, and
// more tasks are pending than fit.
func overloadedFixture(t testing.TB, workers int) *fixture {
	f := newFixture(t)
	for i := range workers {
		f.addWorker(units.WorkerID(fmt.Sprintf("w%03d", i)), 16)
	}
	half := units.Resources{Processors: 1500, Memory: units.GiB}
	for i := range workers / 2 {
		f.submit("quick", workflow.Step{Count: 14, Size: half, LongRunning: true, LatencyTarget: 45 * time.Millisecond, Image: fmt.Sprint("serving-", i%10)})
	}
	f.tick()
	f.reportAll()
	for i := range workers / 3 {
		f.submit("runs", workflow.Step{Count: 70, Size: units.Resources{Processors: 1800, Memory: 256 * units.MiB}, Estimate: 2 * time.Second,
			BestEffort: true, Checkpointing: true, Image: fmt.Sprint("filling-", i%15)})
	}
	for range 6 {
		f.advance(time.Second)
		f.tick()
		f.reportAll()
	}
	return f
}

// reportAll reports every run: latency-critical tasks close to their target, and every
// second best-effort task throttled.
func (f *fixture) reportAll() {
	for id, a := range f.agents {
		n := 0
		for task, row := range a.running {
			parsed, err := workflow.ParseTaskID(task)
			if err != nil {
				f.Fatal(err)
			}
			row.Load = 40
			if f.scheduler.task(parsed).step.BestEffort {
				n++
				row.Load, row.Pace = 900, 100-int32(n%2)*70
			}
		}
		f.report(id)
	}
}

// BenchmarkCrowdedTick measures a tick of an overloaded deployment.
func BenchmarkCrowdedTick(b *testing.B) {
	for _, workers := range []int{60, 300} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			f := overloadedFixture(b, workers)
			pendingTasks, throttledTasks := 0, 0
			for _, u := range f.scheduler.pendingSteps(f.now) {
				pendingTasks += u.step.unplaced
			}
			for _, w := range f.scheduler.workers {
				for _, t := range w.tasks {
					if t.throttled(f.now) {
						throttledTasks++
					}
				}
			}
			for b.Loop() {
				f.scheduler.Tick(f.now, true)
				f.advance(5 * time.Millisecond)
			}
			b.ReportMetric(float64(pendingTasks), "waiting")
			b.ReportMetric(float64(throttledTasks), "slowed")
		})
	}
}
