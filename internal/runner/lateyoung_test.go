package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// A call of an earlier agent process may be under way for maxCallDelay, and the lease that it gives
// lasts from its arrival. Guards against a new agent process that finds the runner a moment after
// that time and takes it for one without a stray lease: a run there outlasts what the leader counts.
func TestNewAgentTellsOfALeaseThatACallLeftAtTheLastMoment(t *testing.T) {
	const (
		grant = 6500 * time.Millisecond // as the leader counts it
		late  = ClockTime(maxCallDelay/time.Millisecond) - 100
	)
	for _, found := range []ClockTime{late + 50, late + 200, late + 2000, late + 9000} {
		r := &leasingRunner{clock: late, maxLease: 10_000}
		r.extend(1_000_000) // the late poll
		r.clock = found
		c := &Controller{API: r, MaxLease: 10 * time.Second, BaseToken: 2}
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, r.clock)
		for range 2 {
			c.mergeListing("r", Listing{StartedUnixMs: 2, Clock: r.clock}, bootclock.Now())
		}
		report, _ := c.Report()
		counted := max(grant, time.Duration(report.GetRunner().GetStrayLeaseMs())*time.Millisecond)
		if got := time.Duration(r.lease-found) * time.Millisecond; got > counted {
			t.Errorf("lease on a runner found at %d ms: got %v, want at most the %v that the leader counts", found, got, counted)
		}
	}
}

// Guards against an agent that is restarted beside a runner that has run for long, and that reports
// a lease which holds back the tasks of an absent worker for nothing.
func TestNewAgentBesideAnOldRunnerTellsOfNoStrayLease(t *testing.T) {
	for name, clock := range map[string]ClockTime{"27 s": 27_000, "an hour": 3_600_000, "an odd clock": 1 << 62} {
		c := &Controller{API: &fakeAPI{}, MaxLease: 10 * time.Second}
		c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, clock)
		c.mergeListing("r", Listing{StartedUnixMs: 2, Clock: clock}, bootclock.Now())
		report, _ := c.Report()
		if got := report.GetRunner(); got.GetStrayLeaseMs() != 0 || got.GetFoundYoung() {
			t.Errorf("%s: got a stray lease of %d ms, found young %t; want none", name, got.GetStrayLeaseMs(), got.GetFoundYoung())
		}
	}
}
