package forward

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/headers"
	"wasabihill.example/wasabihill/pkg/units"
)

// admission grants the slots of one endpoint for all entry processes together.
// Waiting requests are ordered by priority, then by deadline.
type admission struct {
	mu      sync.Mutex
	slots   int
	limit   int // most waiting requests
	busy    int
	queue   waiters
	service time.Duration // decayed service time; 0 before the first response
	closed  bool          // the endpoint is leaving or gone
}

// waiter is one queued request. Its verdict is sent once; an empty reason grants
// a slot.
type waiter struct {
	priority units.Priority
	deadline time.Time
	verdict  chan headers.Reason
	index    int // position in the heap, -1 outside
}

func (w *waiter) before(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority > o.priority
	}
	return w.deadline.Before(o.deadline)
}

// minimumMargin stands for a service time that is not known yet.
const minimumMargin = time.Millisecond

// acquire waits for a slot. An empty reason means that the caller holds one and
// must release it; any other reason means that the request must not be sent.
func (a *admission) acquire(ctx context.Context, priority units.Priority, deadline time.Time) headers.Reason {
	w, reason := a.enqueue(priority, deadline, time.Now())
	if w == nil {
		return reason
	}
	// Past this moment a slot comes too late. Refusing then, rather than at the
	// deadline, lets the refusal reach the caller in time.
	_, _, service := a.load()
	timer := time.NewTimer(time.Until(deadline) - max(service, minimumMargin))
	defer timer.Stop()
	select {
	case reason := <-w.verdict:
		return reason
	case <-timer.C:
	case <-ctx.Done():
	}
	a.abandon(w)
	return headers.Overload
}

// enqueue decides at once where it can; else it returns the queued waiter.
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
	w := &waiter{priority: priority, deadline: deadline, verdict: make(chan headers.Reason, 1)}
	if now.Add(a.wait(w) + a.service).After(deadline) {
		return nil, headers.Overload
	}
	if len(a.queue) >= a.limit {
		worst := a.queue.worst()
		if !w.before(worst) {
			return nil, headers.Overload
		}
		heap.Remove(&a.queue, worst.index)
		worst.verdict <- headers.Overload
	}
	heap.Push(&a.queue, w)
	return w, ""
}

// wait estimates the time until w gets a slot.
func (a *admission) wait(w *waiter) time.Duration {
	ahead := 1
	for _, o := range a.queue {
		if !w.before(o) {
			ahead++
		}
	}
	return time.Duration(float64(a.service) * float64(ahead) / float64(a.slots))
}

// abandon withdraws a waiter whose request has ended; a slot that was granted
// in the meantime is released.
func (a *admission) abandon(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&a.queue, w.index)
		return
	}
	if <-w.verdict == "" {
		a.busy--
		a.grant(time.Now())
	}
}

// release returns a slot. A positive duration is the service time of a whole
// response.
func (a *admission) release(service time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy--
	if service > 0 {
		if a.service == 0 {
			a.service = service
		}
		a.service += (service - a.service) / 16
	}
	a.grant(time.Now())
}

// grant hands free slots to the first waiters and sheds those that can no
// longer meet their deadline.
func (a *admission) grant(now time.Time) {
	for a.busy < a.slots && len(a.queue) > 0 {
		w := heap.Pop(&a.queue).(*waiter)
		if now.Add(a.service).After(w.deadline) {
			w.verdict <- headers.Overload
			continue
		}
		a.busy++
		w.verdict <- ""
	}
}

// close rejects all that wait and all that come; requests that hold a slot
// finish.
func (a *admission) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for len(a.queue) > 0 {
		heap.Pop(&a.queue).(*waiter).verdict <- headers.Leaving
	}
}

func (a *admission) open(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = false
	a.slots = slots
	a.grant(time.Now())
}

func (a *admission) load() (busy, queued int, service time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy, len(a.queue), a.service
}

// waiters implements heap.Interface.
type waiters []*waiter

func (q waiters) Len() int           { return len(q) }
func (q waiters) Less(i, j int) bool { return q[i].before(q[j]) }

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// worst is the waiter that goes last.
func (q waiters) worst() *waiter {
	w := q[0]
	for _, o := range q[1:] {
		if w.before(o) {
			w = o
		}
	}
	return w
}
