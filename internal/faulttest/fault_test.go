package faulttest

import (
	"fmt"
	"log"
	"os"
	"syscall"
	"testing"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		log.Print(err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := Build(dir); err != nil {
		log.Print(err)
		return 1
	}
	binaries = dir
	return m.Run()
}

// systems bounds the number of systems at a time: each has 15 processes, and
// the machine is shared.
var systems = make(chan struct{}, 4)

// start starts a system when fewer than the bound are running.
func start(t *testing.T) *System {
	t.Helper()
	t.Parallel()
	systems <- struct{}{}
	t.Cleanup(func() { <-systems })
	return Start(t, binaries)
}

const (
	// settleWithin bounds how long work may take to end after the faults: an
	// entry process counts as dead after 15 s and a lease ends after 9 s.
	settleWithin = 60 * time.Second
	// pause is longer than a lease of 8 s.
	pause = 12 * time.Second
	// silence is longer than the 2-3 s in which a silent connection is noticed.
	silence = 6 * time.Second
	// traffic is how long callers send requests, at most.
	traffic = 15 * time.Second
)

// fault is one case: something that goes wrong and is over when inject returns.
type fault struct {
	name   string
	inject func(*System)
}

var faults = []fault{
	{"agentKilled", agentKilled},
	{"agentKilledAtRandom", agentKilledAtRandom},
	{"agentPaused", func(s *System) { paused(pause, s.Nodes[1].Agent) }},
	{"workerPaused", func(s *System) { paused(pause, s.Nodes[1].Worker) }},
	{"entryPaused", func(s *System) { paused(pause, s.Entries[0].Process) }},
	{"entryKilled", entryKilled},
	{"silentEntryAgent", func(s *System) { silent(true, true, s.Nodes[1].ToEntry[0]) }},
	{"silentBothEntriesAgent", func(s *System) { silent(true, true, s.Nodes[1].ToEntry[:]...) }},
	{"oneWayAgentToEntry", func(s *System) { silent(true, false, s.Nodes[1].ToEntry[:]...) }},
	{"oneWayEntryToAgent", func(s *System) { silent(false, true, s.Nodes[1].ToEntry[:]...) }},
	{"silentAgentEndpoint", func(s *System) { silent(true, true, s.Nodes[1].ToEndpoint) }},
	{"silentLease", func(s *System) { silentFor(pause, true, true, s.leases()...) }},
	{"silentAgentWorker", func(s *System) { silentFor(pause, true, true, s.Nodes[1].ToWorker) }},
	{"silentEntryLog", func(s *System) { silent(true, true, s.Entries[0].ToLog) }},
	{"refusedAndCut", refusedAndCut},
	{"logOutage", func(s *System) { logFault(s, `{"outage":true}`, silence) }},
	{"logSlow", func(s *System) { logFault(s, `{"delay":"500ms"}`, silence) }},
	{"logRepliesLost", func(s *System) { logFault(s, `{"loseReplies":0.3,"seed":7}`, silence) }},
	{"logAppendsLate", func(s *System) { logFault(s, `{"late":0.2,"seed":7}`, silence) }},
	{"everythingReplaced", everythingReplaced},
	{"workerFailsEverything", func(s *System) {
		s.Fault(s.Nodes[1].WorkerAt, `{"failTasks":true}`)
		time.Sleep(silence)
		s.Fault(s.Nodes[1].WorkerAt, `{}`)
	}},
	{"agentPausedInLogOutage", func(s *System) {
		s.Fault(s.LogAt, `{"outage":true}`)
		paused(pause, s.Nodes[1].Agent)
		s.Fault(s.LogAt, `{}`)
	}},
	{"agentKilledWhileRepliesAreLost", func(s *System) {
		s.Fault(s.LogAt, `{"loseReplies":0.3,"late":0.1,"seed":9}`)
		agentKilledAtRandom(s)
		s.Fault(s.LogAt, `{}`)
	}},
	{"entryPausedWhileLeaseIsSilent", func(s *System) {
		for _, r := range s.leases() {
			r.Silence(true, true)
		}
		paused(pause, s.Entries[0].Process)
		restore(s.leases()...)
	}},
	{"entryKilledInPartition", func(s *System) {
		s.Nodes[1].ToEntry[1].Silence(true, true)
		s.Nodes[2].ToEntry[1].Silence(true, true)
		entryKilled(s)
		restore(s.Nodes[1].ToEntry[1], s.Nodes[2].ToEntry[1])
	}},
}

// TestFaults guards against work lost, run twice or answered wrongly when a
// process, a connection or the log fails while tasks start and requests arrive.
func TestFaults(t *testing.T) {
	t.Parallel()
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			s := start(t)
			w := s.Watch(traffic)
			jobs := s.submitWork()
			time.Sleep(time.Second) // the first tasks start
			f.inject(s)
			for _, job := range s.Settle(settleWithin, "completed", jobs...) {
				if job.Tasks.Completed != job.Tasks.Total {
					t.Errorf("guarantee 3: job %s completed with %+v", job.Name, job.Tasks)
				}
			}
			s.Until(settleWithin, "every worker and endpoint is ready again", s.ready)
			w.Check()
		})
	}
}

// submitWork submits short tasks, so that some start at every moment of a
// fault, and tasks that outlast a lease.
func (s *System) submitWork() []units.JobID {
	ids := []units.JobID{s.Submit("long", 4, 10*time.Second)}
	for i := range 4 {
		ids = append(ids, s.Submit(fmt.Sprintf("short-%d", i), 30, time.Second))
	}
	return ids
}

func (s *System) leases() []*Relay {
	var relays []*Relay
	for _, n := range s.Nodes {
		relays = append(relays, n.Lease)
	}
	return relays
}

func restore(relays ...*Relay) {
	for _, r := range relays {
		r.Restore()
	}
}

func silent(forward, backward bool, relays ...*Relay) {
	silentFor(silence, forward, backward, relays...)
}

func silentFor(d time.Duration, forward, backward bool, relays ...*Relay) {
	for _, r := range relays {
		r.Silence(forward, backward)
	}
	time.Sleep(d)
	restore(relays...)
}

func paused(d time.Duration, p *Process) {
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}

func logFault(s *System, body string, d time.Duration) {
	s.Fault(s.LogAt, body)
	time.Sleep(d)
	s.Fault(s.LogAt, `{}`)
}
