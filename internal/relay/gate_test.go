package relay

import (
	"net"
	"testing"
	"time"
)

// TestGateHoldsBytes guards against a cut that loses the bytes it should deliver late, that
// lets some through, or that completes a connection attempt whose client has given up.
func TestGateHoldsBytes(t *testing.T) {
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
	gate, accepted := &Gate{}, make(chan struct{}, 16)
	r.SetPaths(func(net.Addr) Path {
		accepted <- struct{}{}
		return Path{ToTarget: []*Gate{gate}}
	})
	conn := dialRelay(t, r)
	<-accepted
	if err := exchange(conn, 1, time.Second); err != nil || <-received != 1 {
		t.Fatalf("open gate: %v", err)
	}
	gate.Shut()
	if err := exchange(conn, 2, 100*time.Millisecond); !isTimeout(err) || len(received) != 0 {
		t.Errorf("shut gate: got %v and %d bytes delivered, want a timeout and none", err, len(received))
	}
	conn.Close()
	abandoned, waiting := dialRelay(t, r), dialRelay(t, r)
	if _, err := abandoned.Write([]byte{3}); err != nil {
		t.Fatal(err)
	}
	abandoned.Close()
	<-accepted
	<-accepted
	time.Sleep(100 * time.Millisecond) // both attempts have reached the gate
	gate.Open()
	if got := <-received; got != 2 {
		t.Errorf("after the gate has opened: got byte %d, want 2, which was sent before the connection was closed", got)
	}
	if err := exchange(waiting, 4, 5*time.Second); err != nil || <-received != 4 {
		t.Errorf("connection attempt while the gate was shut: %v, want a late echo and nothing of the abandoned attempt", err)
	}
}
