package link

import (
	"net"
	"sync"
)

// maxPending bounds what waits for the connection; a full buffer blocks yamux,
// whose write timeout then ends the session.
const maxPending = 256 << 10

// coalescedConn joins the writes that yamux makes while an earlier one is on
// its way. yamux writes the header and the body of every frame separately,
// which costs two system calls and two packets per frame.
type coalescedConn struct {
	net.Conn
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	err     error // set once; later writes fail with it
}

func coalesce(conn net.Conn) *coalescedConn {
	c := &coalescedConn{Conn: conn}
	c.changed.L = &c.mu
	go c.flush()
	return c
}

func (c *coalescedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && len(c.pending) >= maxPending {
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
func (c *coalescedConn) Close() error {
	c.fail(net.ErrClosed)
	return c.Conn.Close()
}

func (c *coalescedConn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.changed.Broadcast()
	c.mu.Unlock()
}

func (c *coalescedConn) flush() {
	var spare []byte
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
		c.pending = spare[:0]
		c.changed.Broadcast()
		c.mu.Unlock()
		if _, err := c.Conn.Write(out); err != nil {
			c.fail(err)
			// yamux notices a failed connection by its reads.
			c.Conn.Close()
			return
		}
		spare = out
		if cap(spare) > maxPending {
			spare = nil // one large burst must not hold memory for the session's life
		}
	}
}
