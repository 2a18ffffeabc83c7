// Package entries is a stand-in for entry processes and the log behind them, in
// memory: tests of agents run against it in real or fake time. Network carries
// messages and their faults; Platform folds what agents report by the rules of
// the log and dispatches tasks to them.
package entries

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/link"
)

// Network carries messages between processes in memory. It loses replies,
// delays and repeats messages, and cuts pairs of processes apart.
type Network struct {
	mu        sync.Mutex
	random    *rand.Rand
	faultRate float64
	cut       map[[2]string]bool
	handlers  map[string]http.Handler
	ctx       context.Context // ends late deliveries
}

// NewNetwork returns a network on which each fault strikes a message with
// probability noise. Late deliveries end with ctx.
func NewNetwork(ctx context.Context, seed uint64, noise float64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 2)), faultRate: noise, cut: map[[2]string]bool{}, handlers: map[string]http.Handler{}, ctx: ctx}
}

// SetCut cuts two processes apart or joins them again.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = cut, cut
}

// SetNoise changes the probability of each fault.
func (n *Network) SetFaultRate(noise float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultRate = noise
}

// Serve lets others dial the address.
func (n *Network) Serve(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// Dial connects process from to the process to at a served address.
func (n *Network) Dial(from, to, address string) (*Session, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[address] == nil {
		return nil, fault.Wrap("dial", link.NotSent, errReplyLost)
	}
	return n.Connect(from, to, n.handlers[address]), nil
}

// Connect returns a session whose calls the handler answers.
func (n *Network) Connect(from, to string, handler http.Handler) *Session {
	return &Session{network: n, from: from, to: to, handler: handler, done: make(chan struct{})}
}

// chance draws what happens to one message.
func (n *Network) drawFaults(from, to string) (cut, lost, repeated bool, delay, late time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hit := func() bool { return n.random.Float64() < n.faultRate }
	return n.cut[[2]string{from, to}], hit(), hit(), time.Duration(n.random.IntN(10)) * time.Millisecond, time.Duration(n.random.IntN(12000)) * time.Millisecond
}

var errReplyLost = errors.New("lost")

func (n *Network) call(ctx context.Context, from, to string, handler http.Handler, path string, message, reply proto.Message) error {
	cut, lost, repeated, delay, late := n.drawFaults(from, to)
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
		return fault.Wrap("call", link.Unknown, errReplyLost)
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

// Session is one connection on a Network.
type Session struct {
	network  *Network
	from, to string
	handler  http.Handler
	done     chan struct{}
	once     sync.Once
}

// Call sends a message and decodes the reply.
func (s *Session) Call(ctx context.Context, path string, message, reply proto.Message) error {
	return s.network.call(ctx, s.from, s.to, s.handler, path, message, reply)
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Close ends the session.
func (s *Session) Close() { s.once.Do(func() { close(s.done) }) }

// Shutdown ends the session.
func (s *Session) Shutdown(context.Context) { s.Close() }
