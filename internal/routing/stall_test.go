package routing

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
)

// Guards against an entry process that rejects every request as without
// endpoint when it resumes after a pause, because all heartbeats have become
// old meanwhile. It also guards against sending requests to an agent that stays
// silent after the pause.
func TestStallOfThisProcessDoesNotMakeEndpointsStale(t *testing.T) {
	const heartbeatTimeout = 2 * time.Second
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
			t.Errorf("%s: got endpoint chosen %t, want %t", when, got, want)
		}
	}
	run(time.Second)
	at = at.Add(5 * time.Second) // paused
	chosen(true, "before the first tick after the pause")
	run(TickInterval)
	chosen(true, "after the first tick after the pause")
	table.RecordHeartbeat(workerName(0), session, newHeartbeat("a", "r", wire.EndpointState_ENDPOINT_STATE_READY, 0), at)
	run(heartbeatTimeout)
	if got := table.CountEligible("s", at); got != 1 {
		t.Errorf("got %d eligible endpoints, want 1: the other stayed silent", got)
	}
	run(heartbeatTimeout)
	chosen(false, "after both were silent for longer than the limit while the process ran")
}
