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

// phase is the phase of a task between its launch and the acknowledgement of its
// end.
type phase int

const (
	phasePending      phase = iota // launch received; waits for free resources, a lease or a fresh configuration
	phaseStarting                  // a start call is in flight
	phaseStartUnknown              // the start call failed without a definite result; the task table shows it
	phaseStandby                   // admitted by the worker but not running
	phaseRunning
	phaseEnded // no longer running; its end is being reported
)

// committedPhases are the phases in which the resources of a task are committed.
// They include a start whose result is unknown, because the worker may run the task.
var committedPhases = map[phase]bool{phaseStarting: true, phaseStartUnknown: true, phaseStandby: true, phaseRunning: true}

// intent is what the agent intends to do with a task.
type intent int

const (
	intentKeep  intent = iota
	intentStop         // cancelled or released
	intentEvict        // checkpoint, then stop
)

// task is the agent's state of one task. Its phase never goes back.
type task struct {
	name       units.Task
	attempt    units.Attempt
	spec       *wire.TaskSpec // never nil
	size       units.Resources
	phase      phase
	phaseSince time.Time // time of the last change of phase
	intent     intent
	reason     string // reason of the intent, then of the end

	callInFlight bool      // a call to the worker is in flight
	retryAt      time.Time // no call to the worker before
	failedCalls  int       // failed calls for the current intent

	mayEvict        bool
	launchDeadline  time.Time       // a pending launch is rejected then
	startValidUntil workerapi.Clock // the start has no effect after this reading of the worker's clock
	resultChannels  []chan<- *wire.LaunchResult

	activateAs    units.Attempt  // standby: attempt to activate it as; 0 for none
	holder        units.WorkerID // standby: worker that runs the task
	holderEpoch   units.Epoch    // standby: epoch of that worker
	holderAttempt units.Attempt  // standby: attempt that the holder runs
	listedAt      time.Time      // standby: time of the last reply that listed it

	outcome            wire.Outcome
	checkpoint         string
	runTime            time.Duration
	peakUsage          units.Resources
	usage              units.Resources
	usageMeasuredAt    time.Time
	processorShare     float64
	suppressReport     bool // the end of the task is not reported
	startUnrecorded    bool // the agent assigned the attempt itself, so its start must be recorded before its end
	notOnWorker        bool // the worker's table has no row of the task
	acknowledged       bool // the report of the current outcome was acknowledged
	reportPendingSince time.Time
	launchedBy         string // name of the entry process that launched it last; empty if unknown
}

func (t *task) ref() *wire.TaskRef {
	return wire.NewTaskRef(t.name, t.attempt)
}

func (t *task) isBatch() bool { return t.spec.GetKind() != wire.TaskKind_TASK_KIND_WATCHER }

func (t *task) priority() units.Priority { return t.spec.GetPriority().Units() }

// setPhase moves the task to phase p and resets its retries.
func (t *task) setPhase(p phase, now time.Time) {
	t.phase, t.phaseSince, t.failedCalls, t.retryAt = p, now, 0, time.Time{}
}

// outcomeToReport returns the outcome to report next. Until the start of an
// activated standby is recorded, its end would be ignored as that of an unknown
// attempt.
func (t *task) outcomeToReport() wire.Outcome {
	if t.startUnrecorded {
		return wire.Outcome_OUTCOME_STARTED
	}
	return t.outcome
}

// setOutcome sets the outcome to report. A new outcome is not acknowledged yet.
func (t *task) setOutcome(o wire.Outcome, now time.Time) {
	if t.outcome != o {
		t.outcome, t.acknowledged, t.reportPendingSince = o, false, now
	}
}

// sendResult sends the result of the launch to every call that waits for it.
func (t *task) sendResult(outcome wire.Outcome, reason string) {
	for _, c := range t.resultChannels {
		c <- &wire.LaunchResult{Task: t.ref(), Outcome: outcome, Reason: reason}
	}
	t.resultChannels = nil
}

// standbyLabelPrefix begins the label of a row that was admitted as a standby. The
// attempt that it was admitted under follows. While the row still has that
// attempt, the standby has never run, and its end says nothing about the outcome
// of the attempt, which runs on the holder.
const standbyLabelPrefix = "standby/"

// encodeLabel returns the label of the task in the worker's table. A restarted
// agent adopts the task from it.
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

// decodeLabel decodes the label of a row. A row whose label is unreadable is taken
// for a batch task of low priority, so that its size still counts as committed.
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

// committedResources returns the resources of tasks that may be on the worker
// plus the reservations of the endpoints of services.
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

// phaseHandlers contains the function that acts on a task in each phase.
var phaseHandlers map[phase]func(*Agent, *task, time.Time)

// The handlers reconcile other tasks and so refer to phaseHandlers themselves,
// which Go does not allow in its initializer.
func init() {
	phaseHandlers = map[phase]func(*Agent, *task, time.Time){
		phasePending: (*Agent).admit,
		phaseStandby: (*Agent).reconcileStandby,
		phaseRunning: (*Agent).reconcileRunning,
		phaseEnded:   (*Agent).reconcileEnded,
	}
}

// reconcileAll reconciles every task, those of higher priority first and among
// them those that have been in their phase longest.
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

// reconcile acts on the task according to its phase, unless a call for it is in
// flight or its retry is not due.
func (a *Agent) reconcile(t *task, now time.Time) {
	if handler := phaseHandlers[t.phase]; handler != nil && !t.callInFlight && !now.Before(t.retryAt) {
		handler(a, t, now)
	}
}

// reconcileStandby stops or activates a standby as intended.
func (a *Agent) reconcileStandby(t *task, now time.Time) {
	switch {
	case t.intent != intentKeep:
		a.callStop(t)
	case t.activateAs != 0:
		a.callActivate(t, now)
	}
}

// reconcileRunning evicts or stops a running task as intended. After three failed
// checkpoints it stops the task without one.
func (a *Agent) reconcileRunning(t *task, _ time.Time) {
	switch {
	case t.intent == intentEvict && t.failedCalls < 3:
		a.callCheckpoint(t)
	case t.intent != intentKeep:
		a.callStop(t)
	}
}

// reconcileEnded removes an ended task, also from the worker's table, once its end
// has been acknowledged or need not be reported.
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
