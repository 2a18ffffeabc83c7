package agent

import (
	"cmp"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// phase is where a task stands between its launch and the acknowledgement of
// its end.
type phase int

const (
	waiting    phase = iota // launch accepted for decision: waits for room, lease or evidence
	starting                // a start call is out
	unresolved              // the start call has no answer; the task table decides
	standby                 // held by the worker, not running
	running
	ended // no longer on the processors; waits to be reported and forgotten
)

// occupies says in which phases a task counts as committed. An unanswered
// start counts, because the worker may run it.
var occupies = map[phase]bool{starting: true, unresolved: true, standby: true, running: true}

// intent is what the agent wants to become of a task.
type intent int

const (
	keep  intent = iota
	stop         // cancelled or released
	evict        // checkpoint, then stop
)

// task is the agent's row of one task. Its phase only moves forward.
type task struct {
	name    units.Task
	attempt units.Attempt
	spec    *wire.TaskSpec // never nil
	size    units.Resources
	phase   phase
	since   time.Time // of the last change of phase
	intent  intent
	reason  string // of the intent, later of the end

	busy    bool      // a call to the worker is out
	retryAt time.Time // no call before
	tries   int       // failed calls for the current intent

	mayEvict bool
	giveUp   time.Time       // when a waiting launch is refused
	startEnd workerapi.Clock // the start has no effect after this instant
	results  []chan<- *wire.LaunchResult

	activateAs    units.Attempt  // standby: attempt to run it as; 0 while it only stands by
	holder        units.WorkerID // standby: worker that runs the task
	holderEnd     units.Epoch    // standby: epoch of that worker
	holderAttempt units.Attempt  // standby: attempt that the holder runs
	mentioned     time.Time      // standby: last time an entry listed it

	outcome      wire.Outcome
	checkpoint   string
	ran          time.Duration
	peak         units.Resources
	usage        units.Resources
	usageAt      time.Time
	share        float64
	silent       bool // its end is not reported
	startFirst   bool // its start must be recorded before its end: nobody assigned the attempt
	noRow        bool // the worker has no row of it
	acknowledged bool // the report of its current outcome was acknowledged
	reportSince  time.Time
	launchedBy   string // name of the entry process that launched it last, empty when unknown
}

func (t *task) ref() *wire.TaskRef {
	return wire.NewTaskRef(t.name, t.attempt)
}

func (t *task) isBatch() bool { return t.spec.GetKind() != wire.TaskKind_TASK_KIND_WATCHER }

func (t *task) priority() units.Priority { return t.spec.GetPriority().Units() }

func (t *task) move(p phase, now time.Time) {
	t.phase, t.since, t.tries, t.retryAt = p, now, 0, time.Time{}
}

// reported is the outcome to report next. The end of an activated standby would
// be ignored as that of an unknown attempt until its start is recorded.
func (t *task) reported() wire.Outcome {
	if t.startFirst {
		return wire.Outcome_OUTCOME_STARTED
	}
	return t.outcome
}

// outcomeNow sets the outcome to report and starts its repetition anew.
func (t *task) outcomeNow(o wire.Outcome, now time.Time) {
	if t.outcome != o {
		t.outcome, t.acknowledged, t.reportSince = o, false, now
	}
}

// answer sends the result of the launch to everyone who asked.
func (t *task) answer(outcome wire.Outcome, reason string) {
	for _, c := range t.results {
		c <- &wire.LaunchResult{Task: t.ref(), Outcome: outcome, Reason: reason}
	}
	t.results = nil
}

// standbyMark starts the label of a row that was admitted as a standby, followed
// by the attempt it was admitted under. While the row still has that attempt it
// never ran, and its end says nothing about the attempt, which runs elsewhere.
const standbyMark = "standby/"

// label encodes the task for the worker's table, from which a restarted agent
// adopts it.
func label(t *task) string {
	data, err := proto.Marshal(t.spec)
	if err != nil {
		return ""
	}
	text := base64.RawStdEncoding.EncodeToString(data)
	if t.holder != "" {
		return fmt.Sprintf("%s%d:%s", standbyMark, t.attempt, text)
	}
	return text
}

// readLabel decodes a label. A row without a readable one keeps its size, so
// that it is still counted.
func readLabel(row workerapi.Task) (spec *wire.TaskSpec, neverRan, activated bool) {
	text := row.Label
	if rest, ok := strings.CutPrefix(text, standbyMark); ok {
		number, encoded, _ := strings.Cut(rest, ":")
		text, neverRan = encoded, number == strconv.FormatUint(uint64(row.Attempt), 10)
		activated = !neverRan
	}
	spec = &wire.TaskSpec{}
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err == nil {
		err = proto.Unmarshal(data, spec)
	}
	if err != nil || text == "" {
		spec = &wire.TaskSpec{Kind: wire.TaskKind_TASK_KIND_BATCH, Priority: wire.Priority_PRIORITY_LOW, JobKind: row.Kind}
	}
	return spec, neverRan, activated
}

// committed sums what the worker is committed to: tasks that may occupy it and
// the reservations of announced services.
func (a *Agent) committed() units.Resources {
	var sum units.Resources
	for _, t := range a.tasks {
		if occupies[t.phase] {
			sum = sum.Add(t.size)
		}
	}
	for _, r := range a.services {
		sum = sum.Add(r)
	}
	return sum
}

// drivers act on a task according to its phase.
var drivers map[phase]func(*Agent, *task, time.Time)

// The table refers to functions that drive other tasks, which Go does not allow
// in its initializer.
func init() {
	drivers = map[phase]func(*Agent, *task, time.Time){
		waiting: (*Agent).admit,
		standby: (*Agent).driveStandby,
		running: (*Agent).driveRunning,
		ended:   (*Agent).driveEnded,
	}
}

// driveAll drives every task, those of higher priority first, then the longest
// waiting.
func (a *Agent) driveAll(now time.Time) {
	if !a.adopted {
		return
	}
	ordered := slices.SortedFunc(maps.Values(a.tasks), func(x, y *task) int {
		return cmp.Or(cmp.Compare(y.priority(), x.priority()), x.since.Compare(y.since),
			cmp.Compare(x.name.Job, y.name.Job), cmp.Compare(x.name.Index, y.name.Index))
	})
	for _, t := range ordered {
		a.drive(t, now)
	}
}

func (a *Agent) drive(t *task, now time.Time) {
	if driver := drivers[t.phase]; driver != nil && !t.busy && !now.Before(t.retryAt) {
		driver(a, t, now)
	}
}

func (a *Agent) driveStandby(t *task, now time.Time) {
	switch {
	case t.intent != keep:
		a.callStop(t)
	case t.activateAs != 0:
		a.callActivate(t, now)
	}
}

func (a *Agent) driveRunning(t *task, _ time.Time) {
	switch {
	case t.intent == evict && t.tries < 3:
		a.callCheckpoint(t)
	case t.intent != keep:
		a.callStop(t)
	}
}

func (a *Agent) driveEnded(t *task, _ time.Time) {
	if !t.silent && !t.acknowledged {
		return
	}
	if t.noRow {
		delete(a.tasks, t.name)
		return
	}
	epoch := a.epoch
	a.call(t, func(ctx callContext) error { return a.Worker.Forget(ctx, epoch, t.name, t.attempt) }, func(err error) {
		if err != nil && !fault.Is(err, workerapi.NotFound) {
			a.retry(t)
			return
		}
		if a.tasks[t.name] == t {
			delete(a.tasks, t.name)
		}
	})
}
