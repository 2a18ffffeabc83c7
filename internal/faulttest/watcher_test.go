package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestWatcherInLogOutage guards against a watcher that stops watching, or that
// runs twice, when its holder dies while the log cannot record it: the lessor
// activates the standby by itself.
func TestWatcherInLogOutage(t *testing.T) {
	s := start(t)
	w := s.Watch(traffic)
	s.Until(30*time.Second, "the watcher runs", s.watcherRuns)
	s.Victim = s.nodeOf(watcherJob)
	s.Until(30*time.Second, "a standby is admitted", s.standbyHeld)
	s.Fault(s.LogAt, `{"outage":true}`)
	time.Sleep(time.Second)
	s.Victim.Agent.Kill()
	s.Until(25*time.Second, "the standby runs", func(context.Context) error {
		for _, r := range s.runsOf(watcherJob) {
			if r.open && r.worker != s.Victim.ID {
				return nil
			}
		}
		return fmt.Errorf("runs %v", s.runsOf(watcherJob))
	})
	s.Fault(s.LogAt, `{}`)
	s.Victim.Agent.Start(t)
	s.Until(settleWithin, "every worker and endpoint is ready again", s.ready)
	time.Sleep(5 * time.Second) // a second run would show by now
	s.Until(settleWithin, "the watcher runs", s.watcherRuns)
	w.Check()
}

// standbyHeld checks that a worker other than the holder holds a standby.
func (s *System) standbyHeld(ctx context.Context) error {
	for _, n := range s.Nodes {
		table, err := s.tableOf(ctx, n)
		if err != nil {
			return err
		}
		for _, t := range table.Tasks {
			if t.Task.Job == watcherJob && t.State == "standby" && n != s.Victim {
				return nil
			}
		}
	}
	return fmt.Errorf("no worker holds a standby")
}
