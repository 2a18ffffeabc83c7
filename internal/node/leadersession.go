package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
)

// The session of an entry process to the leader.

// followLeader replaces the session to the previous leader by one to the given
// leader.
func (e *Entry) followLeader(leader leadership.Leader) {
	e.mu.Lock()
	e.knownLeader = leader
	previous := e.session
	e.session = nil
	e.mu.Unlock()
	if previous != nil {
		go shutdownSession(previous)
	}
	if leader.Name != e.Settings.Name {
		go e.maintainSession(leader)
	}
}

// shutdownSession closes the session once the requests in flight on it are answered, or
// after sessionShutdownTimeout, because a leader that was lost answers none.
func shutdownSession(session *link.Session) {
	ctx, cancel := context.WithTimeout(context.Background(), sessionShutdownTimeout)
	defer cancel()
	session.Shutdown(ctx)
}

// closeLeaderSession closes the session to the leader and prevents another one.
func (e *Entry) closeLeaderSession() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knownLeader = leadership.Leader{}
	if e.session != nil {
		e.session.Close()
	}
}

// maintainSession keeps a session to the leader open until the elector reports
// another leader.
func (e *Entry) maintainSession(leader leadership.Leader) {
	for e.isKnownLeader(leader) {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		session, err := link.Dial(ctx, leader.Address, nil)
		cancel()
		if err != nil {
			time.Sleep(redialDelay)
			continue
		}
		klog.InfoS("connected to the leader", "leader", leader.Name, "term", leader.Term)
		if !e.useSession(leader, session) {
			session.Close()
			return
		}
		<-session.Done()
		e.dropSession(session)
		time.Sleep(redialDelay)
	}
}

func (e *Entry) isKnownLeader(leader leadership.Leader) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.knownLeader == leader
}

func (e *Entry) useSession(leader leadership.Leader, session *link.Session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.knownLeader != leader {
		return false
	}
	e.session = session
	return true
}

func (e *Entry) dropSession(session *link.Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session == session {
		e.session = nil
		klog.InfoS("connection to the leader is lost", "leader", e.knownLeader.Name)
	}
}

// connected reports whether this process leads or has a session to the leader.
func (e *Entry) connected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader != nil || e.session != nil
}
