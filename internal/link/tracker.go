package link

import (
	"context"
	"io"
	"sync"
)

// gate counts the requests under way and can be shut for new ones.
type requestTracker struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{} // closed when shut and count is 0; nil until shut
}

// enter reports false when the gate is shut.
func (t *requestTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.count++
	return true
}

func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.closed && t.count == 0 {
		close(t.drained)
	}
}

// shut refuses new requests and returns a channel that is closed when none is
// under way.
func (t *requestTracker) close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.closed = true
		t.drained = make(chan struct{})
		if t.count == 0 {
			close(t.drained)
		}
	}
	return t.drained
}

func (t *requestTracker) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// wait waits until none is under way or ctx ends.
func (t *requestTracker) closeAndWait(ctx context.Context) {
	select {
	case <-t.close():
	case <-ctx.Done():
	}
}

// gatedBody leaves the gate when the response body is closed.
type trackedBody struct {
	io.ReadCloser
	tracker *requestTracker
	once    sync.Once
}

func (b *trackedBody) Close() error {
	b.once.Do(b.tracker.end)
	return b.ReadCloser.Close()
}
