package entry

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against a worker that loses its domain or capacity when its agent omits
// unchanged fields, and against fields that come from another session or, for the
// capacity, from another epoch.
func TestDescriptionsComplete(t *testing.T) {
	full := func(epoch uint64) *wire.Heartbeat {
		return &wire.Heartbeat{Worker: "w", Epoch: epoch, FailureDomain: "a", Rack: "r", Region: "g", LinkAddress: "l", Process: "p",
			Capacity: wire.FromResources(units.Resources{Processors: 1000, Memory: units.GiB})}
	}
	here, there := new(link.Session), new(link.Session)
	for _, c := range []struct {
		name                     string
		epoch                    uint64
		session                  *link.Session
		wantDomain, wantCapacity bool
	}{
		{"same session and epoch", 4, here, true, true},
		{"newer epoch", 5, here, true, false},
		{"other session", 4, there, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &descriptions{}
			d.fillOmitted(full(4), here)
			m := &wire.Heartbeat{Worker: "w", Epoch: c.epoch}
			d.fillOmitted(m, c.session)
			if got := m.FailureDomain == "a" && m.LinkAddress == "l" && m.Process == "p"; got != c.wantDomain {
				t.Errorf("description filled in: got %t, want %t: %v", got, c.wantDomain, m)
			}
			if got := m.Capacity != nil; got != c.wantCapacity {
				t.Errorf("capacity filled in: got %t, want %t", got, c.wantCapacity)
			}
		})
	}
}

// Guards against agents that never receive the address of an entry process that
// started after them, and against a list in every reply.
func TestShouldListEntries(t *testing.T) {
	e := &Entry{}
	e.ownership.Store(&ownership{})
	c, w, now := &control{Entry: e}, &workerState{}, time.Now()
	heartbeat := &wire.Heartbeat{}
	for _, step := range []struct {
		name    string
		prepare func()
		want    bool
	}{
		{"first heartbeat", func() {}, true},
		{"unchanged list", func() {}, false},
		{"changed list", func() { e.ownership.Store(&ownership{}) }, true},
		{"after entryListInterval", func() { now = now.Add(entryListInterval) }, true},
		{"begins a session", func() { heartbeat = &wire.Heartbeat{RunningFull: true} }, true},
	} {
		step.prepare()
		if got := c.shouldListEntries(w, heartbeat, now); got != step.want {
			t.Errorf("%s: got %t, want %t", step.name, got, step.want)
		}
	}
}
