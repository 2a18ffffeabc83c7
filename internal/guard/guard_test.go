package guard

import (
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// bench is a worker with one service and batch tasks that slow it in proportion
// to their share. Latency and usage show with a lag.
type simulation struct {
	now           time.Time
	tasks         []Task
	addedRatio    map[units.JobKind]float64 // added latency ratio at full share
	baseLatencyMs float64                   // latency without batch, in milliseconds
	lag           time.Duration
	history       []sample
	ignoreLag     bool // pretends that every sample is fresh

	secondsOverLimit, taskSeconds float64 // seconds over the limit, task seconds done
	actionCount                   int
	evicted                       []units.Task
}

type sample struct {
	at      time.Time
	latency time.Duration
	shares  map[units.Task]float64
}

const tick = 500 * time.Millisecond

func (b *simulation) latency() time.Duration {
	ratio := 1.0
	for _, t := range b.tasks {
		ratio += b.addedRatio[t.Kind] * t.Share
	}
	return time.Duration(b.baseLatencyMs * ratio * float64(time.Millisecond))
}

func (b *simulation) step(c *Controller) []Action {
	b.now = b.now.Add(tick)
	shares := make(map[units.Task]float64)
	for _, t := range b.tasks {
		shares[t.Task] = t.Share
		b.taskSeconds += t.Share * tick.Seconds()
	}
	b.history = append(b.history, sample{b.now, b.latency(), shares})
	b.history = b.history[max(0, len(b.history)-int(b.lag/tick)-1):]
	seen := b.history[0]
	for _, m := range b.history {
		if !m.at.After(b.now.Add(-b.lag)) {
			seen = m
		}
	}
	at := seen.at
	if b.ignoreLag {
		at = b.now
	}
	in := Inputs{Now: b.now, Enabled: true, LatencyRatio: 1.2, Services: []Service{{"desk", seen.latency, 50 * time.Millisecond, at}}}
	for _, t := range b.tasks {
		share, known := seen.shares[t.Task]
		if known {
			t.Usage, t.MeasuredAt = units.Millicores(2000*share), at
		}
		in.Tasks = append(in.Tasks, t)
	}
	if b.latency() > 25*time.Millisecond {
		b.secondsOverLimit += tick.Seconds()
	}
	actions := c.Tick(in)
	b.apply(actions)
	return actions
}

func (b *simulation) apply(actions []Action) {
	b.actionCount += len(actions)
	for _, a := range actions {
		for i := range b.tasks {
			if b.tasks[i].Task != a.Task {
				continue
			}
			if a.Kind == Evict {
				b.evicted = append(b.evicted, a.Task)
				b.tasks = append(b.tasks[:i:i], b.tasks[i+1:]...)
				break
			}
			b.tasks[i].Share = a.Share
		}
	}
}

func newSimulation(kinds ...units.JobKind) *simulation {
	b := &simulation{now: time.Unix(1000, 0), baseLatencyMs: 16, lag: 3 * time.Second, addedRatio: map[units.JobKind]float64{"mild": 0.02, "noisy": 0.5, "wild": 30}}
	for i, kind := range kinds {
		b.tasks = append(b.tasks, Task{Task: units.Task{Job: units.JobID(fmt.Sprintf("job%02d", i))}, Attempt: 1, Kind: kind, Priority: units.PriorityNormal, Share: 1})
	}
	return b
}

func (b *simulation) run(c *Controller, d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.step(c)
	}
}

// learnBaseline lets the controller see the service alone.
func learnBaseline(b *simulation, c *Controller) {
	tasks := b.tasks
	b.tasks = nil
	b.run(c, 20*time.Second)
	b.tasks, b.secondsOverLimit, b.taskSeconds, b.actionCount = tasks, 0, 0, 0
}

// Guards against a loop that reacts to samples older than its last action: it
// throttles far more than needed, or swings between throttling and restoring.
func TestActsOnNewMeasurementsOnly(t *testing.T) {
	results := map[bool]*simulation{}
	for _, blind := range []bool{false, true} {
		b, c := newSimulation("noisy", "noisy", "mild", "mild", "mild", "mild"), &Controller{}
		b.ignoreLag = blind
		learnBaseline(b, c)
		b.run(c, 5*time.Minute)
		t.Logf("blind=%t: %.1f s over the limit, %.0f task seconds, %d changes, %d evicted", blind, b.secondsOverLimit, b.taskSeconds, b.actionCount, len(b.evicted))
		results[blind] = b
	}
	informed, blind := results[false], results[true]
	if len(informed.evicted) != 0 || informed.secondsOverLimit > 60 {
		t.Errorf("got %d evictions, %.0f s over the limit, want none and at most 60 s", len(informed.evicted), informed.secondsOverLimit)
	}
	if informed.actionCount >= blind.actionCount {
		t.Errorf("got %d changes, want fewer than the %d of a loop that takes every sample as fresh", informed.actionCount, blind.actionCount)
	}
}

// Guards against throttling the wrong task first.
func TestThrottleOrder(t *testing.T) {
	b, c := newSimulation("noisy", "noisy", "noisy", "noisy"), &Controller{}
	b.tasks[0].Priority = units.PriorityUrgent
	b.tasks[1].Priority = units.PriorityHigh
	b.tasks[2].Priority = units.PriorityLow
	b.tasks[3].OverQuota = true
	b.addedRatio["noisy"] = 0.2
	learnBaseline(b, c)
	var order []units.JobID
	seen := map[units.Task]bool{}
	for range 200 {
		for _, a := range b.step(c) {
			if a.Kind == Throttle && !seen[a.Task] {
				seen[a.Task] = true
				order = append(order, a.Task.Job)
			}
		}
	}
	if got, want := fmt.Sprint(order), "[job03 job02 job01]"; got != want && got != "[job03 job02]" && got != "[job03]" {
		t.Errorf("got order %s, want a prefix of %s", got, want)
	}
	if b.tasks[0].Share != 1 {
		t.Errorf("urgent batch: got share %v, want 1", b.tasks[0].Share)
	}
}

// Guards against a task that ruins the service at any share and is never
// evicted, and against evicting more than it takes.
func TestEvictsWhenThrottlingIsExhausted(t *testing.T) {
	b, c := newSimulation("wild", "mild", "mild"), &Controller{}
	learnBaseline(b, c)
	wild := b.tasks[0]
	b.tasks = b.tasks[1:]
	b.run(c, time.Minute)
	b.tasks = append(b.tasks, wild)
	b.run(c, 2*time.Minute)
	if got, want := fmt.Sprint(b.evicted), "[job00/0]"; got != want {
		t.Errorf("evicted: got %s, want %s", got, want)
	}
	b.run(c, 5*time.Minute)
	for _, task := range b.tasks {
		if task.Share != 1 {
			t.Errorf("after recovery %s: got share %v, want 1", task.Task, task.Share)
		}
	}
}

// Guards against interference that is never learned, charged to the wrong kind,
// sent although unchanged, or kept for ever.
func TestInterferenceIsLearnedAndForgotten(t *testing.T) {
	b, c := newSimulation("noisy"), &Controller{}
	b.addedRatio["noisy"] = 0.4
	learnBaseline(b, c)
	b.run(c, 2*time.Minute)
	changed, version := c.Changed(0)
	if len(changed) != 1 || changed[0].Slowdown < 1.3 || changed[0].Slowdown > 1.5 {
		t.Fatalf("got %+v, want noisy near 1.4", changed)
	}
	if again, _ := c.Changed(version); len(again) != 0 {
		t.Errorf("unchanged: got %+v, want nothing", again)
	}
	b.tasks = nil
	b.run(c, 2*time.Hour)
	if got := c.pairs[pair{"noisy", "desk"}].currentRatio(b.now); got > 1.01 {
		t.Errorf("after two hours without the kind: got %.3f, want 1", got)
	}
	if changed, _ := c.Changed(version); len(changed) != 1 || changed[0].Slowdown > 1.2 {
		t.Errorf("forgotten pair: got %+v, want it sent again near 1", changed)
	}
}

// Guards against shares that stay low after the guards are switched off.
func TestReleasesWhenDisabled(t *testing.T) {
	c := &Controller{}
	now := time.Unix(1000, 0)
	task := Task{Task: units.Task{Job: "job"}, Attempt: 1, Priority: units.PriorityLow, Share: 0.1, MeasuredAt: now}
	got := c.Tick(Inputs{Now: now, Tasks: []Task{task}})
	if len(got) != 1 || got[0].Kind != Restore || got[0].Share != 1 {
		t.Errorf("got %+v, want one restore to share 1", got)
	}
}
