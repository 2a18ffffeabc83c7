package routing

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
)

// Guards against an entry process that finds no endpoint for any request when
// it resumes after a pause, because all heartbeats have become old meanwhile. It
// also guards against sending requests to an agent that sends no heartbeat after
// the pause.
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
		t.Errorf("got %d eligible endpoints, want 1: the other sent no heartbeat", got)
	}
	run(heartbeatTimeout)
	chosen(false, "after both sent no heartbeat for longer than the timeout while the process ran")
}
