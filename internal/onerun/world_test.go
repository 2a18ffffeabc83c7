package onerun

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// faults says what goes wrong, and how often.
type faults struct {
	machines    int
	lateCall    float64       // share of the calls that a runner carries out 2 to 12 s late
	lostCall    float64       // share of these that are never carried out
	lostReply   float64       // share of the replies of a runner that get lost
	slowReply   float64       // share of the replies that are overtaken
	noRoom      float64       // share of the starts that are rejected
	endsPerList int           // ended runs in a list
	runnerEvery time.Duration // between crashes of a runner; 0 for none
	sameID      float64       // share of the crashes after which the runner keeps its id
	earlierID   float64       // share of the other crashes after which the runner has the id of the one before that
	beside      float64       // share of the restarts in which the next runner answers while the one before goes on
	agentEvery  time.Duration // between kills of an agent
	overlap     float64       // share of the kills before which the next process begins
	freezeEvery time.Duration // between freezes of an agent
	cutEvery    time.Duration // between cuts between an agent and the leader
	leaderEvery time.Duration // between changes of the leader
	stallEvery  time.Duration // between stalls of the leader's rules
	lateBeat    float64       // share of the heartbeats that are up to 8 s late
	foreignBeat float64       // share of the heartbeats that also reach another machine's agent
	slowMessage float64       // share of the messages on sessions that take up to 3 s
	deafEvery   time.Duration // between times in which a runner carries most calls out late
	stormEvery  time.Duration // between storms, as machine.storm has them
	outages     float64       // share of the writes that take up to 8 s
}

// runID names a run.
type runID struct {
	task    workflow.TaskID
	attempt workflow.Attempt
}

// dice is a source of random numbers for concurrent use.
type dice struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (d *dice) chance(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Float64() < p
}

// between returns a random duration.
func (d *dice) between(low, high time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return low + time.Duration(d.r.Int64N(int64(high-low)+1))
}

// world is the platform: the machines with their runners, and what their runners have seen.
type world struct {
	faults faults
	rand   *dice

	mu         sync.Mutex
	machines   []*machine
	active     map[workflow.TaskID][]*activeRun
	notedDone  map[workflow.TaskID]time.Time // when a recorded end of work was acknowledged
	began      map[workflow.TaskID]time.Time // when its last run began
	done       map[runID]time.Time           // when the run has ended so
	violations []string
	started    int // runs
	ignored    int // by a call to an earlier process of a runner (docs/incidents/barafu-ops-grown-twice.md, What remains)
	over       bool
}

var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // a bubble's clock begins here

func stamp(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(epoch).Seconds()) }

// work returns how long a task works; tasks of jobs whose id begins with f last.
func (w *world) work(task workflow.TaskID) time.Duration {
	if task.Job[0] == 'f' {
		return 0
	}
	return time.Duration(200+(task.Index*7919+len(task.Job)*13+int(task.Job[15])*331)%6000) * time.Millisecond
}

// begin records the begin of a run and checks that no other run of its task goes on. The
// caller holds w.mu, as for all that a life does.
func (w *world) begin(r *activeRun) {
	w.started++
	w.expire()
	if others := w.active[r.task]; len(others) > 0 {
		w.note(r.stray || others[0].stray, "two runs at the same time: %v while %v", r, others)
	} else if at, ok := w.notedDone[r.task]; ok {
		w.note(r.stray, "%v after its end was taken note of at %s", r, stamp(at))
	}
	w.active[r.task] = append(w.active[r.task], r)
	if !r.stray {
		w.began[r.task] = time.Now()
	}
}

// expire ends the runs of all runners whose lease or work is over.
func (w *world) expire() {
	for _, m := range w.machines {
		for _, l := range []*life{m.life, m.past} {
			if l != nil && !l.over {
				l.expire()
			}
		}
	}
}

// note records a broken rule.
func (w *world) note(ignore bool, format string, args ...any) {
	if ignore {
		w.ignored++
		return
	}
	w.violations = append(w.violations, stamp(time.Now())+": "+fmt.Sprintf(format, args...))
	klog.InfoS("WORLD rule broken", "what", w.violations[len(w.violations)-1])
}

// learned records that the leader has got a report with the runs that a listing has shown.
func (w *world) learned(m *machine, in *wire.WorkerReport) {
	if in.GetRunner() == nil || in.GetRunner().GetSilent() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, row := range in.GetRunning() {
		id, err := workflow.ParseTaskID(row.GetTask())
		if err != nil {
			continue
		}
		for _, r := range w.active[id] {
			if r.on.machine == m.name && int64(r.attempt) == row.GetAttempt() && r.on.StartedUnixMs == in.GetRunner().GetBornUnixMs() {
				r.stray = false
			}
		}
	}
}

func (w *world) finish(r *activeRun) {
	left := w.active[r.task][:0]
	for _, other := range w.active[r.task] {
		if other != r {
			left = append(left, other)
		}
	}
	w.active[r.task] = left
}

// noteEnd records that the system has taken note of an end on l, by a poll that was sent to the
// process of the given birth.
func (w *world) noteEnd(l *life, e runner.EndedRun, sentTo int64) {
	if e.End != workflow.Done {
		return
	}
	at, ok := w.done[runID{e.Task, e.Attempt}]
	if !ok || !l.lapsed.Before(at) {
		return
	}
	if sentTo != l.StartedUnixMs {
		w.ignored++ // nobody may have seen the end; the pages name no way to prevent it
		return
	}
	if began := w.began[e.Task]; began.After(at) {
		w.note(false, "%v/%d was done at %s and began again at %s", e.Task, e.Attempt, stamp(at), stamp(began))
	}
	if _, ok := w.notedDone[e.Task]; !ok {
		w.notedDone[e.Task] = time.Now()
	}
}

// step lets the time pass for the runners until the world is over.
func (w *world) step() {
	for {
		time.Sleep(worldStep)
		w.mu.Lock()
		w.expire()
		over := w.over
		w.mu.Unlock()
		if over {
			return
		}
	}
}

func (w *world) isOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

// every calls do at random times that are about the interval apart.
func (w *world) every(interval time.Duration, do func()) {
	if interval == 0 {
		return
	}
	for {
		time.Sleep(w.rand.between(interval/4, interval*7/4))
		if w.isOver() {
			return
		}
		do()
	}
}
