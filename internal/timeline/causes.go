package timeline

import "sync"

// maxCauses bounds the subjects that are remembered; when it is reached all are
// forgotten, and the next event of each subject has no cause.
const maxCauses = 16_384

// Causes remembers the newest event about each subject, from this process or
// another, so that the next event about the subject can name it as its cause.
// It is safe for concurrent use; the zero value is ready.
type LatestEvents struct {
	mu     sync.Mutex
	latest map[string]string // subject to event id
}

// Note remembers that the event is the newest one about the subject.
func (c *LatestEvents) Set(subject, event string) {
	if subject == "" || event == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || len(c.latest) >= maxCauses {
		c.latest = make(map[string]string)
	}
	c.latest[subject] = event
}

// Latest returns the newest event about the subject, or "".
func (c *LatestEvents) Get(subject string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest[subject]
}
