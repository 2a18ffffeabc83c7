package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

func init() { cases["advice-removed"] = playAdviceRemoved }

// playAdviceRemoved: a queue with advice and a plain one have each accepted a job of two steps. While
// the first steps run, a version of the configuration removes both routes; a third route stays. With
// TROUBLE=0 the version leaves all three routes as they are. With OTHER=1 the third queue has advice too.
func playAdviceRemoved(ctx context.Context, s *site) (bool, error) {
	const valid = 3 * time.Second
	s.addEntries(3)
	s.addRunners(8, nil)
	if err := s.addAdvice(valid, func(string) bool { return true }); err != nil {
		return false, err
	}
	advised := adviceQueue(valid)
	plain := queue{Name: "r-runs", Prefix: "/pufi791/", MaxAttempts: 2, Target: 2500}
	stays := queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}
	if os.Getenv("OTHER") == "1" {
		stays.Advice = advised.Advice
	}
	s.configure(true, advised, plain, stays)
	if err := s.start(ctx); err != nil {
		return false, err
	}
	submit := func(q queue, spec string) (job, error) {
		j := job{ID: newID(), Prefix: q.Prefix, Spec: spec, Steps: []step{
			{Count: 4, CPU: 2000, MemMb: 900, EstimateMs: 4000},
			{Count: 4, CPU: 2000, MemMb: 900, EstimateMs: 4000, After: []int{0}}}}
		s.world.add(j)
		if !s.submit(ctx, j) {
			return j, fmt.Errorf("a job was not accepted")
		}
		return j, nil
	}
	ofAdvised, err := submit(advised, "ms=4000 advised")
	if err != nil {
		return false, err
	}
	ofPlain, err := submit(plain, "ms=4000")
	if err != nil {
		return false, err
	}
	sleep(ctx, 1500*time.Millisecond)
	for _, j := range []job{ofAdvised, ofPlain} {
		if n := s.world.running(j.ID); n != 4 {
			return false, fmt.Errorf("%d of 4 tasks of the first step run before the change", n)
		}
	}
	if s.trouble {
		s.log.printf("operator", "removes the routes %s and %s", advised.Name, plain.Name)
		s.configure(true, stays)
	} else {
		s.configure(true, advised, plain, stays)
	}
	sleep(ctx, 8*time.Second) // the first steps end 2.5 s from here, and the second ones could 4 s later
	s.log.printf("check", "of the plain queue's job %d of 8 tasks are done, of the other one %d", s.doneTasks(ofPlain), s.doneTasks(ofAdvised))
	broken := false
	if s.doneTasks(ofAdvised) < 8 {
		sleep(ctx, finishTime)
		broken = s.idleFor(ctx, ofAdvised, 4*time.Second)
		s.log.printf("check", "finish_s later %d of 8 tasks of the job with advice are done", s.doneTasks(ofAdvised))
	}
	if s.trouble { // for the record: the job was kept all the while
		s.state(ctx, ofAdvised)
		s.configure(true, advised, plain, stays)
		sleep(ctx, 6*time.Second)
		s.log.printf("check", "6 s after the routes are back %d of 8 tasks of the job with advice are done", s.doneTasks(ofAdvised))
	}
	for _, j := range []job{ofAdvised, ofPlain} {
		if _, status := s.state(ctx, j); status == 0 {
			return false, fmt.Errorf("no answer about job %s", j.ID)
		}
	}
	return broken, nil
}

// doneTasks returns the number of tasks of a job that have ended done.
func (s *site) doneTasks(j job) int {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	n := 0
	for number := range j.Steps {
		for i := range j.Steps[number].Count {
			if s.world.done[fmt.Sprintf("%s.0.%d.%d", j.ID, number, i)] {
				n++
			}
		}
	}
	return n
}
