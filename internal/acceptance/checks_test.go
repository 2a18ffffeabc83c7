package acceptance

import (
	"testing"
	"time"
)

// Guards against a check of planned stops that blames them for a process that was
// killed from outside, and against one that excuses what the planned stop cut.
func TestPlannedStopIsDistinguishedFromKill(t *testing.T) {
	firm := Firms()[0]
	entries := firm.Entries()
	killed, stopped := entries[0], entries[2]
	start := time.Now()
	at := plannedStopAt + time.Second
	for _, c := range []struct {
		name   string
		target Entry
		gone   time.Duration // when nothing listened there, since start; 0 for never
		broken int
	}{
		{"cut by the planned stop", stopped, at + 100*time.Millisecond, 1},
		{"in flight at a killed process", killed, at + 100*time.Millisecond, 0},
		{"cut by a process that lives on", killed, 0, 1},
		{"long before the process was gone", killed, at + 5*time.Second, 1},
	} {
		d := newFirmRun(&Run{}, firm)
		d.observed.start = start
		d.observed.results["order-1"] = requestResult{target: c.target.callerURL(), outcome: "unknown", plannedAt: at}
		if c.gone > 0 {
			d.observed.recordConnectionRefused(c.target, start.Add(c.gone))
		}
		if broken, _ := d.checkPlannedStop(); len(broken) != c.broken {
			t.Errorf("%s: got %v, want %d broken", c.name, broken, c.broken)
		}
	}
}
