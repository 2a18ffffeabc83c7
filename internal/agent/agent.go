// Package agent implements the agent, the process that runs beside one worker
// and its endpoint. Only the agent admits work to its worker: it holds the
// worker's newest epoch (the fencing token), renews the leases of the worker's
// tasks while its own lease is valid, and sends heartbeats to every entry process.
//
// One goroutine, the control loop, owns the state. Calls to the worker and to
// peers run in goroutines of their own and post their results to the control
// loop as functions.
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
	// maxConfigAge bounds the age of the last read at the tail of the config
	// stream that a task may be started on.
	maxConfigAge = 2500 * time.Millisecond
	// startGracePeriod bounds how long after the configuration has become stale a
	// start that was sent in time may still take effect. The sum of maxConfigAge
	// and startGracePeriod must stay below 3 s, because from 3 s after a failure
	// domain was taken out no task may start there, and the change may follow
	// directly after the read that confirmed the configuration.
	startGracePeriod = 400 * time.Millisecond
	// workerCallTimeout bounds one call to the worker.
	workerCallTimeout = time.Second
	// tickInterval is the period of the control loop and hence the resolution of
	// its deadlines.
	tickInterval = 100 * time.Millisecond
	// tablePollInterval is the period at which the worker's task table is read,
	// unless an earlier read is requested.
	tablePollInterval = 500 * time.Millisecond
	// maxConfirmationAge bounds the age of the last table read that showed this
	// epoch on the worker when the agent grants a lease. It is below leaseMargin
	// because the lessees of a replaced epoch count as expired leaseDuration plus
	// leaseMargin after the replacement, and no grant may outlast that.
	maxConfirmationAge = 900 * time.Millisecond
	// retryInterval is the delay before a failed call to the worker is repeated.
	retryInterval = 300 * time.Millisecond
	// drainTimeout bounds the wait for requests in flight during a planned stop.
	drainTimeout = 20 * time.Second
	// drainNotice is the time between the announcement of a planned stop and the
	// shutdown of the sessions. It lets a heartbeat reach every entry process
	// before the sessions reject requests.
	drainNotice = 1200 * time.Millisecond
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	Fenced   Kind = "fenced"   // a newer epoch holds the worker
	Listen   Kind = "listen"   // the link address cannot be bound
	NotReady Kind = "notReady" // the agent cannot decide at present; the caller retries
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Session is a connection to a peer. *link.Session implements it.
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
	// AdvertisedLinkAddress is the address that other agents dial; empty means LinkAddress.
	AdvertisedLinkAddress string
	ProcessName           string // name in events and heartbeats; empty means "agent/" + WorkerID

	Worker          workerapi.Worker
	EntryAddresses  []string                                    // seed addresses of entry processes
	RequestHandler  http.Handler                                // serves /services/ on every session; may be nil
	EndpointReports func() []*wire.EndpointReport               // may be nil
	ParseDocument   func([]byte) (*environment.Document, error) // nil means environment.Parse
	Guard           *guard.Controller                           // protects the latency of the endpoint; nil disables it
	OverQuota       func(units.TeamName) bool                   // may be nil
	OnDocument      func(*environment.Document)                 // called with each newly applied document; may be nil

	// OmitUnchanged omits the fields that describe the worker (domain, rack,
	// region, link address, capacity, process) from a heartbeat once the entry
	// process has replied to one that contained them on the same session. The entry
	// process must store them. The first heartbeat of a session or epoch contains all.
	OmitUnchanged bool

	// MetricsScope receives a counter for each kind of event; nil means none.
	MetricsScope tally.Scope

	// RecordEvent is called at each change of state; may be nil. It must not block.
	RecordEvent func(kind, subject, text string)
	// RecordCause sets the event of another process that caused the next event
	// of the subject; may be nil.
	RecordCause func(subject, event string)
	// PendingEvents returns the events to send with the next heartbeat, and
	// AcknowledgeEvents drops those up to a sequence number; either may be nil.
	PendingEvents     func() []*wire.Event
	AcknowledgeEvents func(sequence uint64)
	// Clock returns the hybrid logical clock, and ObserveClock advances it to
	// that of a peer; either may be nil.
	Clock        func() int64
	ObserveClock func(int64)

	// Dial and Listen replace the network in tests; nil means package link over TCP.
	Dial   func(ctx context.Context, address string, handler http.Handler) (Session, error)
	Listen func(ctx context.Context, address string, handler http.Handler) (stop func(context.Context), err error)

	inbox   chan func()
	done    chan struct{} // closed when the control loop has ended
	ctx     context.Context
	group   sync.WaitGroup // goroutines started by spawn
	handler http.Handler

	lastParsed       parsedDocument
	drainingSessions atomic.Bool // drain ends the sessions, not the goroutines that own them
	state
}

// state is the state that the control loop owns.
type state struct {
	startedAt time.Time
	epoch     units.Epoch
	capacity  units.Resources
	adopted   bool // the task table has been read under this epoch; nothing is admitted before
	stopping  bool // a planned stop is in progress
	runError  error

	tasks        map[units.Task]*task
	decisions    decisions
	reservations map[units.ServiceName]units.Resources // resources committed to the endpoint of each service
	// endpointSeenAt is when the endpoint of each service last announced itself.
	endpointSeenAt    map[units.ServiceName]time.Time
	offeredEndpoints  []*wire.EndpointReport
	failures          failureRecord
	worker            workerState
	config            configState
	lease             leaseState
	lessees           map[units.WorkerID]*lessee
	entries           map[string]*entry
	logReachableSince time.Time // zero while the log is unreachable
	guardState        guardState
}

// Run acquires the worker and runs the agent until ctx ends or a newer epoch
// holds the worker. On a planned stop it waits for requests in flight; the tasks
// continue under their leases until the next agent adopts them.
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

// drain announces the planned stop to the entry processes and then waits for
// the sessions to finish their requests. The control loop runs meanwhile, so
// that leases are renewed.
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
	a.discardInbox(finished) // a fenced agent makes no decisions
	a.lease.closeSession()
}

// discardInbox drops the functions posted to the control loop until ctx ends.
func (a *Agent) discardInbox(ctx context.Context) {
	for {
		select {
		case <-a.inbox:
		case <-ctx.Done():
			return
		}
	}
}

// tick updates every part of the agent. All parts use the given time, so that
// the decisions of one tick refer to the same instant.
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
	a.removeStaleEntries(now)
}

// post queues fn for the control loop. It reports false if the loop has ended.
func (a *Agent) post(fn func()) bool {
	select {
	case a.inbox <- fn:
		return true
	case <-a.done:
		return false
	}
}

// spawn runs fn in a goroutine that Run waits for before it returns.
func (a *Agent) spawn(fn func()) { a.group.Go(fn) }

// fence ends the control loop because a newer epoch holds the worker.
func (a *Agent) fence(cause error) {
	if a.runError == nil {
		a.runError = fault.Wrap("run", Fenced, cause)
		a.event("agentFenced", string(a.WorkerID), cause.Error())
	}
}

// event counts and records a change of state.
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

// runOnLoop runs fn on the control loop and returns its result. If ctx ends
// first, fn may still run later; its result is then dropped.
func runOnLoop[T any](ctx context.Context, a *Agent, fn func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	if a.post(func() {
		value, err := fn()
		results <- result{value, err}
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
