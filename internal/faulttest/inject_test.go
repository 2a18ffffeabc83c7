package faulttest

import (
	"math/rand/v2"
	"syscall"
	"time"

	"wasabihill.example/wasabihill/internal/relay"
)

// slowStart delays what reaches a worker, so that a kill of its agent falls
// between the admission of a task and its start.
const slowStart = `{"delay":200000000}`

// agentKilled kills an agent for longer than its lease, while starts are on
// their way to its worker.
func agentKilled(s *System) {
	n := s.Victim
	s.Fault(n.WorkerAt, slowStart)
	time.Sleep(500 * time.Millisecond)
	n.Agent.Kill()
	s.Fault(n.WorkerAt, `{}`)
	time.Sleep(lapse)
	n.Agent.Start(s.t)
}

// agentKilledAtRandom kills an agent again and again and replaces it at once,
// with starts that reach its worker late.
func agentKilledAtRandom(s *System) {
	random := rand.New(rand.NewPCG(7, 1))
	s.Fault(s.Victim.WorkerAt, slowStart)
	for range 6 {
		time.Sleep(300*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))))
		s.Victim.Agent.Kill()
		s.Victim.Agent.Start(s.t)
	}
	s.Fault(s.Victim.WorkerAt, `{}`)
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
	n := s.Victim
	all := append([]*relay.Relay{n.ToEndpoint, n.Lease, n.ToWorker}, n.ToEntry[:]...)
	for _, r := range all {
		for _, other := range all {
			other.SetDelay(50 * time.Millisecond)
		}
		r.SetRefusing(true)
		r.CloseConnections()
		time.Sleep(1500 * time.Millisecond)
		restore(all...)
	}
}

// agentPausedInLogOutage leaves no one who could record the end of the lease
// while the worker's tasks stop.
func agentPausedInLogOutage(s *System) {
	s.Fault(s.LogAt, `{"outage":true}`)
	paused(lapse, s.Victim.Agent)
	s.Fault(s.LogAt, `{}`)
}

// agentPausedWhileEntryIsKilled has the other entry process take over the jobs
// while the lease of their holder ends.
func agentPausedWhileEntryIsKilled(s *System) {
	s.Victim.Agent.Signal(syscall.SIGSTOP)
	entryKilled(s)
	time.Sleep(lapse - silence)
	s.Victim.Agent.Signal(syscall.SIGCONT)
}

// agentPartitionedInLogOutage cuts an agent off from everything but its worker
// and endpoint while the log is down.
func agentPartitionedInLogOutage(s *System) {
	s.Fault(s.LogAt, `{"outage":true}`)
	silentFor(lapse, true, true, append(s.leases(), s.Victim.ToEntry[:]...)...)
	s.Fault(s.LogAt, `{}`)
}

func everythingReplacedWhileRepliesAreLost(s *System) {
	s.Fault(s.LogAt, `{"loseReplies":0.3,"late":0.1,"seed":11}`)
	everythingReplaced(s)
	time.Sleep(silence)
	s.Fault(s.LogAt, `{}`)
}

func workerFailsEverything(s *System) {
	s.Fault(s.Victim.WorkerAt, `{"failTasks":true}`)
	time.Sleep(silence)
	s.Fault(s.Victim.WorkerAt, `{}`)
}

func agentKilledWhileRepliesAreLost(s *System) {
	s.Fault(s.LogAt, `{"loseReplies":0.3,"late":0.1,"seed":9}`)
	agentKilledAtRandom(s)
	s.Fault(s.LogAt, `{}`)
}

func entryPausedWhileLeaseIsSilent(s *System) {
	for _, r := range s.leases() {
		r.SetBlackhole(true, true)
	}
	paused(lapse, s.Entries[0].Process)
	restore(s.leases()...)
}

func entryKilledInPartition(s *System) {
	s.Victim.ToEntry[1].SetBlackhole(true, true)
	entryKilled(s)
	restore(s.Victim.ToEntry[1])
}
