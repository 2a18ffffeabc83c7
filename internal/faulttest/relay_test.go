package faulttest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// TestHopsAreRelayed guards against faults that are injected beside the traffic:
// a process that dials around its relay, as agents did when they advertised
// their own link address instead of the configured one.
func TestHopsAreRelayed(t *testing.T) {
	s := start(t)
	s.Watch(10 * time.Second)
	s.Until(10*time.Second, "every hop is relayed", func(context.Context) error {
		lease := int64(0)
		for _, n := range s.Nodes {
			lease += n.Lease.Carried()
			for _, r := range append([]*Relay{n.ToEndpoint, n.ToWorker}, n.ToEntry[:]...) {
				if r.Carried() == 0 {
					return fmt.Errorf("nothing went from %s to %s", n.ID, r.target)
				}
			}
		}
		for _, e := range s.Entries {
			if e.ToLog.Carried() == 0 {
				return fmt.Errorf("nothing went from %s to the log", e.ID)
			}
		}
		if lease == 0 {
			return errors.New("no lease request was relayed")
		}
		return nil
	})
}

// TestRelay guards against a relay that injects another fault than it says.
func TestRelay(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer echo.Close()
	received := make(chan byte, 16)
	go serveEcho(echo, received)
	r, err := NewRelay(echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	conn := dialRelay(t, r)
	if err := exchange(conn, 1, time.Second); err != nil || <-received != 1 {
		t.Fatalf("healthy relay: %v", err)
	}
	r.Silence(false, true)
	if err := exchange(conn, 2, 100*time.Millisecond); !isTimeout(err) || <-received != 2 {
		t.Errorf("silent backward: got %v, want a timeout after delivery", err)
	}
	r.Silence(true, false)
	if err := exchange(conn, 3, 100*time.Millisecond); !isTimeout(err) || len(received) != 0 {
		t.Errorf("silent forward: got %v and %d bytes delivered, want a timeout and none", err, len(received))
	}
	r.Restore()
	if err := exchange(conn, 4, time.Second); err == nil || isTimeout(err) {
		t.Errorf("restored: got %v, want a connection that was cut", err)
	}
	r.Refuse(true)
	if err := exchange(dialRelay(t, r), 5, time.Second); err == nil || isTimeout(err) {
		t.Errorf("refusing: got %v, want a closed connection", err)
	}
	r.Restore()
	if err := exchange(dialRelay(t, r), 6, time.Second); err != nil || <-received != 6 {
		t.Errorf("after the faults: %v", err)
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
