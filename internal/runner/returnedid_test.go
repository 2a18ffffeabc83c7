package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// A runner may start again under the id that it had, also after another one has been at its
// address. A late call to its earlier life may have given it a lease by the clock of that life.
// Guards against an agent that counts such a lease only if both lives follow each other: it
// would take the runs for ended, or not tell the leader how long they may go on.
func TestReturnToAnEarlierIDReportsAStrayLease(t *testing.T) {
	c := &Controller{API: &fakeAPI{}, MaxLease: 10 * time.Second, startedAt: bootclock.Now().Add(-time.Minute)}
	answer := func(id string, born int64, clock ClockTime) {
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: id, StartedUnixMs: born}}, clock)
		c.mergeListing(id, Listing{StartedUnixMs: born, Clock: clock}, bootclock.Now())
	}
	answer("r", 1, 60_000)
	answer("s", 2, 100)
	report, _ := c.Report()
	if got := report.GetRunner().GetStrayLeaseMs(); got != 0 {
		t.Errorf("stray lease of a runner with a new id: got %d ms, want none", got)
	}
	answer("r", 3, 100)
	report, _ = c.Report()
	if got, want := report.GetRunner().GetId(), "r"; got != want {
		t.Fatalf("runner: got %q, want %q", got, want)
	}
	if got, want := time.Duration(report.GetRunner().GetStrayLeaseMs())*time.Millisecond, c.MaxLease; got < want {
		t.Errorf("stray lease of the returned runner: got %v, want at least %v", got, want)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := bootclock.Now(); c.endLeases(now) {
		t.Errorf("all leases have ended: got true %v after its first answer, want false", now.Sub(c.incarnationSeenAt))
	}
}
