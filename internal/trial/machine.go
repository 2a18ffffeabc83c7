package trial

import (
	"math"
	"time"

	"wasabihill.example/wasabihill/internal/dispatch"
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// machine simulates a worker with its agent and endpoint.
type machine struct {
	id            units.WorkerID
	epoch         units.Epoch
	domain        units.DomainName
	rack          units.RackName
	alive         bool
	leaving       bool // the failure domain is out of service
	failing       bool
	running       []*attempt
	reports       [][]byte // entries to send with the next heartbeat
	reported      dispatch.Worker
	reportedAt    time.Duration
	latencyRatio  float64 // current endpoint latency with batch divided by latency without
	delayedRatios [3]float64
	lastAction    time.Duration
	memoryUse     float64 // share of the capacity in use
	processorLoad float64 // processors requested divided by capacity
}

// attempt is a running attempt of a task on a machine.
type attempt struct {
	task      units.Task
	attempt   units.Attempt
	spec      *jobSpec
	committed units.Resources
	priority  units.Priority
	workDone  float64 // seconds of work
	age       float64 // seconds since the start
	throttle  float64
}

// Properties of the simulated machines.
const (
	checkpointInterval = 30.0 // seconds of work
	memoryRampUp       = 10.0 // seconds until a task uses all of its memory
	startupTime        = 3.0  // seconds without progress at each start, for loading the program and gigabytes of input or checkpoint
	failureDelay       = 4.0  // seconds until a task fails on the failing worker
	// Interference model: the latency of an endpoint is its base latency times
	// 1 + the slowdowns of the tasks on the same worker + contentionFactor *
	// (processor load above contentionThreshold).
	contentionThreshold = 0.85
	contentionFactor    = 2.0
)

// key identifies the current epoch of the worker.
func (m *machine) key() ledger.WorkerEpoch { return ledger.WorkerEpoch{Worker: m.id, Epoch: m.epoch} }

// committed returns the resources of the endpoint and of all admitted attempts.
func (m *machine) committed(f Cluster) units.Resources {
	sum := f.Endpoint
	for _, a := range m.running {
		sum = sum.Add(a.committed)
	}
	return sum
}

// launch admits or rejects an attempt.
func (m *machine) launch(x *simulation, p dispatch.Proposal) {
	if !m.alive || m.epoch != p.WorkerEpoch.Epoch {
		return // no reply; the attempt is released when the epoch ends
	}
	j := x.ledger.Job(p.Task.Job)
	if j == nil || j.EndSequence != 0 {
		return
	}
	if p.MayEvict {
		for _, v := range p.Victims {
			if !p.Committed.Fits(x.cluster.Capacity.Sub(m.committed(x.cluster))) {
				m.evict(x, v.Task, "urgent", true)
			}
		}
	}
	if m.leaving || !p.Committed.Fits(x.cluster.Capacity.Sub(m.committed(x.cluster))) {
		x.measures.rejectedLaunches++
		x.record(ledger.EncodeReleased(p.Task, p.Attempt, ledger.Release{Reason: "no room"}))
		return
	}
	s := x.jobs[p.Task.Job]
	m.running = append(m.running, &attempt{task: p.Task, attempt: p.Attempt, spec: s, committed: p.Committed,
		priority: j.LaunchSpec(p.Task.Index).GetPriority().Units(), workDone: x.checkpoints[p.Task], throttle: 1})
	m.reports = append(m.reports, ledger.EncodeStarted(p.Task, p.Attempt))
	if s.urgent {
		x.measures.urgentStart = max(x.measures.urgentStart, x.elapsed-s.submittedAt)
		s.urgent = false // later attempts are restarts
	}
}

// run advances all attempts by one step.
func (m *machine) run(x *simulation) {
	if !m.alive {
		return
	}
	cores, memory, slowdown := x.requestLoad(m)*float64(x.cluster.Endpoint.Processors)/1000, float64(x.cluster.Endpoint.Memory), 0.0
	endpoint := cores
	for _, a := range m.running {
		cores += a.spec.cores * a.throttle
		memory += a.spec.memory * min(1, a.age/memoryRampUp)
		if a.spec.kind != nil {
			slowdown += a.spec.kind.slowdown * a.throttle
		}
	}
	capacity := float64(x.cluster.Capacity.Processors) / 1000
	m.memoryUse = memory / float64(x.cluster.Capacity.Memory)
	m.processorLoad = cores / capacity
	m.latencyRatio = 1 + slowdown + contentionFactor*max(0, min(1, m.processorLoad)-contentionThreshold)
	speed := 1.0
	if x.version == Ideal {
		m.latencyRatio = 1
	}
	if cores > capacity {
		speed = (capacity - endpoint) / (cores - endpoint)
	}
	if m.memoryUse > 1 && x.version != Ideal {
		m.kill(x)
	}
	kept := m.running[:0]
	for _, a := range m.running {
		if !m.advance(x, a, speed) {
			kept = append(kept, a)
		}
	}
	m.running = kept
}

// advance runs one attempt for one step and reports whether the attempt ended.
func (m *machine) advance(x *simulation, a *attempt, speed float64) bool {
	a.age += step.Seconds()
	if a.age < startupTime {
		return false
	}
	if m.failing && a.spec.kind != nil && a.age > failureDelay {
		m.fail(x, a, "exit 1")
		return true
	}
	if a.spec.kind == nil {
		return false
	}
	before := a.workDone
	a.workDone += step.Seconds() * speed * a.throttle
	x.measures.work += (a.workDone - before) * a.spec.cores
	if math.Floor(a.workDone/checkpointInterval) > math.Floor(before/checkpointInterval) {
		x.checkpoints[a.task] = a.workDone
	}
	if a.workDone < a.spec.work {
		return false
	}
	delete(x.checkpoints, a.task)
	m.reports = append(m.reports, ledger.EncodeEnded(a.task, a.attempt, wire.Outcome_OUTCOME_COMPLETED,
		time.Duration(a.age*float64(time.Second)), units.Resources{Processors: units.Millicores(a.spec.cores * 1000), Memory: units.Bytes(a.spec.memory)}))
	return true
}

// fail reports a failed attempt.
func (m *machine) fail(x *simulation, a *attempt, reason string) {
	x.measures.failures++
	m.reports = append(m.reports, ledger.EncodeReleased(a.task, a.attempt, ledger.Release{Reason: reason, CountsAsFailure: true}))
}

// kill fails the attempt that exceeds its committed memory most, as the kernel
// does when memory is exhausted.
func (m *machine) kill(x *simulation) {
	if a := m.largestMemoryExcess(); a != nil {
		m.fail(x, a, "out of memory")
		m.remove(a)
	}
}

// largestMemoryExcess returns the batch attempt that exceeds its committed memory
// most, or nil.
func (m *machine) largestMemoryExcess() *attempt {
	var worst *attempt
	most := 0.0
	for _, a := range m.running {
		if over := a.spec.memory*min(1, a.age/memoryRampUp) - float64(a.committed.Memory); a.spec.kind != nil && (worst == nil || over > most) {
			worst, most = a, over
		}
	}
	return worst
}

func (m *machine) remove(a *attempt) {
	for i := range m.running {
		if m.running[i] == a {
			m.running = append(m.running[:i], m.running[i+1:]...)
			return
		}
	}
}

// evict stops the attempt of a task, optionally after writing a checkpoint.
func (m *machine) evict(x *simulation, task units.Task, reason string, checkpoint bool) {
	for _, a := range m.running {
		if a.task != task {
			continue
		}
		if checkpoint {
			x.checkpoints[task] = a.workDone
		}
		if reason != "domain out" {
			x.measures.evictions++
		}
		m.remove(a)
		m.reports = append(m.reports, ledger.EncodeEvicted(task, a.attempt, "saved", reason))
		return
	}
}

// heartbeat updates the worker's row for the scheduler and records the pending
// reports.
func (m *machine) heartbeat(x *simulation) {
	if !m.alive {
		return
	}
	for _, e := range m.reports {
		x.record(e)
	}
	m.reports = nil
	committed := m.committed(x.cluster)
	evictable := units.Resources{}
	for _, a := range m.running {
		if a.spec.kind != nil && a.priority < units.PriorityUrgent {
			evictable = evictable.Add(a.committed)
		}
	}
	m.reported = dispatch.Worker{ID: m.id, Epoch: m.epoch, Domain: m.domain, Rack: m.rack, Region: "region", Capacity: x.cluster.Capacity,
		Committed: committed, Evictable: evictable, Services: []units.ServiceName{"desk"}, EndpointLoad: x.requestLoad(m), HasSession: true, Draining: m.leaving}
	m.reportedAt = x.elapsed
}

// leave is called when operators take the failure domain out of service. The
// product evicts its tasks with checkpoints; the naive agent runs them until the
// instance stops.
func (m *machine) leave(x *simulation) {
	m.leaving = true
	if x.version == Naive {
		return
	}
	for _, a := range append([]*attempt(nil), m.running...) {
		m.evict(x, a.task, "domain out", true)
	}
}

// crash ends the instance and everything that runs on it. The lessor records the
// lease expiry later.
func (m *machine) crash(x *simulation) {
	h := m.key()
	m.alive, m.running, m.reports = false, nil, nil
	sinceGrant := time.Duration(x.requestRand.Int64N(int64(lease/4/step))) * step
	at := x.elapsed + lease + leaseMargin - sinceGrant
	x.events[at] = append(x.events[at], func() { x.endedEpochs[h] = true })
}

// join starts a new instance with the next epoch.
func (m *machine) join() {
	m.epoch++
	m.alive, m.leaving = true, false
}
