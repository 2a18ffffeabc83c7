// Package entry implements the entry process. It answers callers, teams and
// operators, follows the log, and dispatches tasks to agents.
//
// The file run.go starts and stops the parts of the process, and control.go has
// the state and the tick of the control loop. The steps of the control loop are in
// heartbeat.go, registration.go, reports.go, placement.go, launches.go,
// releases.go, reconcile.go and watchers.go. The administration API is implemented
// in backend.go, views.go and events.go.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabihill.example/wasabihill/internal/configuration"
	"wasabihill.example/wasabihill/internal/drain"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	Listen Kind = "listen" // an address could not be bound
	Failed Kind = "failed" // a part of the process ended with an error
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RequestServer serves the requests of callers.
type RequestServer interface {
	// Server returns the HTTP server for the callers' listener.
	Server() *http.Server
	// Run monitors this process for stalls until ctx ends.
	Run(ctx context.Context) error
	// ObserveHeartbeat updates the endpoints of an agent from its heartbeat.
	ObserveHeartbeat(worker units.WorkerID, session *link.Session, heartbeat ReceivedHeartbeat)
	// SetDocument applies a new document.
	SetDocument(d *environment.Document)
	// Shutdown turns readiness off and drains server, which serves Server.
	Shutdown(ctx context.Context, server *drain.Server)
}

// Entry is one entry process. Set the exported fields before Run.
type Entry struct {
	Settings         *settings.Entry
	Log              logservice.Service
	NewRequestServer func(e *Entry) RequestServer // nil means that callers' requests are answered with 404
	MetricsScope     tally.Scope                  // nil for none
	MetricsHandler   http.Handler                 // serves /metrics; nil for none
	// DrainDelay is the least time between the end of readiness and the closing of
	// the listeners during a planned stop. It lets the platform's load balancer stop
	// sending requests to this process first.
	DrainDelay time.Duration

	prepareOnce    sync.Once
	runID          string
	recorder       *timeline.Recorder
	collector      *timeline.Collector
	causes         timeline.LatestEvents
	config         *stream.Follower[*configuration.State]
	members        *stream.Follower[*roster.Roster]
	jobs           *stream.Follower[*ledger.Ledger]
	writers        struct{ config, members, jobs *stream.Writer }
	publisher      *configuration.Publisher
	agentListener  *link.Listener
	requestServer  RequestServer
	loopCalls      chan func(*control)
	currentVersion atomic.Pointer[documentVersion]
	documentMu     sync.Mutex   // guards examinedOffset and rejectedOffset, and serializes changes of currentVersion
	examinedOffset units.Offset // newest version that has been examined
	rejectedOffset units.Offset // newest version that could not be parsed
	ownership      atomic.Pointer[ownership]
	draining       atomic.Bool
	descriptions   descriptions
}

// documentVersion is a version of the document. Its offset in the config stream is
// the version number.
type documentVersion struct {
	offset   units.Offset
	author   string
	raw      []byte
	document *environment.Document
}

const (
	// defaultDrainDelay covers two heartbeats and a load balancer that checks
	// readiness every second.
	defaultDrainDelay = 3 * time.Second
	// jobsAppendWindow is the least time between two appends of one process. Twelve
	// processes at 50 ms make 240 appends per second, within the several hundred
	// that the log accepts. At 20 ms they reach its limit, and the p99 latency of an
	// append grows from 60 to 105 ms.
	jobsAppendWindow = 50 * time.Millisecond
	// maxLogStaleness is the staleness up to which the log counts as reachable. A
	// read at the tail returns at least once every ReadWait.
	maxLogStaleness = 3 * time.Second
)

// prepare builds the parts of the process once. Run calls it.
func (e *Entry) prepare() { e.prepareOnce.Do(e.build) }

func (e *Entry) build() {
	var id [6]byte
	_, _ = rand.Read(id[:])
	e.runID = string(e.Settings.ID) + "-" + hex.EncodeToString(id[:])
	if e.MetricsScope == nil {
		e.MetricsScope = tally.NoopScope
	}
	if e.DrainDelay == 0 {
		e.DrainDelay = defaultDrainDelay
	}
	e.recorder = timeline.NewRecorder(e.runID, e.Settings.Limits.TimelineEvents, time.Now)
	e.collector = timeline.NewCollector(e.Settings.Limits.TimelineEvents)
	e.loopCalls = make(chan func(*control), 256)
	e.ownership.Store(newOwnership(e.Settings.ID, nil))

	env := string(e.Settings.Environment)
	e.config = &stream.Follower[*configuration.State]{Log: e.Log, Stream: configuration.Stream, State: &configuration.State{}, Decode: configuration.DecodePayload}
	e.members = &stream.Follower[*roster.Roster]{Log: e.Log, Stream: "members." + env, State: roster.New()}
	e.jobs = &stream.Follower[*ledger.Ledger]{Log: e.Log, Stream: "jobs." + env, State: ledger.New()}
	e.writers.config = &stream.Writer{Log: e.Log, Stream: configuration.Stream, ID: e.runID} // snapshots only
	e.writers.members = &stream.Writer{Log: e.Log, Stream: e.members.Stream, ID: e.runID}
	e.writers.jobs = &stream.Writer{Log: e.Log, Stream: e.jobs.Stream, ID: e.runID, Window: jobsAppendWindow}
	e.publisher = &configuration.Publisher{Log: e.Log, Follower: e.config, Check: checkDocument}
	e.agentListener = &link.Listener{Address: e.Settings.LinkAddress.String(), Handler: e.linkHandler()}
}

// Document returns the current document and its offset, or nil and 0 without one.
func (e *Entry) Document() (*environment.Document, units.Offset) {
	v := e.currentVersion.Load()
	if v == nil {
		return nil, 0
	}
	return v.document, v.offset
}

// logReachable reports whether the tails of the config and members streams have
// been read within maxLogStaleness.
func (e *Entry) logReachable(now time.Time) bool {
	return max(e.config.Staleness(now), e.members.Staleness(now)) < maxLogStaleness
}

// event records an event of this process. If cause is empty, the cause is the
// newest event about the same subject that any process has reported.
func (e *Entry) event(lane, kind, subject, text, cause string) {
	if cause == "" {
		cause = e.causes.Get(subject)
	}
	e.causes.Set(subject, e.recorder.Record(lane, kind, subject, text, cause))
}

// collectEvents stores events of other processes.
func (e *Entry) collectEvents(events []*wire.Event) {
	received := timeline.FromWire(events)
	e.collector.Add(received...)
	for _, event := range received {
		e.causes.Set(event.Subject, event.ID())
	}
}

// runOnLoop runs fn on the control loop and waits until it has returned.
func (e *Entry) runOnLoop(ctx context.Context, fn func(*control)) error {
	done := make(chan struct{})
	call := func(c *control) { fn(c); close(done) }
	select {
	case e.loopCalls <- call:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LinkAddr returns the bound address of the agents' listener. Tests listen on
// port 0.
func (e *Entry) LinkAddr() (net.Addr, error) { return e.agentListener.Listen() }

func checkDocument(raw []byte) error {
	_, err := environment.Parse("document", raw)
	return err
}
