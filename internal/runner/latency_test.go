package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/workflow"
)

// newProtectingController returns a controller with one latency-critical task, whose
// tail latency in milliseconds and target of 18 ms are given, and best-effort tasks.
func newProtectingController(latency int64, tasks ...*run) *Controller {
	c := &Controller{info: &Info{}, runs: make(map[workflow.TaskID]*run)}
	c.runs[workflow.TaskID{Job: "critical"}] = &run{attempt: 1, latencyTarget: 18 * time.Millisecond, image: "web", load: latency}
	for i, r := range tasks {
		r.bestEffort, r.attempt, r.processors = true, 1, 2000
		c.runs[workflow.TaskID{Job: "best-effort", Index: i}] = r
	}
	return c
}

func at(d time.Duration) bootclock.Instant { return bootclock.Instant(time.Hour + d) }

// Guards against best-effort tasks that continue beside a latency-critical task which
// stays over its target, because the model has a low estimate for their images.
func TestLastingExcessHaltsAllBestEffortTasks(t *testing.T) {
	quiet, unobserved := &run{image: "quiet", load: 2000, pace: fullPace}, &run{image: "new", load: 2000, pace: fullPace}
	c := newProtectingController(19, quiet, unobserved)
	critical := c.runs[workflow.TaskID{Job: "critical"}]
	critical.overTargetSince = at(0)
	c.paceChanges(at(haltAfter))
	if quiet.pace != 0 || unobserved.pace != 0 {
		t.Errorf("paces after %v over the target: got %d and %d, want 0", haltAfter, quiet.pace, unobserved.pace)
	}
	critical.load, critical.overTargetSince = 17, 0
	c.paceChanges(at(haltAfter + readingDelay + time.Second))
	if quiet.pace != 0 {
		t.Errorf("pace while latency is above the goal: got %d, want 0", quiet.pace)
	}
	critical.load = 6
	c.paceChanges(at(haltAfter + 3*time.Second))
	if quiet.pace == 0 {
		t.Errorf("pace after the latency has fallen: got 0, want more than 0")
	}
}

// Guards against a throttle that stays after the last latency-critical task has left.
func TestFullPaceWithNothingToProtect(t *testing.T) {
	slowed := &run{image: "quiet", pace: 0}
	c := newProtectingController(0, slowed)
	delete(c.runs, workflow.TaskID{Job: "critical"})
	if calls := c.paceChanges(at(0)); len(calls) != 1 || slowed.pace != fullPace {
		t.Errorf("got %d calls and pace %d, want one call and %d", len(calls), slowed.pace, fullPace)
	}
}

// A growing queue raises the latency to many times its target, far beyond what the
// model predicts. Guards against a controller that then waits for the halt of all
// best-effort tasks: each reading must lower the pace of the interfering image, and the
// other one must continue at full pace.
func TestKnownInterferenceIsReducedWhenQueueBuildsUp(t *testing.T) {
	interfering, quiet := &run{image: "press", load: 1400, pace: fullPace}, &run{image: "quiet", load: 1400, pace: fullPace}
	c := newProtectingController(400, interfering, quiet)
	c.SetEstimates([]interference.Estimate{
		{LatencyCriticalImage: "web", BestEffortImage: "press", LossPerCore: 0.5, Variance: 0.01}, {LatencyCriticalImage: "web", BestEffortImage: "quiet", LossPerCore: 0.002, Variance: 0.01},
	})
	c.runs[workflow.TaskID{Job: "critical"}].rate = 18.0 / 400
	c.observedAt = at(time.Hour) // the next model update is after the test, so the estimates stay as set
	for i, want := range []int{50, 25} {
		now := at(time.Duration(i) * alarmDelay)
		c.paceChanges(now)
		interfering.load /= 2 // the load follows the new pace
		if interfering.pace > want || quiet.pace != fullPace {
			t.Errorf("reading %d: got pace %d for the interfering and %d for the other task, want %d and %d", i, interfering.pace, quiet.pace, want, fullPace)
		}
	}
}
