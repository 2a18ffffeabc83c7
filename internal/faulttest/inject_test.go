package faulttest

import (
	"math/rand/v2"
	"syscall"
	"time"

	"wasabihill.example/wasabihill/internal/relay"
)

// slowStart delays requests to a worker by 200 ms, so that its agent is killed
// between the admission of a task and its start.
const slowStart = `{"delay":200000000}`

// agentKilled kills an agent while start requests to its worker are in flight, and
// restarts it after its lease has expired.
func agentKilled(s *System) {
	n := s.Victim
	s.SetFault(n.WorkerAddress, slowStart)
	time.Sleep(500 * time.Millisecond)
	n.Agent.Kill()
	s.SetFault(n.WorkerAddress, `{}`)
	time.Sleep(leaseLapse)
	n.Agent.Start(s.t)
}

// agentKilledAtRandom kills and immediately restarts an agent at random intervals,
// while start requests reach its worker late.
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

// refusedAndCut cuts the victim's connections, one relay at a time, and refuses new
// ones for 1.5 s, while the other relays are slow.
func refusedAndCut(s *System) {
	n := s.Victim
	all := append([]*relay.Relay{n.ToEndpoint, n.ToLink, n.ToWorker}, n.ToEntry[:]...)
	for _, r := range all {
		for _, other := range all {
			other.SetDelay(50 * time.Millisecond)
		}
		r.SetRefusing(true)
		r.CloseConnections()
		time.Sleep(1500 * time.Millisecond)
		restoreRelays(all...)
	}
}

// agentPausedInLogOutage pauses an agent past its lease during a log outage, so
// that no process can record the lease expiry while the worker's tasks stop.
func agentPausedInLogOutage(s *System) {
	s.SetFault(s.LogAddress, `{"outage":true}`)
	pauseProcess(leaseLapse, s.Victim.Agent)
	s.SetFault(s.LogAddress, `{}`)
}

// agentPausedWhileEntryIsKilled moves the jobs to the other entry process while the
// lease of the paused agent expires.
func agentPausedWhileEntryIsKilled(s *System) {
	s.Victim.Agent.Signal(syscall.SIGSTOP)
	entryKilled(s)
	time.Sleep(leaseLapse - silenceDuration)
	s.Victim.Agent.Signal(syscall.SIGCONT)
}

// agentPartitionedInLogOutage partitions an agent from the entry processes and the
// other agents, but not from its worker and endpoint, during a log outage.
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
		r.SetBlackhole(true, true)
	}
	pauseProcess(leaseLapse, s.Entries[0].Process)
	restoreRelays(s.leaseRelays()...)
}

func entryKilledInPartition(s *System) {
	s.Victim.ToEntry[1].SetBlackhole(true, true)
	entryKilled(s)
	restoreRelays(s.Victim.ToEntry[1])
}
