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

// obeyWithin is how long a process may take to obey that a domain is out or an
// endpoint is leaving.
const obeyWithin = 3 * time.Second

// TestDomainOut guards against an agent that starts tasks in a failure domain
// that operators have taken out because the news has not reached it, or because
// a start that it sent in time arrives late.
func TestDomainOut(t *testing.T) {
	t.Parallel()
	for _, f := range []fault{
		{"agentPartitioned", func(s *System) { silenceEntries(s, true, true) }},
		{"repliesToAgentVanish", func(s *System) { silenceEntries(s, false, true) }},
		{"heartbeatsVanish", func(s *System) { silenceEntries(s, true, false) }},
		{"agentPaused", func(s *System) {
			s.Victim.Agent.Signal(syscall.SIGSTOP)
			time.AfterFunc(obeyWithin+time.Second, func() { s.Victim.Agent.Signal(syscall.SIGCONT) })
		}},
		{"startsLate", func(s *System) { s.Victim.ToWorker.SetDelay(800 * time.Millisecond) }},
		{"workerAnswersLate", func(s *System) { s.Fault(s.Victim.WorkerAt, `{"delay":700000000}`) }},
		{"agentKilled", func(s *System) { s.Victim.Agent.Kill(); s.Victim.Agent.Start(s.t) }},
		{"slowLog", func(s *System) { s.Fault(s.LogAt, `{"delay":"500ms"}`) }},
	} {
		t.Run(f.name, func(t *testing.T) {
			s := start(t)
			w := s.Watch(traffic)
			jobs := []units.JobID{s.Submit("first", 60, time.Second), s.Submit("second", 60, time.Second)}
			time.Sleep(1500 * time.Millisecond)
			f.inject(s)
			out := s.setDomain(environment.DomainOut)
			time.Sleep(obeyWithin + 2500*time.Millisecond)
			s.endFaults()
			time.Sleep(time.Second)
			in := time.Now()
			s.setDomain(environment.DomainIn)
			s.Settle(settleWithin, "completed", jobs...)
			s.checkDomainOut(out, in)
			w.Check()
		})
	}
}

func silenceEntries(s *System, forward, backward bool) {
	for _, r := range s.Victim.ToEntry {
		r.SetBlackhole(forward, backward)
	}
}

func (s *System) endFaults() {
	restore(s.relays...)
	s.Fault(s.Victim.WorkerAt, `{}`)
	s.Fault(s.LogAt, `{}`)
}

// setDomain takes the victim's domain out or in, and returns when the
// operator was told.
func (s *System) setDomain(state environment.DomainState) time.Time {
	s.t.Helper()
	key := administration.NewKey()
	s.Until(20*time.Second, "the domain is "+string(state), func(ctx context.Context) error {
		_, err := s.Client.SetDomainState(ctx, environmentName, s.Victim.Domain, state, "faulttest", key)
		return err
	})
	return time.Now()
}

func (s *System) checkDomainOut(out, in time.Time) {
	s.t.Helper()
	before, elsewhere := 0, 0
	for _, r := range s.Runs() {
		inDomain := r.Worker == s.Victim.ID
		switch {
		case inDomain && r.Start.After(out.Add(obeyWithin)) && r.Start.Before(in):
			s.t.Errorf("guarantee 4: %s attempt %d started on %s %v after the domain was taken out", r.Task, r.Attempt, r.Worker, r.Start.Sub(out))
		case inDomain && r.Start.Before(out):
			before++
		case r.Start.After(out) && r.Start.Before(in):
			elsewhere++
		}
	}
	if before == 0 || elsewhere == 0 {
		s.t.Errorf("%d starts in the domain before and %d elsewhere after it was out; the check needs some", before, elsewhere)
	}
}

// TestEndpointLeaves guards against requests that reach an endpoint more than a
// few seconds after it announced that it is leaving, while an entry process
// cannot hear of it.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	for _, f := range []fault{
		{"entryHearsNothing", func(s *System) { s.Victim.ToEntry[0].SetBlackhole(true, false) }},
		{"entryPaused", func(s *System) { paused(2*time.Second, s.Entries[0].Process) }},
		{"agentReplaced", func(s *System) { s.Victim.Agent.Kill(); s.Victim.Agent.Start(s.t) }},
	} {
		t.Run(f.name, func(t *testing.T) {
			s := start(t)
			w := s.Watch(traffic)
			time.Sleep(time.Second)
			s.Victim.Leave()
			left := time.Now()
			f.inject(s)
			time.Sleep(time.Until(left.Add(obeyWithin + time.Second))) // announcements come every second
			before := s.executedAt(s.Victim)
			time.Sleep(3 * time.Second)
			if after := s.executedAt(s.Victim); before == 0 || after != before {
				t.Errorf("guarantee 8: executed %d requests until 4 s after it announced that it is leaving, and %d by 7 s", before, after)
			}
			w.Check()
		})
	}
}

func (s *System) executedAt(n *Node) int {
	s.t.Helper()
	var reply struct{ Executed map[string]int }
	if err := s.get("http://"+n.EndpointAt+"/v1/executed", &reply); err != nil {
		s.t.Fatal(err)
	}
	return len(reply.Executed)
}
