package agent

import (
	"context"
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// launchReplyTimeout bounds how long the reply to a launch is delayed. Tasks
	// that are undecided by then are omitted from the reply, and the entry process
	// repeats their launch.
	launchReplyTimeout = 1500 * time.Millisecond
	// launchTimeout is how long a launch waits for free resources, a lease or a
	// fresh configuration before it is rejected, so that the task can be placed on
	// another worker.
	launchTimeout = 3 * time.Second
	// minRemainingLease is the least remaining time of the agent's lease at which
	// it starts a task. A shorter lease would likely end before the next renewal.
	minRemainingLease = time.Second
	// maxTasks bounds the tasks of one request and the tasks that the agent tracks.
	maxTasks = 4096
)

// serveLaunch answers POST /link/launch.
func (a *Agent) serveLaunch(ctx context.Context, l *wire.Launch) (*wire.LaunchReply, error) {
	if len(l.Tasks) > maxTasks {
		return nil, fault.New("launch", NotReady, "%d tasks in one request", len(l.Tasks))
	}
	results := make(chan *wire.LaunchResult, len(l.Tasks))
	reply, err := runOnLoop(ctx, a, func() (*wire.LaunchReply, error) {
		a.observeClock(l.Clock)
		if err := a.checkLaunchable(l); err != nil {
			return nil, err
		}
		for _, task := range l.Tasks {
			a.handleLaunch(l, task, results)
		}
		return &wire.LaunchReply{Clock: a.clock()}, nil
	})
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(launchReplyTimeout)
	defer timer.Stop()
	for len(reply.Results) < len(l.Tasks) {
		select {
		case r := <-results:
			reply.Results = append(reply.Results, r)
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		}
	}
	return reply, nil
}

// checkLaunchable returns an error if the agent cannot decide on the launch at
// present. That is not a rejection: nothing is recorded, and the entry process
// repeats the launch.
func (a *Agent) checkLaunchable(l *wire.Launch) error {
	switch {
	case l.Worker != string(a.WorkerID):
		return fault.New("launch", NotReady, "this is worker %s, not %s", a.WorkerID, l.Worker)
	case !a.adopted || a.runError != nil:
		return fault.New("launch", NotReady, "worker %s is not held", a.WorkerID)
	case units.Epoch(l.Epoch) > a.epoch:
		return fault.New("launch", NotReady, "epoch %d is newer than %d", l.Epoch, a.epoch)
	}
	return nil
}

// handleLaunch decides on one attempt or queues it. A repeated launch gets the
// result that was sent before.
func (a *Agent) handleLaunch(l *wire.Launch, request *wire.LaunchTask, results chan<- *wire.LaunchResult) {
	if a.RecordCause != nil {
		a.RecordCause(request.GetTask().Task().String(), request.GetCause())
	}
	now := time.Now()
	name, number := request.GetTask().Task(), units.Attempt(request.GetTask().GetAttempt())
	t := a.tasks[name]
	if t != nil && t.holder != "" {
		if a.handleStandbyLaunch(l, t, number, results, now) {
			return
		}
		t = a.tasks[name]
	}
	if t != nil && t.attempt == number {
		t.launchedBy = l.Entry
		a.answerRepeatedLaunch(t, results)
		return
	}
	candidate := &task{name: name, attempt: number, spec: request.GetSpec(), size: request.GetSpec().GetSize().Units(),
		mayEvict: request.MayEvict, launchDeadline: now.Add(launchTimeout), launchedBy: l.Entry, resultChannels: []chan<- *wire.LaunchResult{results}}
	if candidate.spec == nil {
		candidate.spec = &wire.TaskSpec{}
	}
	if s, ok := a.decisions.lookup(name, number); ok {
		candidate.sendResult(s.outcome, s.reason)
		return
	}
	if units.Epoch(l.Epoch) != a.epoch {
		return // it may have run under the older epoch; the end of that epoch releases it
	}
	if a.decisions.superseded(name, number) || t != nil && t.attempt > number {
		return // the outcome of an attempt this old is not certain
	}
	if t != nil && t.phase != phaseEnded {
		// A newer attempt has been assigned, so the running one has been released.
		t.intent, t.reason, t.suppressReport = intentStop, "superseded", true
		a.reconcile(t, now)
		return
	}
	if reason := a.permanentRejection(candidate); reason != "" {
		a.reject(candidate, reason)
		return
	}
	candidate.setPhase(phasePending, now)
	a.tasks[name] = candidate
	a.reconcile(candidate, now)
}

// answerRepeatedLaunch answers the launch of an attempt that the agent tracks.
func (a *Agent) answerRepeatedLaunch(t *task, results chan<- *wire.LaunchResult) {
	switch t.phase {
	case phaseEnded:
		if s, ok := a.decisions.lookup(t.name, t.attempt); ok {
			results <- &wire.LaunchResult{Task: t.ref(), Outcome: s.outcome, Reason: s.reason}
		}
	case phaseRunning:
		results <- &wire.LaunchResult{Task: t.ref(), Outcome: wire.Outcome_OUTCOME_STARTED}
	default:
		t.resultChannels = append(t.resultChannels, results)
		if len(t.resultChannels) > maxLaunchCallers {
			t.resultChannels = t.resultChannels[1:]
		}
	}
}

// maxLaunchCallers bounds the calls that wait for the result of one launch.
const maxLaunchCallers = 16

// permanentRejection returns why the attempt can never start on this worker, or "".
func (a *Agent) permanentRejection(t *task) string {
	if t.attempt == 0 || t.size.Processors < 0 || t.size.Memory < 0 || t.size.Accelerators < 0 || t.spec.GetRunMilliseconds() < 0 {
		return "malformed task"
	}
	if len(a.tasks) >= maxTasks {
		return "too many tasks"
	}
	return a.rejectionReason(t)
}

// rejectionReason returns why the worker rejects tasks such as t at present, or "".
func (a *Agent) rejectionReason(t *task) string {
	now := time.Now()
	switch {
	case a.stopping:
		return "the agent is stopping"
	case a.config.document != nil && a.config.document.DomainIsOut(a.Domain):
		return fmt.Sprintf("failure domain %s is out of service", a.Domain)
	case a.config.document != nil && a.config.document.IsDrained(a.WorkerID):
		return fmt.Sprintf("worker %s is drained", a.WorkerID)
	case !t.size.Fits(a.capacity.Sub(a.reservedResources())):
		return fmt.Sprintf("larger than worker %s", a.WorkerID)
	case a.failures.suspected(now):
		return fmt.Sprintf("%d tasks in a row of different jobs failed here", maxConsecutiveFailures)
	}
	return ""
}

// admit starts a pending task once the agent has a lease, a fresh configuration
// and enough free resources. It rejects the task if the launch has timed out, the
// worker rejects tasks such as t, or no eviction can free enough resources.
func (a *Agent) admit(t *task, now time.Time) {
	if reason := a.rejectionReason(t); reason != "" {
		a.reject(t, reason)
		return
	}
	reason := a.startBlocker(now)
	if reason == "" {
		if !t.size.Fits(a.capacity.Sub(a.committedResources())) {
			reason = "no room"
			if !t.mayEvict || !a.evictForTask(t, now) {
				a.reject(t, reason)
				return
			}
		} else {
			a.callStart(t, now)
			return
		}
	}
	if !now.Before(t.launchDeadline) {
		a.reject(t, reason)
	}
}

// startBlocker returns why no task can be started at present, or "".
func (a *Agent) startBlocker(now time.Time) string {
	switch {
	case !a.adopted:
		return "the worker is not held"
	case !a.lease.registered:
		return "the epoch is not registered"
	case a.lease.deadlineAt(now).Sub(now) < minRemainingLease:
		return "no valid lease"
	case a.awaitsEndpoint(now):
		return "the endpoint has not announced itself yet"
	case !a.config.freshUntil.After(now):
		return "no fresh evidence of the configuration"
	}
	return ""
}

// startDeadline returns the time by which a start that is sent now must have
// taken effect.
func (a *Agent) startDeadline() time.Time {
	until := a.config.freshUntil.Add(startGracePeriod)
	if lease := a.lease.deadlineAt(time.Now()); lease.Before(until) {
		return lease
	}
	return until
}

// reject replies that the attempt was not started and will not be started under
// this epoch, and records that decision.
func (a *Agent) reject(t *task, reason string) {
	if t.holder == "" { // the attempt of a standby runs on its holder
		a.decisions.record(t.name, t.attempt, wire.Outcome_OUTCOME_REFUSED, reason)
	}
	if a.tasks[t.name] == t {
		delete(a.tasks, t.name)
	}
	t.sendResult(wire.Outcome_OUTCOME_REFUSED, reason)
	a.event("taskRefused", t.name.String(), reason)
}
