package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/guard"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// guardInterval is half the usual period of the measurements that the guard
// decides on.
const guardInterval = 500 * time.Millisecond

type guardState struct {
	tickAt    time.Time
	latencies map[units.ServiceName]latencySample
}

// latencySample is a reported latency and when it last changed. An unchanged
// value is not a new measurement: no request was served meanwhile.
type latencySample struct {
	value     time.Duration
	changedAt time.Time
}

// tickGuard runs the guard, which throttles or evicts batch tasks to protect the
// latency of the endpoints.
func (a *Agent) tickGuard(now time.Time) {
	if a.Guard == nil || a.config.document == nil || !a.adopted || now.Sub(a.guardState.tickAt) < guardInterval {
		return
	}
	a.guardState.tickAt = now
	for _, action := range a.Guard.Tick(a.guardInputs(now)) {
		t := a.tasks[action.Task]
		if t == nil || t.attempt != action.Attempt || t.phase != phaseRunning || t.intent != intentKeep || t.callInFlight {
			continue
		}
		if action.Kind == guard.Evict {
			a.evict(t, "evicted to protect service "+string(action.Service), now)
			continue
		}
		a.callThrottle(t, action.Share)
	}
}

// guardInputs returns the measurements of endpoints and of running batch tasks.
func (a *Agent) guardInputs(now time.Time) guard.Inputs {
	document := a.config.document
	in := guard.Inputs{Now: now, Enabled: document.Guards.Enabled, LatencyRatio: document.Guards.LatencyRatio}
	for _, report := range a.offeredEndpoints {
		name := units.ServiceName(report.Service)
		service := document.Service(name)
		if service == nil || report.LatencyMicroseconds <= 0 {
			continue
		}
		measured := a.latencyOf(name, time.Duration(report.LatencyMicroseconds)*time.Microsecond, now)
		in.Services = append(in.Services, guard.Service{Name: name, Latency: measured.value, Target: service.LatencyTarget, MeasuredAt: measured.changedAt})
	}
	for _, t := range a.tasks {
		if t.phase != phaseRunning || !t.isBatch() || t.intent != intentKeep {
			continue
		}
		in.Tasks = append(in.Tasks, guard.Task{
			Task: t.name, Attempt: t.attempt, Kind: units.JobKind(t.spec.GetJobKind()), Priority: t.priority(),
			OverQuota: a.OverQuota != nil && a.OverQuota(units.TeamName(t.spec.GetTeam())),
			Share:     t.processorShare, Usage: t.usage.Processors, MeasuredAt: t.usageMeasuredAt,
		})
	}
	return in
}

// latencyOf returns the latency of the service and since when it has that value.
func (a *Agent) latencyOf(name units.ServiceName, value time.Duration, now time.Time) latencySample {
	if a.guardState.latencies == nil {
		a.guardState.latencies = make(map[units.ServiceName]latencySample)
	}
	sample := a.guardState.latencies[name]
	if sample.value != value {
		sample = latencySample{value, now}
		a.guardState.latencies[name] = sample
	}
	return sample
}

// interferenceSince returns the slowdowns that the guard has estimated since the
// given version, and the current version.
func (a *Agent) interferenceSince(since uint64) ([]*wire.Interference, uint64) {
	if a.Guard == nil {
		return nil, since
	}
	changed, version := a.Guard.Changed(since)
	out := make([]*wire.Interference, len(changed))
	for i, c := range changed {
		out[i] = &wire.Interference{JobKind: string(c.Kind), Service: string(c.Service), Slowdown: c.Slowdown}
	}
	return out, version
}
