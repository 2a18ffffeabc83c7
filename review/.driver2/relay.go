package main

import (
	"net"
	"sync"
)

// relay forwards TCP connections. Its open connections can go silent for good, without a reset,
// while new ones work.
type relay struct {
	target string

	mu   sync.Mutex
	open map[*forwarded]bool
}

// forwarded is a connection that is forwarded.
type forwarded struct {
	mu     sync.Mutex
	silent bool
}

func newRelay(address, target string) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, open: map[*forwarded]bool{}}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(from)
		}
	}()
	return r, nil
}

func (r *relay) forward(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		if tcp, ok := from.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // nothing listens there: the caller gets a reset
		}
		from.Close()
		return
	}
	f := &forwarded{}
	r.mu.Lock()
	r.open[f] = true
	r.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { f.copy(to, from) })
	wait.Go(func() { f.copy(from, to) })
	wait.Wait()
	r.mu.Lock()
	delete(r.open, f)
	r.mu.Unlock()
}

// copy copies what arrives until either connection ends. A silent connection discards it, and
// doesn't pass on its end.
func (f *forwarded) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		silent := f.silent
		f.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if !silent {
				to.Close()
			}
			return
		}
	}
}

// silence lets the open connections go silent, and returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.open {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
	}
	return len(r.open)
}
