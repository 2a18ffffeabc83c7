// Wall clocks of processes differ by more than the events are apart, so causes come
// first and clocks second.

package timeline

import (
	"cmp"
	"container/heap"
	"slices"
)

// Merge orders events so that each comes after its cause and after the earlier
// events of its process, and otherwise by clock. A repeated (process, sequence)
// is dropped. Causes that form a cycle, which only a faulty process can send,
// are ignored.
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
	followers := make([][]int, len(sorted))
	waits := make([]int, len(sorted))
	after := func(first, second int) {
		followers[first] = append(followers[first], second)
		waits[second]++
	}
	for i, e := range sorted {
		if i > 0 && sorted[i-1].Process == e.Process {
			after(i-1, i)
		}
		if cause, ok := index[e.Cause]; ok && cause != i {
			after(cause, i)
		}
	}
	return release(sorted, followers, waits)
}

// release takes the event with the lowest clock among those that wait for
// nothing, again and again.
func release(events []Event, followers [][]int, waits []int) []Event {
	ready := &queue{events: events}
	for i := range events {
		if waits[i] == 0 {
			ready.order = append(ready.order, i)
		}
	}
	heap.Init(ready)
	merged := make([]Event, 0, len(events))
	for ready.Len() > 0 {
		i := heap.Pop(ready).(int)
		merged = append(merged, events[i])
		for _, f := range followers[i] {
			if waits[f]--; waits[f] == 0 {
				heap.Push(ready, f)
			}
		}
	}
	if len(merged) < len(events) { // a cycle: keep its events, by clock
		rest := &queue{events: events}
		for i := range events {
			if waits[i] > 0 {
				rest.order = append(rest.order, i)
			}
		}
		slices.SortFunc(rest.order, rest.compare)
		for _, i := range rest.order {
			merged = append(merged, events[i])
		}
	}
	return merged
}

// queue is a heap of positions in events, lowest clock first.
type queue struct {
	events []Event
	order  []int
}

func (q *queue) compare(i, j int) int {
	a, b := q.events[i], q.events[j]
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
}

func (q *queue) Len() int           { return len(q.order) }
func (q *queue) Less(i, j int) bool { return q.compare(q.order[i], q.order[j]) < 0 }
func (q *queue) Swap(i, j int)      { q.order[i], q.order[j] = q.order[j], q.order[i] }
func (q *queue) Push(x any)         { q.order = append(q.order, x.(int)) }
func (q *queue) Pop() any {
	last := q.order[len(q.order)-1]
	q.order = q.order[:len(q.order)-1]
	return last
}
