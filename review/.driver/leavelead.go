package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["leave-and-lead"] = playLeaveAndLead }

// The planned work in playLeaveAndLead.
const (
	leaveCycles = 4
	// leaveInterval separates the notices of two runners that leave.
	leaveInterval = 4800 * time.Millisecond
	// stopAfterNotice is when the leader is stopped, after the notice of a runner. Its process ends
	// some 3 s later, shortly after the agent of that runner.
	stopAfterNotice = 300 * time.Millisecond
	restartTime     = 500 * time.Millisecond
)

// playLeaveAndLead: one runner at a time leaves as planned and its machine is taken away, and the
// leader is stopped and started again as planned. Nothing else is disturbed.
func playLeaveAndLead(ctx context.Context, s *site) (bool, error) {
	const runners, tasks = 16, 16
	s.addEntries(3)
	s.addRunners(runners, nil)
	s.configure(true, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: tasks, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true, AntiAffinity: 2}}}
	s.world.add(watch)
	if !s.submit(ctx, watch) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, 4*time.Second)
	if n := s.world.running(watch.ID); n != tasks {
		return false, fmt.Errorf("%d of %d tasks run before the planned work", n, tasks)
	}
	var work sync.WaitGroup
	if s.trouble {
		work.Go(func() {
			for i := range leaveCycles {
				work.Go(func() { s.takeAway(ctx, i) })
				sleep(ctx, stopAfterNotice)
				work.Go(func() { s.restartLeader(ctx) })
				sleep(ctx, leaveInterval-stopAfterNotice)
			}
		})
	}
	longest := time.Duration(0)
	for end := time.Now().Add(leaveCycles*leaveInterval + finishTime); time.Now().Before(end); {
		longest = max(longest, s.longestStill(watch))
		if !sleep(ctx, 20*time.Millisecond) {
			break
		}
	}
	work.Wait()
	s.log.printf("check", "a task that lasts has had no run for up to %v; 9s are allowed", longest+6*time.Second)
	return longest > 3*time.Second, nil
}

// takeAway makes a runner leave as planned, and then stops its agent, as its machine is taken away.
func (s *site) takeAway(ctx context.Context, i int) {
	s.runners[i].drain(ctx)
	s.log.printf("platform", "%s is stopped (SIGTERM) and taken away", s.agents[i].name)
	if !s.agents[i].Terminate(graceTime) {
		s.log.printf("platform", "%s did not end within graceS", s.agents[i].name)
	}
	s.log.printf("platform", "%s has ended", s.agents[i].name)
}

// restartLeader stops the leader as planned and starts its process again.
func (s *site) restartLeader(ctx context.Context) {
	lead := s.leader()
	if lead < 0 {
		s.log.printf("platform", "no process has won the leadership")
		return
	}
	p := s.entries[lead]
	s.log.printf("platform", "%s, which leads, gets SIGTERM", p.name)
	if !p.Terminate(graceTime) {
		s.log.printf("platform", "%s did not end within graceS", p.name)
	}
	s.log.printf("platform", "%s has ended", p.name)
	sleep(ctx, restartTime)
	if err := s.startProcess(p, false); err != nil {
		s.log.printf("platform", "%s does not start: %v", p.name, err)
	}
}
