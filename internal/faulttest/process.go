// Package faulttest runs small systems of real processes over loopback TCP and
// injects faults into the processes and the connections between them.
package faulttest

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"wasabihill.example/wasabihill/internal/childprocess"
	"wasabihill.example/wasabihill/internal/loopback"
)

// Build compiles the wasabihill and wasabihill-standin programs into dir.
func Build(dir string) error {
	command := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"wasabihill.example/wasabihill/cmd/wasabihill", "wasabihill.example/wasabihill/cmd/wasabihill-standin")
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w\n%s", err, output)
	}
	return nil
}

// Process is a child process that a test starts, stops and restarts.
type Process struct{ childprocess.Process }

// Start starts the process and fails the test if that is not possible.
func (p *Process) Start(t testing.TB) {
	t.Helper()
	if err := p.Process.Start(); err != nil {
		t.Fatal(err)
	}
}

// FreeAddress returns a loopback address that stays reserved until the test ends.
func FreeAddress(t testing.TB) string {
	t.Helper()
	reservation, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reservation.Release)
	return reservation.Address.String()
}
