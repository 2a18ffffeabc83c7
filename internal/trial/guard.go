package trial

import (
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/dispatch"
	"wasabihill.example/wasabihill/pkg/units"
)

// interference estimates from endpoint latency how much each job kind slows down
// an endpoint, by normalized least mean squares over the kinds that run.
type interference struct {
	table    dispatch.Interference
	estimate map[units.JobKind]float64
}

const learningRate = 0.25

// minSlowdown is the estimated slowdown below which a task is not throttled: the
// remaining excess may come from urgent tasks, which are not throttled.
const minSlowdown = 0.02

func (i *interference) slowdown(a *attempt) float64 {
	return i.estimate[units.JobKind(a.spec.kind.name)]
}

// setpoint is the share of the tolerated slowdown that the guard aims at. The
// rest is a margin for tasks that start before their effect is measured.
const setpoint = 0.8

// naiveEvictionInterval is the minimum time between evictions by the naive guard.
// It equals the interval between actions of the other guard, so that the two
// differ only in that the naive one evicts the newest task and never throttles.
const naiveEvictionInterval = 3 * time.Second

// learn updates the estimates from one latency measurement.
func (i *interference) learn(factor float64, running []*attempt) {
	if i.estimate == nil {
		i.estimate, i.table = map[units.JobKind]float64{}, dispatch.Interference{}
	}
	shares := map[units.JobKind]float64{}
	for _, a := range running {
		if a.spec.kind != nil {
			shares[units.JobKind(a.spec.kind.name)] += a.throttle
		}
	}
	names := make([]units.JobKind, 0, len(shares))
	for name := range shares {
		names = append(names, name)
	}
	slices.Sort(names) // sums of floats depend on their order
	residual, norm := factor-1, 0.0
	for _, name := range names {
		residual -= i.estimate[name] * shares[name]
		norm += shares[name] * shares[name]
	}
	for _, name := range names {
		e := max(0, i.estimate[name]+learningRate*residual*shares[name]/max(1, norm))
		i.estimate[name] = e
		i.table[name] = map[units.ServiceName]float64{"desk": 1 + e}
	}
}

// guard simulates one pass of the agent's control loop, which runs every second
// on latency that is two seconds old. It is simpler than internal/guard: above 0.95 of the
// tolerated slowdown it throttles or evicts one task, and below 0.6 (0.75 of setpoint) it
// raises the throttle of the least interfering task by a quarter.
func (m *machine) guard(x *simulation) {
	if !m.alive {
		return
	}
	measured := m.delayedRatios[0]
	m.delayedRatios = [3]float64{m.delayedRatios[1], m.delayedRatios[2], m.latencyRatio}
	if measured == 0 {
		return
	}
	ratio := x.document.Guards.LatencyRatio
	if x.version == Naive {
		if a := m.newestBatchAttempt(); measured > ratio && a != nil && x.elapsed-m.lastAction >= naiveEvictionInterval {
			m.lastAction = x.elapsed
			m.evict(x, a.task, "latency", true)
		}
		return
	}
	x.interference.learn(m.latencyRatio, m.running)
	if m.memoryUse > 0.95 {
		if a := m.largestMemoryExcess(); a != nil {
			m.evict(x, a.task, "memory", true)
		}
	}
	if x.elapsed-m.lastAction < 3*time.Second {
		return // the measurement predates the last action
	}
	switch {
	case measured > 1+(ratio-1)*0.95:
		m.lastAction = x.elapsed
		m.reduceInterference(x, max(0.5, setpoint*(ratio-1)/(measured-1)))
	case measured < 1+(ratio-1)*setpoint*0.75:
		var least *attempt
		for _, a := range m.running {
			if a.throttle < 1 && (least == nil || x.interference.slowdown(a) < x.interference.slowdown(least)) {
				least = a
			}
		}
		if least != nil {
			least.throttle = min(1, least.throttle*1.25)
			m.lastAction = x.elapsed
		}
	}
}

// reduceInterference multiplies the throttle of the attempt with the largest
// estimated slowdown by the factor by. It evicts the attempt if it is already
// throttled to 0.2 or less.
func (m *machine) reduceInterference(x *simulation, by float64) {
	var worst *attempt
	most := minSlowdown
	if m.processorLoad > contentionThreshold {
		most = 0 // processors are scarce, so every task contributes
	}
	for _, a := range m.running {
		if a.spec.kind == nil || a.priority >= units.PriorityUrgent {
			continue
		}
		if e := x.interference.slowdown(a) * a.throttle; e >= most {
			worst, most = a, e
		}
	}
	switch {
	case worst == nil:
	case worst.throttle > 0.2:
		worst.throttle *= by
	default:
		m.evict(x, worst.task, "latency", true)
	}
}

// newestBatchAttempt returns the batch attempt that started last, or nil.
func (m *machine) newestBatchAttempt() *attempt {
	for i := len(m.running) - 1; i >= 0; i-- {
		if m.running[i].spec.kind != nil {
			return m.running[i]
		}
	}
	return nil
}
