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

// call runs one command for t on the worker and hands the error to done on the
// control loop. Answers to an epoch that the agent no longer uses are dropped.
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

func (a *Agent) scheduleRetry(t *task) {
	t.failedCalls++
	t.retryAt = time.Now().Add(retryInterval)
}

// callStart starts t. The lease it carries ends with the evidence that allows
// the start, so that a start delivered late has no effect; the next renewal
// extends it.
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

func (a *Agent) handleStartResult(t *task, err error) {
	now := time.Now()
	switch {
	case t.phase != phaseStarting: // the task table was faster
	case err == nil:
		a.recordStart(t, now)
	case isRejection(err):
		a.refuse(t, err.Error())
	default:
		t.setPhase(phaseStartUnknown, now)
	}
	a.worker.pollSoon = true
}

// definite reports whether the worker has said that the call had no effect.
func isRejection(err error) bool {
	return fault.Is(err, workerapi.Conflict) || fault.Is(err, workerapi.Full) || fault.Is(err, workerapi.Invalid) || fault.Is(err, workerapi.NotFound)
}

// started records that the worker holds the attempt.
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

// callActivate runs a standby. An unanswered call is repeated; the task table
// shows whether it took effect.
func (a *Agent) callActivate(t *task, now time.Time) {
	epoch, from, as, until := a.epoch, t.attempt, t.activateAs, a.lease.deadlineAt(now)
	if len(t.resultChannels) > 0 {
		until = a.startDeadline() // launched by an entry, under the rules of a start
	}
	a.callWorker(t, func(ctx callContext) error {
		if !time.Now().Before(until) {
			return fault.New("activate", workerapi.Unknown, "lease ended before the call")
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

func (a *Agent) recordActivation(t *task, as units.Attempt) {
	if t.phase == phaseStandby {
		t.attempt, t.holder, t.activateAs, t.startUnrecorded = as, "", 0, true
		a.recordStart(t, time.Now())
	}
}

// callCheckpoint saves the task and stops it; the task table then shows its end
// and the name of the checkpoint.
func (a *Agent) callCheckpoint(t *task) {
	epoch := a.epoch
	a.callWorker(t, func(ctx callContext) error {
		_, err := a.Worker.Checkpoint(ctx, epoch, t.name, t.attempt, true)
		return err
	}, func(error) { a.scheduleRetry(t); a.worker.pollSoon = true })
}

func (a *Agent) callStop(t *task) {
	epoch := a.epoch
	a.callWorker(t, func(ctx callContext) error {
		return a.Worker.Stop(ctx, epoch, t.name, t.attempt)
	}, func(error) { a.scheduleRetry(t); a.worker.pollSoon = true })
}

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
