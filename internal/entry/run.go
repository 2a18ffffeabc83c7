package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/drain"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/stream"
)

// EntriesPerSnapshot is the number of entries between two snapshots of a stream.
const EntriesPerSnapshot = 20_000

// Run serves until ctx ends and then stops gracefully, in this order: readiness
// ends, the process records that it leaves, the listeners close when DrainDelay has
// passed and no more requests arrive, requests in flight are answered, and the
// sessions with agents end.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	if e.NewRequestServer != nil {
		e.requestServer = e.NewRequestServer(e)
	}
	callers, err := listen(e.Settings.CallerAddress.String())
	if err != nil {
		return err
	}
	admins, err := listen(e.Settings.AdminAddress.String())
	if err != nil {
		callers.Close()
		return err
	}
	if _, err := e.agentListener.Listen(); err != nil {
		callers.Close()
		admins.Close()
		return fault.Wrap("listen for agents", Listen, err)
	}
	// serving outlives ctx, so that requests in flight are answered and recorded
	// before the parts that they depend on stop.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	e.startStreams(serving, group)
	group.Go(func() error { return newControl(e).run(serving) })
	group.Go(func() error { return e.agentListener.Run(serving) })
	if e.requestServer != nil {
		group.Go(func() error { return e.requestServer.Run(serving) })
	}
	callerServer := &drain.Server{HTTP: e.callerServer(), Notice: e.DrainDelay, Quiet: drainQuiet, MaxAccept: e.DrainDelay + maxExtraAccept}
	adminServer := &drain.Server{HTTP: administration.NewServer(e.administrationConfig()).HTTPServer(), Quiet: drainQuiet, MaxAccept: maxExtraAccept}
	group.Go(func() error { return callerServer.Serve(callers) })
	group.Go(func() error { return adminServer.Serve(admins) })
	klog.InfoS("entry process started", "id", e.Settings.ID, "environment", e.Settings.Environment,
		"callers", callers.Addr(), "administration", admins.Addr())
	e.event("entry", "started", string(e.Settings.ID), "", "")
	select {
	case <-ctx.Done():
	case <-serving.Done():
	}
	e.shutdown(serving, callerServer, adminServer)
	stop()
	err = group.Wait()
	klog.InfoS("entry process stopped", "id", e.Settings.ID)
	if err != nil && !errors.Is(err, context.Canceled) {
		return fault.Wrap("run", Failed, err)
	}
	return nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap("listen", Listen, err)
	}
	return l, nil
}

// startStreams starts the followers, the writers and the snapshotters.
func (e *Entry) startStreams(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{
		e.config.Run, e.members.Run, e.jobs.Run,
		e.writers.config.Run, e.writers.members.Run, e.writers.jobs.Run,
		newSnapshotter(e, e.config, e.writers.config).Run,
		newSnapshotter(e, e.members, e.writers.members).Run,
		newSnapshotter(e, e.jobs, e.writers.jobs).Run,
	} {
		group.Go(func() error { return run(ctx) })
	}
}

// newSnapshotter returns the snapshotter of a stream. It writes snapshots only while
// this process owns the stream.
func newSnapshotter[S stream.State](e *Entry, f *stream.Follower[S], w *stream.Writer) *stream.Snapshotter[S] {
	return &stream.Snapshotter[S]{
		Follower: f, Writer: w, EntryInterval: EntriesPerSnapshot, Retention: e.Settings.LogRetention,
		IsOwner: func() bool { return e.ownership.Load().owns("stream/" + f.Stream) },
	}
}

func (e *Entry) callerServer() *http.Server {
	if e.requestServer != nil {
		return e.requestServer.Server()
	}
	return &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: 5 * time.Second}
}

const (
	// drainQuiet is how long no connection and no request may have arrived before a
	// listener closes.
	drainQuiet = 500 * time.Millisecond
	// maxExtraAccept bounds the time for which a listener stays open because callers
	// still arrive. It exceeds the interval of readiness checks.
	maxExtraAccept = 2 * time.Second
	// minRequestTime is the time that requests in flight have at least, if the
	// limits of the settings are lower.
	minRequestTime = 30 * time.Second
	// sessionTimeout bounds the end of the sessions, which have no requests in
	// flight then.
	sessionTimeout = 5 * time.Second
)

// shutdown stops the process gracefully in the order that Run describes.
func (e *Entry) shutdown(ctx context.Context, callers, admins *drain.Server) {
	e.draining.Store(true)
	e.event("entry", "draining", string(e.Settings.ID), "", "")
	callerCtx, cancel := context.WithTimeout(ctx, callers.MaxAccept+max(e.Settings.Limits.CallerTimeout, minRequestTime))
	defer cancel()
	leave, cancelLeave := context.WithTimeout(callerCtx, e.DrainDelay)
	if _, err := e.writers.members.Append(leave, roster.EncodeEntryLeft(e.Settings.ID)); err != nil {
		klog.InfoS("cannot record the planned stop", "err", err)
	}
	cancelLeave()
	if e.requestServer != nil {
		e.requestServer.Shutdown(callerCtx, callers)
	} else {
		callers.Drain(callerCtx)
	}
	adminCtx, cancel := context.WithTimeout(ctx, admins.MaxAccept+max(e.Settings.Limits.AdminTimeout, minRequestTime))
	defer cancel()
	admins.Drain(adminCtx)
	sessionCtx, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	e.agentListener.Shutdown(sessionCtx)
}

// linkHandler serves the calls of agents and of other entry processes.
func (e *Entry) linkHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /link/heartbeat", link.Handle(e.serveHeartbeat))
	mux.Handle("POST /link/events", link.Handle(e.serveEvents))
	return mux
}
