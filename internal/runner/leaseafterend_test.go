package runner

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// Once all leases have ended the leader starts the tasks elsewhere. Guards against a late start
// that is carried out then because the first lease after the pause has the token of that start:
// no report was made between the end of the leases and the next answer of the runner.
func TestLeaseAfterTheEndOfAllLeasesHasAHigherToken(t *testing.T) {
	const away = 20 * time.Second // as after a suspension of the agent, or polls without an answer
	c := newReadyController(&fakeAPI{})
	c.startedAt = bootclock.Now().Add(-time.Hour)
	before, _, _ := c.nextPoll()
	c.clockReadAt, c.listedAt = c.clockReadAt.Add(-away), c.listedAt.Add(-away)
	c.mergeListing("r", Listing{Clock: 1000 + ClockTime(away.Milliseconds())}, bootclock.Now())
	after, _, _ := c.nextPoll()
	if after.Until == 0 || after.Token <= before.Token {
		t.Errorf("first poll after the leases have ended: got lease %d with token %d, want a lease with one above %d", after.Until, after.Token, before.Token)
	}
}
