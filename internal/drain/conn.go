package drain

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// linger is how long an ending connection waits for a request that its client
	// has sent before it learned of the end. It exceeds a round trip.
	linger = 150 * time.Millisecond
	// finalWait is the timeout of the read, or accept, after a timeout. It returns
	// what arrived before the timer fired and was not processed yet, because the
	// process had no processor time.
	finalWait = 5 * time.Millisecond
)

// conn is a client's connection. Its reads time out when the connection should end
// and no request is in progress, so that the goroutine that serves it, and nobody
// else, closes it.
type conn struct {
	net.Conn
	acceptedAt time.Time
	onClose    func(*conn)

	mu          sync.Mutex
	serving     bool      // a handler is running
	unanswered  int       // bytes read since the last write
	readAt      time.Time // when bytes were last read
	readFailed  bool      // the last read failed: the client has closed, or a deadline has passed
	ending      bool      // no request is expected any more
	deadline    time.Time // of reads, as the HTTP server has set it; zero if there is none
	interrupted bool      // the HTTP server has set a deadline in the past, to end a read
	closed      bool
}

// end makes the connection end when no request arrives within linger.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	_ = c.applyDeadline() // fails only on a closed connection
}

// setServing records whether a handler is running.
func (c *conn) setServing(serving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = serving
}

// SetReadDeadline sets the HTTP server's deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.interrupted = !t.IsZero() && t.Before(time.Now())
	return c.applyDeadline()
}

// SetDeadline sets the HTTP server's deadline of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// inProgress reports whether a request has been received in part or in whole and
// has no response. The caller holds mu.
func (c *conn) inProgress() bool { return c.serving || c.unanswered > 0 }

// applyDeadline sets the deadline of the next read. The caller holds mu.
func (c *conn) applyDeadline() error {
	at := c.deadline
	if c.ending && !c.inProgress() {
		if limit := time.Now().Add(linger); at.IsZero() || limit.Before(at) {
			at = limit
		}
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendRead() {
		n, err = c.Conn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unanswered += n
		c.readAt = time.Now()
	}
	c.readFailed = err != nil
	return n, err
}

// extendRead reports whether to read again after a timeout. A request that is in
// progress on an ending connection gets the HTTP server's deadline back. Otherwise
// the read returns what arrived before the timer fired.
func (c *conn) extendRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return false
	}
	at := time.Now().Add(finalWait)
	if c.ending && c.inProgress() && (c.deadline.IsZero() || c.deadline.After(at)) {
		at = c.deadline
	}
	return c.Conn.SetReadDeadline(at) == nil
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = 0
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite ends the connection in one direction. The HTTP server calls it after a
// response to a request that it has not read to its end, because a close would reset
// the connection and could discard the response.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection. A request that is left without a response is logged.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		if c.inProgress() && !c.readFailed {
			klog.InfoS("connection closed with a request that has no response", "client", c.RemoteAddr(), "bytesRead", c.unanswered,
				"sinceRead", time.Since(c.readAt), "age", time.Since(c.acceptedAt), "handled", c.serving)
		}
		defer c.onClose(c)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
