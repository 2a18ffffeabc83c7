package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/workflow"
)

// guarded returns a controller with a serving task and tasks that fill.
func newProtectingController(latency int64, fills ...*run) *Controller {
	c := &Controller{info: &Info{}, runs: make(map[workflow.TaskID]*run)}
	c.runs[workflow.TaskID{Job: "serving"}] = &run{attempt: 1, latencyTarget: 18 * time.Millisecond, image: "web", load: latency}
	for i, r := range fills {
		r.bestEffort, r.attempt, r.processors = true, 1, 2000
		c.runs[workflow.TaskID{Job: "filling", Index: i}] = r
	}
	return c
}

func at(d time.Duration) bootclock.Instant { return bootclock.Instant(time.Hour + d) }

// A serving task that stays over its target must be left alone by everything
// that fills beside it, also by images that the model believes harmless.
func TestLastingExcessHaltsAllBestEffortTasks(t *testing.T) {
	harmless, unknown := &run{image: "quiet", load: 2000, pace: fullPace}, &run{image: "new", load: 2000, pace: fullPace}
	c := newProtectingController(19, harmless, unknown)
	serving := c.runs[workflow.TaskID{Job: "serving"}]
	serving.overTargetSince = at(0)
	c.paceChanges(at(haltAfter))
	if harmless.pace != 0 || unknown.pace != 0 {
		t.Errorf("paces after %v over the target: got %d and %d, want 0", haltAfter, harmless.pace, unknown.pace)
	}
	serving.load, serving.overTargetSince = 17, 0
	c.paceChanges(at(haltAfter + readingDelay + time.Second))
	if harmless.pace != 0 {
		t.Errorf("pace while latency is above the goal: got %d, want 0", harmless.pace)
	}
	serving.load = 6
	c.paceChanges(at(haltAfter + 3*time.Second))
	if harmless.pace == 0 {
		t.Errorf("pace after the latency has fallen: got 0, want more")
	}
}

// Without a serving task nothing is slowed down.
func TestFullPaceWithNothingToProtect(t *testing.T) {
	slowed := &run{image: "quiet", pace: 0}
	c := newProtectingController(0, slowed)
	delete(c.runs, workflow.TaskID{Job: "serving"})
	if calls := c.paceChanges(at(0)); len(calls) != 1 || slowed.pace != fullPace {
		t.Errorf("got %d calls and pace %d, want one call and %d", len(calls), slowed.pace, fullPace)
	}
}

// A queue that builds up raises the latency to many times its target, far beyond
// what the model predicts. Known harm must fall with each such reading, not only
// with the halt of everything, and harmless work goes on.
func TestKnownInterferenceIsReducedWhenQueueBuildsUp(t *testing.T) {
	harmful, harmless := &run{image: "press", load: 1400, pace: fullPace}, &run{image: "quiet", load: 1400, pace: fullPace}
	c := newProtectingController(400, harmful, harmless)
	c.SetEstimates([]interference.Estimate{
		{LatencyCriticalImage: "web", BestEffortImage: "press", LossPerCore: 0.5, Variance: 0.01}, {LatencyCriticalImage: "web", BestEffortImage: "quiet", LossPerCore: 0.002, Variance: 0.01},
	})
	c.runs[workflow.TaskID{Job: "serving"}].rate = 18.0 / 400
	c.observedAt = at(time.Hour) // the reading itself is not what is tested
	for i, want := range []int{50, 25} {
		now := at(time.Duration(i) * alarmDelay)
		c.paceChanges(now)
		harmful.load /= 2 // as the new pace shows
		if harmful.pace > want || harmless.pace != fullPace {
			t.Errorf("reading %d: got pace %d for the harmful and %d for the harmless task, want %d and %d", i, harmful.pace, harmless.pace, want, fullPace)
		}
	}
}
