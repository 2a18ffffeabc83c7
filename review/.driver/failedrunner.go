package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"time"
)

func init() { cases["failed-runner"] = playFailedRunner }

// playFailedRunner: a runner with tasks that last crashes for good. 6 s later (AFTER) its agent is
// stopped as planned and is back after 1.3 s (DOWN), as in an upgrade. With ONLY=crash or
// ONLY=restart only that happens.
func playFailedRunner(ctx context.Context, s *site) (bool, error) {
	const runners, tasks = 8, 6
	down, err := time.ParseDuration(cmp.Or(os.Getenv("DOWN"), "1.3s"))
	if err != nil {
		return false, err
	}
	after, err := time.ParseDuration(cmp.Or(os.Getenv("AFTER"), "6s"))
	if err != nil {
		return false, err
	}
	s.addEntries(3)
	s.addRunners(runners, nil)
	s.configure(true, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: tasks, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true}}}
	s.world.add(watch)
	if !s.submit(ctx, watch) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, 4*time.Second)
	if n := s.world.running(watch.ID); n != tasks {
		return false, fmt.Errorf("%d of %d tasks run before the disruption", n, tasks)
	}
	if !s.trouble {
		sleep(ctx, 20*time.Second)
		return s.longestStill(watch) > 3*time.Second, nil
	}
	victim := 0
	for victim < runners-1 && !s.runners[victim].busy() {
		victim++
	}
	crashed := time.Now()
	if os.Getenv("ONLY") != "restart" {
		s.runners[victim].end("crashes for good")
	}
	restarted := make(chan error, 1)
	if os.Getenv("ONLY") == "crash" {
		restarted <- nil
	} else {
		go func() {
			sleep(ctx, time.Until(crashed.Add(after)))
			restarted <- s.restartAgent(ctx, s.agents[victim], down)
		}()
	}
	broken := s.watchStill(ctx, watch, tasks, crashed)
	return broken, <-restarted
}

// restartAgent stops an agent as planned and starts it again.
func (s *site) restartAgent(ctx context.Context, a *process, down time.Duration) error {
	s.log.printf("platform", "%s is stopped (SIGTERM)", a.name)
	stopped := time.Now()
	if !a.Terminate(graceTime) {
		return fmt.Errorf("%s did not end within graceS", a.name)
	}
	sleep(ctx, time.Until(stopped.Add(down)))
	s.log.printf("platform", "%s is started again", a.name)
	return s.startProcess(a, false)
}
