package entry

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/agent"
	"wasabihill.example/wasabihill/internal/loopback"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// testCluster consists of a log, entry processes, and agents with their workers,
// all in this process and connected over loopback.
type testCluster struct {
	t       *testing.T
	log     *logservice.Log
	entries []*testProcess[*Entry]
	agents  []*testProcess[*agent.Agent]
	workers []*worker.Core
}

// testProcess is an entry process or agent that a test can stop.
type testProcess[P any] struct {
	part P
	stop func()
}

const testDocument = `{
  "environment": "production",
  "failureDomains": [{"name": "a", "region": "r", "state": "in"}, {"name": "b", "region": "r", "state": "in"}, {"name": "c", "region": "r", "state": "in"}],
  "teams": [{"name": "team", "quota": {"processors": "64", "memory": "256GiB", "accelerators": 0}, "mayBorrow": true}],
  "services": [],
  "watchers": [%s],
  "guards": {"enabled": false, "latencyRatio": 1.2},
  "drainedWorkers": [],
  "largestWorker": {"processors": "16", "memory": "64GiB", "accelerators": 0}
}`

const testWatcher = `{"name": "freezeMonitor", "team": "team", "priority": "high", "size": {"processors": "250m", "memory": "256MiB"}}`

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	reservation, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reservation.Release)
	return reservation.Address
}

func startProcess[P interface{ Run(context.Context) error }](t *testing.T, part P) *testProcess[P] {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := part.Run(ctx); err != nil {
			t.Logf("%T ended with error: %v", part, err)
		}
	}()
	m := &testProcess[P]{part: part, stop: func() { cancel(); <-done }}
	t.Cleanup(m.stop)
	return m
}

func newCluster(t *testing.T, entries, workers int, watchers string) *testCluster {
	t.Helper()
	c := &testCluster{t: t, log: &logservice.Log{}}
	var seeds []string
	for i := range entries {
		link := freeAddress(t)
		e := &Entry{
			Settings: &settings.Entry{
				ID: units.EntryID(fmt.Sprintf("entry-%d", i+1)), Environment: "production", FailureDomain: "a", Region: "r",
				CallerAddress: freeAddress(t), AdminAddress: freeAddress(t), LinkAddress: link, AdvertisedLinkAddress: link,
				Limits: settings.EntryLimits{TimelineEvents: 1000},
			},
			Log: c.log, DrainDelay: 10 * time.Millisecond,
		}
		e.prepare() // the test calls the process before Run has called prepare
		c.entries = append(c.entries, startProcess(t, e))
		seeds = append(seeds, link.String())
	}
	c.eventually("every entry process follows the log", func() bool {
		_, err := c.backend().Publish(t.Context(), administration.Publication{
			Environment: "production", Key: "first", Author: "test", Text: fmt.Appendf(nil, testDocument, watchers)})
		return err == nil
	})
	for i := range workers {
		core := &worker.Core{Name: units.WorkerID(fmt.Sprintf("worker-%d", i+1)), Capacity: units.Resources{Processors: 16000, Memory: 64 * units.GiB}}
		c.workers = append(c.workers, core)
		c.agents = append(c.agents, startProcess(t, c.newAgent(core, i, seeds)))
	}
	c.eventually("every worker is registered and has a lessor", func() bool {
		list, err := c.backend().Workers(t.Context())
		ready := 0
		lessors := make(map[units.WorkerID]units.WorkerID)
		for _, w := range list {
			lessors[w.ID] = w.Lessor
		}
		for _, w := range list {
			// Of three or more workers no two may remain each other's lessor:
			// neither could run the other's watchers in a log outage.
			if w.State == "ready" && w.Lessor != "" && (workers < 3 || lessors[w.Lessor] != w.ID) {
				ready++
			}
		}
		return err == nil && ready == workers
	})
	return c
}

func (c *testCluster) newAgent(core *worker.Core, i int, seeds []string) *agent.Agent {
	domain := units.DomainName([]string{"a", "b", "c"}[i%3])
	return &agent.Agent{
		WorkerID: core.Name, Domain: domain, Rack: units.RackName(domain), Region: "r",
		LinkAddress: freeAddress(c.t).String(), Worker: core, EntryAddresses: seeds, OmitUnchanged: true,
	}
}

// backend returns the administration API of the newest entry process.
func (c *testCluster) backend() backend { return backend{c.entries[len(c.entries)-1].part} }

// eventually waits for a condition. The timeout only ends a test that hangs.
func (c *testCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); {
		if time.Now().After(deadline) {
			c.t.Fatalf("did not happen within a minute: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *testCluster) submit(key string, tasks int, runTime time.Duration) units.JobID {
	c.t.Helper()
	job, err := c.backend().Submit(c.t.Context(), administration.Submission{
		Key: key, Team: "team", Name: "plan", Kind: "plan", Priority: units.PriorityNormal, Tasks: tasks,
		Size: units.Resources{Processors: 1000, Memory: units.GiB}, RunTime: runTime,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return job.ID
}

func (c *testCluster) jobState(id units.JobID) string {
	job, err := c.backend().Job(c.t.Context(), id)
	if err != nil {
		return err.Error()
	}
	return job.State
}

func (c *testCluster) checkNoOverlap() {
	c.t.Helper()
	var runs []worker.Run
	for _, w := range c.workers {
		runs = append(runs, w.Runs()...)
	}
	if found := worker.Overlaps(runs); len(found) > 0 {
		c.t.Errorf("tasks ran twice at the same time:\n%s", strings.Join(found, "\n"))
	}
}

func runningOn(w *worker.Core) (n int) {
	for _, r := range w.Runs() {
		if r.Open {
			n++
		}
	}
	return n
}
