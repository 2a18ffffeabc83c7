package soak

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/childprocess"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/relay"
	"wasabihill.example/wasabihill/internal/standin/deployment"
)

// networkFaultKinds are the faults of a machine's network, processors and processes.
var networkFaultKinds = []faultKind{
	{"hostCut", oneHost, false, false, 5 * time.Second, shutGates(true, true), openGates(true, true)},
	{"hostCutOut", oneHost, false, false, 5 * time.Second, shutGates(true, false), openGates(true, false)},
	{"hostCutIn", oneHost, false, false, 5 * time.Second, shutGates(false, true), openGates(false, true)},
	{"hostsCut", twoHosts, false, false, 5 * time.Second, shutGates(true, true), openGates(true, true)},
	{"zoneCut", zone, false, false, 5 * time.Second, shutGates(true, true), openGates(true, true)},
	{"leaderCut", leaderHost, false, false, 5 * time.Second, shutGates(true, true), openGates(true, true)},
	{"stalls", anyHost, true, false, 6 * time.Second, (*Run).beginStalls, (*Run).endStalls},
	{successorKind, anyHost, true, false, 3 * time.Second, (*Run).succeed, nil},
	{"frozenPredecessor", oneHost, true, false, 5 * time.Second, (*Run).replaceFrozen, (*Run).endPredecessor},
	{"livePredecessor", oneHost, true, false, 5 * time.Second, (*Run).replaceLive, (*Run).endPredecessor},
	{"frozenLeader", leaderHost, true, false, 5 * time.Second, (*Run).replaceFrozen, (*Run).endPredecessor},
	{"liveLeader", leaderHost, true, false, 5 * time.Second, (*Run).replaceLive, (*Run).endPredecessor},
	{"lateRunnerCalls", agents, true, false, 9 * time.Second, (*Run).restartWithLateCalls, (*Run).deliverLateCalls},
}

// successorKind is the name of the planned stop of a process during which the next one starts.
const successorKind = "successor"

const (
	// Faults of machines last minLongDuration and up to the longest duration of their kind
	// more, in steps of longDurationStep, around the length of a lease.
	minLongDuration  = 4 * time.Second
	longDurationStep = 100 * time.Millisecond

	minStall, maxStall = 20 * time.Millisecond, 800 * time.Millisecond
	// maxOverlap is the longest time from the signal that ends a process to the start of
	// the next one.
	maxOverlap = 500 * time.Millisecond
	// startRetryDelay is the time after which a process is started again that could not
	// bind its addresses, as the one before had not ended.
	startRetryDelay = 200 * time.Millisecond
	// predecessorTime is how long a process goes on after it was resumed beside the next one.
	predecessorTime = 2 * time.Second
	// spareAddress is the offset of the last byte of the address of a host's next process.
	spareAddress = 100
)

// The special values of scheduledFault.host.
const (
	everyHost     = -1
	currentLeader = -2
)

// hostFaults is the part of a host on which the faults of this file act.
type hostFaults struct {
	out, in relay.Gate // of the machine's network

	mu          sync.Mutex
	stopCount   int // reasons for which the process is stopped
	runnerCalls *relay.Gate
	heldCalls   *relay.Gate // shut until the calls of an earlier process arrive
	predecessor *childprocess.Process
	stopStalls  func()
}

// onMachines returns the faults of a kind that lasts long, one for each host.
func (r *Run) onMachines(p scheduledFault, random *rand.Rand) []scheduledFault {
	steps := int(p.kind.maxDuration/longDurationStep) + 1
	p.duration = minLongDuration + time.Duration(random.IntN(steps))*longDurationStep
	first, count := random.IntN(r.Entries+r.Agents), 1
	var list []scheduledFault
	switch p.kind.target {
	case leaderHost:
		p.host = currentLeader
		return append(list, p)
	case zone:
		for i := range r.Entries + r.Agents {
			if zoneOf(i, r.Entries) == first%domainCount {
				p.host = i
				list = append(list, p)
			}
		}
		return list
	case twoHosts:
		count = 2
	}
	for i := range count {
		p.host = (first + i) % (r.Entries + r.Agents)
		list = append(list, p)
	}
	return list
}

// zoneOf returns the number of the failure domain of a host.
func zoneOf(host, entries int) int {
	if host < entries {
		return host % domainCount
	}
	return (host - entries) % domainCount
}

func shutGates(out, in bool) func(*Run, *host) {
	return func(_ *Run, h *host) { h.changeGates(out, in, (*relay.Gate).Shut) }
}

func openGates(out, in bool) func(*Run, *host) {
	return func(_ *Run, h *host) { h.changeGates(out, in, (*relay.Gate).Open) }
}

func (h *host) changeGates(out, in bool, change func(*relay.Gate)) {
	if out {
		change(&h.out)
	}
	if in {
		change(&h.in)
	}
}

// random returns a source for the details of a fault.
func (r *Run) random() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.Seed, uint64(len(r.injected))))
}

// succeed ends the process as operators do and starts the next one before it has ended. One
// that can't bind its addresses yet starts again, as a machine's supervisor has it.
func (r *Run) succeed(h *host) {
	gap := time.Duration(r.random().Int64N(int64(maxOverlap)))
	old := h.process.Detach()
	if old == nil {
		return
	}
	old.Signal(syscall.SIGCONT) // its share of a core may have stopped it
	ended := make(chan bool, 1)
	go func() { ended <- old.Terminate(gracePeriod) }()
	time.Sleep(gap)
	if !r.superviseUntil(h, ended) {
		r.recordFailure("a planned stop ends in time", fault.New("succeed", Late, "%s did not stop within %v and was killed", h.name, gracePeriod))
	}
}

// superviseUntil starts the process, and again if it ends, until the one before has ended.
func (r *Run) superviseUntil(h *host, ended <-chan bool) (inTime bool) {
	r.restart(h)
	for failures, over := 0, false; ; {
		select {
		case inTime = <-ended:
			over = true
		case <-time.After(startRetryDelay):
		}
		if h.process.Exited() {
			failures++
			h.process.Kill() // a Process that has exited can't be started
			r.restart(h)
		} else if over {
			klog.InfoS("process was succeeded", "host", h.name, "failedStarts", failures)
			return inTime
		}
		if over {
			ended = nil
		}
	}
}

// replaceFrozen stands for a machine whose process is suspended with all its connections while
// the platform starts the next one under its name at another address.
func (r *Run) replaceFrozen(h *host) { r.replaceBeside(h, syscall.SIGSTOP) }

// replaceLive is replaceFrozen with a process that goes on.
func (r *Run) replaceLive(h *host) { r.replaceBeside(h, syscall.SIGCONT) }

func (r *Run) replaceBeside(h *host, s syscall.Signal) {
	h.killPredecessor()
	old := h.process.Detach()
	if old == nil {
		return
	}
	old.Signal(s)
	h.hostFaults.mu.Lock()
	h.predecessor = old
	h.hostFaults.mu.Unlock()
	h.moveToOtherAddress()
	r.restart(h)
}

// moveToOtherAddress lets the next process of the host listen on its other address. The
// address that it advertises stays the same.
func (h *host) moveToOtherAddress() {
	ip := netip.MustParseAddr(h.settings.IP).As4()
	if ip[3] < spareAddress {
		ip[3] += spareAddress
	} else {
		ip[3] -= spareAddress
	}
	h.settings.IP = netip.AddrFrom4(ip).String()
	h.sessions.SetTarget(joinAddress(h.settings.IP, deployment.SessionPort))
	if h.clients != nil {
		h.clients.SetTarget(joinAddress(h.settings.IP, deployment.ClientsPort))
	} else {
		h.toAgent.SetTarget(joinAddress(h.settings.IP, deployment.HeartbeatsPort))
		h.toAgent.ResetConnections()
	}
}

// endPredecessor resumes the process of before, and kills it after a while.
func (r *Run) endPredecessor(h *host) {
	h.hostFaults.mu.Lock()
	old := h.predecessor
	h.hostFaults.mu.Unlock()
	if old != nil {
		old.Signal(syscall.SIGCONT)
		time.Sleep(predecessorTime)
	}
	h.killPredecessor()
}

func (h *host) killPredecessor() {
	h.hostFaults.mu.Lock()
	old := h.predecessor
	h.predecessor = nil
	h.hostFaults.mu.Unlock()
	if old != nil {
		old.Kill()
	}
}

// restartWithLateCalls kills the agent and starts the next one. Calls of the runner that are
// under way arrive at the end of the fault.
func (r *Run) restartWithLateCalls(h *host) {
	h.hostFaults.mu.Lock()
	h.heldCalls, h.runnerCalls = h.runnerCalls, &relay.Gate{}
	h.heldCalls.Shut()
	h.hostFaults.mu.Unlock()
	time.Sleep(time.Duration(r.random().Int64N(int64(maxOverlap)))) // calls accumulate
	h.process.Kill()
	r.restart(h)
}

func (r *Run) deliverLateCalls(h *host) {
	h.hostFaults.mu.Lock()
	defer h.hostFaults.mu.Unlock()
	h.heldCalls.Open()
}
