package soak

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/childprocess"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// TestShareOfACoreHolds guards against a limit that leaves a process more than its share, or
// nearly nothing.
func TestShareOfACoreHolds(t *testing.T) {
	h := &host{name: "busy", role: "agent"}
	h.process = &childprocess.Process{Name: h.name, Args: []string{"/bin/sh", "-c", "while :; do :; done"}, LogPath: filepath.Join(t.TempDir(), "log")}
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	defer h.process.Kill()
	stop := (&fleet{agents: []*host{h}}).limitShares(1)
	const period = time.Second
	time.Sleep(period)
	stop()
	if got := float64(processTime(h.process.PID())) / float64(period); got < agentShare/4 || got > agentShare*1.5 {
		t.Errorf("share of a core used: got %.3f, want about %.2f", got, agentShare)
	}
}

// TestHostOfAConnection guards against a cut that holds the connections of another host than the
// one that has opened them.
func TestHostOfAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	start := func(name, script string) *host {
		h := &host{name: name}
		h.process = &childprocess.Process{Name: name, Args: []string{"/bin/bash", "-c", script, name, listener.Addr().String()}, LogPath: filepath.Join(t.TempDir(), "log")}
		if err := h.process.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.process.Kill)
		return h
	}
	want := start("dials", `exec 3<>"/dev/tcp/${1%:*}/${1#*:}"; exec sleep 60`)
	f := &fleet{entries: []*host{start("idle", "exec sleep 60"), want}}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if got := f.hostOf(conn.RemoteAddr(), listener.Addr().String()); got != want {
		t.Errorf("host of a connection: got %v, want the one that has dialled", got)
	}
}

// TestMargins guards against a margin that hides two runs at a time or that is of another
// fault than the one of the run's host.
func TestMargins(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	r := &Result{
		Seed:   7,
		Faults: []injectedFault{{Kind: "hostCut", Host: "a", Began: at(0), Ended: at(5.55)}, {Kind: "hostCut", Host: "b", Began: at(0), Ended: at(9)}},
		Runs: []taskrunner.Run{
			{Task: "j.0.0.0", Runner: "runner-a", StartTime: at(0), EndTime: at(5), End: "lapsed"},
			{Task: "j.0.0.1", Runner: "runner-a", StartTime: at(0), EndTime: at(6), End: "done"},
			{Task: "j.0.0.0", Runner: "runner-c", StartTime: at(5.5), EndTime: at(5.7), End: "failed"},
			{Task: "j.0.0.0", Runner: "runner-c", StartTime: at(5.8)},
			{Task: "j.0.0.1", Runner: "runner-c", StartTime: at(5.75)},
		},
	}
	got := make(map[marginKey]marginSummary)
	r.margins(got)
	want := map[marginKey]marginSummary{
		{"hostCut", 5500 * time.Millisecond, "lapsed"}: {1, 500 * time.Millisecond, 7, "j.0.0.0"},
		{"hostCut", 5500 * time.Millisecond, "done"}:   {1, -250 * time.Millisecond, 7, "j.0.0.1"},
	}
	if len(got) != len(want) {
		t.Errorf("groups: got %v, want %v", got, want)
	}
	for k, w := range want {
		if got[k] != w {
			t.Errorf("%v: got %v, want %v", k, got[k], w)
		}
	}
}

// TestCutsLastAroundALease guards against cuts that are too short to outlast a lease, and
// against a seed that doesn't repeat them.
func TestCutsLastAroundALease(t *testing.T) {
	run := &Run{Seed: 7, Faults: 200 * time.Second, Entries: 3, Agents: 11, Catalog: MachineFaults, Only: "zoneCut"}
	first, second := schedule(run), schedule(run)
	if len(first) == 0 || len(first) != len(second) {
		t.Fatalf("schedules of one seed have %d and %d faults, want as many and some", len(first), len(second))
	}
	for i, f := range first {
		if g := second[i]; f.kind.name != g.kind.name || f.host != g.host || f.at != g.at || f.duration != g.duration {
			t.Errorf("fault %d: got %v and %v, want the same", i, f, g)
		}
		if f.duration < 4*time.Second || f.duration > 9*time.Second || f.duration%(100*time.Millisecond) != 0 {
			t.Errorf("duration of a cut: got %v, want 4 to 9 s in steps of 100 ms", f.duration)
		}
	}
}
