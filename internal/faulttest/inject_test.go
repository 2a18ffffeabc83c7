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
	s.SetFault(n.WorkerAddress, slowStart)
	time.Sleep(500 * time.Millisecond)
	n.Agent.Kill()
	s.SetFault(n.WorkerAddress, `{}`)
	time.Sleep(leaseLapse)
	n.Agent.Start(s.t)
}

// agentKilledAtRandom kills an agent again and again and replaces it at once,
// with starts that reach its worker late.
func agentKilledAtRandom(s *System) {
	random := rand.New(rand.NewPCG(7, 1))
	s.SetFault(s.Victim.WorkerAddress, slowStart)
	for range 6 {
		time.Sleep(300*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))))
		s.Victim.Agent.Kill()
		s.Victim.Agent.Start(s.t)
	}
	s.SetFault(s.Victim.WorkerAddress, `{}`)
}

func entryKilled(s *System) {
	s.Entries[0].Kill()
	time.Sleep(silenceDuration)
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
	all := append([]*relay.Relay{n.ToEndpoint, n.ToLink, n.ToWorker}, n.ToEntry[:]...)
	for _, r := range all {
		for _, other := range all {
			other.Delay(50 * time.Millisecond)
		}
		r.Refuse(true)
		r.Cut()
		time.Sleep(1500 * time.Millisecond)
		restoreRelays(all...)
	}
}

// agentPausedInLogOutage leaves no one who could record the end of the lease
// while the worker's tasks stop.
func agentPausedInLogOutage(s *System) {
	s.SetFault(s.LogAddress, `{"outage":true}`)
	pauseProcess(leaseLapse, s.Victim.Agent)
	s.SetFault(s.LogAddress, `{}`)
}

// agentPausedWhileEntryIsKilled has the other entry process take over the jobs
// while the lease of their holder ends.
func agentPausedWhileEntryIsKilled(s *System) {
	s.Victim.Agent.Signal(syscall.SIGSTOP)
	entryKilled(s)
	time.Sleep(leaseLapse - silenceDuration)
	s.Victim.Agent.Signal(syscall.SIGCONT)
}

// agentPartitionedInLogOutage cuts an agent off from everything but its worker
// and endpoint while the log is down.
func agentPartitionedInLogOutage(s *System) {
	s.SetFault(s.LogAddress, `{"outage":true}`)
	silenceRelaysFor(leaseLapse, true, true, append(s.leaseRelays(), s.Victim.ToEntry[:]...)...)
	s.SetFault(s.LogAddress, `{}`)
}

func everythingReplacedWhileRepliesAreLost(s *System) {
	s.SetFault(s.LogAddress, `{"loseReplies":0.3,"late":0.1,"seed":11}`)
	everythingReplaced(s)
	time.Sleep(silenceDuration)
	s.SetFault(s.LogAddress, `{}`)
}

func workerFailsEverything(s *System) {
	s.SetFault(s.Victim.WorkerAddress, `{"failTasks":true}`)
	time.Sleep(silenceDuration)
	s.SetFault(s.Victim.WorkerAddress, `{}`)
}

func agentKilledWhileRepliesAreLost(s *System) {
	s.SetFault(s.LogAddress, `{"loseReplies":0.3,"late":0.1,"seed":9}`)
	agentKilledAtRandom(s)
	s.SetFault(s.LogAddress, `{}`)
}

func entryPausedWhileLeaseIsSilent(s *System) {
	for _, r := range s.leaseRelays() {
		r.Silence(true, true)
	}
	pauseProcess(leaseLapse, s.Entries[0].Process)
	restoreRelays(s.leaseRelays()...)
}

func entryKilledInPartition(s *System) {
	s.Victim.ToEntry[1].Silence(true, true)
	entryKilled(s)
	restoreRelays(s.Victim.ToEntry[1])
}
