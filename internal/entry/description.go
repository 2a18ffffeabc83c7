package entry

import (
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// descriptions keeps the fields of heartbeats that agents send once per session
// and epoch: repeated in every heartbeat they were a seventh of its bytes.
type descriptions struct {
	mu       sync.Mutex
	byWorker map[units.WorkerID]description
}

// description is what a heartbeat said about its worker and process.
type description struct {
	session *link.Session
	message *wire.Heartbeat
}

// complete fills in what m leaves out from an earlier heartbeat of the same
// session. The capacity belongs to an epoch; without one of m's own epoch it
// stays empty, and the worker is neither registered nor given tasks.
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
	description := stored.message
	m.FailureDomain, m.Rack, m.Region = description.FailureDomain, description.Rack, description.Region
	m.LinkAddress, m.Process = description.LinkAddress, description.Process
	if description.Epoch == m.Epoch {
		m.Capacity = description.Capacity
	}
}

// forget drops the description of a worker that has been silent for long.
func (d *descriptions) remove(id units.WorkerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byWorker, id)
}

// listEvery is how often an agent is sent the list of entry processes when it
// has not changed. It is well below the agent's forgetEntry of 35 s.
const entryListInterval = 10 * time.Second

// listsEntries reports whether the reply to m lists the entry processes: to an
// agent that begins a session or an epoch, after a change, and now and then.
// With twelve of them the list is larger than the rest of the reply.
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
