package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/agent"
	"wasabihill.example/wasabihill/internal/drain"
	"wasabihill.example/wasabihill/internal/forward"
	"wasabihill.example/wasabihill/internal/guard"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/signals"
	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

const agentDescription = `Runs beside one worker and its endpoint. It is the only process that admits
work to that worker. SIGTERM stops it gracefully: requests in flight are
completed, and the worker's tasks continue under their leases until the next
agent adopts them. Meanwhile SIGHUP and further SIGTERM have no effect; a second
SIGINT (Ctrl-C) ends it at once.

Examples:
  wasabihill agent /etc/wasabihill/agent.json
  wasabihill agent --check /etc/wasabihill/agent.json`

// Agent returns the command that runs an agent.
func Agent() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "run an agent beside a worker", ArgsUsage: "SETTINGS", Category: commandCategory, Description: agentDescription,
		Flags: []cli.Flag{checkFlag},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			received := signals.Receive()
			path, err := settingsPath(cmd)
			if err != nil {
				return err
			}
			s, err := settings.LoadAgent(path)
			if err != nil || cmd.Bool(checkFlag.Name) {
				return err
			}
			return runUntilSignal(ctx, received, func(ctx context.Context) error { return runAgent(ctx, s) })
		},
	}
}

const (
	// maxIdleWorkerConnections covers the concurrent calls from the agent to the
	// worker.
	maxIdleWorkerConnections = 8
	// maxEventsPerHeartbeat keeps a burst of timeline events within the limit of
	// 5 KB/s per node.
	maxEventsPerHeartbeat = 16
)

func runAgent(ctx context.Context, s *settings.Agent) error {
	scope, metrics, closer := administration.NewMetrics(string(s.Worker))
	defer closer.Close()
	forwarder := forward.New(forward.Options{Scope: scope, MaxQueued: s.Limits.QueuedRequests})
	a := newAgent(s, scope, forwarder)
	announceListener, err := net.Listen("tcp", s.AnnounceAddress.String())
	if err != nil {
		return err
	}
	// The listeners stay open until the agent has ended, so that the endpoint can
	// announce that it is leaving while the agent drains.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	group, serveCtx := errgroup.WithContext(serveCtx)
	serve(serveCtx, group, announceListener, forwarder.AnnounceHandler())
	if s.StatusAddress.IsValid() {
		statusListener, err := net.Listen("tcp", s.StatusAddress.String())
		if err != nil {
			stop()
			return errors.Join(err, group.Wait())
		}
		serve(serveCtx, group, statusListener, statusHandler(metrics))
	}
	group.Go(func() error {
		defer stop()
		klog.InfoS("agent started", "worker", s.Worker, "link", s.LinkAddress)
		return a.Run(ctx)
	})
	err = group.Wait()
	klog.InfoS("agent stopped", "worker", s.Worker)
	return err
}

// newAgent returns an agent with its worker client, request forwarder and event
// recorder.
func newAgent(s *settings.Agent, scope tally.Scope, forwarder *forward.Forwarder) *agent.Agent {
	recorder := timeline.NewRecorder("agent/"+string(s.Worker)+"/"+newIncarnationID(), s.Limits.TimelineEvents, time.Now)
	var acknowledged atomic.Uint64
	eventCount := scope.Counter("agent_events")
	var latestEvents timeline.LatestEvents
	a := &agent.Agent{
		WorkerID: s.Worker, Domain: s.FailureDomain, Rack: s.Rack, Region: s.Region,
		LinkAddress: s.LinkAddress.String(), AdvertisedLinkAddress: s.AdvertisedLinkAddress.String(), ProcessName: recorder.Process(),
		Worker:         NewWorkerClient("http://" + s.WorkerAddress.String()),
		RequestHandler: forwarder, EndpointReports: forwarder.EndpointReports, Guard: &guard.Controller{},
		OmitUnchanged: true,
		RecordEvent: func(kind, subject, text string) {
			eventCount.Inc(1)
			klog.InfoS("agent event", "kind", kind, "subject", subject, "text", text)
			latestEvents.Set(subject, recorder.Record("worker", kind, subject, text, latestEvents.Get(subject)))
		},
		RecordCause: latestEvents.Set,
		PendingEvents: func() []*wire.Event {
			return timeline.ToWire(recorder.EventsAfter(acknowledged.Load(), maxEventsPerHeartbeat))
		},
		AcknowledgeEvents: acknowledged.Store,
		Clock:             recorder.AdvanceClock,
		ObserveClock:      recorder.UpdateClock,
	}
	for _, e := range s.Entries {
		a.EntryAddresses = append(a.EntryAddresses, e.String())
	}
	return a
}

// NewWorkerClient returns the client of an agent for the worker at the base URL.
func NewWorkerClient(baseURL string) *workerapi.Client {
	return &workerapi.Client{BaseURL: baseURL, HTTP: newHTTPClient(maxIdleWorkerConnections)}
}

// statusHandler serves the health and the metrics of an agent.
func statusHandler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.Handle("GET /metrics", metrics)
	return mux
}

// Limits of the servers of local APIs.
const (
	readHeaderTimeout = 5 * time.Second  // for the header of a request
	readTimeout       = 10 * time.Second // for a whole request
	maxHeaderBytes    = 16 << 10
	// serveStopTimeout bounds the time for requests in flight when the agent ends.
	serveStopTimeout = time.Second
)

// serve runs an HTTP server for a local API in group until ctx ends, and then answers
// the requests that have been sent until then.
func serve(ctx context.Context, group *errgroup.Group, l net.Listener, handler http.Handler) {
	server := &drain.Server{HTTP: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes}}
	group.Go(func() error { return server.Serve(l) })
	group.Go(func() error {
		<-ctx.Done()
		drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), serveStopTimeout)
		defer cancel()
		server.Drain(drainCtx)
		return nil
	})
}
