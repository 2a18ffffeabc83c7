package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// TestRelay guards against a relay whose fault differs from the requested one, such
// as a blackhole in the wrong direction or a timeout instead of a closed connection.
func TestRelay(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	received := make(chan byte, 16)
	go serveEcho(echo, received)
	r, err := New(echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	conn := dialRelay(t, r)
	if err := exchange(conn, 1, time.Second); err != nil || <-received != 1 {
		t.Fatalf("relay without faults: %v", err)
	}
	r.SetBlackhole(false, true)
	if err := exchange(conn, 2, 100*time.Millisecond); !isTimeout(err) || <-received != 2 {
		t.Errorf("blackhole from the target: got %v, want a timeout after delivery", err)
	}
	r.SetBlackhole(true, false)
	if err := exchange(conn, 3, 100*time.Millisecond); !isTimeout(err) || len(received) != 0 {
		t.Errorf("blackhole to the target: got %v and %d bytes delivered, want a timeout and none", err, len(received))
	}
	r.ClearFaults()
	if err := exchange(conn, 4, time.Second); err == nil || isTimeout(err) {
		t.Errorf("after ClearFaults: got %v, want a closed connection", err)
	}
	r.SetRefusing(true)
	if err := exchange(dialRelay(t, r), 5, time.Second); err == nil || isTimeout(err) {
		t.Errorf("refusing: got %v, want a closed connection", err)
	}
	r.ClearFaults()
	if err := exchange(dialRelay(t, r), 6, time.Second); err != nil || <-received != 6 {
		t.Errorf("new connection after ClearFaults: %v", err)
	}
}

func serveEcho(listener net.Listener, received chan<- byte) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			b := make([]byte, 1)
			for {
				if _, err := io.ReadFull(conn, b); err != nil {
					return
				}
				received <- b[0]
				if _, err := conn.Write(b); err != nil {
					return
				}
			}
		}()
	}
}

func dialRelay(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// exchange sends a byte and waits for its echo.
func exchange(conn net.Conn, b byte, limit time.Duration) error {
	if _, err := conn.Write([]byte{b}); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	reply := []byte{0}
	if _, err := io.ReadFull(conn, reply); err != nil {
		return err
	}
	if reply[0] != b {
		return fmt.Errorf("got byte %d, want %d", reply[0], b)
	}
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
