package roster

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

func worker(id string, epoch units.Epoch, domain, rack string, lessor WorkerEpoch) Worker {
	return Worker{ID: units.WorkerID(id), Epoch: epoch, Domain: units.DomainName(domain), Rack: units.RackName(rack), Region: "pwani",
		Capacity: units.Resources{Processors: 32000, Memory: 125 * units.GiB}, Lessor: lessor}
}

func apply(t *testing.T, r *Roster, entries ...[]byte) {
	t.Helper()
	for i, e := range entries {
		if err := r.Apply(units.Offset(i+1), e); err != nil {
			t.Fatalf("Apply of entry %d: %v", i, err)
		}
	}
}

// TestLeaseRules guards against accepting an expiry or a change of lessor that is
// based on an earlier epoch or term, which would release tasks that still run.
func TestLeaseRules(t *testing.T) {
	r := New()
	a, b, c := WorkerEpoch{"a", 1}, WorkerEpoch{"b", 1}, WorkerEpoch{"c", 1}
	apply(t, r, EncodeRegistered(worker("a", 1, "d1", "r1", WorkerEpoch{})), EncodeRegistered(worker("b", 1, "d2", "r2", a)),
		EncodeRegistered(worker("c", 1, "d3", "r3", a)), EncodeLessorChanged(b, 2, c))
	steps := []struct {
		entry []byte
		want  Reason
	}{
		{EncodeLeaseExpired(b, 1), ReasonTerm},                                          // from the previous lessor
		{EncodeLessorChanged(b, 2, a), ReasonTerm},                                      // term already used by another change
		{EncodeLessorChanged(b, 3, b), ReasonInvalidLessor},                             // the worker itself
		{EncodeLessorChanged(b, 3, WorkerEpoch{"a", 9}), ReasonInvalidLessor},           // not registered
		{EncodeRegistered(worker("b", 1, "d2", "r2", a)), ReasonOldEpoch},               // repeated
		{EncodeRegistered(worker("b", 2, "d2", "r2", a)), ""},                           // restarted agent
		{EncodeLeaseExpired(b, 2), ReasonOldEpoch},                                      // for the previous epoch
		{EncodeLeaseExpired(WorkerEpoch{"b", 2}, 1), ""},                                // valid
		{EncodeLeft(WorkerEpoch{"b", 2}), ReasonEnded},                                  // already ended
		{EncodeLessorChanged(WorkerEpoch{"b", 2}, 2, c), ReasonEnded},                   // already ended
		{EncodeLessorChanged(c, 2, WorkerEpoch{"b", 2}), ReasonInvalidLessor},           // the lessor has ended
		{EncodeLeaseExpired(WorkerEpoch{"x", 1}, 1), ReasonUnknownWorker},               // never registered
		{EncodeRegistered(worker("b", 3, "d2", "r2", WorkerEpoch{"c", 1})), Reason("")}, // a new epoch
	}
	for i, s := range steps {
		var got Reason
		r.Observe = func(c Change) { got = c.Reason }
		apply(t, r, s.entry)
		if got != s.want {
			t.Errorf("step %d: got reason %q, want %q", i, got, s.want)
		}
	}
	if !r.EpochEnded("b", 2) || r.EpochEnded("b", 3) || r.EpochEnded("x", 1) {
		t.Error("want epoch 2 of b ended, epoch 3 of b and unregistered x not")
	}
	if got := fmt.Sprint(r.Lessees(c), r.Lessees(a)); got != "[b] [c]" {
		t.Errorf("got lessees %s of c and a, want [b] [c]", got)
	}
}

// TestChainedExpiry guards against a worker that never expires because its lessor,
// which would record the expiry, has itself ended.
func TestChainedExpiry(t *testing.T) {
	r := New()
	apply(t, r, EncodeRegistered(worker("a", 1, "d1", "r1", WorkerEpoch{})), EncodeRegistered(worker("b", 1, "d2", "r2", WorkerEpoch{"a", 1})))
	if _, ok := r.ExpirableSince("b"); ok {
		t.Error("worker is expirable while its lessor is active")
	}
	_ = r.Apply(7, EncodeLeaseExpired(WorkerEpoch{"a", 1}, 1))
	if at, ok := r.ExpirableSince("b"); !ok || at != 7 {
		t.Errorf("got offset %d, expirable %v; want expirable since offset 7", at, ok)
	}
	_ = r.Apply(8, EncodeRegistered(worker("a", 2, "d1", "r1", WorkerEpoch{"b", 1})))
	_ = r.Apply(9, EncodeLessorChanged(WorkerEpoch{"b", 1}, 2, WorkerEpoch{"a", 2}))
	if _, ok := r.ExpirableSince("b"); ok {
		t.Error("worker is expirable after its lessor changed")
	}
}

// TestChooseLessor guards against a lessor in the failure domain of its lessee,
// against mutual lessors, and against too many lessees of one lessor.
func TestChooseLessor(t *testing.T) {
	r := New()
	offset := units.Offset(0)
	for i := range 33 {
		domain := fmt.Sprint("d", i%3)
		id, place := fmt.Sprint("w", i), Location{units.DomainName(domain), "", "pwani"}
		lessor, _ := r.ChooseLessor(units.WorkerID(id), place, nil)
		offset++
		if err := r.Apply(offset, EncodeRegistered(worker(id, 1, domain, "", lessor))); err != nil {
			t.Fatal(err)
		}
	}
	most := 0
	for _, w := range r.Workers() {
		l, ok := r.Worker(w.Lessor.Worker)
		if ok && (l.Domain == w.Domain || l.Lessor.Worker == w.ID) {
			t.Errorf("worker %s in %s has lessor %s in %s, whose lessor is %s", w.ID, w.Domain, l.ID, l.Domain, l.Lessor.Worker)
		}
		most = max(most, len(r.Lessees(w.WorkerEpoch())))
	}
	if most > 3 {
		t.Errorf("one lessor has %d lessees, want at most 3", most)
	}
	got, ok := r.ChooseLessor("new", Location{"d1", "", "pwani"}, func(h WorkerEpoch) bool { return h.Worker == "w1" || h.Worker == "w4" })
	if !ok || (got.Worker != "w1" && got.Worker != "w4") {
		t.Errorf("got lessor %v, want w1 or w4, the usable ones", got)
	}
}

// TestEntries guards against entry processes that are considered live after they
// stopped, against unbounded growth by replaced ones, and against keys that move
// between the remaining owners.
func TestEntries(t *testing.T) {
	r := New()
	var l EntryLiveness
	start := time.Unix(100, 0)
	apply(t, r, EncodeEntryAnnounced(Entry{ID: "e1"}), EncodeEntryAnnounced(Entry{ID: "e2"}))
	l.Update(r, start)
	_ = r.Apply(5, EncodeEntryAnnounced(Entry{ID: "e1"}))
	l.Update(r, start.Add(10*time.Second))
	if live := l.LiveEntries(r, start.Add(20*time.Second)); len(live) != 1 || live[0].ID != "e1" {
		t.Errorf("got live entries %v, want e1", live)
	}
	for i := range 2 * MaxEntries {
		_ = r.Apply(units.Offset(10+i), EncodeEntryAnnounced(Entry{ID: units.EntryID(fmt.Sprint("n", i))}))
	}
	if got := len(r.Entries()); got != MaxEntries {
		t.Errorf("got %d entries, want %d", got, MaxEntries)
	}
	counts, moved, ids := map[units.EntryID]int{}, 0, []units.EntryID{"e1", "e2", "e3", "e4"}
	for i := range 4000 {
		key := fmt.Sprint("job-", i)
		owner := RendezvousOwner(key, ids)
		counts[owner]++
		if after := RendezvousOwner(key, ids[:3]); owner != "e4" && after != owner {
			moved++
		}
	}
	if counts["e1"] < 900 || counts["e4"] < 900 || moved != 0 {
		t.Errorf("got keys by owner %v, and %d keys moved between remaining owners; want at least 900 each, and 0", counts, moved)
	}
}

// TestSnapshot guards against a restored state that differs from the original, and
// against corrupt snapshots and entries that are accepted.
func TestSnapshot(t *testing.T) {
	r, restored := New(), New()
	apply(t, r, EncodeEntryAnnounced(Entry{ID: "e1", LinkAddress: "127.0.0.1:1"}), EncodeRegistered(worker("a", 1, "d1", "r1", WorkerEpoch{})),
		EncodeRegistered(worker("b", 1, "d2", "r2", WorkerEpoch{"a", 1})), EncodeLeft(WorkerEpoch{"a", 1}), EncodeLeft(WorkerEpoch{"a", 1}))
	before, _ := r.Snapshot()
	if err := restored.Restore(before); err != nil {
		t.Fatal(err)
	}
	for _, x := range []*Roster{r, restored} {
		_ = x.Apply(20, EncodeLeaseExpired(WorkerEpoch{"b", 1}, 1))
	}
	got, _ := restored.Snapshot()
	if want, _ := r.Snapshot(); !bytes.Equal(got, want) {
		t.Error("restored state encodes to other bytes than the original")
	}
	for _, bad := range [][]byte{{0xff}, got[:len(got)-1]} {
		if err := restored.Restore(bad); !fault.Is(err, BadSnapshot) {
			t.Errorf("got error %v, want kind %q", err, BadSnapshot)
		}
	}
	if err := r.Apply(21, []byte{1, 2}); !fault.Is(err, Malformed) {
		t.Errorf("got error %v, want kind %q", err, Malformed)
	}
}
