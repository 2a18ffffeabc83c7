package soak

import (
	"fmt"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/relay"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// target is what a kind of fault strikes.
type target int

const (
	entries  target = iota // one entry process
	agents                 // one agent, its runner or its links
	anyHost                // one process of either role
	allHosts               // every process
)

// kind is a kind of fault.
type kind struct {
	name    string
	on      target
	process bool // stops or pauses the process, so that two at a time make no sense
	planned bool // operators do it, so promises about planned work hold
	longest time.Duration
	begin   func(*Run, *host)
	end     func(*Run, *host)
}

// terminateKind is the planned stop of a process.
const terminateKind = "terminate"

// kinds lists every kind of fault once.
var kinds = []kind{
	{"kill", anyHost, true, false, 3 * time.Second, (*Run).kill, (*Run).restart},
	{terminateKind, anyHost, true, true, 3 * time.Second, (*Run).terminate, (*Run).restart},
	{"pause", anyHost, true, false, 9 * time.Second, send(syscall.SIGSTOP), send(syscall.SIGCONT)},
	{"killAll", allHosts, true, false, time.Second, (*Run).kill, (*Run).restart},
	{"hangup", anyHost, false, true, time.Millisecond, (*Run).changeSettings, nil},
	{"settingsChange", anyHost, false, true, time.Millisecond, (*Run).rewriteSettings, nil},

	{"sessionsSilent", anyHost, false, false, 6 * time.Second, silence(sessions, true, true), restore(sessions)},
	{"sessionsOneWay", anyHost, false, false, 6 * time.Second, silence(sessions, true, false), restore(sessions)},
	{"sessionsNoAnswers", anyHost, false, false, 6 * time.Second, silence(sessions, false, true), restore(sessions)},
	{"sessionsReset", anyHost, false, false, time.Millisecond, reset(sessions), nil},
	{"sessionsSlow", anyHost, false, false, 5 * time.Second, delay(sessions, 150*time.Millisecond), restore(sessions)},
	{"sessionsRefused", anyHost, false, false, 5 * time.Second, refuse(sessions), restore(sessions)},

	{"storeLinkSilent", anyHost, false, false, 6 * time.Second, silence(storeLink, true, true), restore(storeLink)},
	{"storeLinkNoAnswers", anyHost, false, false, 6 * time.Second, silence(storeLink, false, true), restore(storeLink)},
	{"storeLinkReset", anyHost, false, false, time.Millisecond, reset(storeLink), nil},
	{"storeRefuses", anyHost, false, false, 5 * time.Second, door(metastore.Fault{Status: 503}), door(metastore.Fault{})},
	{"storeLosesAnswers", anyHost, false, false, 4 * time.Second, door(metastore.Fault{DropReply: true, OnlyAppends: true}), door(metastore.Fault{})},
	{"storeWritesLate", anyHost, false, false, 4 * time.Second, door(metastore.Fault{DropReply: true, ApplyDelay: 2 * time.Second, OnlyAppends: true}), door(metastore.Fault{})},
	{"storeSlow", allHosts, false, false, 4 * time.Second, door(metastore.Fault{CallDelay: 200 * time.Millisecond}), door(metastore.Fault{})},
	{"storeSilent", allHosts, false, false, 5 * time.Second, door(metastore.Fault{NoReply: true}), door(metastore.Fault{})},
	{"storeDown", allHosts, false, false, 5 * time.Second, door(metastore.Fault{Reset: true}), door(metastore.Fault{})},
	{"storeForgets", allHosts, false, false, time.Millisecond, func(r *Run, _ *host) { r.fleet.store.DeleteHistory() }, nil},

	{"clientsReset", entries, false, false, time.Millisecond, reset(clientLink), nil},
	{"clientsSlow", entries, false, false, 4 * time.Second, delay(clientLink, 100*time.Millisecond), restore(clientLink)},

	{"runnerSilent", agents, false, false, 5 * time.Second, runner(taskrunner.Fault{NoReply: true}), runner(taskrunner.Fault{})},
	{"runnerRefuses", agents, false, false, 4 * time.Second, runner(taskrunner.Fault{Status: 503}), runner(taskrunner.Fault{})},
	{"runnerLate", agents, false, false, 4 * time.Second, runner(taskrunner.Fault{OrderDelay: 1500 * time.Millisecond}), runner(taskrunner.Fault{})},
	{"runnerMute", agents, false, false, 5 * time.Second, runner(taskrunner.Fault{NoHeartbeats: true}), runner(taskrunner.Fault{})},
	{"runnerCrash", agents, false, false, 4 * time.Second, func(_ *Run, h *host) { h.runner.Crash() }, func(_ *Run, h *host) { h.runner.Restart() }},
	{"runnerReborn", agents, false, false, time.Millisecond, func(_ *Run, h *host) { h.runner.Restart() }, nil},
	{"runnerDrains", agents, false, true, 6 * time.Second, func(_ *Run, h *host) { h.runner.Drain() }, (*Run).replaceRunner},
	{"runnerLinkReset", agents, false, false, time.Millisecond, reset(runnerLink), nil},
	{"runnerLinkSilent", agents, false, false, 5 * time.Second, silence(runnerLink, true, true), restore(runnerLink)},

	{"configuration", entries, false, true, time.Millisecond, (*Run).configure, nil},
	{"evacuation", agents, false, true, 8 * time.Second, (*Run).evacuate, (*Run).takeBack},
}

func (r *Run) kill(h *host) { h.process.Kill() }

func (r *Run) restart(h *host) {
	if err := h.restart(r); err != nil {
		r.fail("a process starts again", err)
	}
}

// terminate stops the process as an operator does.
func (r *Run) terminate(h *host) {
	if !h.process.Terminate(graceWithin) {
		r.fail("a planned stop ends in time", fmt.Errorf("%s was killed after %v", h.name, graceWithin))
	}
}

func send(s syscall.Signal) func(*Run, *host) {
	return func(_ *Run, h *host) { h.process.Signal(s) }
}

// rewriteSettings changes the settings file without a signal.
func (r *Run) rewriteSettings(h *host) {
	h.settings.MemoryMb++
	if err := h.writeSettings(h.settingsPath(r)); err != nil {
		klog.ErrorS(err, "settings are not changed", "host", h.name)
	}
}

func (r *Run) changeSettings(h *host) {
	r.rewriteSettings(h)
	h.process.Signal(syscall.SIGHUP)
}

// link selects a relay of a host; nil where the host has none.
type link func(*host) *relay.Relay

func sessions(h *host) *relay.Relay   { return h.sessions }
func storeLink(h *host) *relay.Relay  { return h.toStore }
func clientLink(h *host) *relay.Relay { return h.clients }
func runnerLink(h *host) *relay.Relay { return h.toRunner }

func silence(l link, forward, backward bool) func(*Run, *host) {
	return func(_ *Run, h *host) { l(h).SetBlackhole(forward, backward) }
}

func restore(l link) func(*Run, *host) { return func(_ *Run, h *host) { l(h).ClearFaults() } }

func reset(l link) func(*Run, *host) { return func(_ *Run, h *host) { l(h).ResetConnections() } }

func refuse(l link) func(*Run, *host) { return func(_ *Run, h *host) { l(h).SetRefusing(true) } }

func delay(l link, d time.Duration) func(*Run, *host) {
	return func(_ *Run, h *host) { l(h).SetDelay(d) }
}

func door(f metastore.Fault) func(*Run, *host) { return func(_ *Run, h *host) { h.door.Set(f) } }

func runner(f taskrunner.Fault) func(*Run, *host) { return func(_ *Run, h *host) { h.runner.Set(f) } }

// replaceRunner begins a new life of a runner that has drained.
func (r *Run) replaceRunner(h *host) {
	r.noteDrain(h)
	h.runner.Restart()
}

func (r *Run) configure(*host) {
	if err := r.fleet.configure(); err != nil {
		r.fail("a configuration is written", err)
	}
}

// evacuate takes the host's failure domain out, unless it is out already.
func (r *Run) evacuate(h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations[h.domain]++
	if r.evacuations[h.domain] > 1 {
		return
	}
	r.fleet.operator.Evacuate(h.domain, true)
	r.out = append(r.out, absence{domain: h.domain, from: time.Now()})
}

// takeBack ends one evacuation of the host's failure domain; the domain is back
// with the end of the last one.
func (r *Run) takeBack(h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations[h.domain]--
	if r.evacuations[h.domain] > 0 {
		return
	}
	for i := range r.out {
		if r.out[i].domain == h.domain && r.out[i].until.IsZero() {
			r.out[i].until = time.Now()
		}
	}
	r.fleet.operator.Evacuate(h.domain, false)
}

// noteDrain keeps when an agent learned that its runner drains.
func (r *Run) noteDrain(h *host) {
	known := h.runner.DrainAcknowledgedAt()
	if known.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = append(r.drained, absence{runner: h.runner.ID, host: h.name, from: known, until: time.Now()})
}
