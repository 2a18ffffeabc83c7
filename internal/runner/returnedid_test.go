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
	c := newReadyController(&fakeAPI{})
	c.startedAt = bootclock.Now().Add(-time.Minute)
	for i, id := range []string{"s", "r"} {
		born := int64(2 + i)
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: id, StartedUnixMs: born}}, 1)
		c.mergeListing(id, Listing{StartedUnixMs: born, Clock: 100}, bootclock.Now())
	}
	report, _ := c.Report()
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
