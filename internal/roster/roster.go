// Package roster folds the stream of members into tables of entry processes
// and workers: which epoch of a worker is in force, who is its lessor, and
// which epochs have ended, so that their tasks may run elsewhere.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind says which failure an Error is.
type Kind string

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// The kinds of errors.
const (
	Malformed   Kind = "malformed entry"
	BadSnapshot Kind = "bad snapshot"
)

// Reason says why an entry had no effect.
type Reason string

// The reasons.
const (
	ReasonMalformed     Reason = "malformed"
	ReasonOldEpoch      Reason = "oldEpoch"
	ReasonUnknownWorker Reason = "unknownWorker"
	ReasonUnknownEntry  Reason = "unknownEntry"
	ReasonEnded         Reason = "ended"
	ReasonTerm          Reason = "term"
	ReasonInvalidLessor Reason = "lessor" // not in force, or the worker itself
)

// Limits of the fold; every entry process must use the same values.
const (
	// MaxEntries bounds the entry processes. They take new names when they are
	// replaced, so the one that was announced longest ago is dropped.
	MaxEntries = 128
	// MaxEnded bounds the workers kept after their epoch ended, and MaxWorkers
	// those whose registration holds.
	MaxEndedWorkers  = 4096
	MaxActiveWorkers = 16384
	maxTextBytes     = 256
)

// Entry is the row of one entry process.
type Entry struct {
	ID              units.EntryID
	LinkAddress     string
	Domain          units.DomainName
	Region          units.RegionName
	AnnouncedOffset units.Offset // last announcement
}

// Holder is one epoch of a worker.
type WorkerEpoch struct {
	Worker units.WorkerID
	Epoch  units.Epoch
}

// Worker is the row of one worker: its newest registration.
type Worker struct {
	ID               units.WorkerID
	Epoch            units.Epoch
	Domain           units.DomainName
	Rack             units.RackName
	Region           units.RegionName
	LinkAddress      string
	Capacity         units.Resources
	Lessor           WorkerEpoch // zero when there was no other worker
	Term             units.Term
	Expired          bool
	Left             bool
	EpochFloor       units.Epoch  // epochs at or below have ended
	RegisteredOffset units.Offset // of the newest epoch
	LessorOffset     units.Offset // where the current lessor was recorded
	EndOffset        units.Offset // 0 while the registration holds
}

// Holds reports whether the newest epoch of the worker is in force.
func (w *Worker) Active() bool { return !w.Expired && !w.Left }

// Holder returns the newest epoch of the worker.
func (w *Worker) WorkerEpoch() WorkerEpoch { return WorkerEpoch{w.ID, w.Epoch} }

// Change describes an entry that took effect, or why it did not.
type Change struct {
	Offset units.Offset
	Kind   string // entry kind, such as "leaseExpired"
	Entry  units.EntryID
	Worker WorkerEpoch
	Reason Reason // empty when the entry took effect
}

// Roster is the folded state. One goroutine owns it.
type Roster struct {
	// Observe, when set before the first Apply, is told of each entry applied or
	// rejected.
	Observe func(Change)

	entries    map[units.EntryID]*Entry
	workers    map[units.WorkerID]*Worker
	lessees    map[WorkerEpoch]map[units.WorkerID]bool // of registrations in force
	endedCount int
	rejections map[Reason]uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		entries:    map[units.EntryID]*Entry{},
		workers:    map[units.WorkerID]*Worker{},
		lessees:    map[WorkerEpoch]map[units.WorkerID]bool{},
		rejections: map[Reason]uint64{},
	}
}

// Entries returns the rows of all announced entry processes, by id.
func (r *Roster) Entries() []Entry {
	var all []Entry
	for _, e := range r.entries {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Worker returns the newest registration of a worker.
func (r *Roster) Worker(id units.WorkerID) (Worker, bool) {
	if w := r.workers[id]; w != nil {
		return *w, true
	}
	return Worker{}, false
}

// Workers returns the rows of all workers, by id, with those whose epoch ended.
func (r *Roster) Workers() []Worker {
	all := make([]Worker, 0, len(r.workers))
	for _, w := range r.workers {
		all = append(all, *w)
	}
	slices.SortFunc(all, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// EndedEpoch reports whether the epoch of the worker is known to have ended, so
// that its tasks may be released. It is false for an epoch that is not yet
// registered here: the two streams are followed independently.
func (r *Roster) EpochEnded(id units.WorkerID, epoch units.Epoch) bool {
	w := r.workers[id]
	return w != nil && epoch <= w.EpochFloor
}

// Lessees returns the workers in force whose lessor is the holder, sorted.
func (r *Roster) Lessees(h WorkerEpoch) []units.WorkerID {
	return slices.Sorted(maps.Keys(r.lessees[h]))
}

// ChainExpirable reports whether the worker's lessor has itself ended, and at
// which offset both facts were recorded. After L plus the margin since a
// process applied that offset, it may record the expiry with the current term,
// unless the worker has changed its lessor or left.
func (r *Roster) ExpirableSince(id units.WorkerID) (units.Offset, bool) {
	w := r.workers[id]
	if w == nil || !w.Active() || w.Lessor == (WorkerEpoch{}) {
		return 0, false
	}
	lessor := r.workers[w.Lessor.Worker]
	if lessor == nil { // dropped long after it ended
		return w.LessorOffset, true
	}
	if w.Lessor.Epoch > lessor.EpochFloor {
		return 0, false
	}
	at := lessor.EndOffset
	if lessor.Active() {
		at = lessor.RegisteredOffset // replaced by a higher epoch
	}
	return max(at, w.LessorOffset), true
}

// Rejections returns how many entries had no effect, by reason.
func (r *Roster) Rejections() map[Reason]uint64 { return maps.Clone(r.rejections) }
