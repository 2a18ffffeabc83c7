package faulttest

import (
	"math/rand/v2"
	"time"
)

// slowStart delays what reaches a worker, so that a kill of its agent falls
// between the admission of a task and its start.
const slowStart = `{"delay":200000000}`

// agentKilled kills an agent for longer than its lease, while starts are on
// their way to its worker.
func agentKilled(s *System) {
	n := s.Nodes[1]
	s.Fault(n.WorkerAt, slowStart)
	time.Sleep(500 * time.Millisecond)
	n.Agent.Kill()
	s.Fault(n.WorkerAt, `{}`)
	time.Sleep(pause)
	n.Agent.Start(s.t)
}

// agentKilledAtRandom kills an agent again and again and replaces it at once,
// with starts that reach its worker late.
func agentKilledAtRandom(s *System) {
	random := rand.New(rand.NewPCG(7, 1))
	s.Fault(s.Nodes[1].WorkerAt, slowStart)
	for range 6 {
		time.Sleep(300*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))))
		s.Nodes[1].Agent.Kill()
		s.Nodes[1].Agent.Start(s.t)
	}
	s.Fault(s.Nodes[1].WorkerAt, `{}`)
}

func entryKilled(s *System) {
	s.Entries[0].Kill()
	time.Sleep(silence)
	s.Entries[0].Start(s.t)
}

func everythingReplaced(s *System) {
	for _, n := range s.Nodes {
		n.Agent.Kill()
	}
	for _, e := range s.Entries {
		e.Kill()
	}
	for _, e := range s.Entries {
		e.Start(s.t)
	}
	for _, n := range s.Nodes {
		n.Agent.Start(s.t)
	}
}

// refusedAndCut breaks every connection of one agent, one of each kind at a
// time, and refuses new ones for a while; the others are slow.
func refusedAndCut(s *System) {
	n := s.Nodes[1]
	all := append([]*Relay{n.ToEndpoint, n.Lease, n.ToWorker}, n.ToEntry[:]...)
	for _, r := range all {
		for _, other := range all {
			other.Delay(50 * time.Millisecond)
		}
		r.Refuse(true)
		r.Cut()
		time.Sleep(1500 * time.Millisecond)
		restore(all...)
	}
}
