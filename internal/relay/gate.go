package relay

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstRetransmission is the time after which TCP sends unacknowledged bytes again, and
	// firstSYNRetransmission that for a connection attempt. Each further time is twice as long.
	firstRetransmission    = 200 * time.Millisecond
	firstSYNRetransmission = time.Second
	// tcpEstablished is the state of a connection that neither side has closed.
	tcpEstablished = 1
)

// Gate is one direction of a machine's network, which the connections of several relays
// pass. While a gate is shut, it holds bytes and connection attempts. They arrive after it
// has opened, at the next retransmission, as on a network that loses packets for a while.
// The zero value is an open gate.
type Gate struct {
	mu     sync.Mutex
	shut   int           // number of calls of Shut without one of Open
	opened chan struct{} // closed when the gate opens; nil while it is open
}

// Shut shuts the gate until as many calls of Open.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut++; g.shut == 1 {
		g.opened = make(chan struct{})
	}
}

// Open reverses one call of Shut.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut--; g.shut == 0 {
		close(g.opened)
		g.opened = nil
	}
}

// await waits until the gate is open and reports whether it was shut.
func (g *Gate) await() bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return false
	}
	<-opened
	return true
}

// Path is the gates that a connection passes in each direction.
type Path struct{ ToTarget, FromTarget []*Gate }

// SetPaths sets the function that returns the path of a new connection from a client.
func (r *Relay) SetPaths(path func(client net.Addr) Path) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.path = path
}

func (r *Relay) pathOf(client net.Conn) Path {
	r.mu.Lock()
	path := r.path
	r.mu.Unlock()
	if path == nil {
		return Path{}
	}
	return path(client.RemoteAddr())
}

// pass waits until all gates are open at a transmission: the first one is now, and the next
// one follows after the time first.
func pass(gates []*Gate, first time.Duration) {
	next := time.Now()
	for held := true; held; {
		held = false
		for _, g := range gates {
			held = g.await() || held
		}
		if held {
			for ; !next.After(time.Now()); first *= 2 {
				next = next.Add(first)
			}
			time.Sleep(time.Until(next))
		}
	}
}

// awaitConnection waits until a connection attempt would have arrived and reports whether
// the client still waits for it.
func (p Path) awaitConnection(client net.Conn) bool {
	held := time.Now()
	pass(append(p.ToTarget[:len(p.ToTarget):len(p.ToTarget)], p.FromTarget...), firstSYNRetransmission)
	if time.Since(held) < firstSYNRetransmission {
		return true
	}
	tcp, ok := client.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		waits = err == nil && info.State == tcpEstablished
	})
	return err == nil && waits
}
