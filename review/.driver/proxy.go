package main

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards the connections to a runner. Open connections can be made silent: they stay
// open and carry nothing more, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*proxied]struct{}
}

// proxied is one connection with its two halves.
type proxied struct {
	client, server net.Conn
	silent         chan struct{}
	usedAt         atomic.Int64 // Unix nanoseconds at which it last carried something
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[*proxied]struct{})}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	c := &proxied{client: client, server: server, silent: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(client, server) })
	both.Go(func() { c.copy(server, client) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards one direction. It returns when the connection ends or is silent.
func (c *proxied) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			return // neither end learns anything
		default:
		}
		if n > 0 {
			c.usedAt.Store(time.Now().UnixNano())
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}

// silence makes a share of the open connections silent, those that were used last. It returns
// their number and that of all open ones.
func (p *proxy) silence(share float64) (silent, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := slices.SortedFunc(maps.Keys(p.conns), func(a, b *proxied) int { return cmp.Compare(b.usedAt.Load(), a.usedAt.Load()) })
	silent = int(share * float64(len(conns)))
	for _, c := range conns[:silent] {
		close(c.silent)
		delete(p.conns, c)
	}
	return silent, len(conns)
}

func (p *proxy) close() { p.listener.Close() }
