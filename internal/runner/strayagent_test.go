package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The poll of an agent that was killed may be carried out late, by a runner that has restarted
// under its id meanwhile: by the clock of the life before, it carries the longest lease. Guards
// against a next agent process that does not know of it. When that one is killed as well, the
// leader counts its grant only, and the task starts elsewhere beside its run.
func TestNewAgentTellsOfALeaseThatAnEarlierOneMayHaveLeft(t *testing.T) {
	const grant = 6500 * time.Millisecond // as the leader counts it
	r := &leasingRunner{clock: 100, maxLease: 10_000}
	r.extend(1_000_000) // the late poll
	c := &Controller{API: r, MaxLease: 10 * time.Second, BaseToken: 2}
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, r.clock)
	for range 2 {
		c.mergeListing("r", Listing{StartedUnixMs: 2, Clock: r.clock}, bootclock.Now())
	}
	c.ExtendGrant(bootclock.Now().Add(grant))
	c.Start(t.Context(), Incarnation{ID: "r", StartedUnixMs: 2}, StartOrder{Task: workflow.TaskID{Job: "a"}, Attempt: 1})
	report, _ := c.Report()
	counted := max(grant, time.Duration(report.GetRunner().GetStrayLeaseMs())*time.Millisecond)
	if got := time.Duration(r.leaseEnd()-100) * time.Millisecond; len(report.GetRunning()) == 1 && got > counted {
		t.Errorf("lease of the run: got %v, want at most the %v that the leader counts", got, counted)
	}
}
