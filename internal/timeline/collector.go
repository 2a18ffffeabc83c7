// The collector accepts events in any order and more than once, because agents
// resend them until an entry process acknowledges them.

package timeline

import (
	"slices"
	"sort"
	"sync"
)

// maxProcesses limits the processes in a collector. It suffices for 1,000 agents
// that restart once each, and the entry processes.
const maxProcesses = 4096

// Collector keeps the events of all processes. It is safe for concurrent use.
type Collector struct {
	capacity int

	mu         sync.Mutex
	eventCount int
	processes  map[string]*processEvents
}

// processEvents contains the events of one process by ascending sequence.
type processEvents struct {
	events      []Event
	droppedUpTo uint64 // highest dropped sequence; events up to it are not added again
	newestClock Clock
}

func (h *processEvents) highestSequence() uint64 {
	if n := len(h.events); n > 0 {
		return h.events[n-1].Sequence
	}
	return h.droppedUpTo
}

// NewCollector returns a collector that keeps at most capacity events.
func NewCollector(capacity int) *Collector {
	return &Collector{capacity: max(1, capacity), processes: map[string]*processEvents{}}
}

// Add adds events. Events that were added before, and events without a process or
// a sequence, are ignored.
func (c *Collector) Add(events ...Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		if e.Process != "" && e.Sequence != 0 {
			c.addEvent(e.truncated())
		}
	}
	if c.eventCount > c.capacity {
		c.dropOldestEvents()
	}
	if len(c.processes) > maxProcesses {
		c.dropOldestProcesses()
	}
}

func (c *Collector) addEvent(e Event) {
	h := c.processes[e.Process]
	if h == nil {
		h = new(processEvents)
		c.processes[e.Process] = h
	}
	h.newestClock = max(h.newestClock, e.Clock)
	if e.Sequence <= h.droppedUpTo {
		return
	}
	i, found := slices.BinarySearchFunc(h.events, e.Sequence, func(k Event, s uint64) int {
		switch {
		case k.Sequence < s:
			return -1
		case k.Sequence > s:
			return 1
		}
		return 0
	})
	if !found {
		h.events = slices.Insert(h.events, i, e)
		c.eventCount++
	}
}

// LastSequence returns the highest sequence that was added for a process, up to
// which its events are acknowledged; 0 if there is none.
func (c *Collector) LastSequence(process string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.processes[process]; h != nil {
		return h.highestSequence()
	}
	return 0
}

// dropOldestEvents drops the events with the lowest clocks until a tenth of the
// capacity is free, so that the cost of sorting is spread over many additions.
func (c *Collector) dropOldestEvents() {
	clocks := make([]Clock, 0, c.eventCount)
	for _, h := range c.processes {
		for _, e := range h.events {
			clocks = append(clocks, e.Clock)
		}
	}
	slices.Sort(clocks)
	excess := c.eventCount - c.capacity + c.capacity/10
	threshold := clocks[min(excess, len(clocks))-1]
	for _, h := range c.processes {
		n := sort.Search(len(h.events), func(i int) bool { return h.events[i].Clock > threshold })
		if n > 0 {
			h.droppedUpTo = h.events[n-1].Sequence
			h.events = slices.Delete(h.events, 0, n)
			c.eventCount -= n
		}
	}
}

// dropOldestProcesses drops the processes whose newest event is oldest, until a
// tenth of maxProcesses is free.
func (c *Collector) dropOldestProcesses() {
	names := make([]string, 0, len(c.processes))
	for name := range c.processes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return c.processes[names[i]].newestClock < c.processes[names[j]].newestClock })
	for _, name := range names[:len(names)-maxProcesses*9/10] {
		c.eventCount -= len(c.processes[name].events)
		delete(c.processes, name)
	}
}

// Events returns the events that filter accepts, in the order of Merge. A nil
// filter accepts all. If limit is positive, only the last limit events are
// returned.
func (c *Collector) Events(filter func(Event) bool, limit int) []Event {
	var all []Event
	c.mu.Lock()
	for _, h := range c.processes {
		for _, e := range h.events {
			if filter == nil || filter(e) {
				all = append(all, e)
			}
		}
	}
	c.mu.Unlock()
	merged := Merge(all)
	if limit > 0 && len(merged) > limit {
		merged = merged[len(merged)-limit:]
	}
	return merged
}
