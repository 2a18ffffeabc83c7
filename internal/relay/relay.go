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
	target         string
	listener       net.Listener
	refusing       atomic.Bool
	forwardedBytes atomic.Int64 // bytes passed on
	toTarget       direction    // from the side that dials to the target
	fromTarget     direction

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// path is one direction of a relay.
type direction struct {
	blackhole atomic.Bool  // bytes vanish, the connection stays open
	delay     atomic.Int64 // nanoseconds before each chunk is passed on
}

// New listens on a free loopback port and forwards to target.
func New(target string) (*Relay, error) { return NewAt("127.0.0.1:0", target) }

// NewAt listens at address and forwards to target.
func NewAt(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Target is where the relay forwards to.
func (r *Relay) Target() string { return r.target }

// Carried returns how many bytes the relay has passed on.
func (r *Relay) ForwardedBytes() int64 { return r.forwardedBytes.Load() }

// Silence drops bytes silently in the chosen directions from now on.
// Connections that lost bytes never recover; Restore cuts them.
func (r *Relay) SetBlackhole(forward, backward bool) {
	r.toTarget.blackhole.Store(forward)
	r.fromTarget.blackhole.Store(backward)
}

// Delay holds each chunk back for d in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.toTarget.delay.Store(int64(d))
	r.fromTarget.delay.Store(int64(d))
}

// Refuse closes new connections at once and leaves open ones alone.
func (r *Relay) SetRefusing(refuse bool) { r.refusing.Store(refuse) }

// Reset ends every open connection without a proper close, as a host does that
// has forgotten them.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // an error means that it is closed already
		}
		c.Close()
	}
}

// Cut closes every open connection.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// Restore ends every fault. A byte stream with a hole must not continue, so
// connections that were open while the relay was silent are cut.
func (r *Relay) ClearFaults() {
	if r.toTarget.blackhole.Load() || r.fromTarget.blackhole.Load() {
		r.CloseConnections()
	}
	r.SetBlackhole(false, false)
	r.SetDelay(0)
	r.SetRefusing(false)
}

// Close stops the relay.
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

func (r *Relay) forwardConnection(dialler net.Conn) {
	target, err := net.DialTimeout("tcp", r.target, 2*time.Second)
	if err != nil {
		dialler.Close()
		return
	}
	r.track(dialler, target)
	defer r.closeAndUntrack(dialler, target)
	var wait sync.WaitGroup
	wait.Go(func() { r.forwardBytes(&r.toTarget, target, dialler) })
	wait.Go(func() { r.forwardBytes(&r.fromTarget, dialler, target) })
	wait.Wait()
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
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

// copy passes bytes on until either side closes. The end of a silent
// connection is not passed on either, as it would not cross a broken link.
func (r *Relay) forwardBytes(p *direction, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if d := p.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !p.blackhole.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
			r.forwardedBytes.Add(int64(n))
		}
		if err != nil {
			if !p.blackhole.Load() {
				to.Close()
			}
			return
		}
	}
}
