package onerun

import (
	"time"

	"k8s.io/klog/v2"
)

// usual are the faults of calls and messages that all schedules have.
var usual = faults{machines: 4, lateCall: 0.03, lostCall: 0.4, lostReply: 0.03, slowReply: 0.2, noRoom: 0.05, endsPerList: 500,
	lateBeat: 0.2, foreignBeat: 0.1, slowMessage: 0.05, outages: 0.001, overlap: 0.2}

// kinds are the kinds of schedules.
var kinds = map[string]func(*faults){
	"freezes": func(f *faults) { f.freezeEvery = 6 * time.Second },
	"cuts":    func(f *faults) { f.cutEvery, f.deafEvery = 6*time.Second, 12*time.Second },
	"agents": func(f *faults) {
		f.agentEvery, f.freezeEvery, f.deafEvery = 8*time.Second, 15*time.Second, 15*time.Second
	},
	"runners": func(f *faults) {
		f.runnerEvery, f.sameID, f.freezeEvery, f.deafEvery = 8*time.Second, 0.5, 15*time.Second, 15*time.Second
	},
	"leaders": func(f *faults) {
		f.leaderEvery, f.cutEvery, f.freezeEvery, f.deafEvery = 7*time.Second, 12*time.Second, 12*time.Second, 15*time.Second
	},
	"ends": func(f *faults) { f.endsPerList, f.agentEvery, f.outages = 3, 10*time.Second, 0.05 },
	"deaf": func(f *faults) { f.deafEvery, f.cutEvery = 5*time.Second, 10*time.Second },
	"storms": func(f *faults) {
		f.stormEvery, f.sameID, f.lateBeat = 4*time.Second, 1, 0.05
	},
	"returns": func(f *faults) { f.stormEvery, f.runnerEvery, f.earlierID = 5*time.Second, 6*time.Second, 0.8 },
	"all": func(f *faults) {
		f.freezeEvery, f.cutEvery, f.agentEvery, f.runnerEvery, f.deafEvery = 15*time.Second, 15*time.Second, 15*time.Second, 20*time.Second, 15*time.Second
		f.sameID, f.stallEvery, f.outages = 0.5, 10*time.Second, 0.01
	},
}

// freeze stops the processes of the agent for a time.
func (m *machine) freeze(d time.Duration) {
	m.world.mu.Lock()
	m.frozenUntil = time.Now().Add(d)
	m.world.mu.Unlock()
	klog.InfoS("WORLD agent is frozen", "machine", m.name, "for", d)
	time.Sleep(d)
}

// cut separates the agent from the leader for a time.
func (m *machine) cut(d time.Duration) {
	m.world.mu.Lock()
	m.cutUntil = time.Now().Add(d)
	m.world.mu.Unlock()
	klog.InfoS("WORLD agent is cut off", "machine", m.name, "for", d)
	time.Sleep(d)
}

// deafen makes most calls to the runner late for a time.
func (m *machine) deafen(d time.Duration) {
	m.world.mu.Lock()
	m.deafUntil = time.Now().Add(d)
	m.world.mu.Unlock()
	klog.InfoS("WORLD runner is deaf", "machine", m.name, "for", d)
	time.Sleep(d)
}

// longLoss is longer than the lease that the leader counts.
const longLoss = grantDuration + grantMargin + 2*time.Second

// storm lets calls to the runner be late, stops the agent, restarts the runner meanwhile, and
// loses the agent again a short time later: what is known of leases and runs at the second
// loss decides.
func (m *machine) storm() {
	w := m.world
	short := func() time.Duration { return w.rand.between(0, 2*time.Second) }
	lose := func(d time.Duration) {
		switch w.rand.between(0, 2) {
		case 0:
			m.restartAgent(d)
		case 1:
			m.freeze(d)
		case 2:
			m.cut(d)
		}
	}
	w.mu.Lock()
	m.lateNext = int(w.rand.between(0, 3))
	w.mu.Unlock()
	time.Sleep(short() / 2)
	go m.restartRunner()
	lose(w.rand.between(50*time.Millisecond, 5*time.Second))
	time.Sleep(short())
	if w.rand.chance(0.5) {
		lose(short() / 4)
		time.Sleep(short() / 2)
	}
	lose(longLoss)
}
