package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["gang-starved"] = playGangStarved }

// playGangStarved: one of twenty long-running jobs can never be done: its task fails soon after
// each start. A gang needs the runners that this task may use.
func playGangStarved(ctx context.Context, s *site) (bool, error) {
	const runners, labelled, watchJobs = 8, 2, 20
	s.addEntries(3)
	s.addRunners(runners, func(i int, r *runner) {
		if i < labelled {
			r.labels[0] = "b"
		}
	})
	s.configure(true, queue{Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000},
		queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	for i := range watchJobs {
		watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: 6, CPU: 400, MemMb: 800, EstimateMs: 500, LongRunning: true}}}
		if i == 0 {
			watch.Steps[0].Requirements = "b"
			if s.trouble {
				watch.Spec = "ms=600 fails"
			}
		}
		s.world.add(watch)
		if !s.submit(ctx, watch) {
			return false, fmt.Errorf("a long-running job was not accepted")
		}
	}
	sleep(ctx, 15*time.Second)
	gang := job{ID: newID(), Prefix: "/pufi791/", Spec: "ms=2000", Steps: []step{{Count: 4, CPU: 2000, MemMb: 4000, EstimateMs: 2000, Gang: true, Requirements: "b"}}}
	s.world.add(gang)
	if !s.submit(ctx, gang) {
		return false, fmt.Errorf("the gang was not accepted")
	}
	sleep(ctx, finishTime)
	if state, _ := s.state(ctx, gang); state == "completed" {
		return false, nil
	}
	begin := time.Now()
	broken := s.idleFor(ctx, gang, 20*time.Second)
	s.log.printf("check", "the gang has had nothing running for 3 s, %v after its submission: %t", time.Since(begin)+finishTime, broken)
	return broken, nil
}
