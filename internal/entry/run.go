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
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/stream"
)

// snapshotEvery is the number of entries of a stream between two snapshots.
const snapshotEvery = 20_000

// Run serves until ctx ends, then stops gracefully: readiness goes off, the
// process leaves the members, listeners close after DrainFor, requests in
// flight are answered, and sessions end last.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	if e.Requests != nil {
		e.requests = e.Requests(e)
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
	if _, err := e.agents.Listen(); err != nil {
		callers.Close()
		admins.Close()
		return fault.Wrap("listen for agents", Listen, err)
	}
	// serving outlives ctx, so that requests in flight and their records end
	// before the parts that they need.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	e.follow(serving, group)
	group.Go(func() error { return newControl(e).run(serving) })
	group.Go(func() error { return e.agents.Run(serving) })
	if e.requests != nil {
		group.Go(func() error { return e.requests.Run(serving) })
	}
	callerServer := e.callerServer()
	adminServer := administration.NewServer(e.administrationConfig()).HTTPServer()
	serve(group, callerServer, callers)
	serve(group, adminServer, admins)
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

// follow runs the followers, the writers and the snapshotters.
func (e *Entry) follow(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{
		e.config.Run, e.members.Run, e.jobs.Run,
		e.writers.config.Run, e.writers.members.Run, e.writers.jobs.Run,
		snapshotter(e, e.config, e.writers.config).Run,
		snapshotter(e, e.members, e.writers.members).Run,
		snapshotter(e, e.jobs, e.writers.jobs).Run,
	} {
		group.Go(func() error { return run(ctx) })
	}
}

// snapshotter keeps a stream recoverable while this process owns it.
func snapshotter[S stream.State](e *Entry, f *stream.Follower[S], w *stream.Writer) *stream.Snapshotter[S] {
	return &stream.Snapshotter[S]{
		Follower: f, Writer: w, EntryInterval: snapshotEvery, Retention: e.Settings.LogRetention,
		IsOwner: func() bool { return e.owners.Load().owns("stream/" + f.Stream) },
	}
}

func serve(group *errgroup.Group, server *http.Server, l net.Listener) {
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

func (e *Entry) callerServer() *http.Server {
	if e.requests != nil {
		return e.requests.Server()
	}
	return &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: 5 * time.Second}
}

// shutdown ends the process gracefully in the order that Run describes.
func (e *Entry) shutdown(ctx context.Context, callers, admins *http.Server) {
	e.draining.Store(true)
	e.event("entry", "draining", string(e.Settings.ID), "", "")
	ctx, cancel := context.WithTimeout(ctx, stopWithin)
	defer cancel()
	leave, cancelLeave := context.WithTimeout(ctx, e.DrainFor)
	if _, err := e.writers.members.Append(leave, roster.EncodeEntryLeft(e.Settings.ID)); err != nil {
		klog.InfoS("the planned stop was not recorded", "err", err)
	}
	cancelLeave()
	if e.requests != nil {
		e.requests.Shutdown(ctx, callers, e.DrainFor)
	} else if err := callers.Shutdown(ctx); err != nil {
		klog.InfoS("requests were still in flight at the end of the planned stop", "err", err)
	}
	if err := admins.Shutdown(ctx); err != nil {
		klog.InfoS("administration requests were still in flight at the end of the planned stop", "err", err)
	}
	e.agents.Shutdown(ctx)
}

// linkHandler serves the calls of agents.
func (e *Entry) linkHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /link/heartbeat", link.Handle(e.heartbeat))
	mux.Handle("POST /link/events", link.Handle(e.serveEvents))
	return mux
}
