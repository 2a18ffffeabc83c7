// The collector takes events in any order and repetition, because agents send them
// again until an entry process acknowledges them.

package timeline

import (
	"slices"
	"sort"
	"sync"
)

// maxProcesses limits the processes that the collector remembers: 1,000 agents
// with a restart each and the entry processes.
const maxProcesses = 4096

// Collector keeps events of all processes. It is safe for concurrent use.
type Collector struct {
	capacity int

	mu        sync.Mutex
	count     int
	processes map[string]*history
}

// history holds the kept events of one process by ascending sequence.
type history struct {
	events []Event
	floor  uint64 // events up to here were dropped and are not taken again
	newest Clock
}

func (h *history) highest() uint64 {
	if n := len(h.events); n > 0 {
		return h.events[n-1].Sequence
	}
	return h.floor
}

// NewCollector returns a collector that keeps at most capacity events.
func NewCollector(capacity int) *Collector {
	return &Collector{capacity: max(1, capacity), processes: map[string]*history{}}
}

// Add keeps events that it has not seen; a repeated event has no effect. Events
// without a process or a sequence are ignored.
func (c *Collector) Add(events ...Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		if e.Process != "" && e.Sequence != 0 {
			c.add(e.cut())
		}
	}
	if c.count > c.capacity {
		c.trim()
	}
	if len(c.processes) > maxProcesses {
		c.forget()
	}
}

func (c *Collector) add(e Event) {
	h := c.processes[e.Process]
	if h == nil {
		h = new(history)
		c.processes[e.Process] = h
	}
	h.newest = max(h.newest, e.Clock)
	if e.Sequence <= h.floor {
		return
	}
	at, seen := slices.BinarySearchFunc(h.events, e.Sequence, func(k Event, s uint64) int {
		switch {
		case k.Sequence < s:
			return -1
		case k.Sequence > s:
			return 1
		}
		return 0
	})
	if !seen {
		h.events = slices.Insert(h.events, at, e)
		c.count++
	}
}

// Acknowledged returns the highest sequence kept of a process.
func (c *Collector) LastSequence(process string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.processes[process]; h != nil {
		return h.highest()
	}
	return 0
}

// trim drops the events with the lowest clocks until a tenth of the capacity is
// free, so that the sorting is paid for by many additions.
func (c *Collector) trim() {
	clocks := make([]Clock, 0, c.count)
	for _, h := range c.processes {
		for _, e := range h.events {
			clocks = append(clocks, e.Clock)
		}
	}
	slices.Sort(clocks)
	excess := c.count - c.capacity + c.capacity/10
	threshold := clocks[min(excess, len(clocks))-1]
	for _, h := range c.processes {
		n := sort.Search(len(h.events), func(i int) bool { return h.events[i].Clock > threshold })
		if n > 0 {
			h.floor = h.events[n-1].Sequence
			h.events = slices.Delete(h.events, 0, n)
			c.count -= n
		}
	}
}

// forget drops the processes that have been silent for longest.
func (c *Collector) forget() {
	names := make([]string, 0, len(c.processes))
	for name := range c.processes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return c.processes[names[i]].newest < c.processes[names[j]].newest })
	for _, name := range names[:len(names)-maxProcesses*9/10] {
		c.count -= len(c.processes[name].events)
		delete(c.processes, name)
	}
}

// Events returns the kept events that filter accepts, in the order of Merge,
// and at most the newest limit of them. A nil filter accepts all.
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
