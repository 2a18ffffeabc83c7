package roster

import (
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// EntryTimeout is how long an entry process is considered live after its last
// announcement: three intervals of 5 s.
const EntryTimeout = 15 * time.Second

// EntryLiveness tracks when announcements of entry processes were applied, on the
// local monotonic clock. The roster itself contains no times, because each entry
// process applies an entry at a different time.
type EntryLiveness struct {
	announcements map[units.EntryID]announcement
}

type announcement struct {
	offset    units.Offset
	appliedAt time.Time
}

// Update records the announcements that were added to the roster since the last
// call. An entry process that is new here, for example after a snapshot was
// restored, is considered live from now.
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

// Alive reports whether the last announcement of the entry process is at most
// EntryTimeout old.
func (l *EntryLiveness) Alive(id units.EntryID, now time.Time) bool {
	a, ok := l.announcements[id]
	return ok && now.Sub(a.appliedAt) <= EntryTimeout
}

// LiveEntries returns the live entry processes, sorted by id.
func (l *EntryLiveness) LiveEntries(r *Roster, now time.Time) []Entry {
	var live []Entry
	for _, e := range r.Entries() {
		if l.Alive(e.ID, now) {
			live = append(live, e)
		}
	}
	return live
}
