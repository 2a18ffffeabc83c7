package entry

import (
	"testing"

	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against a pair of workers that remain each other's lessor, and against a
// change of both at the same time, which could form another pair.
func TestBetterLessorAvailable(t *testing.T) {
	epochOf := func(id units.WorkerID) roster.WorkerEpoch { return roster.WorkerEpoch{Worker: id, Epoch: 1} }
	for _, c := range []struct {
		name    string
		lessors map[units.WorkerID]units.WorkerID
		want    map[units.WorkerID]bool
	}{
		{"only worker", map[units.WorkerID]units.WorkerID{"a": ""}, map[units.WorkerID]bool{}},
		{"two without lessors", map[units.WorkerID]units.WorkerID{"a": "", "b": ""}, map[units.WorkerID]bool{"a": true, "b": true}},
		{"pair without others", map[units.WorkerID]units.WorkerID{"a": "b", "b": "a"}, map[units.WorkerID]bool{}},
		{"pair among three", map[units.WorkerID]units.WorkerID{"a": "b", "b": "a", "c": "b"}, map[units.WorkerID]bool{"a": true}},
		{"pair whose first has only its lessee left", map[units.WorkerID]units.WorkerID{"a": "b", "b": "a", "c": "a"}, map[units.WorkerID]bool{"b": true}},
		{"ring", map[units.WorkerID]units.WorkerID{"a": "b", "b": "c", "c": "a"}, map[units.WorkerID]bool{}},
	} {
		r := roster.New()
		offset := units.Offset(0)
		apply := func(entry []byte) {
			offset++
			if err := r.Apply(offset, entry); err != nil {
				t.Fatal(err)
			}
		}
		for id := range c.lessors {
			apply(roster.EncodeRegistered(roster.Worker{ID: id, Epoch: 1, Domain: units.DomainName("domain-" + id), Rack: "rack", Region: "r",
				LinkAddress: "127.0.0.1:1", Capacity: units.Resources{Processors: 1000, Memory: units.GiB}}))
		}
		for id, lessor := range c.lessors {
			if lessor != "" {
				apply(roster.EncodeLessorChanged(epochOf(id), 2, epochOf(lessor)))
			}
		}
		for id := range c.lessors {
			w, _ := r.Worker(id)
			if got := betterLessorAvailable(r, w); got != c.want[id] {
				t.Errorf("%s: worker %s: got %v, want %v", c.name, id, got, c.want[id])
			}
		}
	}
}
