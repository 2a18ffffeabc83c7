package entry

import (
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// descriptions stores the fields of heartbeats that agents send only once per
// session and epoch. In every heartbeat they would be a seventh of its bytes.
type descriptions struct {
	mu       sync.Mutex
	byWorker map[units.WorkerID]description
}

// description is the last heartbeat that described its worker and process.
type description struct {
	session *link.Session
	message *wire.Heartbeat
}

// fillOmitted sets the fields that m omits from an earlier heartbeat of the same
// session. The capacity is valid for one epoch only. Without one for the epoch of
// m it stays empty, and the worker is neither registered nor assigned tasks.
func (d *descriptions) fillOmitted(m *wire.Heartbeat, session *link.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := units.WorkerID(m.GetWorker())
	if m.GetFailureDomain() != "" {
		if d.byWorker == nil {
			d.byWorker = make(map[units.WorkerID]description)
		}
		d.byWorker[id] = description{session, m}
		return
	}
	stored, ok := d.byWorker[id]
	if !ok || stored.session != session {
		return
	}
	full := stored.message
	m.FailureDomain, m.Rack, m.Region = full.FailureDomain, full.Rack, full.Region
	m.LinkAddress, m.Process = full.LinkAddress, full.Process
	if full.Epoch == m.Epoch {
		m.Capacity = full.Capacity
	}
}

// remove drops the description of a worker.
func (d *descriptions) remove(id units.WorkerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byWorker, id)
}

// entryListInterval is the interval at which an agent receives the unchanged list of
// entry processes. It is well below the agent's entryRetention of 35 s.
const entryListInterval = 10 * time.Second

// shouldListEntries reports whether the reply to m lists the entry processes: at
// the beginning of a session or epoch, after a change, and every
// entryListInterval. With twelve entry processes the list is larger than the rest
// of the reply.
func (c *control) shouldListEntries(w *workerState, m *wire.Heartbeat, now time.Time) bool {
	current := c.ownership.Load()
	if w == nil {
		return true
	}
	if !m.GetRunningFull() && w.sentEntryList == current && now.Sub(w.sentEntryListAt) < entryListInterval {
		return false
	}
	w.sentEntryList, w.sentEntryListAt = current, now
	return true
}
