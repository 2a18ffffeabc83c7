// Package entry is the entry process: it answers callers, teams and operators,
// follows the log, and dispatches tasks to agents.
//
// Read run.go for what runs, control.go for the state and its tick, then one
// file for each thing the control loop does: heartbeat.go, registration.go,
// reports.go, placement.go, launches.go, releases.go, reconcile.go, watchers.go.
// backend.go, views.go and events.go answer the administration API.
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

// Kind tells failures of the entry process apart.
type Kind string

// The kinds of Error.
const (
	Listen Kind = "listen" // an address could not be bound
	Failed Kind = "failed" // a part of the process ended with an error
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RequestServer is the path of callers' requests as the entry process needs it.
type RequestServer interface {
	// Server returns the server of the callers' listener.
	Server() *http.Server
	// Run watches this process for stalls until ctx ends.
	Run(ctx context.Context) error
	// ObserveHeartbeat takes over an agent's view of its endpoints.
	ObserveHeartbeat(worker units.WorkerID, session *link.Session, heartbeat ReceivedHeartbeat)
	// SetDocument takes over a new document.
	SetDocument(d *environment.Document)
	// Shutdown turns readiness off, serves for notice, and then stops server
	// without cutting off a request.
	Shutdown(ctx context.Context, server *http.Server, notice time.Duration)
}

// Entry is the entry process. Set the exported fields before Run.
type Entry struct {
	Settings         *settings.Entry
	Log              logservice.Service
	NewRequestServer func(e *Entry) RequestServer // builds the request path; nil serves no callers
	MetricsScope     tally.Scope                  // nil for none
	MetricsHandler   http.Handler                 // serves /metrics; nil for none
	// DrainDelay is how long readiness is off before listeners close on a planned
	// stop, so that the platform's balancer stops choosing this process first.
	DrainDelay time.Duration

	prepareOnce    sync.Once
	runID          string
	recorder       *timeline.Recorder
	collector      *timeline.Collector
	causes         timeline.Causes
	config         *stream.Follower[*configuration.State]
	members        *stream.Follower[*roster.Roster]
	jobs           *stream.Follower[*ledger.Ledger]
	writers        struct{ config, members, jobs *stream.Writer }
	publisher      *configuration.Publisher
	agentListener  *link.Listener
	requestServer  RequestServer
	loopCalls      chan func(*control)
	currentVersion atomic.Pointer[documentVersion]
	documentMu     sync.Mutex   // of examined, unreadable, and of putting a document in force
	examinedOffset units.Offset // newest version that has been looked at
	rejectedOffset units.Offset // newest version that did not pass the check of this program
	ownership      atomic.Pointer[ownership]
	draining       atomic.Bool
	descriptions   descriptions
}

// version is the document in force with the offset that numbers it.
type documentVersion struct {
	offset   units.Offset
	author   string
	raw      []byte
	document *environment.Document
}

const (
	// drainFor covers two heartbeats and a balancer that checks every second.
	defaultDrainDelay = 3 * time.Second
	// stopWithin bounds a planned stop when a request never ends.
	shutdownTimeout = 30 * time.Second
	// jobsWindow spaces the appends of one process: 12 of them at 50 ms make
	// 240 appends a second, within the several hundred that the log takes. At
	// 20 ms they reach its limit, and p99 of an append grows from 60 to 105 ms.
	jobsAppendWindow = 50 * time.Millisecond
	// reachable is the staleness up to which the log counts as reachable; a
	// read at the tail returns at least every ReadWait.
	maxLogStaleness = 3 * time.Second
)

// prepare builds the parts once; Run calls it.
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

// Document returns the document in force and its offset, or nil and 0.
func (e *Entry) Document() (*environment.Document, units.Offset) {
	v := e.currentVersion.Load()
	if v == nil {
		return nil, 0
	}
	return v.document, v.offset
}

// logReachable reports whether the tails of the config and members streams were
// read recently.
func (e *Entry) logReachable(now time.Time) bool {
	return max(e.config.Staleness(now), e.members.Staleness(now)) < maxLogStaleness
}

// event records an event of this process. Without a cause it names the newest
// known event about the same subject, of whichever process.
func (e *Entry) event(lane, kind, subject, text, cause string) {
	if cause == "" {
		cause = e.causes.Latest(subject)
	}
	e.causes.Note(subject, e.recorder.Record(lane, kind, subject, text, cause))
}

// collect keeps events of other processes.
func (e *Entry) collectEvents(events []*wire.Event) {
	received := timeline.FromWire(events)
	e.collector.Add(received...)
	for _, event := range received {
		e.causes.Note(event.Subject, event.ID())
	}
}

// do runs fn on the control goroutine and waits for it.
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

// LinkAddr returns the bound address of the agents' listener after Run has
// started; tests use port 0.
func (e *Entry) LinkAddr() (net.Addr, error) { return e.agentListener.Listen() }

func checkDocument(raw []byte) error {
	_, err := environment.Parse("document", raw)
	return err
}
