package node

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// dialTimeout bounds a connection attempt to an agent or the leader.
	dialTimeout = 700 * time.Millisecond
	// redialDelay is the pause between the end of a session and the next dial.
	redialDelay = 200 * time.Millisecond
	// rejectedAttachDelay is the pause after a rejected attach. The address then mostly
	// belongs to another machine, until the agent that is meant registers again.
	rejectedAttachDelay = time.Second
)

// agentConn is the leader's connection to one agent. Only the goroutine that
// runs the scheduler accesses its mutable fields.
type agentConn struct {
	worker     units.WorkerID
	address    string
	stop       context.CancelFunc
	attachment uint64
	session    *link.Session // nil while disconnected
}

// connectAgent starts a goroutine that keeps a session to the agent open. It
// replaces an earlier connection to the same worker and continues its
// attachment numbers.
func (l *leader) connectAgent(m member) {
	id := units.WorkerID(m.name)
	attachment := uint64(0)
	if old := l.agents[id]; old != nil {
		old.stop()
		attachment = old.attachment
	}
	ctx, stop := context.WithCancel(l.ctx)
	a := &agentConn{worker: id, address: m.address, stop: stop, attachment: attachment}
	l.agents[id] = a
	l.group.Go(func() error {
		for ctx.Err() == nil {
			delay := redialDelay
			if err := l.runAttachment(ctx, a); fault.Is(err, link.Rejected) {
				delay = rejectedAttachDelay
			}
			pause.Jittered(ctx, delay)
		}
		return nil
	})
}

// runAttachment opens a session, attaches to the agent and returns when the
// session has ended. It returns the error of the attach call, if that was made.
func (l *leader) runAttachment(ctx context.Context, a *agentConn) error {
	attachment := make(chan uint64, 1)
	if !l.enqueue(func() {
		a.attachment++
		attachment <- a.attachment
	}) {
		return nil
	}
	var number uint64
	select {
	case number = <-attachment:
	case <-l.ctx.Done():
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	session, err := link.Dial(dialCtx, a.address, l.agentRoutes(a, number))
	cancel()
	if err != nil {
		klog.V(1).InfoS("failed to connect to agent", "worker", a.worker, "address", a.address, "err", err)
		return nil
	}
	defer session.Close()
	// The scheduler resets its state of the worker before the attach call, after
	// which the agent may report on this session.
	l.enqueue(func() { l.agentAttached(a, session) })
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	err = session.Call(callCtx, pathAttach, &wire.Attach{Term: uint64(l.term), Leader: l.settings.Name, Attachment: number, Worker: string(a.worker)}, &wire.OrdersReply{})
	cancel()
	if err == nil {
		klog.InfoS("agent attached", "worker", a.worker, "attachment", number)
		select {
		case <-session.Done():
		case <-ctx.Done():
		}
	}
	klog.InfoS("session to agent ended", "worker", a.worker, "attachment", number, "err", err)
	l.enqueue(func() { l.agentDetached(a, session) })
	return err
}

// isCurrent reports whether a is the connection in use. An agent that returned
// at another address has a newer one.
func (l *leader) isCurrent(a *agentConn) bool { return l.agents[a.worker] == a }

func (l *leader) agentAttached(a *agentConn, session *link.Session) {
	if !l.isCurrent(a) {
		return
	}
	a.session = session
	l.scheduler.Attach(a.worker, now())
}

func (l *leader) agentDetached(a *agentConn, session *link.Session) {
	if !l.isCurrent(a) || a.session != session {
		return
	}
	a.session = nil
	l.scheduler.Detach(a.worker)
}

func (l *leader) agentRoutes(a *agentConn, attachment uint64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathReport, link.Handle(func(ctx context.Context, in *wire.WorkerReport) (*wire.ReportReply, error) {
		return l.handleReport(ctx, a, attachment, in)
	}))
	return mux
}

// handleReport passes an agent's report to the scheduler. A granted reply lets
// the agent's runs continue.
func (l *leader) handleReport(ctx context.Context, a *agentConn, attachment uint64, in *wire.WorkerReport) (*wire.ReportReply, error) {
	results := make(chan reportResult, 1)
	l.enqueue(func() { results <- l.applyReport(a, attachment, in) })
	select {
	case result := <-results:
		return result.reply, result.err
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return nil, errTermEnded
}

// reportResult is the result of applyReport.
type reportResult struct {
	reply *wire.ReportReply
	err   error
}

// applyReport must be called in the goroutine that runs the scheduler.
func (l *leader) applyReport(a *agentConn, attachment uint64, in *wire.WorkerReport) reportResult {
	if in.GetAttachment() != attachment || a.attachment != attachment || !l.isCurrent(a) {
		return reportResult{err: fault.New("report", link.Rejected, "attachment %d of term %d is not in force", attachment, l.term)}
	}
	at := now()
	l.metrics.countReport(len(in.GetEnded()), len(in.GetRejected()))
	l.scheduler.ApplyReport(a.worker, in, at)
	l.metrics.countSecondRuns(l.scheduler.TakeSecondRuns())
	granted := l.isLeading() && scheduler.MayExtendLease(in) && l.endAbsence(a.worker)
	if granted {
		l.scheduler.ExtendLease(a.worker, in, at)
	}
	born, number := l.scheduler.DurableEnds(a.worker)
	return reportResult{reply: &wire.ReportReply{Granted: granted, Recorded: number, RecordedBornUnixMs: born, Pairs: estimatesToWire(l.scheduler.Estimates(a.worker, at))}}
}

var errTermEnded = fault.New("report", link.Rejected, "the term has ended")
