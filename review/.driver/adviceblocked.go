package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["advice-blocked"] = playAdviceBlocked }

// blockedInterval separates two jobs that need the lost runner; about seven come in a second.
const blockedInterval = 143 * time.Millisecond

// playAdviceBlocked: two queues with advice. The only one of eight runners with a label is lost for
// good. $JOBS jobs (default 120) of the more urgent queue that need it come, and then one of the other
// queue, which any runner may run.
func playAdviceBlocked(ctx context.Context, s *site) (bool, error) {
	const valid = 3 * time.Second
	count, err := strconv.Atoi(cmp.Or(os.Getenv("JOBS"), "120"))
	if err != nil {
		return false, err
	}
	s.addEntries(3)
	s.addRunners(8, func(i int, r *runner) {
		if i == 0 {
			r.labels[0] = "b"
		}
	})
	if err := s.addAdvice(valid, func(string) bool { return true }); err != nil {
		return false, err
	}
	urgent, other := adviceQueue(valid), adviceQueue(valid)
	urgent.Name, urgent.Prefix, urgent.Target = "r-quick", "/lohu930/", 300
	other.Name, other.Prefix, other.Priority, other.Target = "r-runs", "/pufi791/", 2, 1000
	s.configure(true, urgent, other)
	if err := s.start(ctx); err != nil {
		return false, err
	}
	submit := func(j job) (job, error) {
		s.world.add(j)
		if !s.submit(ctx, j) {
			return j, fmt.Errorf("a job was not accepted")
		}
		return j, nil
	}
	before, err := submit(job{ID: newID(), Prefix: other.Prefix, Spec: "ms=500 advised", Steps: []step{{Count: 4, CPU: 2000, MemMb: 900, EstimateMs: 500}}})
	if err != nil {
		return false, err
	}
	sleep(ctx, 3*time.Second)
	if state, _ := s.state(ctx, before); state != "completed" {
		return false, fmt.Errorf("the job before the disruption is %q", state)
	}
	if s.trouble {
		s.runners[0].end("lost for good")
	}
	for range count {
		if _, err := submit(job{ID: newID(), Prefix: urgent.Prefix, Spec: "ms=640 advised", Steps: []step{{Count: 6, CPU: 480, MemMb: 960, EstimateMs: 640, Requirements: "b"}}}); err != nil {
			return false, err
		}
		sleep(ctx, blockedInterval)
	}
	after, err := submit(job{ID: newID(), Prefix: other.Prefix, Spec: "ms=500 advised", Steps: []step{{Count: 4, CPU: 2000, MemMb: 900, EstimateMs: 500}}})
	if err != nil {
		return false, err
	}
	sleep(ctx, finishTime)
	state, _ := s.state(ctx, after)
	s.log.printf("check", "the job that any runner may run is %s", state)
	if state == "completed" {
		return false, nil
	}
	return s.idleFor(ctx, after, 4*time.Second), nil
}
