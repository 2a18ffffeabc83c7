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

var errProcessKilled = errors.New("process killed")

// gate delays the calls from and to a process. While it is closed, calls wait, as
// in a process that is paused between a decision and the call that executes it.
// Once the process is killed, every call fails.
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

// gatedWorker passes the calls of a process to the worker through its gate. It can
// kill the process after a given operation, so that the reply is lost.
type gatedWorker struct {
	workerapi.Worker
	*gate
	killAfterOp atomic.Pointer[string] // operation after which the process is killed
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
