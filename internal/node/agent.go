package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/drain"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Agent is the process that controls one runner on the same machine. Set the
// exported fields before Run. Its runs may continue for grantDuration after the last
// report that the leader granted.
type Agent struct {
	Settings         *Settings
	Store            durable.Store
	Controller       *runner.Controller
	HeartbeatHandler http.Handler // serves the runner's heartbeats
	Scope            tally.Scope  // nil disables metrics

	mu         sync.Mutex
	term       uint64
	attachment uint64
	session    *link.Session
	metrics    metrics
	changed    chan struct{} // contains a token while there are changes to report
	ctx        context.Context
}

// Run serves the runner and the leader until ctx ends. It does not stop the
// runs: their lease outlives a restart of the agent.
func (a *Agent) Run(ctx context.Context) error {
	a.changed = make(chan struct{}, 1)
	a.metrics = newMetrics(a.Scope)
	a.Controller.OnChange = a.notify
	stopped := ctx
	group, ctx := errgroup.WithContext(ctx)
	a.ctx = ctx
	heartbeats, err := net.Listen("tcp", a.Settings.HeartbeatAddress)
	if err != nil {
		return err
	}
	group.Go(func() error { return serve(ctx, heartbeats, a.HeartbeatHandler) })
	group.Go(func() error {
		offset, err := register(ctx, a.Store, RoleAgent, a.Settings.Name, a.Settings.advertisedAddress())
		if err != nil {
			return ignoreCancelled(ctx, err)
		}
		// The offset of the registration is higher for each later process of this
		// machine, so the tokens of earlier processes are rejected.
		a.Controller.BaseToken = runner.FencingToken(offset + 1)
		listener := &link.Listener{Address: a.Settings.sessionAddress(), Handler: a.routes()}
		group.Go(func() error { return runListener(ctx, listener) })
		group.Go(func() error { return a.runReports(ctx) })
		return a.runController(ctx)
	})
	return ignoreCancelled(stopped, group.Wait())
}

// runController runs the controller until ctx ends. After a panic it starts again from the
// runner's lists; the runs continue by their lease.
func (a *Agent) runController(ctx context.Context) error {
	for {
		err := contain(a.metrics, func() error { return a.Controller.Run(ctx) })
		if !fault.Is(err, Panicked) || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, storeRetryDelay)
	}
}

// ignoreCancelled returns nil once ctx has ended, and err before that.
func ignoreCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathAttach, link.Handle(a.handleAttach))
	mux.HandleFunc(pathOrders, link.Handle(a.handleOrders))
	return mux
}

// handleAttach makes the caller the leader that this agent reports to. It
// rejects an attach that is meant for another worker, which may have had this
// address before, a term before the current one, and within the current term an
// attachment number that is not higher than the current one.
func (a *Agent) handleAttach(ctx context.Context, in *wire.Attach) (*wire.OrdersReply, error) {
	if in.GetWorker() != "" && in.GetWorker() != a.Settings.Name { // earlier versions name none
		return nil, fault.New("attach", link.Rejected, "meant for worker %q, this is %q", in.GetWorker(), a.Settings.Name)
	}
	a.mu.Lock()
	if in.GetTerm() < a.term || in.GetTerm() == a.term && in.GetAttachment() <= a.attachment {
		a.mu.Unlock()
		return nil, fault.New("attach", link.Rejected, "term %d is in force", a.term)
	}
	a.term, a.attachment = in.GetTerm(), in.GetAttachment()
	a.session = link.SessionFromContext(ctx)
	a.mu.Unlock()
	klog.InfoS("attached to the leader", "leader", in.GetLeader(), "term", in.GetTerm(), "attachment", in.GetAttachment())
	a.notify()
	return &wire.OrdersReply{}, nil
}

// handleOrders applies the orders of the attached leader. It holds the lock
// throughout, so that no order of an earlier attachment is applied after a
// later attach.
func (a *Agent) handleOrders(_ context.Context, in *wire.Orders) (*wire.OrdersReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.GetTerm() != a.term || in.GetAttachment() != a.attachment {
		return nil, fault.New("orders", link.Rejected, "term %d attachment %d is in force", a.term, a.attachment)
	}
	incarnation := runner.Incarnation{ID: in.GetRunner(), StartedUnixMs: in.GetRecordedBornUnixMs()}
	for _, s := range in.GetStarts() {
		id, err := workflow.ParseTaskID(s.GetTask())
		if err != nil {
			return nil, err
		}
		a.Controller.Start(a.ctx, incarnation, startFromWire(id, s))
	}
	for _, s := range in.GetDescriptions() {
		id, err := workflow.ParseTaskID(s.GetTask())
		if err != nil {
			return nil, err
		}
		a.Controller.CompleteRun(startFromWire(id, s))
	}
	a.metrics.countOrders(len(in.GetStarts()), len(in.GetStops()))
	for _, s := range in.GetStops() {
		id, err := workflow.ParseTaskID(s.GetTask())
		if err != nil {
			return nil, err
		}
		a.Controller.Stop(a.ctx, id, workflow.Attempt(s.GetAttempt()))
	}
	a.setEstimates(in.GetPairs())
	a.Controller.MarkRecorded(incarnation, in.GetRecorded())
	return &wire.OrdersReply{Sequence: a.Controller.LastReportSequence()}, nil
}

func startFromWire(id workflow.TaskID, s *wire.StartOrder) runner.StartOrder {
	return runner.StartOrder{
		Task: id, Attempt: workflow.Attempt(s.GetAttempt()), Spec: s.GetSpec(), Checkpoint: s.GetCheckpoint(),
		Ticket: s.GetTicket(), BestEffort: s.GetFills(), LatencyTarget: time.Duration(s.GetLatencyTargetMs()) * time.Millisecond,
		Image: s.GetImage(), Processors: units.Millicores(s.GetMillicores()),
	}
}

// dropSession clears the session if it is ending. A session on which the leader
// rejects reports is closed first, so that the leader attaches again.
func (a *Agent) dropSession(session *link.Session, rejected bool) {
	if rejected {
		session.Close()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session == session && session.Ending() {
		a.session = nil
	}
}

func (a *Agent) setEstimates(pairs []*wire.PairEstimate) {
	if len(pairs) == 0 {
		return
	}
	estimates := make([]interference.Estimate, len(pairs))
	for i, p := range pairs {
		estimates[i] = interference.Estimate{LatencyCriticalImage: p.GetServing(), BestEffortImage: p.GetFilling(), LossPerCore: p.GetLossPerCore(), Variance: p.GetVariance()}
	}
	a.Controller.SetEstimates(estimates)
}

func (a *Agent) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// runReports sends the complete state to the leader, at each interval and
// immediately after a change.
func (a *Agent) runReports(ctx context.Context) error {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.changed:
		case <-timer.C:
		}
		timer.Reset(reportInterval)
		a.sendReport(ctx)
	}
}

func (a *Agent) sendReport(ctx context.Context) {
	a.mu.Lock()
	session, attachment := a.session, a.attachment
	a.mu.Unlock()
	if session == nil {
		return
	}
	report, rejections := a.Controller.Report()
	report.Attachment = attachment
	limitReport(report)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := bootclock.Now()
	reply := &wire.ReportReply{}
	if err := session.Call(ctx, pathReport, report, reply); err != nil {
		a.metrics.countFailedCall()
		klog.InfoS("report to the leader failed", "err", err)
		a.dropSession(session, fault.Is(err, link.Rejected))
		return
	}
	a.metrics.countReport(len(report.GetEnded()), rejections)
	a.Controller.DropRejections(rejections)
	if reply.GetGranted() {
		// The grant counts from the sending of the report, which precedes the
		// time from which the leader counts it.
		a.Controller.ExtendGrant(sent.Add(grantDuration))
	}
	a.setEstimates(reply.GetPairs())
	if reported := report.GetRunner(); reported != nil { // the reply is about the runner of the report
		a.Controller.MarkRecorded(runner.Incarnation{ID: reported.GetId(), StartedUnixMs: reply.GetRecordedBornUnixMs()}, reply.GetRecorded())
	}
}

// runListener accepts sessions until ctx ends, then shuts them down.
func runListener(ctx context.Context, listener *link.Listener) error {
	err := listener.Run(ctx)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), sessionShutdownTimeout)
	defer cancel()
	listener.Shutdown(shutdownCtx)
	return err
}

// sessionShutdownTimeout bounds the shutdown of a session, and of all sessions and
// connections when the process stops.
const sessionShutdownTimeout = 300 * time.Millisecond

// serve handles HTTP requests on listener until ctx ends, and then those that have
// been sent until then.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &drain.Server{HTTP: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}}
	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		drainCtx, cancel := context.WithTimeout(context.Background(), sessionShutdownTimeout)
		defer cancel()
		server.Drain(drainCtx)
	})
	err := server.Serve(listener)
	if stop() {
		return err // ctx has not ended
	}
	<-drained
	return nil
}

const (
	// headerTimeout frees a connection whose request header never completes.
	headerTimeout = 3 * time.Second
	// idleTimeout exceeds the interval of heartbeats and readiness checks, so
	// that their connections are reused.
	idleTimeout = 15 * time.Second
)
