package link

import (
	"context"
	"io"
	"sync"
)

// gate counts the requests under way and can be shut for new ones.
type gate struct {
	mu     sync.Mutex
	count  int
	closed bool
	zero   chan struct{} // closed when shut and count is 0; nil until shut
}

// enter reports false when the gate is shut.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.zero)
	}
}

// shut refuses new requests and returns a channel that is closed when none is
// under way.
func (g *gate) shut() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		g.zero = make(chan struct{})
		if g.count == 0 {
			close(g.zero)
		}
	}
	return g.zero
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// wait waits until none is under way or ctx ends.
func (g *gate) wait(ctx context.Context) {
	select {
	case <-g.shut():
	case <-ctx.Done():
	}
}

// gatedBody leaves the gate when the response body is closed.
type gatedBody struct {
	io.ReadCloser
	gate *gate
	once sync.Once
}

func (b *gatedBody) Close() error {
	b.once.Do(b.gate.leave)
	return b.ReadCloser.Close()
}
