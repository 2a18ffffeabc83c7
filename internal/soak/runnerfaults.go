package soak

import (
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// runnerFaultKinds are the faults of runners that take turns on a machine, that call the
// agents of other machines, and whose calls and heartbeats come late.
var runnerFaultKinds = []faultKind{
	{"agentFrozen", agents, true, false, 9 * time.Second, (*Run).suspend, (*Run).resume},
	{"agentKilled", agents, true, false, 6 * time.Second, (*Run).kill, (*Run).restart},
	{"foreignHeartbeats", agents, false, false, time.Second, (*Run).sendForeignHeartbeats, nil},
	{"lateHeartbeats", agents, false, false, 4 * time.Second, onRunner(lateHeartbeats), onRunner(taskrunner.Fault{})},
	{"lateHeartbeatsOfCrashed", agents, false, false, 4 * time.Second, onRunner(lateHeartbeats), crashAndSucceed},
	{"lateHeartbeatsAtRestart", agents, true, false, 4 * time.Second, (*Run).restartAmongLateHeartbeats, (*Run).restart},
	{"successorAfterDrain", agents, false, true, 2 * time.Second, func(_ *Run, h *host) { h.runner().Drain() }, succeed(keepConnections)},
	{"successorAfterDrainCloses", agents, false, true, 2 * time.Second, func(_ *Run, h *host) { h.runner().Drain() }, succeed(closeConnections)},
	{"successorBeside", agents, false, false, time.Millisecond, nil, succeed(keepConnections)},
	{"successorTakesOver", agents, false, false, time.Millisecond, nil, succeed(closeConnections)},
	{"successorElsewhere", agents, false, false, time.Millisecond, nil, succeed(otherAddress)},
	{"runnerCrashSuccessor", agents, false, false, 3 * time.Second, func(_ *Run, h *host) { h.runner().Crash() }, crashAndSucceed},
	{"runnerLateOrders", agents, false, false, 4 * time.Second, onRunner(lateCalls(false)), onRunner(taskrunner.Fault{})},
	{"runnerLateCalls", agents, false, false, 4 * time.Second, onRunner(lateCalls(true)), onRunner(taskrunner.Fault{})},
	{"successorAtRestart", agents, true, false, 3 * time.Second, (*Run).succeedWithoutAgent, (*Run).restart},
}

// Messages that are held up arrive 2 to 12 s late.
const (
	minDelay    = 2 * time.Second
	delaySpread = 10 * time.Second
)

var lateHeartbeats = taskrunner.Fault{HeartbeatDelay: minDelay, DelaySpread: delaySpread}

func lateCalls(polls bool) taskrunner.Fault {
	return taskrunner.Fault{ApplyDelay: minDelay, DelaySpread: delaySpread, DelayPolls: polls}
}

// takeOver is how the next runner of a machine comes to its address.
type takeOver int

const (
	keepConnections  takeOver = iota // open connections stay with the runner before
	closeConnections                 // open connections are closed
	otherAddress                     // the next one answers at another address until the one before has left
)

// The time for which a runner works on beside its successor: drainMs and a little longer, at
// times many seconds. It differs by the number of the successor.
const (
	minOverlap  = 2 * time.Second
	overlapStep = 1300 * time.Millisecond
	overlaps    = 6
)

// succeed starts the next runner of the machine while the one before works on.
func succeed(how takeOver) func(*Run, *host) {
	return func(r *Run, h *host) {
		previous := h.runner()
		n := h.startSuccessor(how)
		leave := sync.OnceFunc(func() {
			r.recordDrainOf(h, previous)
			previous.Deregister(h.machine.agents[0])
			previous.Crash() // what runs on it ends with it
			if how == otherAddress {
				h.machine.address.Assign(h.runner(), true)
			}
		})
		h.machine.mu.Lock()
		h.machine.leaves = append(h.machine.leaves, leave)
		h.machine.mu.Unlock()
		time.AfterFunc(minOverlap+time.Duration(n%overlaps)*overlapStep, leave)
	}
}

// endOverlaps lets the runners leave that work on beside their successors.
func (m *machine) endOverlaps() {
	m.mu.Lock()
	leaves := m.leaves
	m.mu.Unlock()
	for _, leave := range leaves {
		leave()
	}
}

// crashAndSucceed starts the next runner of the machine after the one before has crashed.
func crashAndSucceed(_ *Run, h *host) {
	h.runner().Crash()
	h.startSuccessor(closeConnections)
}

// startSuccessor starts the next runner of the machine. It returns the number of its runners.
func (h *host) startSuccessor(how takeOver) int {
	m := h.machine
	x := h.newRunner()
	address := m.listener.Addr().String()
	if how == otherAddress {
		address = joinAddress(h.settings.IP, runnerPort+1)
	} else {
		m.address.Assign(x, how == closeConnections)
	}
	go x.Announce(m.context, address, m.agents...)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lives
}

// restartAmongLateHeartbeats holds heartbeats up, lets the next runner take the place of the
// sender, and kills the agent. The heartbeats arrive at an agent that has just started.
func (r *Run) restartAmongLateHeartbeats(h *host) {
	h.runner().Set(lateHeartbeats)
	pause.For(h.machine.context, time.Second)
	crashAndSucceed(r, h)
	r.kill(h)
}

// succeedWithoutAgent kills the agent, which then does not see that the next runner takes the
// place of one that works on.
func (r *Run) succeedWithoutAgent(h *host) {
	r.kill(h)
	succeed(closeConnections)(r, h)
}

// sendForeignHeartbeats sends the agent heartbeats of other writers.
func (r *Run) sendForeignHeartbeats(h *host) {
	if err := h.runner().SendForeignHeartbeats(h.machine.listener.Addr().String(), h.machine.agents[0]); err != nil {
		r.recordFailure("heartbeats of other writers are answered", err)
	}
}
