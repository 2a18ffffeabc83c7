package soak

import (
	"path/filepath"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/childprocess"
)

// Guards against a series of signals that outlasts a planned stop: the next process of the host
// would be stopped by it, and count as one that has ended by itself.
func TestSignalsOfAPlannedStopReachNoLaterProcess(t *testing.T) {
	h := &host{name: "agent-0", process: &childprocess.Process{
		Name: "agent-0", Args: []string{"sleep", "60"}, LogPath: filepath.Join(t.TempDir(), "log"),
	}}
	defer h.process.Kill()
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	(&Run{}).terminate(h)
	if err := h.process.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * signalGap)
	if got, want := h.process.Exited(), false; got != want {
		t.Errorf("the process that was started after the planned stop has exited: got %t, want %t", got, want)
	}
}
