package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// A call to the life before may reach a runner that has restarted under its id for maxCallDelay,
// until that has seen a higher token. Guards against an agent that reports the runner as empty
// because it has not answered for the longest lease since the restart was seen: a late start runs on.
func TestUnansweredRestartIsNotEmptyWhileALateCallMayGiveALease(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.startedAt = bootclock.Now().Add(-time.Minute)
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	for _, silence := range []time.Duration{c.longestLease() + time.Millisecond, maxCallDelay, maxCallDelay + c.longestLease() - time.Second} {
		c.restartedAt = bootclock.Now().Add(-silence)
		report, _ := c.Report()
		if r := report.GetRunner(); !r.GetSilent() || r.GetEmpty() {
			t.Errorf("%v after a restart that was only announced: got silent %t, empty %t; want true, false", silence, r.GetSilent(), r.GetEmpty())
		}
	}
}
