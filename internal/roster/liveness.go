package roster

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// DeadAfter is how long an entry process counts as alive after its last
// announcement: three announcements of 5 s.
const EntryTimeout = 15 * time.Second

// Liveness tracks, on the local monotonic clock, when announcements of entry
// processes were applied. The fold itself holds no times, because entry
// processes apply the same entry at different moments.
type EntryLiveness struct {
	announcements map[units.EntryID]announcement
}

type announcement struct {
	offset    units.Offset
	appliedAt time.Time
}

// Update records the announcements that are new in the roster since the last
// call. An entry first met, for example in a snapshot, counts from now.
func (l *EntryLiveness) Update(r *Roster, now time.Time) {
	if l.announcements == nil {
		l.announcements = map[units.EntryID]announcement{}
	}
	for id, e := range r.entries {
		if a, ok := l.announcements[id]; !ok || a.offset != e.AnnouncedOffset {
			l.announcements[id] = announcement{e.AnnouncedOffset, now}
		}
	}
	for id := range l.announcements {
		if r.entries[id] == nil {
			delete(l.announcements, id)
		}
	}
}

// Alive reports whether the entry announced itself recently.
func (l *EntryLiveness) Alive(id units.EntryID, now time.Time) bool {
	a, ok := l.announcements[id]
	return ok && now.Sub(a.appliedAt) <= EntryTimeout
}

// Live returns the rows of the entries that are alive, by id.
func (l *EntryLiveness) LiveEntries(r *Roster, now time.Time) []Entry {
	var live []Entry
	for _, e := range r.Entries() {
		if l.Alive(e.ID, now) {
			live = append(live, e)
		}
	}
	return live
}
