// Package roster is the replicated state machine of the members: entry processes
// and workers. It applies the members stream and tells which epoch of a worker is
// active, which worker is its lessor, and which epochs have ended, so that their
// tasks can run elsewhere.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind classifies an Error.
type Kind string

// Error is the error type of this package.
type Error = fault.Error[Kind]

// The kinds of errors.
const (
	Malformed   Kind = "malformed entry"
	BadSnapshot Kind = "bad snapshot"
)

// Reason is why an entry had no effect.
type Reason string

// The reasons.
const (
	ReasonMalformed     Reason = "malformed"
	ReasonOldEpoch      Reason = "oldEpoch"
	ReasonUnknownWorker Reason = "unknownWorker"
	ReasonUnknownEntry  Reason = "unknownEntry"
	ReasonEnded         Reason = "ended"
	ReasonTerm          Reason = "term"
	ReasonInvalidLessor Reason = "lessor" // the lessor is not active, or is the worker itself
)

// Limits of the state machine. Every entry process must use the same values.
const (
	// MaxEntries limits the entry processes. Replacements have new ids, so above
	// the limit the entry process with the oldest announcement is removed.
	MaxEntries = 128
	// MaxEndedWorkers limits the workers that are kept after their epoch ended,
	// and MaxActiveWorkers those with an active epoch.
	MaxEndedWorkers  = 4096
	MaxActiveWorkers = 16384
	maxTextBytes     = 256
)

// Entry is the state of one entry process.
type Entry struct {
	ID              units.EntryID
	LinkAddress     string
	Domain          units.DomainName
	Region          units.RegionName
	AnnouncedOffset units.Offset // of the last announcement
}

// WorkerEpoch identifies one epoch of a worker.
type WorkerEpoch struct {
	Worker units.WorkerID
	Epoch  units.Epoch
}

// Worker is the state of one worker, as of its newest registration.
type Worker struct {
	ID               units.WorkerID
	Epoch            units.Epoch
	Domain           units.DomainName
	Rack             units.RackName
	Region           units.RegionName
	LinkAddress      string
	Capacity         units.Resources
	Lessor           WorkerEpoch // zero if there was no other worker
	Term             units.Term
	Expired          bool
	Left             bool
	EpochFloor       units.Epoch  // this epoch and all lower ones have ended
	RegisteredOffset units.Offset // of the registration of Epoch
	LessorOffset     units.Offset // of the entry that set Lessor
	EndOffset        units.Offset // 0 while the epoch is active
}

// Active reports whether the newest epoch of the worker has not ended.
func (w *Worker) Active() bool { return !w.Expired && !w.Left }

// WorkerEpoch returns the newest epoch of the worker.
func (w *Worker) WorkerEpoch() WorkerEpoch { return WorkerEpoch{w.ID, w.Epoch} }

// Change describes an applied entry and its result.
type Change struct {
	Offset units.Offset
	Kind   string // entry kind, such as "leaseExpired"
	Entry  units.EntryID
	Worker WorkerEpoch
	Reason Reason // empty when the entry took effect
}

// Roster is the state of all members. It is not safe for concurrent use.
type Roster struct {
	// Observe, if set before the first Apply, is called for each accepted or
	// rejected entry.
	Observe func(Change)

	entries    map[units.EntryID]*Entry
	workers    map[units.WorkerID]*Worker
	lessees    map[WorkerEpoch]map[units.WorkerID]bool // active workers by lessor
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

// Entries returns all announced entry processes, sorted by id.
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

// Workers returns all workers, sorted by id, including those whose epoch ended.
func (r *Roster) Workers() []Worker {
	all := make([]Worker, 0, len(r.workers))
	for _, w := range r.workers {
		all = append(all, *w)
	}
	slices.SortFunc(all, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// EpochEnded reports whether the epoch of the worker is recorded as ended, so that
// its tasks may be released. It is false for an epoch that is not registered yet:
// the jobs stream may refer to it first, because the two streams are applied
// independently.
func (r *Roster) EpochEnded(id units.WorkerID, epoch units.Epoch) bool {
	w := r.workers[id]
	return w != nil && epoch <= w.EpochFloor
}

// Lessees returns the active workers whose lessor is the worker epoch, sorted.
func (r *Roster) Lessees(h WorkerEpoch) []units.WorkerID {
	return slices.Sorted(maps.Keys(r.lessees[h]))
}

// ExpirableSince reports whether the worker's lessor has itself ended, and the
// offset by which both the lessor and its end were recorded. An entry process may
// record the expiry of the worker with its current term once
// leases.ExpiredLessorWait, or leases.ReplacedLessorWait if a higher epoch has
// replaced that of the lessor, has passed since it applied that offset, unless the
// worker has changed its lessor or left.
func (r *Roster) ExpirableSince(id units.WorkerID) (units.Offset, bool) {
	w := r.workers[id]
	if w == nil || !w.Active() || w.Lessor == (WorkerEpoch{}) {
		return 0, false
	}
	lessor := r.workers[w.Lessor.Worker]
	if lessor == nil { // removed long after it ended
		return w.LessorOffset, true
	}
	if w.Lessor.Epoch > lessor.EpochFloor {
		return 0, false
	}
	at := lessor.EndOffset
	if lessor.Active() {
		at = lessor.RegisteredOffset // ended by the registration of a higher epoch
	}
	return max(at, w.LessorOffset), true
}

// Rejections returns the number of rejected entries by reason.
func (r *Roster) Rejections() map[Reason]uint64 { return maps.Clone(r.rejections) }
