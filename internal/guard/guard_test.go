package guard

import (
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// simulation simulates a worker with one service and batch tasks that slow it down in
// proportion to their shares. Measurements of latency and usage are delayed by lag.
type simulation struct {
	now           time.Time
	tasks         []Task
	addedRatio    map[units.JobKind]float64 // latency ratio added at full share
	baseLatencyMs float64                   // latency without batch tasks
	lag           time.Duration
	history       []sample
	ignoreLag     bool // marks delayed measurements as current

	secondsOverLimit, taskSeconds float64 // time over the limit; integral of the tasks' shares over time
	actionCount                   int
	evicted                       []units.Task
}

// sample is the state of the worker after a tick.
type sample struct {
	at      time.Time
	latency time.Duration
	shares  map[units.Task]float64
}

const tick = 500 * time.Millisecond

func (s *simulation) latency() time.Duration {
	ratio := 1.0
	for _, t := range s.tasks {
		ratio += s.addedRatio[t.Kind] * t.Share
	}
	return time.Duration(s.baseLatencyMs * ratio * float64(time.Millisecond))
}

func (s *simulation) step(c *Controller) []Action {
	s.now = s.now.Add(tick)
	shares := make(map[units.Task]float64)
	for _, t := range s.tasks {
		shares[t.Task] = t.Share
		s.taskSeconds += t.Share * tick.Seconds()
	}
	s.history = append(s.history, sample{s.now, s.latency(), shares})
	s.history = s.history[max(0, len(s.history)-int(s.lag/tick)-1):]
	visible := s.history[0]
	for _, m := range s.history {
		if !m.at.After(s.now.Add(-s.lag)) {
			visible = m
		}
	}
	at := visible.at
	if s.ignoreLag {
		at = s.now
	}
	in := Inputs{Now: s.now, Enabled: true, LatencyRatio: 1.2, Services: []Service{{"web", visible.latency, 50 * time.Millisecond, at}}}
	for _, t := range s.tasks {
		share, ok := visible.shares[t.Task]
		if ok {
			t.Usage, t.MeasuredAt = units.Millicores(2000*share), at
		}
		in.Tasks = append(in.Tasks, t)
	}
	if s.latency() > 25*time.Millisecond {
		s.secondsOverLimit += tick.Seconds()
	}
	actions := c.Tick(in)
	s.apply(actions)
	return actions
}

func (s *simulation) apply(actions []Action) {
	s.actionCount += len(actions)
	for _, a := range actions {
		for i := range s.tasks {
			if s.tasks[i].Task != a.Task {
				continue
			}
			if a.Kind == Evict {
				s.evicted = append(s.evicted, a.Task)
				s.tasks = append(s.tasks[:i:i], s.tasks[i+1:]...)
				break
			}
			s.tasks[i].Share = a.Share
		}
	}
}

func newSimulation(kinds ...units.JobKind) *simulation {
	s := &simulation{now: time.Unix(1000, 0), baseLatencyMs: 16, lag: 3 * time.Second, addedRatio: map[units.JobKind]float64{"mild": 0.02, "noisy": 0.5, "wild": 30}}
	for i, kind := range kinds {
		s.tasks = append(s.tasks, Task{Task: units.Task{Job: units.JobID(fmt.Sprintf("job%02d", i))}, Attempt: 1, Kind: kind, Priority: units.PriorityNormal, Share: 1})
	}
	return s
}

func (s *simulation) run(c *Controller, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step(c)
	}
}

// learnBaseline runs the service without batch tasks, and then resets the counters.
func learnBaseline(s *simulation, c *Controller) {
	tasks := s.tasks
	s.tasks = nil
	s.run(c, 20*time.Second)
	s.tasks, s.secondsOverLimit, s.taskSeconds, s.actionCount = tasks, 0, 0, 0
}

// Guards against a loop that reacts to measurements older than its last action: it
// would throttle far more than needed, or oscillate between throttling and restoring.
func TestActsOnNewMeasurementsOnly(t *testing.T) {
	results := map[bool]*simulation{}
	for _, ignoreLag := range []bool{false, true} {
		s, c := newSimulation("noisy", "noisy", "mild", "mild", "mild", "mild"), &Controller{}
		s.ignoreLag = ignoreLag
		learnBaseline(s, c)
		s.run(c, 5*time.Minute)
		t.Logf("ignoreLag=%t: %.1f s over the limit, %.0f task seconds, %d actions, %d evicted", ignoreLag, s.secondsOverLimit, s.taskSeconds, s.actionCount, len(s.evicted))
		results[ignoreLag] = s
	}
	respecting, ignoring := results[false], results[true]
	if len(respecting.evicted) != 0 || respecting.secondsOverLimit > 60 {
		t.Errorf("got %d evictions, %.0f s over the limit, want none and at most 60 s", len(respecting.evicted), respecting.secondsOverLimit)
	}
	if respecting.actionCount >= ignoring.actionCount {
		t.Errorf("got %d actions, want fewer than the %d of a loop that treats delayed measurements as current", respecting.actionCount, ignoring.actionCount)
	}
}

// Guards against throttling tasks in the wrong order, or urgent tasks at all.
func TestThrottleOrder(t *testing.T) {
	s, c := newSimulation("noisy", "noisy", "noisy", "noisy"), &Controller{}
	s.tasks[0].Priority = units.PriorityUrgent
	s.tasks[1].Priority = units.PriorityHigh
	s.tasks[2].Priority = units.PriorityLow
	s.tasks[3].OverQuota = true
	s.addedRatio["noisy"] = 0.2
	learnBaseline(s, c)
	var order []units.JobID
	seen := map[units.Task]bool{}
	for range 200 {
		for _, a := range s.step(c) {
			if a.Kind == Throttle && !seen[a.Task] {
				seen[a.Task] = true
				order = append(order, a.Task.Job)
			}
		}
	}
	if got, want := fmt.Sprint(order), "[job03 job02 job01]"; got != want && got != "[job03 job02]" && got != "[job03]" {
		t.Errorf("got order %s, want a prefix of %s", got, want)
	}
	if s.tasks[0].Share != 1 {
		t.Errorf("urgent batch: got share %v, want 1", s.tasks[0].Share)
	}
}

// Guards against never evicting a task that slows the service too much at any share,
// against evicting more tasks than necessary, and against shares that are not
// restored afterwards.
func TestEvictsWhenThrottlingIsExhausted(t *testing.T) {
	s, c := newSimulation("wild", "mild", "mild"), &Controller{}
	learnBaseline(s, c)
	wild := s.tasks[0]
	s.tasks = s.tasks[1:]
	s.run(c, time.Minute)
	s.tasks = append(s.tasks, wild)
	s.run(c, 2*time.Minute)
	if got, want := fmt.Sprint(s.evicted), "[job00/0]"; got != want {
		t.Errorf("evicted: got %s, want %s", got, want)
	}
	s.run(c, 5*time.Minute)
	for _, task := range s.tasks {
		if task.Share != 1 {
			t.Errorf("after recovery %s: got share %v, want 1", task.Task, task.Share)
		}
	}
}

// Guards against interference that is never learned, attributed to the wrong kind, sent
// although it has not changed, or kept forever.
func TestInterferenceIsLearnedAndForgotten(t *testing.T) {
	s, c := newSimulation("noisy"), &Controller{}
	s.addedRatio["noisy"] = 0.4
	learnBaseline(s, c)
	s.run(c, 2*time.Minute)
	changed, version := c.Changed(0)
	if len(changed) != 1 || changed[0].Slowdown < 1.3 || changed[0].Slowdown > 1.5 {
		t.Fatalf("got %+v, want noisy near 1.4", changed)
	}
	if again, _ := c.Changed(version); len(again) != 0 {
		t.Errorf("unchanged: got %+v, want nothing", again)
	}
	s.tasks = nil
	s.run(c, 2*time.Hour)
	if got := c.pairs[pair{"noisy", "web"}].currentRatio(s.now); got > 1.01 {
		t.Errorf("after two hours without the kind: got %.3f, want about 1", got)
	}
	if changed, _ := c.Changed(version); len(changed) != 1 || changed[0].Slowdown > 1.2 {
		t.Errorf("decayed pair: got %+v, want it sent again near 1", changed)
	}
}

// Guards against shares that stay low after the guards are disabled.
func TestRestoresAllSharesWhenDisabled(t *testing.T) {
	c := &Controller{}
	now := time.Unix(1000, 0)
	task := Task{Task: units.Task{Job: "job"}, Attempt: 1, Priority: units.PriorityLow, Share: 0.1, MeasuredAt: now}
	got := c.Tick(Inputs{Now: now, Tasks: []Task{task}})
	if len(got) != 1 || got[0].Kind != Restore || got[0].Share != 1 {
		t.Errorf("got %+v, want one restore to share 1", got)
	}
}
