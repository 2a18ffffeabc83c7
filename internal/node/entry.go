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
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/pkg/units"
)

// Entry is a process that serves client requests and may be elected leader. Set
// the exported fields before Run.
type Entry struct {
	Settings   *Settings
	Store      durable.Store
	Operations *operations.Follower
	Scope      tally.Scope // nil disables metrics
	Advisor    Advisor     // nil when the deployment has no advice service
	// ClientHandler and ReadinessHandler return the handlers of the platform's
	// interfaces.
	ClientHandler    func(*Entry) http.Handler
	ReadinessHandler func(*Entry) http.Handler

	elector *leadership.Elector
	metrics metrics

	mu          sync.Mutex
	leader      *leader           // nil while this process does not lead
	session     *link.Session     // to the leader; nil while disconnected
	knownLeader leadership.Leader // as last reported by the elector
	peers       peers             // the other entry processes
	membership  membership
	stopping    bool
}

// Run serves until ctx ends, then finishes the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	e.peers = make(peers)
	e.membership = membership{store: e.Store, name: e.Settings.Name, offset: unregistered}
	e.metrics = newMetrics(e.Scope)
	e.elector = e.newElector()
	clients, err := net.Listen("tcp", e.Settings.ClientAddress)
	if err != nil {
		return err
	}
	readiness, err := net.Listen("tcp", e.Settings.ReadinessAddress)
	if err != nil {
		clients.Close()
		return err
	}
	// The components outlive ctx until the requests in flight are answered.
	components, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, components := errgroup.WithContext(components)
	e.startComponents(components, group, readiness)
	server := &drain.Server{
		HTTP:   &http.Server{Handler: e.ClientHandler(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes},
		Notice: drainNotice, Quiet: drainQuiet,
	}
	group.Go(func() error { return server.Serve(clients) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.shutdown(server)
			stopComponents()
		case <-components.Done():
			server.Close()
		}
		return nil
	})
	defer e.closeLeaderSession()
	return ignoreCancelled(ctx, group.Wait())
}

func (e *Entry) newElector() *leadership.Elector {
	return &leadership.Elector{
		Store: e.Store, Name: e.Settings.Name, Address: e.Settings.advertisedAddress(), FirstStart: e.Settings.FirstStart,
		ClaimDelay: e.Settings.claimDelay(), RunLeader: e.lead, OnChange: e.followLeader, RequestPromises: e.requestPromises,
		LeaderExited: e.leaderExited, NobodyLeads: e.nobodyLeads, Connected: e.connected, Membership: &e.membership,
	}
}

// startComponents starts everything except the server for client requests.
func (e *Entry) startComponents(ctx context.Context, group *errgroup.Group, readiness net.Listener) {
	listener := &link.Listener{Address: e.Settings.sessionAddress(), Handler: e.routes()}
	group.Go(func() error { return runListener(ctx, listener) })
	group.Go(func() error { return e.Operations.Run(ctx) })
	group.Go(func() error { return serve(ctx, readiness, e.ReadinessHandler(e)) })
	group.Go(func() error {
		followMembers(ctx, e.Store, e.memberFollower())
		return nil
	})
	group.Go(func() error {
		if err := e.membership.register(ctx, e.Settings.advertisedAddress()); err != nil {
			return ignoreCancelled(ctx, err)
		}
		group.Go(func() error { return e.membership.maintain(ctx, e.Settings.advertisedAddress()) })
		group.Go(func() error { return e.removeLostPeers(ctx) })
		return e.elector.Run(ctx)
	})
}

const (
	// maxHeaderBytes bounds the header of a client request.
	maxHeaderBytes = 16 << 10
	// drainNotice is how long clients may still open connections after the
	// readiness check has started to fail, as far as the check's interval tells.
	drainNotice = 2500 * time.Millisecond
	// drainQuiet is how long no connection and no request may have arrived before
	// the listener closes.
	drainQuiet = 500 * time.Millisecond
	// exitReserve is the part of the stop timeout that is kept for the exit of
	// the process after the requests in flight.
	exitReserve = 1500 * time.Millisecond
)

// shutdown makes the readiness check fail, serves clients until no more requests
// arrive and finishes the requests in flight.
func (e *Entry) shutdown(server *drain.Server) {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.elector.Withdraw()
	klog.InfoS("stopping", "node", e.Settings.Name)
	ctx, cancel := context.WithTimeout(context.Background(), e.Settings.StopTimeout-exitReserve)
	defer cancel()
	server.Drain(ctx)
}

// Ready reports whether this process can serve clients.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping || e.Operations.State().Configuration == nil {
		return false
	}
	return e.leader != nil || e.session != nil
}

// lead runs the scheduler for the term. It returns when this process no longer
// leads.
func (e *Entry) lead(ctx context.Context, term leadership.Term) {
	l := &leader{
		term: term, previous: e.elector.PreviousTerm(), settings: e.Settings, store: e.Store, operations: e.Operations, advisor: e.Advisor,
		isLeading: func() bool { return e.elector.Leads(term) }, storeReachable: e.elector.StoreReachable,
		metrics: e.metrics, events: make(chan func(), eventQueueSize),
	}
	l.group, l.ctx = errgroup.WithContext(ctx)
	e.Operations.SetOnChange(func(state operations.State) { l.enqueue(func() { l.scheduler.SetOperatorState(state) }) })
	e.metrics.countTerm()
	e.metrics.recordStarvation(0)
	e.setLeader(l)
	defer e.setLeader(nil)
	if err := l.run(); !isTermEnd(ctx, err) {
		klog.ErrorS(err, "leader failed; the term ends", "term", term)
	}
}

func (e *Entry) setLeader(l *leader) {
	e.mu.Lock()
	e.leader = l
	e.mu.Unlock()
}

func (e *Entry) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathClient, link.Handle(e.handleClient))
	mux.HandleFunc(pathSupport, link.Handle(e.handlePromise))
	mux.HandleFunc(pathVacancy, link.Handle(e.handleVacancy))
	return mux
}

// handleMember updates the other entry processes, and the registration of this one.
func (e *Entry) handleMember(m member) {
	if m.role != RoleEntry {
		return
	}
	if m.name == e.Settings.Name {
		e.membership.observe(m)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers.apply(m, bootclock.Now())
}

// memberFollower returns what keeps the other entry processes and this process's registration up to
// date.
func (e *Entry) memberFollower() memberFollower {
	return memberFollower{apply: e.handleMember, present: e.handlePresent, known: e.membership.setReadEnd}
}

// handlePresent updates the registration of this process if the store has no record of it.
func (e *Entry) handlePresent(keys map[string]bool, end units.Offset) {
	if !keys[memberKey(RoleEntry, e.Settings.Name)] {
		e.membership.observeAbsence(end)
	}
}
