package timeline

import "sync"

// maxSubjects limits the subjects in LatestEvents. When it is reached all are
// dropped, and the next event of each subject has no cause.
const maxSubjects = 16_384

// LatestEvents stores the newest event about each subject, from this process or
// another, so that the next event about the subject can refer to it as its cause.
// It is safe for concurrent use, and its zero value is ready to use.
type LatestEvents struct {
	mu        sync.Mutex
	bySubject map[string]string // subject to event id
}

// Set sets the id of the newest event about the subject.
func (c *LatestEvents) Set(subject, event string) {
	if subject == "" || event == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bySubject == nil || len(c.bySubject) >= maxSubjects {
		c.bySubject = make(map[string]string)
	}
	c.bySubject[subject] = event
}

// Get returns the id of the newest event about the subject, or "".
func (c *LatestEvents) Get(subject string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bySubject[subject]
}
