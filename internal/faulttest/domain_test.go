package faulttest

import (
	"context"
	"syscall"
	"testing"
	"time"

	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxReactionTime is how long tasks may still start in a domain that was taken
// out, and requests may still reach an endpoint that is leaving.
const maxReactionTime = 3 * time.Second

// TestDomainOut guards against tasks that start in a failure domain after
// operators have taken it out, because the agent has not received the change, or
// because a start that it sent in time reaches the worker late.
func TestDomainOut(t *testing.T) {
	t.Parallel()
	for _, f := range []fault{
		{"agentPartitioned", func(s *System) { silenceEntries(s, true, true) }},
		{"repliesToAgentVanish", func(s *System) { silenceEntries(s, false, true) }},
		{"heartbeatsVanish", func(s *System) { silenceEntries(s, true, false) }},
		{"agentPaused", func(s *System) {
			s.Victim.Agent.Signal(syscall.SIGSTOP)
			time.AfterFunc(maxReactionTime+time.Second, func() { s.Victim.Agent.Signal(syscall.SIGCONT) })
		}},
		{"startsLate", func(s *System) { s.Victim.ToWorker.SetDelay(800 * time.Millisecond) }},
		{"workerAnswersLate", func(s *System) { s.SetFault(s.Victim.WorkerAddress, `{"delay":700000000}`) }},
		{"agentKilled", func(s *System) { s.Victim.Agent.Kill(); s.Victim.Agent.Start(s.t) }},
		{"slowLog", func(s *System) { s.SetFault(s.LogAddress, `{"delay":"500ms"}`) }},
	} {
		t.Run(f.name, func(t *testing.T) {
			s := startSystem(t)
			recorder := s.StartRecording(trafficDuration)
			jobs := []units.JobID{s.Submit("first", 60, time.Second), s.Submit("second", 60, time.Second)}
			time.Sleep(1500 * time.Millisecond)
			f.inject(s)
			out := s.setDomain(environment.DomainOut)
			time.Sleep(maxReactionTime + 2500*time.Millisecond)
			s.clearFaults()
			time.Sleep(time.Second)
			in := time.Now()
			s.setDomain(environment.DomainIn)
			s.WaitForJobs(jobsTimeout, "completed", jobs...)
			s.checkDomainOut(out, in)
			recorder.Check()
		})
	}
}

// silenceEntries drops the data between the victim's agent and the entry processes;
// forward is the direction from the agent.
func silenceEntries(s *System, forward, backward bool) {
	for _, r := range s.Victim.ToEntry {
		r.SetBlackhole(forward, backward)
	}
}

// clearFaults clears the faults of all relays, of the victim's worker and of the log.
func (s *System) clearFaults() {
	restoreRelays(s.relays...)
	s.SetFault(s.Victim.WorkerAddress, `{}`)
	s.SetFault(s.LogAddress, `{}`)
}

// setDomain takes the victim's failure domain out or back in, and returns the
// time at which the operator received the acknowledgement.
func (s *System) setDomain(state environment.DomainState) time.Time {
	s.t.Helper()
	key := administration.NewKey()
	s.WaitUntil(20*time.Second, "the domain is "+string(state), func(ctx context.Context) error {
		_, err := s.Client.SetDomainState(ctx, environmentName, s.Victim.Domain, state, "faulttest", key)
		return err
	})
	return time.Now()
}

// checkDomainOut checks that no task started in the victim's domain between
// maxReactionTime after out and in.
func (s *System) checkDomainOut(out, in time.Time) {
	s.t.Helper()
	before, elsewhere := 0, 0
	for _, r := range s.Runs() {
		inDomain := r.Worker == s.Victim.ID
		switch {
		case inDomain && r.Start.After(out.Add(maxReactionTime)) && r.Start.Before(in):
			s.t.Errorf("guarantee 4: %s attempt %d started on %s %v after the domain was taken out", r.Task, r.Attempt, r.Worker, r.Start.Sub(out))
		case inDomain && r.Start.Before(out):
			before++
		case r.Start.After(out) && r.Start.Before(in):
			elsewhere++
		}
	}
	if before == 0 || elsewhere == 0 {
		s.t.Errorf("%d starts in the domain before it was taken out and %d elsewhere afterwards; the check needs at least one of each", before, elsewhere)
	}
}

// TestEndpointLeaves guards against requests that reach an endpoint more than a
// few seconds after it announced that it is leaving, when an entry process does
// not receive the announcement in time.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	for _, f := range []fault{
		{"entryReceivesNothing", func(s *System) { s.Victim.ToEntry[0].SetBlackhole(true, false) }},
		{"entryPaused", func(s *System) { pauseProcess(2*time.Second, s.Entries[0].Process) }},
		{"agentReplaced", func(s *System) { s.Victim.Agent.Kill(); s.Victim.Agent.Start(s.t) }},
	} {
		t.Run(f.name, func(t *testing.T) {
			s := startSystem(t)
			recorder := s.StartRecording(trafficDuration)
			time.Sleep(time.Second)
			s.Victim.AnnounceLeaving()
			left := time.Now()
			f.inject(s)
			time.Sleep(time.Until(left.Add(maxReactionTime + time.Second))) // announcements are sent every second
			before := s.executedRequests(s.Victim)
			time.Sleep(3 * time.Second)
			if after := s.executedRequests(s.Victim); before == 0 || after != before {
				t.Errorf("guarantee 8: the endpoint had executed %d requests 4 s after it announced that it is leaving and %d requests after 7 s", before, after)
			}
			recorder.Check()
		})
	}
}

// executedRequests returns the number of different requests that the node's endpoint
// has executed.
func (s *System) executedRequests(n *Node) int {
	s.t.Helper()
	var reply struct{ Executed map[string]int }
	if err := s.getJSON("http://"+n.EndpointAddress+"/v1/executed", &reply); err != nil {
		s.t.Fatal(err)
	}
	return len(reply.Executed)
}
