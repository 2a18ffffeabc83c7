package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sys/unix"
)

// slowClosingConn takes long to close.
type slowClosingConn struct{ net.Conn }

const closeTime = 400 * time.Millisecond

func (c slowClosingConn) Close() error {
	time.Sleep(closeTime)
	return c.Conn.Close()
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	usage := unix.Rusage{}
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano())
}

// Guards against a process that uses a whole processor, or stands still on a single one, while it
// closes a session: each request that waited for an answer once ran in a loop until the end.
func TestClosingASessionUsesNoProcessor(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	peer, err := yamux.Server(server, yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	streams := &streamSet{}
	mux, err := yamux.Client(newCoalescingConn(slowClosingConn{client}, streams.end), yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	s := newSession(mux, streams, nil, "peer")
	failed := make(chan error)
	const requests = 4
	for range requests {
		go func() {
			_, err := s.RoundTrip(newRequest(context.Background(), "/unanswered"))
			failed <- err
		}()
	}
	for range requests {
		if _, err := peer.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	before := processorTime(t)
	s.Close()
	for range requests {
		if err := <-failed; err == nil {
			t.Error("got an answer, want an error")
		}
	}
	if got, want := processorTime(t)-before, closeTime/4; got > want {
		t.Errorf("close with %d requests under way: got %v of processor time, want at most %v", requests, got, want)
	}
	if _, err := s.transport.RoundTrip(newRequest(context.Background(), "/")); err == nil {
		t.Error("got an answer on a closed session, want an error")
	}
}
