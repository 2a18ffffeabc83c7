package agent

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// network carries messages between processes of one test in memory. It loses
// replies, delays and repeats messages, and cuts pairs of processes apart.
type network struct {
	mu     sync.Mutex
	random *rand.Rand
	noise  float64 // probability of each fault
	cut    map[[2]string]bool
	served map[string]http.Handler // link addresses
	ctx    context.Context         // ends late deliveries with the test
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// chance draws what happens to one message.
func (n *network) chance(from, to string) (cut, lost, repeated bool, delay, late time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hit := func() bool { return n.random.Float64() < n.noise }
	return n.cut[[2]string{from, to}], hit(), hit(), time.Duration(n.random.IntN(10)) * time.Millisecond, time.Duration(n.random.IntN(12000)) * time.Millisecond
}

var errLost = errors.New("lost")

func (n *network) call(ctx context.Context, from, to string, handler http.Handler, path string, message, reply proto.Message) error {
	cut, lost, repeated, delay, late := n.chance(from, to)
	if cut || handler == nil {
		<-ctx.Done()
		return fault.Wrap("call", link.Unknown, ctx.Err())
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	if repeated {
		go func() { // the same message again, much later
			select {
			case <-time.After(late):
				post(n.ctx, handler, path, body)
			case <-n.ctx.Done():
			}
		}()
	}
	time.Sleep(delay)
	recorder := post(ctx, handler, path, body)
	time.Sleep(delay)
	switch {
	case lost:
		return fault.Wrap("call", link.Unknown, errLost)
	case recorder.Code != http.StatusOK:
		return fault.New("call", link.Rejected, "status %d: %s", recorder.Code, recorder.Body)
	}
	return proto.Unmarshal(recorder.Body.Bytes(), reply)
}

func post(ctx context.Context, handler http.Handler, path string, body []byte) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)).WithContext(ctx)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// memorySession is a Session over a network.
type memorySession struct {
	network  *network
	from, to string
	handler  http.Handler
	done     chan struct{}
	once     sync.Once
}

func (s *memorySession) Call(ctx context.Context, path string, message, reply Message) error {
	return s.network.call(ctx, s.from, s.to, s.handler, path, message, reply)
}
func (s *memorySession) Done() <-chan struct{}    { return s.done }
func (s *memorySession) Close()                   { s.once.Do(func() { close(s.done) }) }
func (s *memorySession) Shutdown(context.Context) { s.Close() }

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

func (g *gate) pass() error {
	for {
		g.mu.Lock()
		open, killed := g.open, g.killed
		g.mu.Unlock()
		if killed {
			return errLost
		}
		select {
		case <-open:
			return nil
		default:
			<-open
		}
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
	killAfter atomic.Pointer[string] // operation after whose effect the process dies
}

func (w *gatedWorker) armKill(op string) { w.killAfter.Store(&op) }

func (w *gatedWorker) do(op string, call func() error) error {
	if err := w.pass(); err != nil {
		return fault.Wrap(op, workerapi.Unknown, err)
	}
	err := call()
	if last := w.killAfter.Load(); last != nil && *last == op {
		w.kill()
	}
	if lost := w.pass(); lost != nil {
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
