package runner

import (
	"testing"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// Guards against tasks that start elsewhere beside their runs, because the next runner of the
// machine answers while the one before works on until its lease ends.
func TestSuccessorAwaitsTheRunsOfItsPredecessor(t *testing.T) {
	for name, before := range map[string]func(*Controller){
		"works on":      func(*Controller) {},
		"drains":        func(c *Controller) { c.info.Draining = true },
		"rejects calls": func(c *Controller) { rejectPoll(t, c, "r") },
	} {
		c, _ := newBusyController()
		before(c)
		announceOther(c, 1, false)
		c.mergeListing("other", Listing{StartedUnixMs: 9, Clock: 1}, bootclock.Now())
		report, _ := c.Report()
		if id, runs := report.GetRunner().GetId(), len(report.GetRunning()); id != "r" || runs != 1 {
			t.Errorf("%s: got runner %s with %d runs, want r with its run", name, id, runs)
		}
	}
}
