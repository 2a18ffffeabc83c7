package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestWatcherInLogOutage guards against a watcher that stays down, or that runs
// twice, when its agent is killed during a log outage. The lessor must activate the
// standby without the log.
func TestWatcherInLogOutage(t *testing.T) {
	s := startSystem(t)
	recorder := s.StartRecording(trafficDuration)
	s.WaitUntil(30*time.Second, "the watcher runs", s.checkWatcherRuns)
	s.Victim = s.nodeOf(watcherJob)
	s.WaitUntil(30*time.Second, "a standby is admitted", s.checkStandbyAdmitted)
	s.SetFault(s.LogAddress, `{"outage":true}`)
	time.Sleep(time.Second)
	s.Victim.Agent.Kill()
	s.WaitUntil(25*time.Second, "the standby runs", func(context.Context) error {
		for _, r := range s.runsOf(watcherJob) {
			if r.running && r.worker != s.Victim.ID {
				return nil
			}
		}
		return fmt.Errorf("runs %v", s.runsOf(watcherJob))
	})
	s.SetFault(s.LogAddress, `{}`)
	s.Victim.Agent.Start(t)
	s.WaitUntil(jobsTimeout, "every worker and endpoint is ready again", s.checkReady)
	time.Sleep(5 * time.Second) // a second run would have started by now
	s.WaitUntil(jobsTimeout, "the watcher runs", s.checkWatcherRuns)
	recorder.Check()
}

// checkStandbyAdmitted checks that a worker other than the victim holds a standby.
func (s *System) checkStandbyAdmitted(ctx context.Context) error {
	for _, n := range s.Nodes {
		table, err := s.workerTasks(ctx, n)
		if err != nil {
			return err
		}
		for _, t := range table.Tasks {
			if t.Task.Job == watcherJob && t.State == "standby" && n != s.Victim {
				return nil
			}
		}
	}
	return fmt.Errorf("no worker has a standby of the watcher")
}
