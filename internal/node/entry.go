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
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// Entry is a process that takes requests of clients. Set the exported fields
// before Run.
type Entry struct {
	Settings *Settings
	Store    durable.Store
	Feed     *operations.Follower
	Scope    tally.Scope // nil counts nothing
	Advisor  Advisor     // nil when there is no service that gives advice
	// Clients and Readiness serve the platform's interfaces.
	Clients   func(*Entry) http.Handler
	Readiness func(*Entry) http.Handler

	elector *leadership.Elector
	meters  meters

	mu       sync.Mutex
	leading  *leader       // nil while this process does not lead
	session  *link.Session // to the leader, nil while there is none
	target   leadership.Leader
	peers    map[string]string // address of each other entry process by name
	stopping bool
}

// Run serves until ctx ends, then finishes the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	e.peers = make(map[string]string)
	e.meters = newMeters(e.Scope)
	e.elector = e.newElector()
	clients, err := net.Listen("tcp", e.Settings.Clients)
	if err != nil {
		return err
	}
	readiness, err := net.Listen("tcp", e.Settings.Readiness)
	if err != nil {
		return err
	}
	// Parts outlive ctx until the requests in flight are answered.
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, parts := errgroup.WithContext(parts)
	e.runParts(parts, group, readiness)
	server := &http.Server{Handler: e.Clients(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	group.Go(func() error {
		if err := server.Serve(clients); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.shutdown(server)
			stopParts()
		case <-parts.Done():
			server.Close()
		}
		return nil
	})
	defer e.unfollow()
	return ignoreEnd(ctx, group.Wait())
}

func (e *Entry) newElector() *leadership.Elector {
	return &leadership.Elector{
		Store: e.Store, Name: e.Settings.Name, Address: e.Settings.advertisedAddress(), FirstStart: e.Settings.FirstStart,
		ClaimDelay: e.Settings.claimHandicap(), RunLeader: e.lead, OnChange: e.follow, RequestPromises: e.askSupport,
		LeaderExited: e.leaderHasEnded, Connected: e.connected,
	}
}

// runParts starts everything besides the requests of clients.
func (e *Entry) runParts(ctx context.Context, group *errgroup.Group, readiness net.Listener) {
	listener := &link.Listener{Address: e.Settings.sessionAddress(), Handler: e.routes()}
	group.Go(func() error { return runListener(ctx, listener) })
	group.Go(func() error { return e.Feed.Run(ctx) })
	group.Go(func() error { return serve(ctx, readiness, e.Readiness(e)) })
	group.Go(func() error {
		followMembers(ctx, e.Store, e.member)
		return nil
	})
	group.Go(func() error {
		if _, err := register(ctx, e.Store, RoleEntry, e.Settings.Name, e.Settings.advertisedAddress()); err != nil {
			return ignoreEnd(ctx, err)
		}
		return e.elector.Run(ctx)
	})
}

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// rotationTime is how long clients may still open connections after the
	// readiness check has failed.
	rotationTime = 2500 * time.Millisecond
	// stopReserve is kept of the time to stop for the end of the process.
	stopReserve = 1500 * time.Millisecond
)

// shutdown turns readiness off, waits until no new connections come, and
// finishes the requests in flight.
func (e *Entry) shutdown(server *http.Server) {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	klog.InfoS("stopping", "node", e.Settings.Name)
	server.SetKeepAlivesEnabled(false)
	deadline := time.Now().Add(e.Settings.StopWithin - stopReserve)
	time.Sleep(min(rotationTime, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		klog.InfoS("requests in flight were cut off", "err", err)
	}
}

// Ready reports whether this process can serve clients.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping || e.Feed.State().Configuration == nil {
		return false
	}
	return e.leading != nil || e.session != nil
}

// lead runs the scheduler while this process leads.
func (e *Entry) lead(ctx context.Context, term leadership.Term) {
	l := &leader{
		term: term, settings: e.Settings, store: e.Store, feed: e.Feed, advisor: e.Advisor,
		leads:  func() bool { return e.elector.Leads(term) },
		meters: e.meters, events: make(chan func(), eventQueue),
	}
	l.group, l.ctx = errgroup.WithContext(ctx)
	e.Feed.SetOnChange(func(state operations.State) { l.event(func() { l.scheduler.SetOperatorState(state) }) })
	e.meters.leading()
	e.setLeading(l)
	defer e.setLeading(nil)
	if err := l.run(); !ended(ctx, err) {
		klog.ErrorS(err, "leader has failed", "term", term)
	}
}

func (e *Entry) setLeading(l *leader) {
	e.mu.Lock()
	e.leading = l
	e.mu.Unlock()
}

// follow connects to the leader.
func (e *Entry) follow(leader leadership.Leader) {
	e.mu.Lock()
	e.target = leader
	old := e.session
	e.session = nil
	e.mu.Unlock()
	if old != nil {
		old.Close()
	}
	if leader.Name != e.Settings.Name {
		go e.keepSession(leader)
	}
}

// unfollow ends the session to the leader.
func (e *Entry) unfollow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.target = leadership.Leader{}
	if e.session != nil {
		e.session.Close()
	}
}

// keepSession dials the leader until another one is known.
func (e *Entry) keepSession(leader leadership.Leader) {
	for e.follows(leader) {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		session, err := link.Dial(ctx, leader.Address, nil)
		cancel()
		if err != nil {
			time.Sleep(redialPause)
			continue
		}
		klog.InfoS("connected to the leader", "leader", leader.Name, "term", leader.Term)
		if !e.useSession(leader, session) {
			session.Close()
			return
		}
		<-session.Done()
		e.dropSession(session)
		time.Sleep(redialPause)
	}
}

func (e *Entry) follows(leader leadership.Leader) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.target == leader
}

func (e *Entry) useSession(leader leadership.Leader, session *link.Session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target != leader {
		return false
	}
	e.session = session
	return true
}

func (e *Entry) dropSession(session *link.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session == session {
		e.session = nil
		klog.InfoS("connection to the leader is lost", "leader", e.target.Name)
	}
}

// Serve answers a request of a client: as the leader, or through its session.
func (e *Entry) Serve(ctx context.Context, r Request) Reply {
	begin := time.Now()
	reply := e.answer(ctx, r)
	e.meters.request(r.Verb, reply.Outcome, time.Since(begin))
	return reply
}

func (e *Entry) answer(ctx context.Context, r Request) Reply {
	e.mu.Lock()
	leading, session := e.leading, e.session
	e.mu.Unlock()
	if leading != nil {
		return leading.serve(ctx, r)
	}
	if session == nil {
		return Reply{Outcome: Unavailable, RetryAfter: unavailableRetry, Reason: "no leader is connected"}
	}
	message := &wire.ClientCall{Verb: string(r.Verb), JobId: string(r.ID), Queue: string(r.Queue)}
	if r.Job != nil {
		message.Job = workflow.ToWire(r.Job, r.Rule)
	}
	reply := &wire.ClientReply{}
	if err := session.Call(ctx, pathClient, message, reply); err != nil {
		return failedCall(r, err)
	}
	return replyFromWire(reply)
}

// failedCall answers for a call to the leader that failed: nothing has
// happened only when the call never left this process.
func failedCall(r Request, err error) Reply {
	reply := Reply{Outcome: Unavailable, RetryAfter: unavailableRetry, Reason: err.Error()}
	if !fault.Is(err, link.NotSent) && (r.Verb == Submit || r.Verb == Cancel) {
		reply.Outcome = Undecided
	}
	return reply
}

func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathClient, link.Handle(e.client))
	mux.HandleFunc(pathSupport, link.Handle(e.support))
	mux.HandleFunc(pathVacancy, link.Handle(e.vacancy))
	return mux
}

// client answers a request that another entry process passes on.
func (e *Entry) client(ctx context.Context, in *wire.ClientCall) (*wire.ClientReply, error) {
	e.mu.Lock()
	leading := e.leading
	e.mu.Unlock()
	if leading == nil {
		return Reply{Outcome: Unavailable, RetryAfter: unavailableRetry, Reason: "not the leader"}.toWire(), nil
	}
	r := Request{Verb: Verb(in.GetVerb()), Queue: workflow.QueueName(in.GetQueue()), ID: workflow.JobID(in.GetJobId())}
	if in.GetJob() != nil {
		r.Job, r.Rule = workflow.FromWire(in.GetJob())
	}
	return leading.serve(ctx, r).toWire(), nil
}

func (e *Entry) vacancy(_ context.Context, in *wire.VacancyRequest) (*wire.VacancyReply, error) {
	return &wire.VacancyReply{Name: e.Settings.Name, Leads: e.elector.ConfirmOrRenounce(leadership.Term(in.GetTerm()))}, nil
}

// connected reports whether this process leads or has a session to the leader.
func (e *Entry) connected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leading != nil || e.session != nil
}

// leaderHasEnded asks the leader's machine whether another process runs there.
func (e *Entry) leaderHasEnded(ctx context.Context, leader leadership.Leader) bool {
	ctx, cancel := context.WithTimeout(ctx, vacancyTimeout)
	defer cancel()
	session, err := link.Dial(ctx, leader.Address, nil)
	if err != nil {
		return false
	}
	defer session.Close()
	reply := &wire.VacancyReply{}
	if err := session.Call(ctx, pathVacancy, &wire.VacancyRequest{Term: uint64(leader.Term)}, reply); err != nil {
		return false
	}
	return reply.GetName() == leader.Name && !reply.GetLeads()
}

// member keeps the addresses of the other entry processes.
func (e *Entry) member(m member) {
	if m.role != RoleEntry || m.name == e.Settings.Name {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.address == "" {
		delete(e.peers, m.name)
		return
	}
	e.peers[m.name] = m.address
}

func (e *Entry) support(_ context.Context, in *wire.SupportRequest) (*wire.SupportReply, error) {
	promised, reachable, known := e.elector.Promise(leadership.Term(in.GetTerm()))
	return &wire.SupportReply{Promised: promised, StoreReachable: reachable, Term: uint64(known)}, nil
}

// askSupport asks every other entry process not to claim the leadership.
func (e *Entry) askSupport(ctx context.Context, term leadership.Term) (bootclock.Instant, bool) {
	e.mu.Lock()
	addresses := make([]string, 0, len(e.peers))
	for _, address := range e.peers {
		addresses = append(addresses, address)
	}
	e.mu.Unlock()
	sent := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, address := range addresses {
		group.Go(func() error { return e.askPeer(ctx, address, term) })
	}
	if err := group.Wait(); err != nil {
		klog.InfoS("leadership is not supported", "term", term, "err", err)
		return 0, false
	}
	return sent.Add(leadership.PromiseDuration), true
}

func (e *Entry) askPeer(ctx context.Context, address string, term leadership.Term) error {
	session, err := link.Dial(ctx, address, nil)
	if err != nil {
		return err
	}
	defer session.Close()
	reply := &wire.SupportReply{}
	if err := session.Call(ctx, pathSupport, &wire.SupportRequest{Term: uint64(term)}, reply); err != nil {
		return err
	}
	if !reply.GetPromised() {
		e.elector.ObserveTerm(leadership.Term(reply.GetTerm()))
		return fault.New("support", link.Rejected, "%s: store reachable %t, term %d", address, reply.GetStoreReachable(), reply.GetTerm())
	}
	return nil
}
