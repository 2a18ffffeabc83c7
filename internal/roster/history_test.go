package roster

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
	"wasabihill.example/wasabihill/internal/generated"
	"wasabihill.example/wasabihill/pkg/units"
)

// TestMain fixes the seed of generated histories.
func TestMain(m *testing.M) {
	generated.Configure(300)
	os.Exit(m.Run())
}

// drawEntries generates entries of restarted agents, of lessors with stale terms,
// and of entry processes and workers that join and leave.
func drawEntries(t *rapid.T) [][]byte {
	var entries [][]byte
	holders := rapid.Custom(func(t *rapid.T) WorkerEpoch {
		return WorkerEpoch{units.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "worker"))), units.Epoch(rapid.IntRange(1, 4).Draw(t, "epoch"))}
	})
	for range rapid.IntRange(10, 120).Draw(t, "length") {
		w, lessor := holders.Draw(t, "holder"), holders.Draw(t, "lessor")
		term := units.Term(rapid.IntRange(1, 4).Draw(t, "term"))
		row := worker(string(w.Worker), w.Epoch, fmt.Sprint("d", w.Epoch%3), "r", lessor)
		if rapid.IntRange(0, 2).Draw(t, "alone") == 0 {
			row.Lessor = WorkerEpoch{}
		}
		entries = append(entries, rapid.SampledFrom([][]byte{EncodeRegistered(row), EncodeRegistered(row), EncodeLessorChanged(w, term, lessor),
			EncodeLeaseExpired(w, term), EncodeLeft(w), EncodeEntryAnnounced(Entry{ID: units.EntryID(w.Worker)}),
			EncodeEntryLeft(units.EntryID(w.Worker))}).Draw(t, "entry"))
	}
	return entries
}

// TestHistories guards against tasks that are released while they run, when entries
// are stale or reordered: an ended epoch stays ended, an active epoch is the newest
// one with another worker as its lessor, and terms only rise within an epoch. It
// also guards against a restored roster that differs from a full replay.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		r, restored := New(), New()
		ended, terms := map[WorkerEpoch]bool{}, map[WorkerEpoch]units.Term{}
		cut := rapid.IntRange(0, len(entries)-1).Draw(t, "snapshot")
		for i, e := range entries {
			if i == cut {
				snapshot, _ := r.Snapshot()
				if err := restored.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
			if err := r.Apply(units.Offset(i+1), e); err != nil {
				t.Fatal(err)
			}
			if i >= cut {
				_ = restored.Apply(units.Offset(i+1), e)
			}
			for h := range ended {
				if !r.EpochEnded(h.Worker, h.Epoch) {
					t.Errorf("entry %d: epoch %v is no longer ended", i, h)
				}
			}
			lessees := 0
			for _, w := range r.Workers() {
				for epoch := units.Epoch(1); epoch <= 4; epoch++ {
					if r.EpochEnded(w.ID, epoch) {
						ended[WorkerEpoch{w.ID, epoch}] = true
					}
				}
				if w.Active() == r.EpochEnded(w.ID, w.Epoch) || w.Lessor.Worker == w.ID || w.Term < terms[w.WorkerEpoch()] {
					t.Errorf("entry %d: invalid worker %+v after term %d", i, w, terms[w.WorkerEpoch()])
				}
				terms[w.WorkerEpoch()] = w.Term
				if w.Active() && w.Lessor != (WorkerEpoch{}) {
					lessees++
				}
			}
			for _, of := range r.lessees {
				lessees -= len(of)
			}
			if lessees != 0 {
				t.Errorf("entry %d: the index of lessees lacks %d workers", i, lessees)
			}
		}
		want, _ := r.Snapshot()
		if got, _ := restored.Snapshot(); !bytes.Equal(got, want) {
			t.Error("state after a restored snapshot differs from the full replay")
		}
	})
}

// FuzzApply guards against entries that cause a panic or lead to a state that
// cannot be restored.
func FuzzApply(f *testing.F) {
	for _, e := range [][]byte{nil, {0x1a, 0xff}, EncodeEntryAnnounced(Entry{ID: "e"}), EncodeEntryLeft("e"), EncodeLeft(WorkerEpoch{"a", 1}),
		EncodeRegistered(worker("b", 2, "d1", "r1", WorkerEpoch{"a", 1})), EncodeLessorChanged(WorkerEpoch{"b", 1}, 2, WorkerEpoch{"a", 1}), EncodeLeaseExpired(WorkerEpoch{"a", 1}, 1)} {
		f.Add(e)
	}
	f.Fuzz(func(t *testing.T, entry []byte) {
		r, restored := New(), New()
		_ = r.Apply(1, EncodeRegistered(worker("a", 1, "d1", "r1", WorkerEpoch{})))
		_ = r.Apply(2, EncodeRegistered(worker("b", 1, "d2", "r2", WorkerEpoch{"a", 1})))
		_ = r.Apply(3, entry)
		state, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := restored.Restore(state); err != nil {
			t.Fatal(err)
		}
		if again, _ := restored.Snapshot(); !bytes.Equal(state, again) {
			t.Fatal("the restored state encodes to other bytes than the original")
		}
	})
}
