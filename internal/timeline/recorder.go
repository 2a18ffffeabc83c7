// The ring buffer is bounded and events are numbered, so that an agent that cannot
// reach any entry process neither grows nor sends an event twice.

package timeline

import (
	"sync"
	"time"
)

// maxClockAhead is how far a received clock may be ahead of the local one. Without
// it, a process with a wrong clock would advance the clocks of all processes
// permanently.
const maxClockAhead = time.Minute

// Recorder keeps the newest events of one process. It is safe for concurrent use.
type Recorder struct {
	process string
	now     func() time.Time

	mu       sync.Mutex
	clock    Clock
	sequence uint64  // of the newest event
	ring     []Event // the event with sequence s is at (s-1) % cap(ring)
}

// NewRecorder returns a recorder that keeps the last capacity events. The process id
// must be unique to this incarnation of the process. Outside tests, now is time.Now.
func NewRecorder(process string, capacity int, now func() time.Time) *Recorder {
	return &Recorder{process: truncate(process, maxNameBytes), now: now, ring: make([]Event, 0, max(1, capacity))}
}

// Process returns the process id of the events.
func (r *Recorder) Process() string { return r.process }

// Record adds an event and returns its id, which later events may use as their
// cause. cause is empty if there is none.
func (r *Recorder) Record(lane, kind, subject, text, cause string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e := Event{r.process, r.sequence, r.advance(), lane, kind, subject, text, cause}.truncated()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
	} else {
		r.ring[r.ringIndex(r.sequence)] = e
	}
	return e.ID()
}

func (r *Recorder) ringIndex(sequence uint64) int { return int((sequence - 1) % uint64(cap(r.ring))) }

// AdvanceClock advances the clock and returns it, to be sent with a message.
func (r *Recorder) AdvanceClock() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(r.advance())
}

func (r *Recorder) advance() Clock {
	r.clock = max(r.clock+1, clockOf(r.now()))
	return r.clock
}

// UpdateClock advances the clock to that of a received message, so that later events
// are ordered after those of its sender. A clock more than maxClockAhead ahead is
// ignored.
func (r *Recorder) UpdateClock(clock int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit := clockOf(r.now().Add(maxClockAhead)); Clock(clock) <= limit {
		r.clock = max(r.clock, Clock(clock))
	}
}

// EventsAfter returns at most limit events with a higher sequence, oldest first.
// Events that the ring buffer has overwritten are missing.
func (r *Recorder) EventsAfter(sequence uint64, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.sequence - uint64(len(r.ring))
	first := max(sequence, oldest) + 1
	if first > r.sequence || limit <= 0 {
		return nil
	}
	last := min(r.sequence, first+uint64(limit)-1)
	events := make([]Event, 0, last-first+1)
	for s := first; s <= last; s++ {
		events = append(events, r.ring[r.ringIndex(s)])
	}
	return events
}
