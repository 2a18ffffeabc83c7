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
	phasePending      phase = iota // launch accepted for decision: waits for room, lease or evidence
	phaseStarting                  // a start call is out
	phaseStartUnknown              // the start call has no answer; the task table decides
	phaseStandby                   // held by the worker, not running
	phaseRunning
	phaseEnded // no longer on the processors; waits to be reported and forgotten
)

// occupies says in which phases a task counts as committed. An unanswered
// start counts, because the worker may run it.
var committedPhases = map[phase]bool{phaseStarting: true, phaseStartUnknown: true, phaseStandby: true, phaseRunning: true}

// intent is what the agent wants to become of a task.
type intent int

const (
	intentKeep  intent = iota
	intentStop         // cancelled or released
	intentEvict        // checkpoint, then stop
)

// task is the agent's row of one task. Its phase only moves forward.
type task struct {
	name       units.Task
	attempt    units.Attempt
	spec       *wire.TaskSpec // never nil
	size       units.Resources
	phase      phase
	phaseSince time.Time // of the last change of phase
	intent     intent
	reason     string // of the intent, later of the end

	callInFlight bool      // a call to the worker is out
	retryAt      time.Time // no call before
	failedCalls  int       // failed calls for the current intent

	mayEvict        bool
	launchDeadline  time.Time       // when a waiting launch is refused
	startValidUntil workerapi.Clock // the start has no effect after this instant
	resultChannels  []chan<- *wire.LaunchResult

	activateAs    units.Attempt  // standby: attempt to run it as; 0 while it only stands by
	holder        units.WorkerID // standby: worker that runs the task
	holderEpoch   units.Epoch    // standby: epoch of that worker
	holderAttempt units.Attempt  // standby: attempt that the holder runs
	listedAt      time.Time      // standby: last time an entry listed it

	outcome            wire.Outcome
	checkpoint         string
	runTime            time.Duration
	peakUsage          units.Resources
	usage              units.Resources
	usageMeasuredAt    time.Time
	processorShare     float64
	suppressReport     bool // its end is not reported
	startUnrecorded    bool // its start must be recorded before its end: nobody assigned the attempt
	notOnWorker        bool // the worker has no row of it
	acknowledged       bool // the report of its current outcome was acknowledged
	reportPendingSince time.Time
	launchedBy         string // name of the entry process that launched it last, empty when unknown
}

func (t *task) ref() *wire.TaskRef {
	return wire.NewTaskRef(t.name, t.attempt)
}

func (t *task) isBatch() bool { return t.spec.GetKind() != wire.TaskKind_TASK_KIND_WATCHER }

func (t *task) priority() units.Priority { return t.spec.GetPriority().Units() }

func (t *task) setPhase(p phase, now time.Time) {
	t.phase, t.phaseSince, t.failedCalls, t.retryAt = p, now, 0, time.Time{}
}

// reported is the outcome to report next. The end of an activated standby would
// be ignored as that of an unknown attempt until its start is recorded.
func (t *task) outcomeToReport() wire.Outcome {
	if t.startUnrecorded {
		return wire.Outcome_OUTCOME_STARTED
	}
	return t.outcome
}

// outcomeNow sets the outcome to report and starts its repetition anew.
func (t *task) setOutcome(o wire.Outcome, now time.Time) {
	if t.outcome != o {
		t.outcome, t.acknowledged, t.reportPendingSince = o, false, now
	}
}

// answer sends the result of the launch to everyone who asked.
func (t *task) sendResult(outcome wire.Outcome, reason string) {
	for _, c := range t.resultChannels {
		c <- &wire.LaunchResult{Task: t.ref(), Outcome: outcome, Reason: reason}
	}
	t.resultChannels = nil
}

// standbyMark starts the label of a row that was admitted as a standby, followed
// by the attempt it was admitted under. While the row still has that attempt it
// never ran, and its end says nothing about the attempt, which runs elsewhere.
const standbyLabelPrefix = "standby/"

// label encodes the task for the worker's table, from which a restarted agent
// adopts it.
func encodeLabel(t *task) string {
	data, err := proto.Marshal(t.spec)
	if err != nil {
		return ""
	}
	text := base64.RawStdEncoding.EncodeToString(data)
	if t.holder != "" {
		return fmt.Sprintf("%s%d:%s", standbyLabelPrefix, t.attempt, text)
	}
	return text
}

// readLabel decodes a label. A row without a readable one keeps its size, so
// that it is still counted.
func decodeLabel(row workerapi.Task) (spec *wire.TaskSpec, neverRan, activated bool) {
	text := row.Label
	if rest, ok := strings.CutPrefix(text, standbyLabelPrefix); ok {
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
func (a *Agent) committedResources() units.Resources {
	var sum units.Resources
	for _, t := range a.tasks {
		if committedPhases[t.phase] {
			sum = sum.Add(t.size)
		}
	}
	for _, r := range a.reservations {
		sum = sum.Add(r)
	}
	return sum
}

// drivers act on a task according to its phase.
var phaseHandlers map[phase]func(*Agent, *task, time.Time)

// The table refers to functions that drive other tasks, which Go does not allow
// in its initializer.
func init() {
	phaseHandlers = map[phase]func(*Agent, *task, time.Time){
		phasePending: (*Agent).admit,
		phaseStandby: (*Agent).reconcileStandby,
		phaseRunning: (*Agent).reconcileRunning,
		phaseEnded:   (*Agent).reconcileEnded,
	}
}

// driveAll drives every task, those of higher priority first, then the longest
// waiting.
func (a *Agent) reconcileAll(now time.Time) {
	if !a.adopted {
		return
	}
	ordered := slices.SortedFunc(maps.Values(a.tasks), func(x, y *task) int {
		return cmp.Or(cmp.Compare(y.priority(), x.priority()), x.phaseSince.Compare(y.phaseSince),
			cmp.Compare(x.name.Job, y.name.Job), cmp.Compare(x.name.Index, y.name.Index))
	})
	for _, t := range ordered {
		a.reconcile(t, now)
	}
}

func (a *Agent) reconcile(t *task, now time.Time) {
	if driver := phaseHandlers[t.phase]; driver != nil && !t.callInFlight && !now.Before(t.retryAt) {
		driver(a, t, now)
	}
}

func (a *Agent) reconcileStandby(t *task, now time.Time) {
	switch {
	case t.intent != intentKeep:
		a.callStop(t)
	case t.activateAs != 0:
		a.callActivate(t, now)
	}
}

func (a *Agent) reconcileRunning(t *task, _ time.Time) {
	switch {
	case t.intent == intentEvict && t.failedCalls < 3:
		a.callCheckpoint(t)
	case t.intent != intentKeep:
		a.callStop(t)
	}
}

func (a *Agent) reconcileEnded(t *task, _ time.Time) {
	if !t.suppressReport && !t.acknowledged {
		return
	}
	if t.notOnWorker {
		delete(a.tasks, t.name)
		return
	}
	epoch := a.epoch
	a.callWorker(t, func(ctx callContext) error { return a.Worker.Forget(ctx, epoch, t.name, t.attempt) }, func(err error) {
		if err != nil && !fault.Is(err, workerapi.NotFound) {
			a.scheduleRetry(t)
			return
		}
		if a.tasks[t.name] == t {
			delete(a.tasks, t.name)
		}
	})
}
