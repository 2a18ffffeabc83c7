// Package relay forwards TCP connections and injects network faults into them
// from outside the processes that they connect.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to one address and injects network faults into
// them. The faults apply to open connections and to new ones.
type Relay struct {
	listener       net.Listener
	refusing       atomic.Bool
	forwardedBytes atomic.Int64 // bytes forwarded in both directions
	connections    atomic.Int64 // number of connections forwarded so far
	toTarget       direction    // from the client to the target
	fromTarget     direction

	mu      sync.Mutex
	target  string
	path    func(client net.Addr) Path // nil if no gates are passed
	conns   map[net.Conn]*forwarded
	refused map[string]struct{} // addresses of clients whose last connection did not reach the target
}

// direction holds the faults of one direction of a relay.
type direction struct {
	blackhole atomic.Bool  // bytes are discarded while the connection stays open
	delay     atomic.Int64 // nanoseconds before each chunk is forwarded
}

// forwarded is a connection of a client that the relay forwards.
type forwarded struct {
	silent atomic.Bool // bytes of both directions are discarded, for good
}

// New returns a relay that listens on a free loopback port and forwards to target.
func New(target string) (*Relay, error) { return NewAt("127.0.0.1:0", target) }

// NewAt returns a relay that listens on address and forwards to target.
func NewAt(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, conns: make(map[net.Conn]*forwarded), refused: make(map[string]struct{})}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Target returns the address to which the relay forwards.
func (r *Relay) Target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// SetTarget sets the address to which new connections are forwarded.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// ForwardedBytes returns the number of bytes that the relay has forwarded.
func (r *Relay) ForwardedBytes() int64 { return r.forwardedBytes.Load() }

// ForwardedConnections returns the number of connections that the relay has forwarded so far.
func (r *Relay) ForwardedConnections() int64 { return r.connections.Load() }

// SetBlackhole sets for each direction whether bytes are discarded while the
// connections stay open. A connection that lost bytes cannot recover, so
// ClearFaults closes it.
func (r *Relay) SetBlackhole(toTarget, fromTarget bool) {
	r.toTarget.blackhole.Store(toTarget)
	r.fromTarget.blackhole.Store(fromTarget)
}

// SetDelay delays each chunk by d in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.toTarget.delay.Store(int64(d))
	r.fromTarget.delay.Store(int64(d))
}

// SetRefusing sets whether new connections are closed at once. Open connections are
// not affected.
func (r *Relay) SetRefusing(refuse bool) { r.refusing.Store(refuse) }

// SilenceConnections lets every open connection fall silent for good, without a reset: its bytes
// are discarded in both directions, and its end is not forwarded. New connections work. It returns
// the number of connections.
func (r *Relay) SilenceConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	silenced := 0
	for _, f := range r.conns {
		if !f.silent.Swap(true) {
			silenced++
		}
	}
	return silenced
}

// ResetConnections closes every open connection with a TCP reset, as a host does
// that has lost the state of its connections.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
		}
		c.Close()
	}
}

// CloseConnections closes every open connection.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// ClearFaults ends every fault. It closes all connections if a direction was a
// blackhole, because a byte stream with missing bytes must not continue.
func (r *Relay) ClearFaults() {
	if r.toTarget.blackhole.Load() || r.fromTarget.blackhole.Load() {
		r.CloseConnections()
	}
	r.SetBlackhole(false, false)
	r.SetDelay(0)
	r.SetRefusing(false)
}

// Close closes the listener and every connection.
func (r *Relay) Close() {
	r.listener.Close()
	r.CloseConnections()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.refusing.Load() {
			conn.Close()
			continue
		}
		go r.forwardConnection(conn)
	}
}

// forwardConnection forwards between client and a new connection to the target
// until both directions have ended.
func (r *Relay) forwardConnection(client net.Conn) {
	path := r.pathOf(client)
	if !path.awaitConnection(client) {
		r.setRefused(client.RemoteAddr().String(), true)
		client.Close()
		return
	}
	target, err := net.DialTimeout("tcp", r.Target(), 2*time.Second)
	r.setRefused(client.RemoteAddr().String(), err != nil)
	if err != nil {
		client.Close()
		return
	}
	r.connections.Add(1)
	f := &forwarded{}
	r.track(f, client, target)
	defer r.closeAndUntrack(client, target)
	var wait sync.WaitGroup
	wait.Go(func() { r.forwardBytes(f, &r.toTarget, path.ToTarget, target, client) })
	wait.Go(func() { r.forwardBytes(f, &r.fromTarget, path.FromTarget, client, target) })
	wait.Wait()
}

func (r *Relay) setRefused(client string, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.refused, client)
	if refused {
		r.refused[client] = struct{}{}
	}
}

// Refused reports whether the last connection from the client at address (IP:port) did not
// reach the target. The client sees a reset instead of a refusal, because the relay has to
// accept a connection before it can open its own.
func (r *Relay) Refused(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, refused := r.refused[address]
	return refused
}

func (r *Relay) track(f *forwarded, conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = f
	}
}

func (r *Relay) closeAndUntrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}

// forwardBytes forwards bytes until either side closes. If the direction is a
// blackhole or the connection is silent, the end of the stream is not forwarded either, because
// a FIN would not cross a broken link.
func (r *Relay) forwardBytes(f *forwarded, d *direction, gates []*Gate, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if delay := d.delay.Load(); delay > 0 {
			time.Sleep(time.Duration(delay))
		}
		pass(gates, firstRetransmission)
		lost := d.blackhole.Load() || f.silent.Load()
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
			r.forwardedBytes.Add(int64(n))
		}
		if err != nil {
			if !lost {
				to.Close()
			}
			return
		}
	}
}
