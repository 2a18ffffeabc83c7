package faulttest

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"syscall"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/relay"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// watcherJob is the job of the watcher in the document.
const watcherJob units.JobID = "watcher/freezeMonitor1"

var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
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

// systemSlots limits the number of systems at a time: each has 15 processes, and
// the machine is shared.
var systemSlots = make(chan struct{}, 4)

// startSystem marks the test as parallel, and starts a system as soon as a slot is
// free. The system is stopped when the test ends.
func startSystem(t *testing.T) *System {
	t.Helper()
	t.Parallel()
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots })
	return Start(t, binaries)
}

const (
	// jobsTimeout bounds how long jobs may take to end after the faults: an entry
	// process counts as lost after 15 s and a lease expires after 9 s.
	jobsTimeout = 60 * time.Second
	// agentPause exceeds the lease of 8 s and the further 1 s that the lessor waits.
	agentPause = 12 * time.Second
	// leaseLapse exceeds the lease of 8 s and its margin of 1 s.
	leaseLapse = 10 * time.Second
	// silenceDuration exceeds the 2-3 s after which a silent connection is detected.
	silenceDuration = 5 * time.Second
	// trafficDuration is the longest time for which callers send requests.
	trafficDuration = 15 * time.Second
)

// fault is a named fault; inject injects it and may clear it before it returns. An
// uncleared fault ends with the system or by clearFaults.
type fault struct {
	name   string
	inject func(*System)
}

// leaseFaults last long enough for the leases of the victim's tasks to expire.
var leaseFaults = []fault{
	{"agentKilled", agentKilled},
	{"agentPaused", func(s *System) { pauseProcess(agentPause, s.Victim.Agent) }},
	{"workerPaused", func(s *System) { pauseProcess(leaseLapse, s.Victim.Worker) }},
	{"silentAgentWorker", func(s *System) { silenceRelaysFor(leaseLapse, true, true, s.Victim.ToWorker) }},
	{"agentPausedInLogOutage", agentPausedInLogOutage},
	{"agentPausedWhileEntryIsKilled", agentPausedWhileEntryIsKilled},
	{"agentPartitionedInLogOutage", agentPartitionedInLogOutage},
}

// TestLeasesEnd guards against a task that is lost, or runs on two workers, when
// the lease of its worker expires because the agent or the worker is lost, paused
// or partitioned.
func TestLeasesEnd(t *testing.T) {
	t.Parallel()
	for _, f := range leaseFaults {
		t.Run(f.name, func(t *testing.T) {
			s := startSystem(t)
			runFault(s, f, 11*time.Second) // still running when the lease expires
			expired := 0
			for _, r := range s.Runs() {
				if r.Worker == s.Victim.ID && r.State == workerapi.Expired {
					expired++
				}
			}
			if expired == 0 {
				t.Errorf("no run on %s ended with an expired lease; the fault had no effect", s.Victim.ID)
			}
		})
	}
}

// faults need not end the lease of the victim. Most are shorter than a lease; those
// that silence the requests for leases last longer.
var faults = []fault{
	{"agentKilledAtRandom", agentKilledAtRandom},
	{"entryPaused", func(s *System) { pauseProcess(silenceDuration, s.Entries[0].Process) }},
	{"entryKilled", entryKilled},
	{"silentEntryAgent", func(s *System) { silenceRelays(true, true, s.Victim.ToEntry[0]) }},
	{"silentBothEntriesAgent", func(s *System) { silenceRelays(true, true, s.Victim.ToEntry[:]...) }},
	{"oneWayAgentToEntry", func(s *System) { silenceRelays(true, false, s.Victim.ToEntry[:]...) }},
	{"oneWayEntryToAgent", func(s *System) { silenceRelays(false, true, s.Victim.ToEntry[:]...) }},
	{"silentAgentEndpoint", func(s *System) { silenceRelays(true, true, s.Victim.ToEndpoint) }},
	{"silentLease", func(s *System) { silenceRelaysFor(leaseLapse, true, true, s.leaseRelays()...) }},
	{"silentEntryLog", func(s *System) { silenceRelays(true, true, s.Entries[0].ToLog) }},
	{"refusedAndCut", refusedAndCut},
	{"logOutage", func(s *System) { injectLogFault(s, `{"outage":true}`, silenceDuration) }},
	{"logSlow", func(s *System) { injectLogFault(s, `{"delay":"500ms"}`, silenceDuration) }},
	{"logRepliesLost", func(s *System) { injectLogFault(s, `{"loseReplies":0.3,"seed":7}`, silenceDuration) }},
	{"logAppendsLate", func(s *System) { injectLogFault(s, `{"late":0.2,"seed":7}`, silenceDuration) }},
	{"everythingReplaced", everythingReplaced},
	{"everythingReplacedWhileRepliesAreLost", everythingReplacedWhileRepliesAreLost},
	{"workerFailsEverything", workerFailsEverything},
	{"agentKilledWhileRepliesAreLost", agentKilledWhileRepliesAreLost},
	{"entryPausedWhileLeaseIsSilent", entryPausedWhileLeaseIsSilent},
	{"entryKilledInPartition", entryKilledInPartition},
}

// TestFaults guards against tasks that are lost or run twice, and requests that
// get a wrong response, when a process, a connection or the log fails while tasks
// start and requests arrive.
func TestFaults(t *testing.T) {
	t.Parallel()
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) { runFault(startSystem(t), f, 5*time.Second) })
	}
}

// runFault injects a fault into a system under load and checks the guarantees.
// The victim is the node of a task that runs for the time given by long.
func runFault(s *System, f fault, long time.Duration) {
	s.t.Helper()
	recorder := s.StartRecording(trafficDuration)
	jobs := s.submitJobs(long)
	s.Victim = s.nodeOf(jobs[0])
	time.Sleep(500 * time.Millisecond) // more tasks start
	f.inject(s)
	for _, job := range s.WaitForJobs(jobsTimeout, "completed", jobs...) {
		if job.Tasks.Completed != job.Tasks.Total {
			s.t.Errorf("guarantee 3: job %s completed with %+v", job.Name, job.Tasks)
		}
	}
	s.WaitUntil(jobsTimeout, "every worker and endpoint is ready again", s.checkReady)
	s.WaitUntil(jobsTimeout, "the watcher runs", s.checkWatcherRuns)
	recorder.Check()
}

// nodeOf returns the node of the job's first run.
func (s *System) nodeOf(id units.JobID) (node *Node) {
	s.t.Helper()
	s.WaitUntil(10*time.Second, "the long task runs", func(context.Context) error {
		runs := s.runsOf(id)
		if len(runs) == 0 {
			return errors.New("no run")
		}
		for _, n := range s.Nodes {
			if n.ID == runs[0].Worker {
				node = n
			}
		}
		return nil
	})
	return node
}

// checkWatcherRuns checks that the watcher runs on exactly one worker.
func (s *System) checkWatcherRuns(context.Context) error {
	running := 0
	for _, r := range s.runsOf(watcherJob) {
		if r.Open {
			running++
		}
	}
	if running != 1 {
		return fmt.Errorf("the watcher runs on %d workers", running)
	}
	return nil
}

// submitJobs submits a job of long tasks and then jobs of short tasks, so that
// tasks start throughout a fault.
func (s *System) submitJobs(long time.Duration) []units.JobID {
	ids := []units.JobID{s.Submit("long", 4, long)}
	for i := range 4 {
		ids = append(ids, s.Submit(fmt.Sprintf("short-%d", i), 15, time.Second))
	}
	return ids
}

// leaseRelays returns the relays of the lease requests, one for each agent that
// receives them.
func (s *System) leaseRelays() []*relay.Relay {
	var relays []*relay.Relay
	for _, n := range s.Nodes {
		relays = append(relays, n.ToLink)
	}
	return relays
}

// restoreRelays clears the faults of the relays.
func restoreRelays(relays ...*relay.Relay) {
	for _, r := range relays {
		r.ClearFaults()
	}
}

// silenceRelays drops the data of the given directions for silenceDuration, without
// closing the connections.
func silenceRelays(forward, backward bool, relays ...*relay.Relay) {
	silenceRelaysFor(silenceDuration, forward, backward, relays...)
}

func silenceRelaysFor(d time.Duration, forward, backward bool, relays ...*relay.Relay) {
	for _, r := range relays {
		r.SetBlackhole(forward, backward)
	}
	time.Sleep(d)
	restoreRelays(relays...)
}

func pauseProcess(d time.Duration, p *Process) {
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}

func injectLogFault(s *System, body string, d time.Duration) {
	s.SetFault(s.LogAddress, body)
	time.Sleep(d)
	s.SetFault(s.LogAddress, `{}`)
}
