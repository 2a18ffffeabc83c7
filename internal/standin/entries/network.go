// Package entries is an in-memory stand-in for the entry processes and their log.
// Tests of agents run against it in real or fake time. Network delivers messages
// and injects faults; Platform applies the agents' heartbeats by the rules of the
// log and dispatches tasks to the agents.
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

// Network delivers messages between processes in memory. It delays messages, drops
// replies, delivers messages again much later, and partitions pairs of processes.
type Network struct {
	mu         sync.Mutex
	random     *rand.Rand
	faultRate  float64
	partitions map[[2]string]bool
	handlers   map[string]http.Handler
	ctx        context.Context // cancels late deliveries
}

// NewNetwork returns a network that injects each kind of fault into a message with
// the probability faultRate. Late deliveries are cancelled when ctx ends.
func NewNetwork(ctx context.Context, seed uint64, faultRate float64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 2)), faultRate: faultRate, partitions: map[[2]string]bool{}, handlers: map[string]http.Handler{}, ctx: ctx}
}

// SetPartition starts or ends a partition between two processes.
func (n *Network) SetPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}], n.partitions[[2]string{b, a}] = partitioned, partitioned
}

// SetFaultRate sets the probability of each kind of fault.
func (n *Network) SetFaultRate(faultRate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultRate = faultRate
}

// Serve sets the handler that answers calls to the address.
func (n *Network) Serve(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// Dial connects the process from to the process to, which serves address.
func (n *Network) Dial(from, to, address string) (*Session, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[address] == nil {
		return nil, fault.Wrap("dial", link.NotSent, errReplyLost)
	}
	return n.Connect(from, to, n.handlers[address]), nil
}

// Connect returns a session whose calls are served by handler.
func (n *Network) Connect(from, to string, handler http.Handler) *Session {
	return &Session{network: n, from: from, to: to, handler: handler, done: make(chan struct{})}
}

// drawFaults draws the faults of one message: whether the processes are
// partitioned, its reply is lost and it is delivered again; the delay of each
// direction; and the delay of the repeated delivery.
func (n *Network) drawFaults(from, to string) (partitioned, replyLost, repeated bool, delay, repeatDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	draw := func() bool { return n.random.Float64() < n.faultRate }
	return n.partitions[[2]string{from, to}], draw(), draw(), time.Duration(n.random.IntN(10)) * time.Millisecond, time.Duration(n.random.IntN(12000)) * time.Millisecond
}

var errReplyLost = errors.New("reply is lost")

func (n *Network) call(ctx context.Context, from, to string, handler http.Handler, path string, message, reply proto.Message) error {
	partitioned, replyLost, repeated, delay, repeatDelay := n.drawFaults(from, to)
	if partitioned || handler == nil {
		<-ctx.Done()
		return fault.Wrap("call", link.Unknown, ctx.Err())
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	if repeated {
		go func() { // deliver the same message again, much later
			select {
			case <-time.After(repeatDelay):
				post(n.ctx, handler, path, body)
			case <-n.ctx.Done():
			}
		}()
	}
	time.Sleep(delay)
	recorder := post(ctx, handler, path, body)
	time.Sleep(delay)
	switch {
	case replyLost:
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
