package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

var errProcessKilled = errors.New("lost")

// gate stands between a process and everything outside: while it is closed,
// calls wait, as they do in a process that is paused between a decision and
// the call that carries it out. A killed process makes no further call.
type gate struct {
	mu     sync.Mutex
	open   chan struct{} // closed when open
	killed bool
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) wait() error {
	for {
		g.mu.Lock()
		open, killed := g.open, g.killed
		g.mu.Unlock()
		if killed {
			return errProcessKilled
		}
		if isClosed(open) {
			return nil
		}
		<-open
	}
}

func (g *gate) pause(d time.Duration) {
	g.mu.Lock()
	open := make(chan struct{})
	g.open = open
	g.mu.Unlock()
	time.Sleep(d)
	close(open)
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
}

// gatedWorker is the worker as seen by a process behind a gate. It also loses
// replies and dies after a given call.
type gatedWorker struct {
	workerapi.Worker
	*gate
	killAfterOp atomic.Pointer[string] // operation after whose effect the process dies
}

func (w *gatedWorker) setKillAfter(op string) { w.killAfterOp.Store(&op) }

func (w *gatedWorker) do(op string, call func() error) error {
	if err := w.wait(); err != nil {
		return fault.Wrap(op, workerapi.Unknown, err)
	}
	err := call()
	if last := w.killAfterOp.Load(); last != nil && *last == op {
		w.kill()
	}
	if lost := w.wait(); lost != nil {
		return fault.Wrap(op, workerapi.Unknown, lost)
	}
	return err
}

func (w *gatedWorker) Hold(ctx context.Context, holder string) (h workerapi.Holder, err error) {
	err = w.do("hold", func() error { h, err = w.Worker.Hold(ctx, holder); return err })
	return h, err
}

func (w *gatedWorker) Tasks(ctx context.Context) (t workerapi.Table, err error) {
	err = w.do("tasks", func() error { t, err = w.Worker.Tasks(ctx); return err })
	return t, err
}

func (w *gatedWorker) Start(ctx context.Context, r workerapi.StartRequest) error {
	return w.do("start", func() error { return w.Worker.Start(ctx, r) })
}

func (w *gatedWorker) Activate(ctx context.Context, e units.Epoch, t units.Task, a, as units.Attempt) error {
	return w.do("activate", func() error { return w.Worker.Activate(ctx, e, t, a, as) })
}

func (w *gatedWorker) Renew(ctx context.Context, e units.Epoch, until workerapi.Clock, tasks []units.Task) (c workerapi.Clock, err error) {
	err = w.do("renew", func() error { c, err = w.Worker.Renew(ctx, e, until, tasks); return err })
	return c, err
}

func (w *gatedWorker) Forget(ctx context.Context, e units.Epoch, t units.Task, a units.Attempt) error {
	return w.do("forget", func() error { return w.Worker.Forget(ctx, e, t, a) })
}
