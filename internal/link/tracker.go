package link

import (
	"context"
	"io"
	"sync"
)

// requestTracker counts the requests in flight. After close it rejects new
// ones.
type requestTracker struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{} // closed when closed is set and count is 0; nil before close
}

// begin counts a new request. It returns false when the tracker is closed.
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

// close rejects new requests and returns a channel that is closed when no
// request is in flight.
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

// closeAndWait closes the tracker and waits until no request is in flight or
// ctx ends.
func (t *requestTracker) closeAndWait(ctx context.Context) {
	select {
	case <-t.close():
	case <-ctx.Done():
	}
}

// trackedBody ends the request when the response body is closed.
type trackedBody struct {
	io.ReadCloser
	tracker *requestTracker
	once    sync.Once
}

func (b *trackedBody) Close() error {
	b.once.Do(b.tracker.end)
	return b.ReadCloser.Close()
}
