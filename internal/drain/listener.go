// Package drain observes the connections of an HTTP server, so that a request that
// a connection leaves without a response is logged.
package drain

import (
	"net"
	"time"
)

// Listener accepts connections that log a request without a response when they
// are closed.
type Listener struct{ net.Listener }

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, acceptedAt: time.Now()}, nil
}
