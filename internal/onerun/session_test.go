package onerun

import (
	"sync"
	"time"
)

const (
	// A session ends when the peer has not been reached for a random time between these.
	minDetection = 1800 * time.Millisecond
	maxDetection = 2800 * time.Millisecond
)

// session is a connection of a leader to an agent.
type session struct {
	conn       *conn
	agent      *agent
	attachment uint64
	closed     chan struct{}
	once       sync.Once
}

// dial returns nil if the agent can't be reached. The kernel answers for one that is frozen.
func dial(c *conn, attachment uint64) *session {
	w := c.machine.world
	w.mu.Lock()
	a, cut := c.machine.agent, time.Now().Before(c.machine.cutUntil)
	w.mu.Unlock()
	if a == nil || cut {
		return nil
	}
	s := &session{conn: c, agent: a, attachment: attachment, closed: make(chan struct{})}
	go s.watch()
	return s
}

func (s *session) close() { s.once.Do(func() { close(s.closed) }) }

func (s *session) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// watch closes the session when one side can't reach the other any more.
func (s *session) watch() {
	w := s.agent.machine.world
	limit, reached := w.rand.between(minDetection, maxDetection), time.Now()
	for !s.isClosed() {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		now, m := time.Now(), s.agent.machine
		cut, frozen, over := now.Before(m.cutUntil), now.Before(m.frozenUntil), w.over
		w.mu.Unlock()
		switch {
		case !cut && s.agent.ctx.Err() != nil, over:
			s.close()
		case !cut && !frozen:
			reached = now
		case now.Sub(reached) > limit:
			s.close()
		}
	}
}

// travel lets a message travel. It reports false if it does not arrive: the session ended
// meanwhile, unless the message was there already.
func (s *session) travel() bool {
	w := s.agent.machine.world
	delay := w.rand.between(0, 2*time.Millisecond)
	if w.rand.chance(w.faults.slowMessage) {
		delay = w.rand.between(0, 3*time.Second)
	}
	time.Sleep(delay)
	for {
		w.mu.Lock()
		left := time.Until(s.agent.machine.cutUntil)
		w.mu.Unlock()
		if left <= 0 {
			return !s.isClosed() || w.rand.chance(0.3)
		}
		if s.isClosed() {
			return false
		}
		time.Sleep(min(left, 50*time.Millisecond))
	}
}

// toAgent and toLeader let a request and its reply travel around handle.
func (s *session) toAgent(handle func()) bool {
	if !s.travel() || !s.agent.thaw() {
		return false
	}
	handle()
	return s.agent.thaw() && s.travel()
}

func (s *session) toLeader(handle func()) bool {
	if !s.travel() {
		return false
	}
	handle()
	return s.travel()
}

// exchange makes a call with a time limit, which does not keep the peer from handling it.
func exchange[R any](s *session, by func(func()) bool, handle func() (R, bool)) (reply R, ok bool) {
	type result struct {
		reply R
		ok    bool
	}
	results := make(chan result, 1)
	go func() {
		r := result{}
		if !by(func() { r.reply, r.ok = handle() }) {
			r = result{}
		}
		results <- r
	}()
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.reply, r.ok
	case <-timer.C:
		return reply, false
	}
}
