// Package agent is the process beside one worker and its endpoint. It is the
// only one that admits work to that worker: it holds the worker's newest epoch,
// renews the leases of its tasks while its own lease is valid, and reports to
// every entry process.
//
// One goroutine owns the control state. Calls to the worker and the network run
// in goroutines of their own and report back as functions posted to it.
package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/guard"
	"wasabihill.example/wasabihill/internal/leases"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

const (
	leaseDuration = leases.Duration
	leaseMargin   = leases.Margin
	// freshness is how old the evidence of the tail of config may be when a
	// task starts.
	maxConfigAge = 2500 * time.Millisecond
	// startGrace bounds how long after the evidence ends a start that was sent
	// in time may still take effect; freshness plus startGrace stays below 3 s.
	startGracePeriod = 400 * time.Millisecond
	// workerTimeout bounds a call to the worker beside the agent.
	workerCallTimeout = time.Second
	// tickInterval is the resolution of every deadline of the control loop.
	tickInterval = 100 * time.Millisecond
	// tableInterval is how often the worker's task table is read when nothing
	// asks for it sooner.
	tablePollInterval = 500 * time.Millisecond
	// confirmWindow is how old the last proof may be that the worker still
	// obeys this epoch when the agent grants a lease. It is below leaseMargin:
	// the lessees of a replaced epoch count as expired leaseDuration plus
	// leaseMargin after the replacement, and no grant may outlast that.
	maxConfirmationAge = 900 * time.Millisecond
	// retryInterval spaces repeated calls for one task.
	retryInterval = 300 * time.Millisecond
	// drainTimeout bounds the wait for requests in flight on a planned stop.
	drainTimeout = 20 * time.Second
	// leaveNotice lets every entry hear that the agent is leaving before its
	// sessions refuse requests.
	drainNotice = 1200 * time.Millisecond
)

// Kind tells failures of an agent apart.
type Kind string

// The kinds of Error.
const (
	Fenced   Kind = "fenced"   // a newer epoch holds the worker
	Listen   Kind = "listen"   // the link address cannot be bound
	NotReady Kind = "notReady" // the agent cannot decide yet; the caller repeats
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Session is a connection to a peer; *link.Session implements it.
type Session interface {
	Call(ctx context.Context, path string, message, reply Message) error
	Done() <-chan struct{}
	Close()
	Shutdown(ctx context.Context)
}

// Agent is one agent process. Set the exported fields before Run.
type Agent struct {
	WorkerID    units.WorkerID
	Domain      units.DomainName
	Rack        units.RackName
	Region      units.RegionName
	LinkAddress string // IP:port on which other agents request leases
	// AdvertisedLinkAddress is what other agents dial; empty means LinkAddress.
	AdvertisedLinkAddress string
	ProcessName           string // name of this process; empty means "agent/" + WorkerID

	Worker          workerapi.Worker
	EntryAddresses  []string                                    // seed addresses of entry processes
	RequestHandler  http.Handler                                // serves /services/ on every session; may be nil
	EndpointReports func() []*wire.EndpointReport               // may be nil
	ParseDocument   func([]byte) (*environment.Document, error) // nil means environment.Parse
	Guard           *guard.Controller                           // nil switches the control loop off
	OverQuota       func(units.TeamName) bool                   // may be nil
	OnDocument      func(*environment.Document)                 // called with each newer document; may be nil

	// OmitUnchanged leaves the fields that describe the worker (domain, rack,
	// region, link address, capacity, process) out of a heartbeat once the entry
	// has answered one with them on the same session. Entries must then keep
	// them; the first heartbeat of a session and of an epoch carries them all.
	OmitUnchanged bool

	// MetricsScope gets a counter per kind of event; nil means none.
	MetricsScope tally.Scope

	// RecordEvent records a change of state; may be nil. It must not block.
	RecordEvent func(kind, subject, text string)
	// RecordCause is told which event of another process the next event of a subject
	// follows; may be nil.
	RecordCause func(subject, event string)
	// PendingEvents returns events for the next heartbeat, and
	// AcknowledgeEvents drops those up to a sequence; either may be nil.
	PendingEvents     func() []*wire.Event
	AcknowledgeEvents func(sequence uint64)
	// Clock returns the hybrid logical clock, and ObserveClock takes in that of
	// a peer; either may be nil.
	Clock        func() int64
	ObserveClock func(int64)

	// Dial and Listen are the network; nil means package link over TCP.
	Dial   func(ctx context.Context, address string, handler http.Handler) (Session, error)
	Listen func(ctx context.Context, address string, handler http.Handler) (stop func(context.Context), err error)

	inbox   chan func()
	done    chan struct{} // closed when the loop has ended
	ctx     context.Context
	group   sync.WaitGroup // goroutines started by spawn
	handler http.Handler

	lastParsed       parsedDocument
	drainingSessions atomic.Bool // sessions are ended by drain, not by their owners
	state
}

// state is owned by the control loop.
type state struct {
	startedAt time.Time
	epoch     units.Epoch
	capacity  units.Resources
	adopted   bool // the table of this epoch has been read; nothing is admitted before
	stopping  bool // a planned stop is under way
	runError  error

	tasks        map[units.Task]*task
	decisions    launchDecisions
	reservations map[units.ServiceName]units.Resources // reservations that count as committed
	// serviceSeen holds when the endpoint of each service last announced itself.
	endpointSeenAt    map[units.ServiceName]time.Time
	offeredEndpoints  []*wire.EndpointReport
	failures          failureRecord
	worker            workerState
	config            configState
	lease             leaseState
	lessees           map[units.WorkerID]*lessee
	entries           map[string]*entry
	logReachableSince time.Time // the log has been reachable since; zero while it is not
	guardState        guardState
}

// Run acquires the worker and acts until ctx ends or a newer epoch holds the
// worker. On a planned stop it waits for requests in flight; the tasks go on
// under their leases for the next agent to adopt.
func (a *Agent) Run(ctx context.Context) error {
	a.init()
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.ctx = calls
	stop, err := a.listen(calls)
	if err != nil {
		cancel()
		return fault.Wrap("run", Listen, err)
	}
	for _, address := range a.EntryAddresses {
		a.addEntry(address, true)
	}
	a.acquireWorker(true)
	a.loop(ctx)
	a.drain(stop)
	cancel()
	close(a.done)
	a.group.Wait()
	return a.runError
}

func (a *Agent) init() {
	a.inbox = make(chan func(), 64)
	a.done = make(chan struct{})
	a.state = state{
		startedAt:      time.Now(),
		tasks:          make(map[units.Task]*task),
		reservations:   make(map[units.ServiceName]units.Resources),
		endpointSeenAt: make(map[units.ServiceName]time.Time),
		lessees:        make(map[units.WorkerID]*lessee),
		entries:        make(map[string]*entry),
	}
	if a.ProcessName == "" {
		a.ProcessName = "agent/" + string(a.WorkerID)
	}
	if a.MetricsScope == nil {
		a.MetricsScope = tally.NoopScope
	}
	a.handler = a.routes()
}

// loop runs the control loop until ctx ends or the agent is fenced.
func (a *Agent) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for a.runError == nil {
		select {
		case fn := <-a.inbox:
			fn()
		case <-ticker.C:
			a.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// drain tells the entries that the agent leaves, then lets the sessions finish
// their requests. The loop runs on meanwhile, so that leases are renewed.
func (a *Agent) drain(stopListener func(context.Context)) {
	a.stopping = true
	a.event("agentLeaving", string(a.WorkerID), "waiting for requests in flight")
	if a.runError == nil {
		notice, cancel := context.WithTimeout(a.ctx, drainNotice)
		a.loop(notice)
		cancel()
	}
	deadline, cancel := context.WithTimeout(a.ctx, drainTimeout)
	defer cancel()
	finished, finish := context.WithCancel(a.ctx)
	sessions := a.openSessions()
	a.drainingSessions.Store(true)
	a.spawn(func() {
		defer finish()
		var wait sync.WaitGroup
		for _, s := range sessions {
			wait.Go(func() { s.Shutdown(deadline) })
		}
		wait.Go(func() { stopListener(deadline) })
		wait.Wait()
	})
	a.loop(finished)
	a.discardInbox(finished) // a fenced agent decides nothing
	a.lease.closeSession()
}

// discard empties the inbox without acting.
func (a *Agent) discardInbox(ctx context.Context) {
	for {
		select {
		case <-a.inbox:
		case <-ctx.Done():
			return
		}
	}
}

// tick brings every part up to now. Parts read the clock they are given, so
// that one tick decides on one instant.
func (a *Agent) tick(now time.Time) {
	a.updateEndpoints(now)
	a.trackLogReachability(now)
	a.tickLease(now)
	a.tickLessees(now)
	a.tickWorker(now)
	a.evacuate(now)
	a.tickStandbys(now)
	a.tickGuard(now)
	a.reconcileAll(now)
	a.removeGoneEntries(now)
}

// post hands fn to the control loop. It reports false when the loop has ended.
func (a *Agent) post(fn func()) bool {
	select {
	case a.inbox <- fn:
		return true
	case <-a.done:
		return false
	}
}

// spawn runs fn in a goroutine that Run waits for.
func (a *Agent) spawn(fn func()) { a.group.Go(fn) }

// fence stops the agent: a newer epoch holds the worker.
func (a *Agent) fence(cause error) {
	if a.runError == nil {
		a.runError = fault.Wrap("run", Fenced, cause)
		a.event("agentFenced", string(a.WorkerID), cause.Error())
	}
}

func (a *Agent) event(kind, subject, text string) {
	a.MetricsScope.Counter(kind).Inc(1)
	if a.RecordEvent != nil {
		a.RecordEvent(kind, subject, text)
	}
}

func (a *Agent) clock() int64 {
	if a.Clock != nil {
		return a.Clock()
	}
	return time.Now().UnixMilli() << 16
}

func (a *Agent) observeClock(clock int64) {
	if a.ObserveClock != nil && clock != 0 {
		a.ObserveClock(clock)
	}
}

func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /link/launch", link.Handle(a.serveLaunch))
	mux.Handle("POST /link/stop", link.Handle(a.serveStop))
	mux.Handle("POST /link/lease", link.Handle(a.serveLease))
	if a.RequestHandler != nil {
		mux.Handle("/services/", a.RequestHandler)
	}
	return mux
}

// ask runs fn on the control loop and returns its result. When ctx ends first,
// fn may still run later; its result is dropped.
func runOnLoop[T any](ctx context.Context, a *Agent, fn func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	results := make(chan answer, 1)
	if a.post(func() {
		value, err := fn()
		results <- answer{value, err}
	}) {
		select {
		case r := <-results:
			return r.value, r.err
		case <-ctx.Done():
		case <-a.done:
		}
	}
	var zero T
	return zero, fault.New("ask", NotReady, "the agent is stopping or overloaded")
}
