package onerun

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// beatInterval is the time between the heartbeats of a runner.
const beatInterval = 500 * time.Millisecond

// machine has a runner and its agent. The world's lock guards its fields.
type machine struct {
	world       *world
	name        string
	life        *life // nil while the runner is down
	past        *life // the runner before, which may go on beside its successor; may be nil
	lives       int
	id, ids     int    // number of the runner's id, and of the last new one
	agent       *agent // nil while the agent is down
	processes   int    // of the agent
	frozenUntil time.Time
	cutUntil    time.Time
	deafUntil   time.Time  // until then most calls to the runner are carried out late
	restarting  sync.Mutex // held while the runner restarts
	lateNext    int        // this many next calls are carried out late
}

// startRunner begins a runner's process under the id with the given number.
func (m *machine) startRunner(id int) {
	w := m.world
	rate := 1 - float64(w.rand.between(0, 20))/1000
	w.mu.Lock()
	defer w.mu.Unlock()
	m.lives++
	m.id, m.ids = id, max(m.ids, id)
	m.life = &life{
		Incarnation: runner.Incarnation{ID: fmt.Sprintf("i-%s-%d", m.name, m.id), StartedUnixMs: time.Now().UnixMilli()},
		world:       w, machine: m.name, began: time.Now(), rate: max(rate, slowestClock),
		runs: make(map[runID]*activeRun), highest: make(map[workflow.TaskID]workflow.Attempt),
	}
	klog.InfoS("WORLD runner begins", "machine", m.name, "runner", m.life.ID, "born", m.life.StartedUnixMs)
}

// restartRunner lets the runner crash and begins the next one, under the same id or another.
func (m *machine) restartRunner() {
	if !m.restarting.TryLock() {
		return
	}
	defer m.restarting.Unlock()
	id := m.ids + 1
	if m.world.rand.chance(m.world.faults.sameID) {
		id = m.id
	} else if m.id > 1 && m.world.rand.chance(m.world.faults.earlierID) {
		id = m.id - 1
	}
	if m.world.rand.chance(m.world.faults.beside) {
		m.succeedRunner()
		return
	}
	m.world.mu.Lock()
	m.life.crash()
	m.world.mu.Unlock()
	klog.InfoS("WORLD runner crashes", "machine", m.name)
	time.Sleep(m.world.rand.between(20*time.Millisecond, 3*time.Second))
	m.startRunner(id)
}

// succeedRunner begins the next runner at the runner's address while that one drains and goes
// on with its runs, out of reach, for a time.
func (m *machine) succeedRunner() {
	w := m.world
	w.mu.Lock()
	old := m.life
	old.draining = true
	w.mu.Unlock()
	klog.InfoS("WORLD runner drains", "machine", m.name, "runner", old.ID)
	time.Sleep(w.rand.between(0, 3*time.Second))
	w.mu.Lock()
	m.past = old
	w.mu.Unlock()
	m.startRunner(m.ids + 1)
	time.Sleep(w.rand.between(time.Second, 12*time.Second))
	w.mu.Lock()
	old.crash()
	w.mu.Unlock()
	klog.InfoS("WORLD runner ends", "machine", m.name, "runner", old.ID)
}

// beat sends the runner's heartbeats to the agent of its machine; some are late, and some also
// reach the agent of another machine.
func (m *machine) beat() {
	w := m.world
	for seq := int64(1); ; seq++ {
		time.Sleep(w.rand.between(beatInterval*4/5, beatInterval*6/5))
		w.mu.Lock()
		l, over, other := m.life, w.over, w.machines[int(seq)%len(w.machines)]
		alive := l != nil && !l.over
		info, clock := runner.Info{}, runner.ClockTime(0)
		if alive {
			info, clock = l.info(seq), l.clock()
		}
		w.mu.Unlock()
		if over {
			return
		}
		if !alive {
			continue
		}
		delay := w.rand.between(0, 2*time.Millisecond)
		if w.rand.chance(w.faults.lateBeat) {
			delay = w.rand.between(100*time.Millisecond, 8*time.Second)
		}
		go func() { time.Sleep(delay); m.announce(info, clock) }()
		if w.rand.chance(w.faults.foreignBeat) {
			go func() { time.Sleep(delay); other.announce(info, clock) }()
		}
	}
}

func (l *life) info(seq int64) runner.Info {
	return runner.Info{Incarnation: l.Incarnation, Service: service, Domain: "z", Labels: []string{"a", "r1"},
		Capacity: units.Resources{Processors: 8000, Memory: 64 * units.GiB}, Sequence: seq, Draining: l.draining}
}

// announce delivers a heartbeat to the agent that is there.
func (m *machine) announce(info runner.Info, clock runner.ClockTime) {
	m.world.mu.Lock()
	a := m.agent
	m.world.mu.Unlock()
	if a != nil && a.thaw() {
		a.controller.HandleAnnouncement(info, clock)
	}
}

// client is an agent's client of the runner on its machine.
type client struct{ *agent }

func (c client) Start(ctx context.Context, call runner.StartCall) (runner.ClockTime, error) {
	return c.call(ctx, "start", func(sentTo int64) runner.Kind { return c.machine.life.start(call, sentTo) })
}

func (c client) Stop(ctx context.Context, call runner.StopCall) (runner.ClockTime, error) {
	return c.call(ctx, "stop", func(int64) runner.Kind { return c.machine.life.stop(call) })
}

func (c client) SetPace(context.Context, runner.PaceCall) (runner.ClockTime, error) { return 0, nil }

func (c client) Poll(ctx context.Context, call runner.PollCall) (runner.Listing, error) {
	w := c.machine.world
	var polled *life
	if _, err := c.send(ctx, "poll", func(sentTo int64) runner.Kind { polled = c.machine.life; return polled.poll(call, sentTo) }); err != nil {
		return runner.Listing{}, err
	}
	listing := runner.Listing{}
	for deadline := time.Now().Add(call.Wait); ; time.Sleep(2 * worldStep) {
		w.mu.Lock()
		over := polled.over
		if !over {
			polled.expire()
		}
		ready := len(polled.ended) > 0 || !time.Now().Before(deadline)
		if ready && !over {
			listing = polled.list()
		}
		w.mu.Unlock()
		if over {
			return runner.Listing{}, fault.New("poll", runner.Unanswered, "connection is broken")
		}
		if ready {
			break
		}
	}
	return listing, c.awaitReply(ctx, "poll")
}

// call makes a call whose reply has the runner's clock.
func (c client) call(ctx context.Context, name string, carryOut func(sentTo int64) runner.Kind) (runner.ClockTime, error) {
	clock, err := c.send(ctx, name, carryOut)
	if runner.Is(err, runner.Unanswered) || runner.Is(err, runner.NotSent) {
		return 0, err
	}
	if err := c.awaitReply(ctx, name); err != nil {
		return 0, err
	}
	return clock, err
}

// send carries a call out, at once or late. A late call has no reply.
func (c client) send(ctx context.Context, name string, carryOut func(sentTo int64) runner.Kind) (runner.ClockTime, error) {
	w := c.machine.world
	if !c.thaw() {
		return 0, fault.New(name, runner.NotSent, "the agent has ended")
	}
	w.mu.Lock()
	if l := c.machine.life; l == nil || l.over {
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		return 0, fault.New(name, runner.NotSent, "nobody listens")
	}
	sentTo := c.machine.life.StartedUnixMs
	w.mu.Unlock()
	if c.machine.takesLate() {
		delay, lost := w.rand.between(2*time.Second, 12*time.Second), w.rand.chance(w.faults.lostCall)
		go func() {
			time.Sleep(delay)
			if lost {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			klog.InfoS("WORLD late call", "machine", c.machine.name, "call", name, "delay", delay, "result", carryOut(sentTo))
		}()
		<-ctx.Done()
		c.thaw()
		return 0, fault.New(name, runner.Unanswered, "late")
	}
	time.Sleep(w.rand.between(0, 2*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	kind := carryOut(sentTo)
	if kind == "" {
		return c.machine.life.clock(), nil
	}
	clock := runner.ClockTime(0)
	if kind != runner.NotSent && kind != runner.WrongIncarnation {
		clock = c.machine.life.clock()
	}
	return clock, fault.New(name, kind, "by the rules")
}

// takesLate reports whether the next call is carried out late.
func (m *machine) takesLate() bool {
	w := m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.lateNext > 0 {
		m.lateNext--
		return true
	}
	share := w.faults.lateCall
	if time.Now().Before(m.deafUntil) {
		share = 0.9
	}
	return w.rand.chance(share)
}

// awaitReply lets the reply get lost, be overtaken, or be read after a freeze.
func (c client) awaitReply(ctx context.Context, name string) error {
	w := c.machine.world
	delay := w.rand.between(0, time.Millisecond)
	if w.rand.chance(w.faults.slowReply) {
		delay = w.rand.between(0, 700*time.Millisecond)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	arrived := timer.C
	if w.rand.chance(w.faults.lostReply) {
		arrived = nil
	}
	select {
	case <-arrived:
	case <-ctx.Done():
		c.thaw()
		return fault.New(name, runner.Unanswered, "reply is lost")
	}
	if !c.thaw() || ctx.Err() != nil && w.rand.chance(0.5) { // after a freeze the reply and the end of the wait are there
		return fault.New(name, runner.Unanswered, "too late")
	}
	return nil
}

var _ runner.API = client{}
