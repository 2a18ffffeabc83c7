// The wall clocks of processes differ by more than the time between events, so the
// order follows causes first and clocks second.

package timeline

import (
	"cmp"
	"container/heap"
	"slices"
)

// Merge sorts events so that each comes after its cause and after the earlier events
// of its process, and otherwise by clock. Events with the same process and sequence
// are merged into one. Causes that form a cycle, which only a faulty process can
// send, are ignored.
func Merge(events []Event) []Event {
	sorted := slices.Clone(events)
	slices.SortFunc(sorted, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	sorted = slices.CompactFunc(sorted, func(a, b Event) bool { return a.Process == b.Process && a.Sequence == b.Sequence })
	index := make(map[string]int, len(sorted))
	for i, e := range sorted {
		index[e.ID()] = i
	}
	successors := make([][]int, len(sorted))
	predecessorCounts := make([]int, len(sorted))
	addEdge := func(before, after int) {
		successors[before] = append(successors[before], after)
		predecessorCounts[after]++
	}
	for i, e := range sorted {
		if i > 0 && sorted[i-1].Process == e.Process {
			addEdge(i-1, i)
		}
		if cause, ok := index[e.Cause]; ok && cause != i {
			addEdge(cause, i)
		}
	}
	return topologicalOrder(sorted, successors, predecessorCounts)
}

// topologicalOrder repeatedly takes the event with the lowest clock among those
// whose predecessors are all taken. successors and predecessorCounts describe the
// graph; topologicalOrder modifies predecessorCounts.
func topologicalOrder(events []Event, successors [][]int, predecessorCounts []int) []Event {
	ready := &clockHeap{events: events}
	for i := range events {
		if predecessorCounts[i] == 0 {
			ready.positions = append(ready.positions, i)
		}
	}
	heap.Init(ready)
	merged := make([]Event, 0, len(events))
	for ready.Len() > 0 {
		i := heap.Pop(ready).(int)
		merged = append(merged, events[i])
		for _, f := range successors[i] {
			if predecessorCounts[f]--; predecessorCounts[f] == 0 {
				heap.Push(ready, f)
			}
		}
	}
	if len(merged) < len(events) { // there is a cycle: add the remaining events by clock
		rest := &clockHeap{events: events}
		for i := range events {
			if predecessorCounts[i] > 0 {
				rest.positions = append(rest.positions, i)
			}
		}
		slices.SortFunc(rest.positions, rest.compare)
		for _, i := range rest.positions {
			merged = append(merged, events[i])
		}
	}
	return merged
}

// clockHeap is a heap of positions in events, lowest clock first.
type clockHeap struct {
	events    []Event
	positions []int
}

func (q *clockHeap) compare(i, j int) int {
	a, b := q.events[i], q.events[j]
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
}

func (q *clockHeap) Len() int           { return len(q.positions) }
func (q *clockHeap) Less(i, j int) bool { return q.compare(q.positions[i], q.positions[j]) < 0 }
func (q *clockHeap) Swap(i, j int)      { q.positions[i], q.positions[j] = q.positions[j], q.positions[i] }
func (q *clockHeap) Push(x any)         { q.positions = append(q.positions, x.(int)) }
func (q *clockHeap) Pop() any {
	last := q.positions[len(q.positions)-1]
	q.positions = q.positions[:len(q.positions)-1]
	return last
}
