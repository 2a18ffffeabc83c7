package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"time"
)

func init() { cases["agent-returns"] = playAgentReturns }

// playAgentReturns: the agent of a runner with tasks that last is killed and started again 3.5 s
// later (DOWN). 0.4 s after that (AFTER; before it, if negative) the runner crashes for good.
func playAgentReturns(ctx context.Context, s *site) (bool, error) {
	const runners, tasks = 8, 6
	down, err := time.ParseDuration(cmp.Or(os.Getenv("DOWN"), "3.5s"))
	if err != nil {
		return false, err
	}
	after, err := time.ParseDuration(cmp.Or(os.Getenv("AFTER"), "400ms"))
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
	sleep(ctx, 3*time.Second)
	if n := s.world.running(watch.ID); n != tasks {
		return false, fmt.Errorf("%d of %d tasks run before the disruption", n, tasks)
	}
	if !s.trouble {
		sleep(ctx, 15*time.Second)
		return s.longestStill(watch) > 3*time.Second, nil
	}
	victim := 0
	for victim < runners-1 && !s.runners[victim].busy() {
		victim++
	}
	r, a := s.runners[victim], s.agents[victim]
	killed := time.Now()
	if os.Getenv("HOW") == "term" {
		s.log.printf("platform", "%s is stopped (SIGTERM)", a.name)
		if !a.Terminate(graceTime) {
			return false, fmt.Errorf("%s did not end within graceS", a.name)
		}
	} else {
		s.log.printf("platform", "%s is killed (SIGKILL)", a.name)
		a.Kill()
	}
	crash := func() { r.end("crashes for good") }
	if after < 0 {
		sleep(ctx, down+after)
		crash()
	}
	sleep(ctx, time.Until(killed.Add(down)))
	s.log.printf("platform", "%s is started again", a.name)
	if err := s.startProcess(a, false); err != nil {
		return false, err
	}
	if after >= 0 {
		sleep(ctx, after)
		crash()
	}
	return s.watchStill(ctx, watch, tasks, time.Now()), nil
}
