package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// serveStop answers POST /link/stop. The ledger has recorded that the named
// attempts must end, so the call is valid under any epoch. An attempt that has not
// been launched yet is recorded as rejected, because its launch may still arrive.
func (a *Agent) serveStop(ctx context.Context, s *wire.Stop) (*wire.StopReply, error) {
	return runOnLoop(ctx, a, func() (*wire.StopReply, error) {
		a.observeClock(s.Clock)
		if s.Worker != string(a.WorkerID) || !a.adopted || len(s.Tasks) > maxTasks {
			return nil, fault.New("stop", NotReady, "worker %s is not held here", s.Worker)
		}
		for _, ref := range s.Tasks {
			a.stopAttempt(ref, s.Reason)
		}
		return &wire.StopReply{Clock: a.clock()}, nil
	})
}

// stopAttempt stops the attempt, or records that it must not start if it is not on
// the worker yet.
func (a *Agent) stopAttempt(ref *wire.TaskRef, reason string) {
	now := time.Now()
	name, number := ref.Task(), units.Attempt(ref.GetAttempt())
	t := a.tasks[name]
	switch {
	case t == nil || t.attempt != number && t.activateAs != number:
		a.decisions.record(name, number, wire.Outcome_OUTCOME_REFUSED, "stopped before it was launched: "+reason)
		if t == nil {
			// The entry process repeats the stop until the end is reported.
			absent := &task{name: name, attempt: number, spec: &wire.TaskSpec{}, reason: reason, notOnWorker: true, phase: phaseEnded, phaseSince: now}
			absent.setOutcome(wire.Outcome_OUTCOME_STOPPED, now)
			a.tasks[name] = absent
		}
	case t.phase == phasePending:
		a.reject(t, "stopped before it was started: "+reason)
	case t.phase != phaseEnded:
		t.intent, t.reason, t.failedCalls = intentStop, reason, 0
		a.reconcile(t, now)
	}
}

// evictForTask evicts batch tasks of lower priority until t fits, those of the
// lowest priority first and among them those that lose the least work. It reports
// whether t will fit.
func (a *Agent) evictForTask(t *task, now time.Time) bool {
	return a.evictToFit(t.size, t.priority(), "evicted for "+t.name.String(), now)
}

// evictToFit evicts batch tasks below the given priority until size fits, and
// reports whether it will fit. It evicts nothing if size cannot fit.
func (a *Agent) evictToFit(size units.Resources, below units.Priority, reason string, now time.Time) bool {
	free := a.capacity.Sub(a.committedResources())
	var victims []*task
	for _, t := range a.tasks {
		switch {
		case t.phase == phaseRunning && t.intent != intentKeep:
			free = free.Add(t.size) // it is being stopped
		case t.phase == phaseRunning && t.isBatch() && t.priority() < below:
			victims = append(victims, t)
		}
	}
	slices.SortFunc(victims, func(x, y *task) int {
		return cmp.Or(cmp.Compare(x.priority(), y.priority()), y.phaseSince.Compare(x.phaseSince),
			cmp.Compare(x.name.Job, y.name.Job), cmp.Compare(x.name.Index, y.name.Index))
	})
	needed := 0
	for ; needed < len(victims) && !size.Fits(free); needed++ {
		free = free.Add(victims[needed].size)
	}
	if !size.Fits(free) {
		return false
	}
	for _, v := range victims[:needed] {
		a.evict(v, reason, now)
	}
	return true
}

// evict checkpoints and stops the task, unless it is being stopped already.
func (a *Agent) evict(t *task, reason string, now time.Time) {
	if t.intent != intentKeep {
		return
	}
	t.intent, t.reason, t.failedCalls = intentEvict, reason, 0
	a.event("taskEvicted", t.name.String(), reason)
	a.reconcile(t, now)
}

// evacuate removes all tasks while the worker's failure domain is out of service
// or the worker is drained.
func (a *Agent) evacuate(now time.Time) {
	reason := a.evacuationReason()
	if reason == "" || !a.adopted {
		return
	}
	for _, t := range a.tasks {
		switch t.phase {
		case phasePending:
			a.reject(t, reason)
		case phaseStandby:
			if t.intent == intentKeep {
				t.intent, t.reason = intentStop, reason
			}
		case phaseRunning:
			a.evict(t, reason, now)
		}
	}
}

// evacuationReason returns why the worker must run no tasks, or "".
func (a *Agent) evacuationReason() string {
	document := a.config.document
	switch {
	case document == nil:
		return ""
	case document.DomainIsOut(a.Domain):
		return "failure domain " + string(a.Domain) + " is out of service"
	case document.IsDrained(a.WorkerID):
		return "worker " + string(a.WorkerID) + " is drained"
	}
	return ""
}

// evictableResources returns the resources of running batch tasks below urgent
// priority.
func (a *Agent) evictableResources() units.Resources {
	var sum units.Resources
	for _, t := range a.tasks {
		if t.phase == phaseRunning && t.isBatch() && t.priority() < units.PriorityUrgent {
			sum = sum.Add(t.size)
		}
	}
	return sum
}
