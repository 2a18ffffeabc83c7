package capacity

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against traffic that is counted for the wrong class of connections or the
// wrong direction.
func TestTrafficCountsAClass(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	exchange(t, client, server, 1000)
	exchange(t, server, client, 10)
	port := listener.Addr().(*net.TCPAddr).Port
	got := traffic(func(local, _ int) string {
		if local == port {
			return "server"
		}
		return "other"
	})["server"]
	if got.Connections != 1 || got.Received != 1000 || got.Sent != 10 {
		t.Errorf("got %+v, want 1 connection that received 1000 and sent 10 bytes", got)
	}
}

func exchange(t *testing.T, from, to net.Conn, n int) {
	t.Helper()
	if _, err := from.Write(make([]byte, n)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(to, make([]byte, n)); err != nil {
		t.Fatal(err)
	}
}

// Guards against rates computed over the wrong time, and against sums that omit
// some of the counters.
func TestBetween(t *testing.T) {
	start := time.Now()
	first := Sample{At: start, Counters: map[string]int64{"entry.heartbeats": 10}, Traffic: map[string]Traffic{"log": {Sent: 5}}}
	last := Sample{At: start.Add(2 * time.Second), CPU: time.Second, Counters: map[string]int64{"entry.heartbeats": 20, "gateway.heartbeats": 2},
		Traffic: map[string]Traffic{"log": {Sent: 10, Received: 15, Segments: 2}}}
	d := Between(first, last)
	for name, c := range map[string]struct{ got, want float64 }{
		"cores":   {d.Cores, 0.5},
		"payload": {d.Payload("log"), 10},
		"wire":    {d.Wire("log"), 10 + headerBytes},
		"count":   {d.Count("heartbeats"), 6},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %g, want %g", name, c.got, c.want)
		}
	}
}

// Guards against a generated day with the wrong number of jobs, tasks or running
// tasks.
func TestDayOfJobs(t *testing.T) {
	const jobs, running = 20, 50
	entries := dayOfJobs(jobs, running)
	if got, want := len(entries), jobs+3*jobs*dayTasks-running; got != want {
		t.Errorf("entries: got %d, want %d", got, want)
	}
}
