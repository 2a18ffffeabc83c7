package agent

import (
	"context"
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// maxClockDrift bounds the relative drift of two monotonic clocks: 200 parts per
// million is twice the tolerance of common quartz oscillators.
const maxClockDrift = 200e-6

// workerState is the state of the control loop's calls to the worker.
type workerState struct {
	origin           time.Time
	clockOffset      workerapi.Clock // lower bound of the worker's clock minus the time since origin
	clockOffsetAt    time.Time       // zero before the first reading
	epochConfirmedAt time.Time       // send time of the last table read that showed this epoch

	pollInFlight  bool
	pollSoon      bool
	polledAt      time.Time
	renewInFlight bool
	renewSoon     bool
	renewedAt     time.Time
	renewedUntil  time.Time // lease deadline of the last successful renewal
}

// observeClock updates the clock offset from a reading of the worker's clock. The
// clock was read before the reading was received, so their difference is a lower
// bound of the true offset. The highest bound is the tightest.
func (w *workerState) observeClock(clock workerapi.Clock, received time.Time) {
	bound := clock - workerapi.Clock(received.Sub(w.origin))
	if !w.clockOffsetAt.IsZero() {
		agedBound := w.clockOffset - workerapi.Clock(float64(received.Sub(w.clockOffsetAt))*maxClockDrift)
		bound = max(bound, agedBound)
	}
	w.clockOffset, w.clockOffsetAt = bound, received
}

// workerClockAt converts a time to the worker's clock. The result is never later
// than the true reading.
func (w *workerState) workerClockAt(t time.Time) workerapi.Clock {
	return w.clockOffset + workerapi.Clock(t.Sub(w.origin))
}

// clockReset reports whether a reading taken after the given time is lower than
// the worker's clock can have been. It then comes from a new instance.
func (w *workerState) clockReset(clock workerapi.Clock, sent time.Time) bool {
	return clock < w.workerClockAt(sent)-workerapi.Clock(time.Second)
}

// handleFencedCall is called when the worker has rejected a command as fenced. The
// next table read shows whether another agent holds the worker or the worker is a
// new instance. Until then this agent grants no lease.
func (a *Agent) handleFencedCall() {
	a.worker.epochConfirmedAt = time.Time{}
	a.worker.pollSoon = true
}

// acquireWorker acquires the next epoch, reads the task table and adopts its rows.
// If resume is false, the former epoch is recorded as expired: its tasks may have
// been assigned to other workers, so those that still run are stopped.
func (a *Agent) acquireWorker(resume bool) {
	a.adopted = false
	a.epoch = 0
	for _, t := range a.tasks {
		if t.phase == phasePending { // the worker may have run a task in any other phase
			t.sendResult(wire.Outcome_OUTCOME_REFUSED, "the agent takes a new epoch")
		}
	}
	a.tasks = make(map[units.Task]*task)
	a.worker = workerState{origin: a.startedAt}
	a.lease.closeSession()
	a.lease = leaseState{}
	a.lessees = make(map[units.WorkerID]*lessee)
	a.spawn(func() {
		for {
			holder, table, received, err := a.holdWorker()
			if err == nil {
				a.post(func() { a.adoptTable(holder, table, received, resume) })
				return
			}
			if !pause.For(a.ctx, retryInterval) {
				return
			}
		}
	})
}

// holdWorker acquires the next epoch and reads the task table under it.
func (a *Agent) holdWorker() (workerapi.Holder, workerapi.Table, time.Time, error) {
	ctx, cancel := context.WithTimeout(a.ctx, workerCallTimeout)
	defer cancel()
	holder, err := a.Worker.Hold(ctx, a.ProcessName)
	if err != nil {
		return holder, workerapi.Table{}, time.Time{}, err
	}
	table, err := a.Worker.Tasks(ctx)
	received := time.Now()
	if err == nil && table.Epoch != holder.Epoch {
		err = fault.New("hold", Fenced, "epoch %d was replaced by epoch %d", holder.Epoch, table.Epoch)
	}
	return holder, table, received, err
}

// adoptTable begins the epoch with the tasks of the worker's table.
func (a *Agent) adoptTable(holder workerapi.Holder, table workerapi.Table, received time.Time, resume bool) {
	a.epoch, a.capacity = holder.Epoch, holder.Capacity
	a.decisions.reset()
	a.lease.epochAcquiredAt = received
	a.worker.observeClock(table.Clock, received)
	for _, row := range table.Tasks {
		t := a.adoptRow(row, received)
		if !resume && committedPhases[t.phase] {
			t.intent, t.reason, t.suppressReport = intentStop, "the epoch expired", true
		}
	}
	a.adopted = true
	for _, e := range a.entries {
		e.wantRunning, e.hasDescription = true, false
	}
	a.worker.pollSoon = true
	a.event("workerHeld", string(a.WorkerID), fmt.Sprintf("epoch %d, %d tasks adopted", a.epoch, len(a.tasks)))
}

// unknownHolder is the holder of an adopted standby until an entry process lists
// the standby.
const unknownHolder units.WorkerID = "unknown"

// adoptRow creates the agent's task for a row of the worker's table that it does
// not track yet.
func (a *Agent) adoptRow(row workerapi.Task, now time.Time) *task {
	spec, neverRan, activated := decodeLabel(row)
	t := &task{name: row.Task, attempt: row.Attempt, spec: spec, size: row.Size, processorShare: row.Throttle, phaseSince: now, reportPendingSince: now, startUnrecorded: activated}
	if neverRan {
		t.holder, t.listedAt = unknownHolder, now
	}
	a.tasks[row.Task] = t
	switch row.State {
	case workerapi.Running:
		t.phase = phaseRunning
		t.setOutcome(wire.Outcome_OUTCOME_STARTED, now)
	case workerapi.Standby:
		t.phase, t.holder, t.listedAt = phaseStandby, unknownHolder, now
	default:
		a.recordEnd(t, row, now)
	}
	return t
}

// outcomes maps the final state of a task on the worker to the reported outcome.
var outcomes = map[workerapi.TaskState]wire.Outcome{
	workerapi.Completed:    wire.Outcome_OUTCOME_COMPLETED,
	workerapi.Failed:       wire.Outcome_OUTCOME_FAILED,
	workerapi.Stopped:      wire.Outcome_OUTCOME_STOPPED,
	workerapi.Checkpointed: wire.Outcome_OUTCOME_EVICTED,
	workerapi.Expired:      wire.Outcome_OUTCOME_EXPIRED,
}

// recordEnd records the end of a task that the worker's table shows.
func (a *Agent) recordEnd(t *task, row workerapi.Task, now time.Time) {
	if t.phase == phaseStarting || t.phase == phaseStartUnknown {
		t.sendResult(wire.Outcome_OUTCOME_STARTED, "")
	}
	if t.holder != "" {
		a.recordStandbyEnd(t, now)
		return
	}
	t.setPhase(phaseEnded, now)
	outcome := outcomes[row.State]
	if outcome == wire.Outcome_OUTCOME_STOPPED && t.intent == intentEvict {
		outcome = wire.Outcome_OUTCOME_EVICTED
	}
	if row.Reason != "" {
		t.reason = row.Reason
	}
	t.checkpoint, t.runTime, t.peakUsage = row.Checkpoint, row.Ran, maxResources(t.peakUsage, row.Usage)
	t.setOutcome(outcome, now)
	a.decisions.record(t.name, t.attempt, wire.Outcome_OUTCOME_STARTED, "")
	a.failures.record(t.name.Job, outcome, now)
	a.requestHeartbeatAfterEnd(t, now)
	a.event("taskEnded", t.name.String(), outcome.String())
}

// recordStandbyEnd records the end of a standby that never ran. The outcome of its
// attempt is reported by the holder. A requested activation is rejected.
func (a *Agent) recordStandbyEnd(t *task, now time.Time) {
	if t.activateAs != 0 {
		reason := "the standby ended before it was activated"
		a.decisions.record(t.name, t.activateAs, wire.Outcome_OUTCOME_REFUSED, reason)
		for _, c := range t.resultChannels {
			c <- &wire.LaunchResult{Task: wire.NewTaskRef(t.name, t.activateAs), Outcome: wire.Outcome_OUTCOME_REFUSED, Reason: reason}
		}
		t.resultChannels, t.activateAs = nil, 0
	}
	t.suppressReport = true
	t.setPhase(phaseEnded, now)
}

// maxResources returns the maximum of each resource.
func maxResources(a, b units.Resources) units.Resources {
	return units.Resources{Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// tickWorker reads the task table and renews the task leases when they are due.
func (a *Agent) tickWorker(now time.Time) {
	if !a.adopted {
		return
	}
	w := &a.worker
	if !w.pollInFlight && (w.pollSoon || now.Sub(w.polledAt) >= tablePollInterval) {
		a.pollTable(now)
	}
	if until := a.taskLeaseDeadline(now); !w.renewInFlight && until.After(now) && (w.renewSoon || until.Sub(w.renewedUntil) >= leaseDuration/4) {
		a.renewLeases(now, until)
	}
}

// pollTable reads the worker's table and applies it on the control loop.
func (a *Agent) pollTable(now time.Time) {
	w := &a.worker
	w.pollInFlight, w.pollSoon, w.polledAt = true, false, now
	epoch := a.epoch
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, workerCallTimeout)
		defer cancel()
		sent := time.Now()
		table, err := a.Worker.Tasks(ctx)
		received := time.Now()
		a.post(func() {
			if epoch != a.epoch {
				return
			}
			w.pollInFlight = false
			if err == nil {
				a.applyTable(table, sent, received)
			}
		})
	})
}

// renewLeases extends the leases of all tasks on the worker up to until, the
// deadline of the agent's own lease.
func (a *Agent) renewLeases(now, until time.Time) {
	w := &a.worker
	var names []units.Task
	for _, t := range a.tasks {
		if t.phase == phaseRunning || t.phase == phaseStandby || t.phase == phaseStartUnknown {
			names = append(names, t.name)
		}
	}
	w.renewSoon = false
	if len(names) == 0 {
		w.renewedUntil = until
		return
	}
	w.renewInFlight, w.renewedAt = true, now
	epoch, clock := a.epoch, w.workerClockAt(until)
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, workerCallTimeout)
		defer cancel()
		reading, err := a.Worker.Renew(ctx, epoch, clock, names)
		received := time.Now()
		a.post(func() {
			if epoch != a.epoch {
				return
			}
			w.renewInFlight = false
			switch {
			case fault.Is(err, workerapi.Fenced):
				a.handleFencedCall()
			case err != nil:
				w.renewSoon = true
			default:
				w.observeClock(reading, received)
				w.renewedUntil = until
			}
		})
	})
}

// applyTable updates the agent's tasks from the worker's table, which is
// authoritative.
func (a *Agent) applyTable(table workerapi.Table, sent, received time.Time) {
	if table.Epoch != a.epoch {
		if a.worker.clockReset(table.Clock, sent) {
			a.event("workerRestarted", string(a.WorkerID), "its clock began anew")
			a.acquireWorker(true)
			return
		}
		a.fence(fault.New("tasks", workerapi.Fenced, "the worker is held under epoch %d, not %d", table.Epoch, a.epoch))
		return
	}
	a.worker.observeClock(table.Clock, received)
	a.worker.epochConfirmedAt = sent
	seen := make(map[units.Task]bool, len(table.Tasks))
	for _, row := range table.Tasks {
		a.applyRow(row, sent, received)
		if t := a.tasks[row.Task]; t != nil && t.attempt == row.Attempt {
			seen[row.Task] = true
		}
	}
	for _, t := range a.tasks {
		if !seen[t.name] {
			a.handleMissingRow(t, table.Clock, sent, received)
		}
	}
	a.reconcileAll(received)
}

// applyRow updates the agent's task from its row in the worker's table, and adopts a
// row that the agent does not track.
func (a *Agent) applyRow(row workerapi.Task, sent, received time.Time) {
	t := a.tasks[row.Task]
	if t == nil {
		if a.decisions.decidedBefore(row.Task, row.Attempt, sent) {
			t = a.adoptRow(row, received)
			t.suppressReport, t.intent, t.reason = true, intentStop, "the attempt has ended"
		} else if !a.decisions.contains(row.Task, row.Attempt) {
			a.adoptRow(row, received)
		}
		return
	}
	if t.phase == phaseStandby && t.activateAs != 0 && row.Attempt == t.activateAs {
		a.recordActivation(t, row.Attempt)
	}
	if t.attempt != row.Attempt || t.phase == phaseEnded || t.phase == phasePending {
		return
	}
	a.updateUsage(t, row, received)
	switch {
	case row.State != workerapi.Running && row.State != workerapi.Standby:
		a.recordEnd(t, row, received)
	case t.phase == phaseStartUnknown || t.phase == phaseStarting:
		a.recordStart(t, received)
	}
}

// updateUsage updates the measured usage and the processor share of the task.
func (a *Agent) updateUsage(t *task, row workerapi.Task, received time.Time) {
	t.peakUsage = maxResources(t.peakUsage, row.Usage)
	t.usage, t.usageMeasuredAt = row.Usage, received.Add(-row.UsageAge)
	if !t.callInFlight {
		t.processorShare = row.Throttle
	}
}

// handleMissingRow handles a task that the table does not list. A task counts
// as ended only if the table was read after the task was seen on the worker, and as
// one that can never start only if the worker's clock is past the lease of the start.
func (a *Agent) handleMissingRow(t *task, clock workerapi.Clock, sent, received time.Time) {
	switch {
	case t.phase == phaseStartUnknown && clock >= t.startValidUntil:
		a.reject(t, "the worker did not start the task")
	case t.phase == phaseStartUnknown:
		a.worker.pollSoon = true
	case (t.phase == phaseRunning || t.phase == phaseStandby) && sent.After(t.phaseSince):
		a.recordEnd(t, workerapi.Task{State: workerapi.Expired, Reason: "the worker no longer lists the task", Checkpoint: t.checkpoint}, received)
	}
}
