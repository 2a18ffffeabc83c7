package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a job that does not get from submission to its recorded end, and
// against a repeated submission that creates a second job.
func TestJobCompletes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3, "")
	id := c.submit("job-1", 12, 200*time.Millisecond)
	if again := c.submit("job-1", 12, 200*time.Millisecond); again != id {
		t.Errorf("repeated submission: got job %s, want %s", again, id)
	}
	c.eventually("the job completes", func() bool { return c.jobState(id) == "completed" })
	c.checkNoOverlap()
	job, _ := c.backend().Job(t.Context(), id)
	if got, want := job.Tasks.Completed, 12; got != want {
		t.Errorf("completed tasks: got %d, want %d", got, want)
	}
	c.checkTimeline(id)
}

// checkTimeline follows the causes of a task's last event back to its first on
// every entry process, also on one that has recorded none of these events.
func (c *testCluster) checkTimeline(id units.JobID) {
	c.t.Helper()
	subject := string(id) + "/0"
	for _, e := range c.entries {
		events, err := backend{e.part}.Events(c.t.Context(), nil, 1000)
		if err != nil {
			c.t.Fatal(err)
		}
		byID := make(map[string]timeline.Event, len(events))
		var last timeline.Event
		for _, event := range events {
			byID[event.ID()] = event
			if event.Subject == subject {
				last = event
			}
		}
		var kinds []string
		for event, ok := last, true; ok && len(kinds) < 10; event, ok = byID[event.Cause] {
			kinds = append(kinds, event.Kind)
		}
		if got, want := strings.Join(kinds, " < "), "completed < started < assigned"; got != want {
			c.t.Errorf("%s: chain of causes: got %q, want %q", e.part.Settings.ID, got, want)
		}
	}
}

// Guards against a task that is started elsewhere while the worker of a replaced
// agent still runs it, and against a task that is lost with its worker.
func TestWorkerLostAndAgentReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3, "")
	id := c.submit("job-1", 24, 5*time.Second)
	c.eventually("all tasks run", func() bool {
		job, _ := c.backend().Job(t.Context(), id)
		return job.Tasks.Running == 24
	})
	c.workers[0].SetFaults(worker.Faults{Unreachable: true}) // the instance is lost
	c.agents[0].stop()
	c.agents[1].stop()
	seeds := c.agents[1].part.EntryAddresses
	c.agents[1] = startProcess(t, c.newAgent(c.workers[1], 1, seeds))
	c.eventually("the job completes", func() bool { return c.jobState(id) == "completed" })
	c.checkNoOverlap()
}

// Guards against agents that ignore a changed document: no task may start in a
// failure domain that is out of service, and the tasks in it must move.
func TestFailureDomainOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3, "")
	d, err := c.backend().Document(t.Context(), "production", 0)
	if err != nil {
		t.Fatal(err)
	}
	text, err := environment.SetDomainState([]byte(d.Text), "a", environment.DomainOut)
	if err != nil {
		t.Fatal(err)
	}
	id := c.submit("job-1", 24, 3*time.Second)
	c.eventually("all tasks run", func() bool {
		job, _ := c.backend().Job(t.Context(), id)
		return job.Tasks.Running == 24
	})
	if _, err := c.backend().Publish(t.Context(), administration.Publication{
		Environment: "production", Key: "out", Base: d.Version, Author: "test", Text: text}); err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	c.eventually("the job completes", func() bool { return c.jobState(id) == "completed" })
	c.checkNoOverlap()
	for _, r := range c.workers[0].Runs() {
		if r.Start.After(accepted.Add(3 * time.Second)) {
			t.Errorf("task %s started %s after its failure domain was taken out of service", r.Task, r.Start.Sub(accepted))
		}
	}
}

// Guards against a watcher that stays down after its worker is lost, with a
// reachable log and during its outage.
func TestWatcherContinues(t *testing.T) {
	t.Parallel()
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 3, testWatcher)
			holder := -1
			c.eventually("the watcher runs and its standby is admitted", func() bool {
				standbys := 0
				for i, w := range c.workers {
					table, _ := w.Tasks(t.Context())
					for _, row := range table.Tasks {
						switch row.State {
						case "running":
							holder = i
						case "standby":
							standbys++
						}
					}
				}
				return holder >= 0 && standbys == 1
			})
			c.log.SetFaults(logservice.Faults{Outage: outage})
			if outage {
				time.Sleep(4 * time.Second) // entry processes detect the outage within 3 s
			}
			c.workers[holder].SetFaults(worker.Faults{Unreachable: true})
			c.agents[holder].stop()
			c.eventually("the watcher runs elsewhere", func() bool {
				for i, w := range c.workers {
					table, _ := w.Tasks(t.Context())
					for _, row := range table.Tasks {
						if i != holder && row.State == "running" {
							return true
						}
					}
				}
				return false
			})
			c.log.SetFaults(logservice.Faults{})
			c.eventually("the ledger names the new holder", func() bool {
				job, err := c.backend().Job(t.Context(), "watcher/freezeMonitor")
				return err == nil && len(job.Details) == 1 && job.Details[0].State == "running" &&
					job.Details[0].Worker != c.workers[holder].Name
			})
			time.Sleep(time.Second) // a second start would occur within a few ticks
			c.checkNoOverlap()
		})
	}
}

// Guards against a control loop that read-locks the state of a stream twice: if a
// writer waits between the two locks, both wait forever. In one of three acceptance
// runs an entry process stopped answering for this reason.
func TestControlLoopUnderManyRecords(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2, "")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var group errgroup.Group
	for i := range 16 {
		group.Go(func() error {
			for n := range 40 {
				_, err := c.backend().Submit(ctx, administration.Submission{
					Key: fmt.Sprintf("%d-%d", i, n), Team: "team", Name: "plan", Kind: "plan", Priority: units.PriorityNormal, Tasks: 1,
					Size: units.Resources{Processors: 100, Memory: units.MiB}, RunTime: time.Millisecond,
				})
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	submitted := make(chan error, 1)
	go func() { submitted <- group.Wait() }()
	for ticks := 0; ; ticks++ {
		select {
		case err := <-submitted:
			if err != nil {
				t.Fatalf("submit: %v", err)
			}
			return
		default:
		}
		if err := c.entries[0].part.runOnLoop(ctx, func(c *control) { c.placeTasks(time.Now()) }); err != nil {
			t.Fatalf("the control loop does not answer after %d ticks: %v", ticks, err)
		}
	}
}

// Guards against the loss of one worker during a log outage that stops all workers
// one after another, because each lessor that loses its own lease stops granting
// its lessee's.
func TestLeasesOutliveAWorkerLossInAnOutage(t *testing.T) {
	t.Parallel()
	const workers = 6
	c := newCluster(t, 2, workers, "")
	id := c.submit("job-1", 4*workers, time.Hour)
	c.eventually("all tasks run", func() bool {
		job, _ := c.backend().Job(t.Context(), id)
		return job.Tasks.Running == 4*workers
	})
	list, err := c.backend().Workers(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var before, lessees int
	for i, w := range c.workers {
		if runningOn(w) > 0 && i > 0 {
			before++
		}
	}
	for _, w := range list {
		if w.Lessor == c.workers[0].Name {
			lessees++
		}
	}
	c.log.SetFaults(logservice.Faults{Outage: true})
	c.workers[0].SetFaults(worker.Faults{Unreachable: true})
	c.agents[0].stop()
	time.Sleep(45 * time.Second) // five leases: successive lease expiries would have stopped all workers
	after := 0
	for i, w := range c.workers {
		if runningOn(w) > 0 && i > 0 {
			after++
		}
	}
	if want := before - lessees; after < want {
		t.Errorf("workers that still run tasks: got %d, want at least %d (%d before, %d had the lost worker as lessor)", after, want, before, lessees)
	}
	c.log.SetFaults(logservice.Faults{})
	c.eventually("every task runs again", func() bool {
		job, err := c.backend().Job(t.Context(), id)
		if err != nil || job.Tasks.Running != 4*workers {
			return false
		}
		sum := 0
		for _, w := range c.workers[1:] {
			sum += runningOn(w)
		}
		return sum == 4*workers
	})
	c.checkNoOverlap()
}
