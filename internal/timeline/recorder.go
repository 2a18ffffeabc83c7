// The ring is bounded and counts in sequence, so that an agent that cannot reach any
// entry process neither grows nor sends an event twice.

package timeline

import (
	"sync"
	"time"
)

// maxAhead is how far a received clock may be ahead of the local one. A process
// with a clock further off would otherwise move every clock for good.
const maxAhead = time.Minute

// Recorder keeps the last events of one process. It is safe for concurrent use.
type Recorder struct {
	process string
	now     func() time.Time

	mu       sync.Mutex
	clock    Clock
	sequence uint64  // of the newest event
	ring     []Event // event s is at (s-1) % cap(ring)
}

// NewRecorder returns a recorder that keeps capacity events. process must be
// unique to this run of the process. now is time.Now outside tests.
func NewRecorder(process string, capacity int, now func() time.Time) *Recorder {
	return &Recorder{process: cut(process, maxName), now: now, ring: make([]Event, 0, max(1, capacity))}
}

// Process returns the process id of the events.
func (r *Recorder) Process() string { return r.process }

// Record keeps an event and returns its id, which later events may give as
// their cause. cause is empty when there is none.
func (r *Recorder) Record(lane, kind, subject, text, cause string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e := Event{r.process, r.sequence, r.tick(), lane, kind, subject, text, cause}.cut()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
	} else {
		r.ring[r.place(r.sequence)] = e
	}
	return e.ID()
}

func (r *Recorder) place(sequence uint64) int { return int((sequence - 1) % uint64(cap(r.ring))) }

// Clock advances the clock and returns it, to be sent with a message.
func (r *Recorder) AdvanceClock() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(r.tick())
}

func (r *Recorder) tick() Clock {
	r.clock = max(r.clock+1, clockOf(r.now()))
	return r.clock
}

// Observe takes over the clock of a received message, so that events recorded
// from now on come after those of its sender.
func (r *Recorder) UpdateClock(clock int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit := clockOf(r.now().Add(maxAhead)); Clock(clock) <= limit {
		r.clock = max(r.clock, Clock(clock))
	}
}

// After returns at most limit events with a higher sequence, oldest first.
// Events that the ring has overwritten are missing.
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
		events = append(events, r.ring[r.place(s)])
	}
	return events
}
