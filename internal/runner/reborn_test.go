package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// A start that was sent to the previous incarnation may still be carried out by the new one
// with the same id, until that has seen a higher token. Guards against a run that is reported
// as lost because of a listing that was requested with the earlier token: its task starts
// elsewhere, and then the late start is carried out.
func TestListingRequestedBeforeTheRestartWasSeenDecidesNothing(t *testing.T) {
	const reborn = 2
	cases := map[string]func(c *Controller){
		"the listing shows the restart": func(*Controller) {},
		"an announcement shows it first": func(c *Controller) {
			c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: reborn}}, 1)
		},
	}
	for name, beforeReply := range cases {
		t.Run(name, func(t *testing.T) {
			c := newReadyController(&fakeAPI{})
			c.info.StartedUnixMs = 1
			task := workflow.TaskID{Job: "a"}
			c.runs[task] = &run{attempt: 1, undecided: true, confirmedAt: bootclock.Now()}
			time.Sleep(time.Millisecond)
			sent := bootclock.Now()
			earlier, _, _ := c.nextPoll()
			time.Sleep(time.Millisecond)
			beforeReply(c)
			c.mergeListing("r", Listing{StartedUnixMs: reborn, Clock: 100}, sent)
			report, _ := c.Report()
			if got := report.GetRunner(); len(report.GetRunning()) != 1 || !got.GetSilent() || got.GetEmpty() {
				t.Errorf("after a listing requested with token %d: got %d runs, silent %t, empty %t; want 1, true, false",
					earlier.Token, len(report.GetRunning()), got.GetSilent(), got.GetEmpty())
			}
			time.Sleep(time.Millisecond)
			sent = bootclock.Now()
			if call, mayWait, _ := c.nextPoll(); call.Token <= earlier.Token || mayWait {
				t.Errorf("next poll: got token %d, may wait %t; want one above %d, false", call.Token, mayWait, earlier.Token)
			}
			c.mergeListing("r", Listing{StartedUnixMs: reborn, Clock: 101}, sent)
			if report, _ := c.Report(); len(report.GetRunning()) != 0 || report.GetRunner().GetSilent() {
				t.Errorf("after a listing requested with the higher token: got %d runs, silent %t; want none, false",
					len(report.GetRunning()), report.GetRunner().GetSilent())
			}
		})
	}
}

// A late call to the life before may reach a runner that has restarted under its id until the
// first call with the higher token has arrived. Guards against a stray lease that is counted
// from the time at which the restart was seen: the run outlasts it, and its task starts elsewhere.
func TestStrayLeaseCountsFromTheFirstListingOfTheNewLife(t *testing.T) {
	const seenAgo = 5 * time.Second // the runner has not answered meanwhile
	c := newReadyController(&fakeAPI{})
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	c.restartedAt = c.restartedAt.Add(-seenAgo)
	requested := bootclock.Now()
	c.mergeListing("r", Listing{StartedUnixMs: 2, Clock: 6000}, requested)
	if got, want := c.strayLease(requested), c.MaxLease; got < want {
		t.Errorf("stray lease after the first listing: got %v, want at least %v", got, want)
	}
	c.mergeListing("r", Listing{StartedUnixMs: 2, Clock: 7000}, requested.Add(time.Second))
	if got, want := c.strayLease(requested.Add(time.Second)), c.longestLease()-900*time.Millisecond; got > want {
		t.Errorf("stray lease after another listing 1 s later: got %v, want at most %v", got, want)
	}
}
