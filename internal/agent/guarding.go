package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/guard"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// guardInterval is half the usual period of the measurements it decides on.
const guardInterval = 500 * time.Millisecond

type guardState struct {
	tickAt    time.Time
	latencies map[units.ServiceName]latency
}

// latency is a reported latency and when it last changed: an unchanged value
// means that no request was served, which is not a new measurement.
type latency struct {
	value time.Duration
	at    time.Time
}

// tickGuard runs the control loop that protects the endpoints.
func (a *Agent) tickGuard(now time.Time) {
	if a.Guard == nil || a.config.document == nil || !a.adopted || now.Sub(a.guarded.tickAt) < guardInterval {
		return
	}
	a.guarded.tickAt = now
	for _, action := range a.Guard.Tick(a.guardInputs(now)) {
		t := a.tasks[action.Task]
		if t == nil || t.attempt != action.Attempt || t.phase != running || t.intent != keep || t.busy {
			continue
		}
		if action.Kind == guard.Evict {
			a.evict(t, "evicted to protect service "+string(action.Service), now)
			continue
		}
		a.callThrottle(t, action.Share)
	}
}

func (a *Agent) guardInputs(now time.Time) guard.Inputs {
	document := a.config.document
	in := guard.Inputs{Now: now, Enabled: document.Guards.Enabled, LatencyRatio: document.Guards.LatencyRatio}
	for _, report := range a.endpoints {
		name := units.ServiceName(report.Service)
		service := document.Service(name)
		if service == nil || report.LatencyMicroseconds <= 0 {
			continue
		}
		measured := a.measured(name, time.Duration(report.LatencyMicroseconds)*time.Microsecond, now)
		in.Services = append(in.Services, guard.Service{Name: name, Latency: measured.value, Target: service.LatencyTarget, MeasuredAt: measured.at})
	}
	for _, t := range a.tasks {
		if t.phase != running || !t.isBatch() || t.intent != keep {
			continue
		}
		in.Tasks = append(in.Tasks, guard.Task{
			Task: t.name, Attempt: t.attempt, Kind: units.JobKind(t.spec.GetJobKind()), Priority: t.priority(),
			OverQuota: a.OverQuota != nil && a.OverQuota(units.TeamName(t.spec.GetTeam())),
			Share:     t.share, Usage: t.usage.Processors, MeasuredAt: t.usageAt,
		})
	}
	return in
}

func (a *Agent) measured(name units.ServiceName, value time.Duration, now time.Time) latency {
	if a.guarded.latencies == nil {
		a.guarded.latencies = make(map[units.ServiceName]latency)
	}
	known := a.guarded.latencies[name]
	if known.value != value {
		known = latency{value, now}
		a.guarded.latencies[name] = known
	}
	return known
}

// interference returns what the guard has learned since the given version.
func (a *Agent) interference(since uint64) ([]*wire.Interference, uint64) {
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
