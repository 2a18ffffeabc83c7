package childprocess

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
)

func shell(t *testing.T, script string) *Process {
	t.Helper()
	p := &Process{Name: "shell", Args: []string{"/bin/sh", "-c", script}, Env: []string{"GREETING=hello"}, LogPath: filepath.Join(t.TempDir(), "log")}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

func (p *Process) await(t *testing.T, text string) {
	t.Helper()
	for {
		data, err := os.ReadFile(p.LogPath)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(data), text) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a process that is started twice, loses its environment or its
// log, and against one that a test can't start again.
func TestProcessRunsOnceAndStartsAgain(t *testing.T) {
	p := shell(t, `echo "$GREETING"; exec sleep 60`)
	p.await(t, "hello")
	if err := p.Start(); !fault.Is(err, AlreadyRunning) {
		t.Errorf("second start: got %v, want kind %s", err, AlreadyRunning)
	}
	p.Kill()
	if err := p.Start(); err != nil {
		t.Errorf("start after the kill: %v", err)
	}
	p.await(t, "hello\nhello")
}

// Guards against a planned stop that is taken for one that was cut short, and
// the reverse.
func TestTerminateTellsWhetherTheProcessEnded(t *testing.T) {
	obeys := shell(t, `trap 'exit 0' TERM; echo ready; while :; do sleep 0.01; done`)
	obeys.await(t, "ready")
	if !obeys.Terminate(10 * time.Second) {
		t.Error("a process that ends at once: got killed")
	}
	ignores := shell(t, `trap '' TERM; echo ready; while :; do sleep 0.01; done`)
	ignores.await(t, "ready")
	if ignores.Terminate(50 * time.Millisecond) {
		t.Error("a process that ignores the signal: got ended by itself")
	}
}

// Guards against a process that ends by itself without anybody noticing.
func TestEndedTellsOfAnEndOfItsOwn(t *testing.T) {
	p := shell(t, "exec sleep 60")
	if p.Exited() {
		t.Error("a running process: got ended")
	}
	p.Signal(syscall.SIGKILL)
	for !p.Exited() {
		time.Sleep(time.Millisecond)
	}
	missing := &Process{Name: "missing", Args: []string{"/no/such/program"}, LogPath: filepath.Join(t.TempDir(), "log")}
	if err := missing.Start(); !fault.Is(err, NotStarted) {
		t.Errorf("a program that is missing: got %v, want kind %s", err, NotStarted)
	}
}
