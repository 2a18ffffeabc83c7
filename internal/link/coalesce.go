package link

import (
	"net"
	"sync"
)

// maxPending bounds what waits for the connection; a full buffer blocks yamux,
// whose write timeout then ends the session.
const maxPendingBytes = 256 << 10

// coalescedConn joins the writes that yamux makes while an earlier one is on
// its way. yamux writes the header and the body of every frame separately,
// which costs two system calls and two packets per frame.
type coalescingConn struct {
	net.Conn
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	err     error // set once; later writes fail with it
}

func newCoalescingConn(conn net.Conn) *coalescingConn {
	c := &coalescingConn{Conn: conn}
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

// Close also stops the flushing goroutine; what is still pending is dropped.
func (c *coalescingConn) Close() error {
	c.fail(net.ErrClosed)
	return c.Conn.Close()
}

func (c *coalescingConn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.changed.Broadcast()
	c.mu.Unlock()
}

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
			// yamux notices a failed connection by its reads.
			c.Conn.Close()
			return
		}
		recycled = out
		if cap(recycled) > maxPendingBytes {
			recycled = nil // one large burst must not hold memory for the session's life
		}
	}
}
