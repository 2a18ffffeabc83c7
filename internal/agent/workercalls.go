package agent

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

type callContext = context.Context

// callWorker runs one command for t on the worker and passes its error to done
// on the control loop. Results of a call made under an earlier epoch are dropped.
func (a *Agent) callWorker(t *task, fn func(callContext) error, done func(error)) {
	t.callInFlight = true
	epoch := a.epoch
	a.spawn(func() {
		ctx, cancel := context.WithTimeout(a.ctx, workerCallTimeout)
		defer cancel()
		err := fn(ctx)
		a.post(func() {
			t.callInFlight = false
			switch {
			case epoch != a.epoch:
			case fault.Is(err, workerapi.Fenced):
				a.handleFencedCall()
			default:
				done(err)
			}
		})
	})
}

// scheduleRetry delays the next call for t by retryInterval.
func (a *Agent) scheduleRetry(t *task) {
	t.failedCalls++
	t.retryAt = time.Now().Add(retryInterval)
}

// callStart starts t. The task's lease ends when the configuration that allows
// the start becomes stale, so that a start delivered late has no effect. The next
// renewal extends the lease.
func (a *Agent) callStart(t *task, now time.Time) {
	until := a.startDeadline()
	t.startValidUntil = a.worker.workerClockAt(until)
	t.setPhase(phaseStarting, now)
	request := workerapi.StartRequest{
		Epoch: a.epoch, Task: t.name, Attempt: t.attempt, Kind: t.spec.GetJobKind(), Size: t.size,
		RunTime: time.Duration(t.spec.GetRunMilliseconds()) * time.Millisecond, LeaseUntil: t.startValidUntil,
		Checkpoint: t.spec.GetCheckpoint(), Standby: t.holder != "", Label: encodeLabel(t),
	}
	a.callWorker(t, func(ctx callContext) error {
		if !time.Now().Before(until) {
			return fault.New("start", workerapi.Conflict, "evidence ended before the call")
		}
		return a.Worker.Start(ctx, request)
	}, func(err error) { a.handleStartResult(t, err) })
}

// handleStartResult applies the result of a start call. An error that leaves open
// whether the task started is resolved by the next table read.
func (a *Agent) handleStartResult(t *task, err error) {
	now := time.Now()
	switch {
	case t.phase != phaseStarting: // a table read has already shown the result
	case err == nil:
		a.recordStart(t, now)
	case isRejection(err):
		a.reject(t, err.Error())
	default:
		t.setPhase(phaseStartUnknown, now)
	}
	a.worker.pollSoon = true
}

// isRejection reports whether err says that the call had no effect on the worker.
func isRejection(err error) bool {
	return fault.Is(err, workerapi.Conflict) || fault.Is(err, workerapi.Full) || fault.Is(err, workerapi.Invalid) || fault.Is(err, workerapi.NotFound)
}

// recordStart records that the attempt is on the worker, running or as a standby.
func (a *Agent) recordStart(t *task, now time.Time) {
	a.worker.renewSoon = true
	if t.holder != "" && t.activateAs == 0 {
		t.setPhase(phaseStandby, now)
		return
	}
	t.setPhase(phaseRunning, now)
	t.processorShare = 1
	t.setOutcome(wire.Outcome_OUTCOME_STARTED, now)
	t.sendResult(wire.Outcome_OUTCOME_STARTED, "")
	a.event("taskStarted", t.name.String(), string(a.WorkerID))
}

// callActivate turns a standby into a running task. A failed call is repeated;
// the task table shows whether it took effect.
func (a *Agent) callActivate(t *task, now time.Time) {
	epoch, from, as, until := a.epoch, t.attempt, t.activateAs, a.lease.deadlineAt(now)
	if len(t.resultChannels) > 0 {
		until = a.startDeadline() // an entry process launched it, so the rules of a start apply
	}
	a.callWorker(t, func(ctx callContext) error {
		if !time.Now().Before(until) {
			return fault.New("activate", workerapi.Unknown, "agent lease ended before the activate call was sent")
		}
		return a.Worker.Activate(ctx, epoch, t.name, from, as)
	}, func(err error) {
		a.worker.pollSoon = true
		if err != nil {
			a.scheduleRetry(t)
			return
		}
		a.recordActivation(t, as)
	})
}

// recordActivation records that the standby runs as the given attempt. Its start
// must be reported before its end.
func (a *Agent) recordActivation(t *task, as units.Attempt) {
	if t.phase == phaseStandby {
		t.attempt, t.holder, t.activateAs, t.startUnrecorded = as, "", 0, true
		a.recordStart(t, time.Now())
	}
}

// callCheckpoint checkpoints and stops the task. The task table then shows its
// end and the name of the checkpoint.
func (a *Agent) callCheckpoint(t *task) {
	epoch := a.epoch
	a.callWorker(t, func(ctx callContext) error {
		_, err := a.Worker.Checkpoint(ctx, epoch, t.name, t.attempt, true)
		return err
	}, func(error) { a.scheduleRetry(t); a.worker.pollSoon = true })
}

// callStop stops the task. The task table then shows its end.
func (a *Agent) callStop(t *task) {
	epoch := a.epoch
	a.callWorker(t, func(ctx callContext) error {
		return a.Worker.Stop(ctx, epoch, t.name, t.attempt)
	}, func(error) { a.scheduleRetry(t); a.worker.pollSoon = true })
}

// callThrottle limits the task to a share of its processors.
func (a *Agent) callThrottle(t *task, share float64) {
	epoch := a.epoch
	a.callWorker(t, func(ctx callContext) error {
		return a.Worker.Throttle(ctx, epoch, t.name, t.attempt, share)
	}, func(err error) {
		if err == nil {
			t.processorShare = share
		}
	})
}
