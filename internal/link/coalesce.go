package link

import (
	"net"
	"sync"
)

// maxPendingBytes bounds the data that waits for the connection. A full buffer
// blocks yamux, whose write timeout then ends the session.
const maxPendingBytes = 256 << 10

// coalescingConn merges the writes that yamux makes while an earlier write is
// in progress. yamux writes the header and the body of every frame separately,
// which costs two system calls and two packets per frame.
type coalescingConn struct {
	net.Conn
	onClose func() // called by Close before the connection is closed
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	err     error // the first error; later writes return it
}

func newCoalescingConn(conn net.Conn, onClose func()) *coalescingConn {
	c := &coalescingConn{Conn: conn, onClose: onClose}
	c.changed.L = &c.mu
	go c.flush()
	return c
}

func (c *coalescingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && len(c.pending) >= maxPendingBytes {
		c.changed.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	c.pending = append(c.pending, b...)
	c.changed.Broadcast()
	return len(b), nil
}

// Close also stops the flushing goroutine. Pending data is dropped.
func (c *coalescingConn) Close() error {
	c.onClose()
	c.fail(net.ErrClosed)
	return c.Conn.Close()
}

// fail records the first error and wakes the goroutines that wait.
func (c *coalescingConn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.changed.Broadcast()
	c.mu.Unlock()
}

// flush writes pending data to the connection until a write fails or Close is
// called.
func (c *coalescingConn) flush() {
	var recycled []byte
	for {
		c.mu.Lock()
		for c.err == nil && len(c.pending) == 0 {
			c.changed.Wait()
		}
		if c.err != nil {
			c.mu.Unlock()
			return
		}
		out := c.pending
		c.pending = recycled[:0]
		c.changed.Broadcast()
		c.mu.Unlock()
		if _, err := c.Conn.Write(out); err != nil {
			c.fail(err)
			// yamux detects a failed connection when it reads.
			c.Conn.Close()
			return
		}
		recycled = out
		if cap(recycled) > maxPendingBytes {
			recycled = nil // a single large burst must not retain memory for the rest of the session
		}
	}
}
