package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["crash-loop"] = playCrashLoop }

// playCrashLoop: a runner crashes, starts again under its id, receives tasks that last, crashes
// again and does not come back.
func playCrashLoop(ctx context.Context, s *site) (bool, error) {
	const runners, tasks = 8, 6
	s.addEntries(3)
	s.addRunners(runners, nil)
	s.configure(true, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	r := s.runners[0]
	if s.trouble {
		r.end("crashes")
		sleep(ctx, time.Second)
		if err := r.begin(); err != nil {
			return false, err
		}
		sleep(ctx, 400*time.Millisecond)
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: tasks, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true}}}
	s.world.add(watch)
	if !s.submit(ctx, watch) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, 500*time.Millisecond)
	if n := s.world.running(watch.ID); n != tasks {
		return false, fmt.Errorf("%d of %d tasks run before the second crash", n, tasks)
	}
	if !s.trouble {
		sleep(ctx, 15*time.Second)
		return s.longestStill(watch) > 3*time.Second, nil
	}
	r.end("crashes for good")
	return s.watchStill(ctx, watch, tasks, time.Now()), nil
}

// watchStill reports whether a task of the job has had no run for 9 s, and has none although
// nothing has been disturbed since calm, 7 s ago or more. It returns once all tasks run again.
func (s *site) watchStill(ctx context.Context, watch job, tasks int, calm time.Time) bool {
	broken := false
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		still := s.longestStill(watch)
		if !broken && time.Since(calm) > 7*time.Second && still > 3*time.Second {
			broken = true
			s.log.printf("check", "a task that lasts has had no run for %v, %v after the last disruption", still+6*time.Second, time.Since(calm))
		}
		if time.Since(calm) > time.Second && s.world.running(watch.ID) == tasks {
			s.log.printf("check", "all tasks run again, %v after the last disruption", time.Since(calm))
			return broken
		}
		if !sleep(ctx, 20*time.Millisecond) {
			break
		}
	}
	return broken
}
