package routing

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
)

// Guards against an entry process that refuses every request for want of an
// endpoint when it runs again after a pause, and against one that keeps sending
// to a silent agent after that.
func TestStallOfThisProcessDoesNotMakeEndpointsStale(t *testing.T) {
	const fresh = 2 * time.Second
	table, session := newTable(2)
	at := start
	run := func(d time.Duration) {
		for end := at.Add(d); at.Before(end); {
			at = at.Add(TickInterval)
			table.Tick(at)
		}
	}
	chosen := func(want bool, when string) {
		t.Helper()
		if got := table.Choose(request, at) != nil; got != want {
			t.Errorf("%s: got chosen %t, want %t", when, got, want)
		}
	}
	run(time.Second)
	at = at.Add(5 * time.Second) // paused
	chosen(true, "before the first tick after the pause")
	run(TickInterval)
	chosen(true, "after it")
	table.RecordHeartbeat(workerName(0), session, newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0), at)
	run(fresh)
	if got := table.CountEligible("s", at); got != 1 {
		t.Errorf("got %d eligible endpoints, want 1: the other stayed silent", got)
	}
	run(fresh)
	chosen(false, "both silent for more than the limit while the process ran")
}
