package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

const target = 18 // milliseconds

// task returns a latency-critical task of the step that all tests share.
func task(index int) workflow.TaskID { return workflow.TaskID{Job: "a", Index: index} }

// at returns the reading of a task that has the given rate.
func at(index int, rate float64) LatencyReading {
	return LatencyReading{Task: task(index), Image: "web", Latency: target / rate, Target: target}
}

// Guards against throttling the wrong task: the model must distinguish an interfering
// from a non-interfering image although both run at the same time and the load of the
// latency-critical task varies.
func TestInterferingImageIsFound(t *testing.T) {
	var m Model
	random := rand.New(rand.NewPCG(1, 2))
	now := bootclock.Instant(0)
	for i := range 240 {
		now = now.Add(2 * time.Second) // long enough that the previous reading has no effect
		interfering, quiet := 4*random.Float64(), 8*random.Float64()
		variation := 0.5 * math.Sin(float64(i)/20*math.Pi)
		rate := (2.5 + variation - 0.3*interfering) * (1 + 0.05*random.NormFloat64())
		m.Observe(now, []LatencyReading{at(0, rate)}, []UsageReading{{Image: "press", Cores: interfering}, {Image: "quiet", Cores: quiet}})
	}
	if got := m.LossPerCore("web", "press"); got < 0.2 || got > 0.4 {
		t.Errorf("interfering image: got %.3f per core, want about 0.3", got)
	}
	if got := m.LossPerCore("web", "quiet"); got > 0.06 {
		t.Errorf("non-interfering image: got %.3f per core, want about 0", got)
	}
}

// A best-effort task always runs beside a latency-critical task whose load rises.
// Guards against attributing the rise to the best-effort image, which would then be
// throttled without effect: the siblings of the latency-critical task, which run alone
// on other workers, show that the load is the cause.
func TestSiblingsSeparateLoadFromInterference(t *testing.T) {
	var m Model
	now := bootclock.Instant(0)
	for i := range 20 {
		now = now.Add(2 * time.Second)
		rate := 3 - 0.08*float64(i)
		for sibling := 1; sibling < 4; sibling++ {
			m.Observe(now, []LatencyReading{at(sibling, rate)}, nil)
		}
		m.Observe(now, []LatencyReading{at(0, rate)}, []UsageReading{{Image: "quiet", Cores: 3}})
	}
	if got := m.LossPerCore("web", "quiet"); got > 0.03 {
		t.Errorf("image beside the rising load: got %.3f per core, want about 0", got)
	}
}

// Near saturation latency grows faster than linearly: the same two cores raise it far
// more for a busy task than for an idle one. Guards against an estimate that holds
// for only one of the two.
func TestOneEstimateHoldsForIdleAndBusyTasks(t *testing.T) {
	var m Model
	now := bootclock.Instant(0)
	for i := range 200 {
		now = now.Add(2 * time.Second)
		cores, base := float64(i%3), 3.0
		if i%2 == 0 {
			base = 1.8
		}
		s := at(0, base-0.5*cores)
		s.Task.Job = workflow.JobID([]string{"busy", "idle"}[i%2])
		m.Observe(now, []LatencyReading{s}, []UsageReading{{Image: "press", Cores: cores}})
	}
	if got := m.LossPerCore("web", "press"); got < 0.4 || got > 0.6 {
		t.Errorf("got %.3f per core, want about 0.5", got)
	}
}

// A reading follows the latency with a delay. Guards against attributing the remainder
// of an earlier peak to an image that starts while the reading still falls.
func TestPassedPeakIsNotAttributed(t *testing.T) {
	var m Model
	now := bootclock.Instant(0)
	delayed := target / 2.5
	read := func(rate float64, usage ...UsageReading) float64 {
		now = now.Add(500 * time.Millisecond)
		delayed += (target/rate - delayed) * (1 - math.Exp(-0.5/readingTimeConstant.Seconds()))
		return m.Observe(now, []LatencyReading{{Task: task(0), Image: "web", Latency: delayed, Target: target}}, usage)[0]
	}
	for range 20 {
		read(2.5)
	}
	read(0.3, UsageReading{Image: "press", Cores: 2})
	for i := range 4 {
		if got := read(2.5, UsageReading{Image: "quiet", Cores: 3}); got < 2 {
			t.Errorf("rate %d readings after the peak: got %.2f, want about 2.5", i+1, got)
		}
	}
	if got := m.LossPerCore("web", "quiet"); got > initialLossPerCore {
		t.Errorf("image that started after the peak: got %.3f per core, want at most %.3f", got, initialLossPerCore)
	}
}

// A reading still shows the interference of a best-effort task that has ended shortly
// before. Guards against attributing it to the tasks that continue, which would then be
// throttled.
func TestLossOfEndedTaskIsNotAttributedToOthers(t *testing.T) {
	var m Model
	now := bootclock.Instant(0)
	for i := range 60 {
		now = now.Add(2 * time.Second)
		busy := float64(i % 3)
		m.Observe(now, []LatencyReading{at(0, 2.5-0.6*busy)}, []UsageReading{{Image: "press", Cores: busy}, {Image: "quiet", Cores: float64(i % 2)}})
	}
	before := m.LossPerCore("web", "quiet")
	now = now.Add(2 * time.Second)
	rate := m.Observe(now, []LatencyReading{at(0, 1.9)}, []UsageReading{{Image: "press", Cores: 2, Ended: true}, {Image: "quiet", Cores: 2}})[0]
	if rate < 2.3 {
		t.Errorf("rate without the ended task: got %.2f, want about 2.5", rate)
	}
	if got := m.LossPerCore("web", "quiet"); got > before+0.02 {
		t.Errorf("image of the continuing task: got %.3f per core, want about %.3f", got, before)
	}
}

// Guards against tables that grow with each new task or step until the agent runs out
// of memory.
func TestTablesAreBounded(t *testing.T) {
	var m Model
	for i := range 3 * maxTasks {
		m.Observe(bootclock.Instant(i), []LatencyReading{{Task: workflow.TaskID{Job: "a", Index: i}, Image: "web", Latency: 5, Target: 18}}, nil)
	}
	if got := len(m.readings); got > maxTasks {
		t.Errorf("got %d tasks, want at most %d", got, maxTasks)
	}
	for i := range 3 * maxSteps {
		m.Observe(bootclock.Instant(i), []LatencyReading{{Task: workflow.TaskID{Job: "a", Step: i}, Image: "web", Latency: 5, Target: 18}}, nil)
	}
	if got := len(m.baseRates); got > maxSteps {
		t.Errorf("got %d steps, want at most %d", got, maxSteps)
	}
}
