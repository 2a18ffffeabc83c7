package forward

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/pkg/units"
)

// admission admits the requests of all entry processes to one endpoint, at most
// one per slot. Waiting requests are ordered by priority, then by deadline.
type admission struct {
	mu          sync.Mutex
	slots       int
	maxQueued   int // maximum number of waiting requests
	busy        int
	queue       waitQueue
	serviceTime time.Duration // moving average; 0 before the first response
	closed      bool          // the endpoint is leaving or misses its announcements
}

// waiter is one queued request. Its decision is sent once; an empty reason
// grants a slot.
type waiter struct {
	priority units.Priority
	deadline time.Time
	decision chan headers.Reason
	index    int // position in the heap, or -1
}

// precedes reports whether w is granted a slot before o.
func (w *waiter) precedes(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority > o.priority
	}
	return w.deadline.Before(o.deadline)
}

// minServiceTime replaces a service time that is lower or not yet measured.
const minServiceTime = time.Millisecond

// acquire waits for a slot. After an empty reason the caller holds a slot and
// must release it; any other reason means that the request must not be sent.
func (a *admission) acquire(ctx context.Context, priority units.Priority, deadline time.Time) headers.Reason {
	w, reason := a.enqueue(priority, deadline, time.Now())
	if w == nil {
		return reason
	}
	// After this time the request could not finish before its deadline.
	// Rejecting it now rather than at the deadline lets the rejection reach the
	// caller in time.
	_, _, serviceTime := a.load()
	timer := time.NewTimer(time.Until(deadline) - max(serviceTime, minServiceTime))
	defer timer.Stop()
	select {
	case reason := <-w.decision:
		return reason
	case <-timer.C:
	case <-ctx.Done():
	}
	a.cancel(w)
	return headers.Overload
}

// enqueue grants or rejects the request immediately if possible. Otherwise it
// returns the queued waiter.
func (a *admission) enqueue(priority units.Priority, deadline, now time.Time) (*waiter, headers.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.closed:
		return nil, headers.Leaving
	case !now.Before(deadline):
		return nil, headers.DeadlineExceeded
	case a.busy < a.slots && len(a.queue) == 0:
		a.busy++
		return nil, ""
	}
	w := &waiter{priority: priority, deadline: deadline, decision: make(chan headers.Reason, 1)}
	if now.Add(a.estimatedWait(w) + a.serviceTime).After(deadline) {
		return nil, headers.Overload
	}
	if len(a.queue) >= a.maxQueued {
		worst := a.queue.last()
		if !w.precedes(worst) {
			return nil, headers.Overload
		}
		heap.Remove(&a.queue, worst.index)
		worst.decision <- headers.Overload
	}
	heap.Push(&a.queue, w)
	return w, ""
}

// estimatedWait estimates the time until w gets a slot.
func (a *admission) estimatedWait(w *waiter) time.Duration {
	ahead := 1
	for _, o := range a.queue {
		if !w.precedes(o) {
			ahead++
		}
	}
	return time.Duration(float64(a.serviceTime) * float64(ahead) / float64(a.slots))
}

// cancel removes a waiter whose request has ended. If the waiter has been
// granted a slot in the meantime, the slot is released.
func (a *admission) cancel(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&a.queue, w.index)
		return
	}
	if <-w.decision == "" {
		a.busy--
		a.grant(time.Now())
	}
}

// release returns a slot. A positive serviceTime is the duration of a complete
// response and updates the average.
func (a *admission) release(serviceTime time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy--
	if serviceTime > 0 {
		if a.serviceTime == 0 {
			a.serviceTime = serviceTime
		}
		a.serviceTime += (serviceTime - a.serviceTime) / 16
	}
	a.grant(time.Now())
}

// grant assigns free slots to the first waiters and rejects those that can no
// longer meet their deadline.
func (a *admission) grant(now time.Time) {
	for a.busy < a.slots && len(a.queue) > 0 {
		w := heap.Pop(&a.queue).(*waiter)
		if now.Add(a.serviceTime).After(w.deadline) {
			w.decision <- headers.Overload
			continue
		}
		a.busy++
		w.decision <- ""
	}
}

// close rejects all waiting and all later requests. Requests that hold a slot
// finish.
func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for len(a.queue) > 0 {
		heap.Pop(&a.queue).(*waiter).decision <- headers.Leaving
	}
}

func (a *admission) open(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = false
	a.slots = slots
	a.grant(time.Now())
}

func (a *admission) load() (busy, queued int, serviceTime time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy, len(a.queue), a.serviceTime
}

// waitQueue is the heap of waiting requests. It implements heap.Interface.
type waitQueue []*waiter

func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, j int) bool { return q[i].precedes(q[j]) }

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// last returns the waiter that is granted a slot last.
func (q waitQueue) last() *waiter {
	w := q[0]
	for _, o := range q[1:] {
		if w.precedes(o) {
			w = o
		}
	}
	return w
}
