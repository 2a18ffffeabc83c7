package acceptance

import (
	"testing"
	"time"
)

// TestPlannedStopIsDistinguishedFromKill guards against a check of planned stops
// that reports requests lost because another process was killed from outside, and
// against one that excuses requests aborted by the planned stop.
func TestPlannedStopIsDistinguishedFromKill(t *testing.T) {
	firm := Firms()[0]
	entries := firm.Entries()
	killed, stopped := entries[0], entries[2]
	start := time.Now()
	at := plannedStopAt + time.Second
	for _, c := range []struct {
		name      string
		target    Entry
		refusedAt time.Duration // when the target refused connections, since start; 0 for never
		broken    int
	}{
		{"aborted by the planned stop", stopped, at + 100*time.Millisecond, 1},
		{"in flight at a killed process", killed, at + 100*time.Millisecond, 0},
		{"aborted by a process that continues to run", killed, 0, 1},
		{"aborted long before the process refused connections", killed, at + 5*time.Second, 1},
	} {
		f := newFirmRun(&Run{}, firm)
		f.observed.start = start
		f.observed.results["order-1"] = requestResult{target: c.target.callerURL(), outcome: "unknown", plannedAt: at}
		if c.refusedAt > 0 {
			f.observed.recordConnectionRefused(c.target, start.Add(c.refusedAt))
		}
		if broken, _ := f.checkPlannedStop(); len(broken) != c.broken {
			t.Errorf("%s: got %v, want %d broken", c.name, broken, c.broken)
		}
	}
}
