package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/childprocess"
	"wasabihill.example/wasabihill/internal/relay"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// faultTarget is the set of hosts that a kind of fault affects.
type faultTarget int

const (
	entries    faultTarget = iota // one entry process
	agents                        // one agent, its runner or its links
	anyHost                       // one process of either role
	allHosts                      // every process
	oneHost                       // one host, for long
	twoHosts                      // two hosts
	zone                          // the hosts of a failure domain
	leaderHost                    // the host of the leader
)

// faultKind is a kind of fault.
type faultKind struct {
	name         string
	target       faultTarget
	stopsProcess bool // stops or pauses the process, so such faults of one process must not overlap
	planned      bool // an operator action, during which promises with a time bound still apply
	maxDuration  time.Duration
	begin        func(*Run, *host)
	end          func(*Run, *host)
}

// terminateKind is the name of the planned stop of a process.
const terminateKind = "terminate"

// faultKinds lists the kinds of faults. Their order is part of the schedule of a
// seed.
var faultKinds = []faultKind{
	{"kill", anyHost, true, false, 3 * time.Second, (*Run).kill, (*Run).restart},
	{terminateKind, anyHost, true, true, 3 * time.Second, (*Run).terminate, (*Run).restart},
	{"pause", anyHost, true, false, 9 * time.Second, (*Run).suspend, (*Run).resume},
	{"killAll", allHosts, true, false, time.Second, (*Run).kill, (*Run).restart},
	{"hangup", anyHost, false, true, time.Millisecond, (*Run).changeSettings, nil},
	{"settingsChange", anyHost, false, true, time.Millisecond, (*Run).rewriteSettings, nil},

	{"sessionsSilent", anyHost, false, false, 6 * time.Second, blackholeLink(sessionLink, true, true), restoreLink(sessionLink)},
	{"sessionsOneWay", anyHost, false, false, 6 * time.Second, blackholeLink(sessionLink, true, false), restoreLink(sessionLink)},
	{"sessionsNoAnswers", anyHost, false, false, 6 * time.Second, blackholeLink(sessionLink, false, true), restoreLink(sessionLink)},
	{"sessionsReset", anyHost, false, false, time.Millisecond, resetLink(sessionLink), nil},
	{"sessionsSlow", anyHost, false, false, 5 * time.Second, delayLink(sessionLink, 150*time.Millisecond), restoreLink(sessionLink)},
	{"sessionsRefused", anyHost, false, false, 5 * time.Second, refuseLink(sessionLink), restoreLink(sessionLink)},

	{"storeLinkSilent", anyHost, false, false, 6 * time.Second, blackholeLink(storeLink, true, true), restoreLink(storeLink)},
	{"storeLinkNoAnswers", anyHost, false, false, 6 * time.Second, blackholeLink(storeLink, false, true), restoreLink(storeLink)},
	{"storeLinkReset", anyHost, false, false, time.Millisecond, resetLink(storeLink), nil},
	{"storeRefuses", anyHost, false, false, 5 * time.Second, onStore(metastore.Fault{Status: 503}), onStore(metastore.Fault{})},
	{"storeLosesAnswers", anyHost, false, false, 4 * time.Second, onStore(metastore.Fault{DropReply: true, OnlyAppends: true}), onStore(metastore.Fault{})},
	{"storeWritesLate", anyHost, false, false, 4 * time.Second, onStore(metastore.Fault{DropReply: true, ApplyDelay: 2 * time.Second, OnlyAppends: true}), onStore(metastore.Fault{})},
	{"storeSlow", allHosts, false, false, 4 * time.Second, onStore(metastore.Fault{CallDelay: 200 * time.Millisecond}), onStore(metastore.Fault{})},
	{"storeSilent", allHosts, false, false, 5 * time.Second, onStore(metastore.Fault{NoReply: true}), onStore(metastore.Fault{})},
	{"storeDown", allHosts, false, false, 5 * time.Second, onStore(metastore.Fault{Reset: true}), onStore(metastore.Fault{})},
	{"storeForgets", allHosts, false, false, time.Millisecond, func(r *Run, _ *host) { r.fleet.store.DeleteHistory() }, nil},

	{"clientsReset", entries, false, false, time.Millisecond, resetLink(clientLink), nil},
	{"clientsSlow", entries, false, false, 4 * time.Second, delayLink(clientLink, 100*time.Millisecond), restoreLink(clientLink)},

	{"runnerSilent", agents, false, false, 5 * time.Second, onRunner(taskrunner.Fault{NoReply: true}), onRunner(taskrunner.Fault{})},
	{"runnerRefuses", agents, false, false, 4 * time.Second, onRunner(taskrunner.Fault{Status: 503}), onRunner(taskrunner.Fault{})},
	{"runnerLate", agents, false, false, 4 * time.Second, onRunner(taskrunner.Fault{ApplyDelay: 1500 * time.Millisecond}), onRunner(taskrunner.Fault{})},
	{"runnerMute", agents, false, false, 5 * time.Second, onRunner(taskrunner.Fault{NoHeartbeats: true}), onRunner(taskrunner.Fault{})},
	{"runnerCrash", agents, false, false, 4 * time.Second, func(_ *Run, h *host) { h.runner().Crash() }, func(_ *Run, h *host) { h.runner().Restart() }},
	{"runnerReborn", agents, false, false, time.Millisecond, func(_ *Run, h *host) { h.runner().Restart() }, nil},
	{"runnerDrains", agents, false, true, 6 * time.Second, func(_ *Run, h *host) { h.runner().Drain() }, (*Run).replaceRunner},
	{"runnerLinkReset", agents, false, false, time.Millisecond, resetLink(runnerLink), nil},
	{"runnerLinkSilent", agents, false, false, 5 * time.Second, blackholeLink(runnerLink, true, true), restoreLink(runnerLink)},

	{"configuration", entries, false, true, time.Millisecond, (*Run).configure, nil},
	{"evacuation", agents, false, true, 8 * time.Second, (*Run).evacuate, (*Run).endEvacuation},
}

func (r *Run) kill(h *host) { h.process.Kill() }

func (r *Run) restart(h *host) {
	if err := h.restart(r); err != nil {
		r.recordFailure("a process starts again", err)
	}
}

// signalGap is the time between two signals of a series.
const signalGap = 150 * time.Millisecond

// terminate stops the process gracefully, as operators do. Meanwhile it gets further
// signals, which must not end it sooner.
func (r *Run) terminate(h *host) {
	ended := make(chan struct{})
	var series sync.WaitGroup
	series.Go(func() { sendSeries(h.process, ended) })
	defer series.Wait()
	defer close(ended)
	if !h.process.Terminate(gracePeriod) {
		r.recordFailure("a planned stop ends in time", fmt.Errorf("%s did not stop within %v and was killed", h.name, gracePeriod))
	} else if err := h.process.Result(); err != nil {
		r.recordFailure("a planned stop is not cut short", fmt.Errorf("%s ended with: %w", h.name, err))
	}
}

// sendSeries sends a series of signals to the process until it has ended: the next process of
// the host must not get them.
func sendSeries(p *childprocess.Process, ended <-chan struct{}) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		select {
		case <-ended:
			return
		case <-time.After(signalGap):
			p.Signal(s)
		}
	}
}

// rewriteSettings changes the settings file without sending a signal to the
// process.
func (r *Run) rewriteSettings(h *host) {
	h.settings.MemoryMb++
	if err := h.writeSettings(h.settingsPath(r)); err != nil {
		klog.ErrorS(err, "settings file could not be rewritten", "host", h.name)
	}
}

func (r *Run) changeSettings(h *host) {
	r.rewriteSettings(h)
	h.process.Signal(syscall.SIGHUP)
}

// linkSelector returns one relay of a host, or nil if the host does not have it.
type linkSelector func(*host) *relay.Relay

func sessionLink(h *host) *relay.Relay { return h.sessions }
func storeLink(h *host) *relay.Relay   { return h.toStore }
func clientLink(h *host) *relay.Relay  { return h.clients }
func runnerLink(h *host) *relay.Relay  { return h.toRunner }

func blackholeLink(l linkSelector, forward, backward bool) func(*Run, *host) {
	return func(_ *Run, h *host) { l(h).SetBlackhole(forward, backward) }
}

func restoreLink(l linkSelector) func(*Run, *host) {
	return func(_ *Run, h *host) { l(h).ClearFaults() }
}

func resetLink(l linkSelector) func(*Run, *host) {
	return func(_ *Run, h *host) { l(h).ResetConnections() }
}

func refuseLink(l linkSelector) func(*Run, *host) {
	return func(_ *Run, h *host) { l(h).SetRefusing(true) }
}

func delayLink(l linkSelector, d time.Duration) func(*Run, *host) {
	return func(_ *Run, h *host) { l(h).SetDelay(d) }
}

func onStore(f metastore.Fault) func(*Run, *host) { return func(_ *Run, h *host) { h.store.Set(f) } }

func onRunner(f taskrunner.Fault) func(*Run, *host) {
	return func(_ *Run, h *host) { h.runner().Set(f) }
}

// replaceRunner starts a new incarnation of a drained runner.
func (r *Run) replaceRunner(h *host) {
	r.recordDrain(h)
	h.runner().Restart()
}

func (r *Run) configure(*host) {
	if err := r.fleet.configure(); err != nil {
		r.recordFailure("a configuration is written", err)
	}
}

// evacuate takes the host's failure domain out of service, unless another
// evacuation has done so already.
func (r *Run) evacuate(h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations[h.domain]++
	if r.evacuations[h.domain] > 1 {
		return
	}
	r.fleet.operator.Evacuate(h.domain, true)
	r.domainsOut = append(r.domainsOut, noStartPeriod{domain: h.domain, from: time.Now()})
}

// endEvacuation ends one evacuation of the host's failure domain. The end of the
// last one puts the domain back into service.
func (r *Run) endEvacuation(h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations[h.domain]--
	if r.evacuations[h.domain] > 0 {
		return
	}
	for i := range r.domainsOut {
		if r.domainsOut[i].domain == h.domain && r.domainsOut[i].until.IsZero() {
			r.domainsOut[i].until = time.Now()
		}
	}
	r.fleet.operator.Evacuate(h.domain, false)
}

// recordDrain records the period since the agent received the draining state of
// its runner.
func (r *Run) recordDrain(h *host) { r.recordDrainOf(h, h.runner()) }

func (r *Run) recordDrainOf(h *host, x *taskrunner.Runner) {
	acknowledgedAt := x.DrainAcknowledgedAt()
	if acknowledgedAt.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = append(r.draining, noStartPeriod{runner: x.ID, host: h.name, from: acknowledgedAt, until: time.Now()})
}
