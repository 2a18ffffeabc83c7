package agent

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against batch tasks that are started on the resources of an endpoint
// while it restarts. The endpoint uses its processors again once it is back, and
// the worker is then committed beyond its capacity: 40 of 32 cores in an
// acceptance run.
func TestReservationOutlivesItsEndpoint(t *testing.T) {
	var reports []*wire.EndpointReport
	a := &Agent{EndpointReports: func() []*wire.EndpointReport { return reports }}
	a.init()
	a.adopted, a.capacity = true, units.Resources{Processors: 32000, Memory: 64 * units.GiB}
	size := units.Resources{Processors: 8000, Memory: 8 * units.GiB}
	a.config.document = &environment.Document{Services: []environment.Service{{Name: "desk", PerEndpoint: size}}}
	start := a.startedAt
	for _, c := range []struct {
		name  string
		at    time.Duration
		state wire.EndpointState
		want  units.Resources
		waits bool
	}{
		{"new agent before the first announcement", time.Second, 0, units.Resources{}, true},
		{"ready", 1500 * time.Millisecond, wire.EndpointState_ENDPOINT_STATE_READY, size, false},
		{"stopped for a minute", time.Minute, wire.EndpointState_ENDPOINT_STATE_GONE, size, false},
		{"back after two minutes", 2 * time.Minute, wire.EndpointState_ENDPOINT_STATE_READY, size, false},
		{"stopped for longer than reservationRetention", 2*time.Minute + reservationRetention + time.Second, wire.EndpointState_ENDPOINT_STATE_GONE, units.Resources{}, false},
	} {
		reports = nil
		if c.state != 0 {
			reports = []*wire.EndpointReport{{Service: "desk", State: c.state}}
		}
		now := start.Add(c.at)
		a.updateEndpoints(now)
		if got := a.committedResources(); got != c.want {
			t.Errorf("%s: committed resources: got %s, want %s", c.name, got, c.want)
		}
		if got := a.awaitsEndpoint(now); got != c.waits {
			t.Errorf("%s: awaits the endpoint: got %v, want %v", c.name, got, c.waits)
		}
	}
}
