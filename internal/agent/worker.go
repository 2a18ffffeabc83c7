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

// maxDrift bounds how far two monotonic clocks part: 200 parts per million is
// twice the tolerance of common quartz oscillators.
const maxDrift = 200e-6

// workerState is what the loop remembers about its calls to the worker.
type workerState struct {
	origin    time.Time
	offset    workerapi.Clock // lower bound of worker clock - time since origin
	offsetAt  time.Time       // zero before the first reading
	confirmed time.Time       // send time of the last table read that showed the own epoch

	polling   bool
	pollSoon  bool
	polledAt  time.Time
	renewing  bool
	renewSoon bool
	renewedAt time.Time
	fullLease time.Time // deadline of the last renewal that was answered
}

// observe takes in a reading of the worker's clock that was received at the
// given instant. It was read earlier, so clock - received is a lower bound of
// the true offset; the highest bound is the tightest.
func (w *workerState) observe(clock workerapi.Clock, received time.Time) {
	bound := clock - workerapi.Clock(received.Sub(w.origin))
	if !w.offsetAt.IsZero() {
		faded := w.offset - workerapi.Clock(float64(received.Sub(w.offsetAt))*maxDrift)
		bound = max(bound, faded)
	}
	w.offset, w.offsetAt = bound, received
}

// clockAt maps an instant to the worker's clock, never late.
func (w *workerState) clockAt(t time.Time) workerapi.Clock {
	return w.offset + workerapi.Clock(t.Sub(w.origin))
}

// restarted reports whether a reading taken after the given instant is lower
// than the worker's clock can have been: the clock belongs to a new instance.
func (w *workerState) restarted(clock workerapi.Clock, sent time.Time) bool {
	return clock < w.clockAt(sent)-workerapi.Clock(time.Second)
}

// doubt follows a command that the worker refused as fenced. The next table read
// shows whether another agent holds the worker or whether the worker is a new
// instance. Until then this agent grants no lease.
func (a *Agent) doubt() {
	a.worker.confirmed = time.Time{}
	a.worker.pollSoon = true
}

// acquire takes the next epoch, reads the task table and adopts its rows. When
// resume is false the former epoch is recorded as expired, so its tasks belong
// to others and whatever still runs is stopped.
func (a *Agent) acquire(resume bool) {
	a.adopted = false
	a.epoch = 0
	for _, t := range a.tasks {
		if t.phase == waiting { // of any other, the worker may have run it
			t.answer(wire.Outcome_OUTCOME_REFUSED, "the agent takes a new epoch")
		}
	}
	a.tasks = make(map[units.Task]*task)
	a.worker = workerState{origin: a.origin}
	a.lease.end()
	a.lease = lease{}
	a.lessees = make(map[units.WorkerID]*lessee)
	a.spawn(func() {
		for {
			holder, table, received, err := a.hold()
			if err == nil {
				a.post(func() { a.adopt(holder, table, received, resume) })
				return
			}
			if !pause.For(a.ctx, retryInterval) {
				return
			}
		}
	})
}

func (a *Agent) hold() (workerapi.Holder, workerapi.Table, time.Time, error) {
	ctx, cancel := context.WithTimeout(a.ctx, workerTimeout)
	defer cancel()
	holder, err := a.Worker.Hold(ctx, a.ProcessName)
	if err != nil {
		return holder, workerapi.Table{}, time.Time{}, err
	}
	table, err := a.Worker.Tasks(ctx)
	received := time.Now()
	if err == nil && table.Epoch != holder.Epoch {
		err = fault.New("hold", Fenced, "epoch %d was overtaken by %d", holder.Epoch, table.Epoch)
	}
	return holder, table, received, err
}

func (a *Agent) adopt(holder workerapi.Holder, table workerapi.Table, received time.Time, resume bool) {
	a.epoch, a.capacity = holder.Epoch, holder.Capacity
	a.memory.reset()
	a.lease.held = received
	a.worker.observe(table.Clock, received)
	for _, row := range table.Tasks {
		t := a.adoptRow(row, received)
		if !resume && occupies[t.phase] {
			t.intent, t.reason, t.silent = stop, "the epoch expired", true
		}
	}
	a.adopted = true
	for _, e := range a.entries {
		e.wantRunning, e.described = true, false
	}
	a.worker.pollSoon = true
	a.event("workerHeld", string(a.WorkerID), fmt.Sprintf("epoch %d, %d tasks adopted", a.epoch, len(a.tasks)))
}

// unknownHolder stands for the holder of an adopted standby until an entry
// lists it.
const unknownHolder units.WorkerID = "unknown"

// adoptRow takes over a row that the agent does not know.
func (a *Agent) adoptRow(row workerapi.Task, now time.Time) *task {
	spec, neverRan, activated := readLabel(row)
	t := &task{name: row.Task, attempt: row.Attempt, spec: spec, size: row.Size, share: row.Throttle, since: now, reportSince: now, startFirst: activated}
	if neverRan {
		t.holder, t.mentioned = unknownHolder, now
	}
	a.tasks[row.Task] = t
	switch row.State {
	case workerapi.Running:
		t.phase = running
		t.outcomeNow(wire.Outcome_OUTCOME_STARTED, now)
	case workerapi.Standby:
		t.phase, t.holder, t.mentioned = standby, unknownHolder, now
	default:
		a.finish(t, row, now)
	}
	return t
}

// outcomes maps the end of a task on the worker to what is reported.
var outcomes = map[workerapi.TaskState]wire.Outcome{
	workerapi.Completed:    wire.Outcome_OUTCOME_COMPLETED,
	workerapi.Failed:       wire.Outcome_OUTCOME_FAILED,
	workerapi.Stopped:      wire.Outcome_OUTCOME_STOPPED,
	workerapi.Checkpointed: wire.Outcome_OUTCOME_EVICTED,
	workerapi.Expired:      wire.Outcome_OUTCOME_EXPIRED,
}

// finish records the end of a task as the worker's table shows it.
func (a *Agent) finish(t *task, row workerapi.Task, now time.Time) {
	if t.phase == starting || t.phase == unresolved {
		t.answer(wire.Outcome_OUTCOME_STARTED, "")
	}
	if t.holder != "" {
		a.finishStandby(t, now)
		return
	}
	t.move(ended, now)
	outcome := outcomes[row.State]
	if outcome == wire.Outcome_OUTCOME_STOPPED && t.intent == evict {
		outcome = wire.Outcome_OUTCOME_EVICTED
	}
	if row.Reason != "" {
		t.reason = row.Reason
	}
	t.checkpoint, t.ran, t.peak = row.Checkpoint, row.Ran, larger(t.peak, row.Usage)
	t.outcomeNow(outcome, now)
	a.memory.remember(t.name, t.attempt, wire.Outcome_OUTCOME_STARTED, "")
	a.failures.ended(t.name.Job, outcome, now)
	a.beatAfterEnd(t, now)
	a.event("taskEnded", t.name.String(), outcome.String())
}

// finishStandby records the end of a standby that never ran. Its attempt is the
// holder's to report; an activation that was asked for can no longer happen.
func (a *Agent) finishStandby(t *task, now time.Time) {
	if t.activateAs != 0 {
		reason := "the standby ended before it was activated"
		a.memory.remember(t.name, t.activateAs, wire.Outcome_OUTCOME_REFUSED, reason)
		for _, c := range t.results {
			c <- &wire.LaunchResult{Task: wire.NewTaskRef(t.name, t.activateAs), Outcome: wire.Outcome_OUTCOME_REFUSED, Reason: reason}
		}
		t.results, t.activateAs = nil, 0
	}
	t.silent = true
	t.move(ended, now)
}

func larger(a, b units.Resources) units.Resources {
	return units.Resources{Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// tickWorker reads the table and renews leases when they are due.
func (a *Agent) tickWorker(now time.Time) {
	if !a.adopted {
		return
	}
	w := &a.worker
	if !w.polling && (w.pollSoon || now.Sub(w.polledAt) >= tableInterval) {
		a.pollTable(now)
	}
	if until := a.leaseFor(now); !w.renewing && until.After(now) && (w.renewSoon || until.Sub(w.fullLease) >= leaseDuration/4) {
		a.renew(now, until)
	}
}

func (a *Agent) pollTable(now time.Time) {
	w := &a.worker
	w.polling, w.pollSoon, w.polledAt = true, false, now
	epoch := a.epoch
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, workerTimeout)
		defer cancel()
		sent := time.Now()
		table, err := a.Worker.Tasks(ctx)
		received := time.Now()
		a.post(func() {
			if epoch != a.epoch {
				return
			}
			w.polling = false
			if err == nil {
				a.applyTable(table, sent, received)
			}
		})
	})
}

// renew extends the leases of all held tasks up to until, the deadline of the
// agent's own lease.
func (a *Agent) renew(now, until time.Time) {
	w := &a.worker
	var names []units.Task
	for _, t := range a.tasks {
		if t.phase == running || t.phase == standby || t.phase == unresolved {
			names = append(names, t.name)
		}
	}
	w.renewSoon = false
	if len(names) == 0 {
		w.fullLease = until
		return
	}
	w.renewing, w.renewedAt = true, now
	epoch, clock := a.epoch, w.clockAt(until)
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, workerTimeout)
		defer cancel()
		reading, err := a.Worker.Renew(ctx, epoch, clock, names)
		received := time.Now()
		a.post(func() {
			if epoch != a.epoch {
				return
			}
			w.renewing = false
			switch {
			case fault.Is(err, workerapi.Fenced):
				a.doubt()
			case err != nil:
				w.renewSoon = true
			default:
				w.observe(reading, received)
				w.fullLease = until
			}
		})
	})
}

// applyTable compares the agent's rows with the worker's, which is the truth.
func (a *Agent) applyTable(table workerapi.Table, sent, received time.Time) {
	if table.Epoch != a.epoch {
		if a.worker.restarted(table.Clock, sent) {
			a.event("workerRestarted", string(a.WorkerID), "its clock began anew")
			a.acquire(true)
			return
		}
		a.fence(fault.New("tasks", workerapi.Fenced, "the worker is held under epoch %d, not %d", table.Epoch, a.epoch))
		return
	}
	a.worker.observe(table.Clock, received)
	a.worker.confirmed = sent
	seen := make(map[units.Task]bool, len(table.Tasks))
	for _, row := range table.Tasks {
		a.applyRow(row, sent, received)
		if t := a.tasks[row.Task]; t != nil && t.attempt == row.Attempt {
			seen[row.Task] = true
		}
	}
	for _, t := range a.tasks {
		if !seen[t.name] {
			a.applyAbsence(t, table.Clock, sent, received)
		}
	}
	a.driveAll(received)
}

func (a *Agent) applyRow(row workerapi.Task, sent, received time.Time) {
	t := a.tasks[row.Task]
	if t == nil {
		if a.memory.settledBefore(row.Task, row.Attempt, sent) {
			t = a.adoptRow(row, received)
			t.silent, t.intent, t.reason = true, stop, "the attempt has ended"
		} else if !a.memory.knows(row.Task, row.Attempt) {
			a.adoptRow(row, received)
		}
		return
	}
	if t.phase == standby && t.activateAs != 0 && row.Attempt == t.activateAs {
		a.activated(t, row.Attempt)
	}
	if t.attempt != row.Attempt || t.phase == ended || t.phase == waiting {
		return
	}
	a.measure(t, row, received)
	switch {
	case row.State != workerapi.Running && row.State != workerapi.Standby:
		a.finish(t, row, received)
	case t.phase == unresolved || t.phase == starting:
		a.started(t, received)
	}
}

func (a *Agent) measure(t *task, row workerapi.Task, received time.Time) {
	t.peak = larger(t.peak, row.Usage)
	t.usage, t.usageAt = row.Usage, received.Add(-row.UsageAge)
	if !t.busy {
		t.share = row.Throttle
	}
}

// applyAbsence handles a task that the table does not list. Only a table read
// that was sent after the task was known to run proves that it is gone, and
// only a clock past the start's lease proves that it will never start.
func (a *Agent) applyAbsence(t *task, clock workerapi.Clock, sent, received time.Time) {
	switch {
	case t.phase == unresolved && clock >= t.startEnd:
		a.refuse(t, "the worker did not start the task")
	case t.phase == unresolved:
		a.worker.pollSoon = true
	case (t.phase == running || t.phase == standby) && sent.After(t.since):
		a.finish(t, workerapi.Task{State: workerapi.Expired, Reason: "the worker no longer lists the task", Checkpoint: t.checkpoint}, received)
	}
}
