package onerun

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
)

// As in internal/node.
const (
	grantDuration  = 6 * time.Second
	grantMargin    = 500 * time.Millisecond
	reportInterval = time.Second
	callTimeout    = 1200 * time.Millisecond
)

// agent is a process of a machine's agent. It does what node.Agent does.
type agent struct {
	machine    *machine
	controller *runner.Controller
	ctx        context.Context
	kill       context.CancelFunc
	changed    chan struct{}

	mu         sync.Mutex
	term       uint64
	attachment uint64
	session    *session
}

// maxOverlap is the longest time for which two processes of an agent are there.
const maxOverlap = 4 * time.Second

// startAgent begins an agent's process.
func (m *machine) startAgent() {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.processes++
	a := &agent{machine: m, changed: make(chan struct{}, 1)}
	a.ctx, a.kill = context.WithCancel(context.Background())
	a.controller = &runner.Controller{API: client{a}, BaseToken: runner.FencingToken(m.processes), MaxLease: holdMax, OnChange: a.notify}
	m.agent = a
	m.frozenUntil = time.Time{}
	klog.InfoS("WORLD agent begins", "machine", m.name, "process", m.processes)
	go func() { _ = a.controller.Run(a.ctx) }()
	go a.runReports()
}

// restartAgent kills the agent's process and begins the next one after the given time. Some
// processes are still there for a while when the next one begins.
func (m *machine) restartAgent(after time.Duration) {
	m.world.mu.Lock()
	a := m.agent
	m.agent = nil
	m.world.mu.Unlock()
	if a == nil {
		return // another restart is under way
	}
	klog.InfoS("WORLD agent is killed", "machine", m.name)
	if m.world.rand.chance(m.world.faults.overlap) {
		m.startAgent()
		time.Sleep(min(after, maxOverlap))
		a.kill()
		return
	}
	a.kill()
	time.Sleep(after)
	m.startAgent()
}

// thaw waits while the machine's processes are frozen. It reports false once the agent's
// process has ended.
func (a *agent) thaw() bool {
	for a.ctx.Err() == nil {
		a.machine.world.mu.Lock()
		left := time.Until(a.machine.frozenUntil)
		a.machine.world.mu.Unlock()
		if left <= 0 {
			return true
		}
		time.Sleep(left)
	}
	return false
}

func (a *agent) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (a *agent) runReports() {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.changed:
		case <-timer.C:
		}
		timer.Reset(reportInterval)
		if a.thaw() {
			a.sendReport()
		}
	}
}

func (a *agent) sendReport() {
	a.mu.Lock()
	s, attachment := a.session, a.attachment
	a.mu.Unlock()
	if s == nil {
		return
	}
	a.thaw()
	report, rejections := a.controller.Report()
	report.Attachment = attachment
	if !a.thaw() {
		return
	}
	sent := bootclock.Now()
	reply, ok := exchange(s, s.toLeader, func() (*wire.ReportReply, bool) { return s.conn.applyReport(s, report) })
	if !a.thaw() {
		return
	}
	if !ok {
		if s.isClosed() || reply != nil { // the leader rejects reports on it
			s.close()
			a.mu.Lock()
			if a.session == s {
				a.session = nil
			}
			a.mu.Unlock()
		}
		return
	}
	a.controller.DropRejections(rejections)
	if reply.GetGranted() {
		a.controller.ExtendGrant(sent.Add(grantDuration))
	}
	if reported := report.GetRunner(); reported != nil {
		a.controller.MarkRecorded(runner.Incarnation{ID: reported.GetId(), StartedUnixMs: reply.GetRecordedBornUnixMs()}, reply.GetRecorded())
	}
}

func (a *agent) handleAttach(s *session, term, attachment uint64) bool {
	a.mu.Lock()
	if term < a.term || term == a.term && attachment <= a.attachment {
		a.mu.Unlock()
		return false
	}
	a.term, a.attachment, a.session = term, attachment, s
	a.mu.Unlock()
	a.notify()
	return true
}

// handleOrders returns the number of the last report.
func (a *agent) handleOrders(term, attachment uint64, o scheduler.Orders) (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if term != a.term || attachment != a.attachment {
		return 0, false
	}
	incarnation := runner.Incarnation{ID: o.RunnerID, StartedUnixMs: o.RunnerStartUnixMs}
	for _, s := range o.Starts {
		a.controller.Start(a.ctx, incarnation, s)
	}
	for _, d := range o.Descriptions {
		a.controller.CompleteRun(d)
	}
	for _, s := range o.Stops {
		a.controller.Stop(a.ctx, s.Task, s.Attempt)
	}
	a.controller.MarkRecorded(incarnation, o.DurableEnds)
	return a.controller.LastReportSequence(), true
}
