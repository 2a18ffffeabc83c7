package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

func init() { cases["address-reuse"] = playAddressReuse }

// playAddressReuse: a machine is lost for good with its runner. $WAIT later (10 s) another machine,
// with another name and another runner, is added at its address. With LEADER=1 the leader is then
// stopped and started as planned. It is no case: the pages say that
// a machine is added at a new address.
func playAddressReuse(ctx context.Context, s *site) (bool, error) {
	wait := 10 * time.Second
	if d, err := time.ParseDuration(os.Getenv("WAIT")); err == nil {
		wait = d
	}
	s.addEntries(3)
	s.addRunners(8, nil)
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: 16, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true, AntiAffinity: 3}}}
	s.world.add(watch)
	if !s.submit(ctx, watch) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, 3*time.Second)
	old, p := s.runners[2], s.agents[2]
	if s.trouble {
		s.log.printf("platform", "%s is lost for good with %s", p.name, old.id)
		p.Kill()
		old.end("lost for good")
		sleep(ctx, wait)
		fresh := s.newProcess("agent", "side", 11, p.ip)
		r := &runner{id: "i-5c0e0001", service: serviceName, zone: fresh.zone, address: old.address, control: old.control, labels: []string{"a", "r1-9"},
			cpu: 32000, memMb: 128000, guards: true, world: s.world, log: s.log}
		s.agents, s.runners = append(s.agents, fresh), append(s.runners, r)
		if err := r.begin(); err != nil {
			return false, err
		}
		if err := s.startProcess(fresh, false); err != nil {
			return false, err
		}
		s.log.printf("platform", "%s is added with %s at the address of %s", fresh.name, r.id, p.name)
		sleep(ctx, 8*time.Second)
		if os.Getenv("LEADER") == "1" {
			s.restartLeader(ctx)
		}
	}
	longest := time.Duration(0)
	var jobs []job
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		j := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=640", Steps: []step{{Count: 12, CPU: 1500, MemMb: 960, EstimateMs: 640}, {Count: 12, CPU: 1500, MemMb: 960, EstimateMs: 640, After: []int{0}}}}
		s.world.add(j)
		if s.submit(ctx, j) {
			jobs = append(jobs, j)
		}
		longest = max(longest, s.longestStill(watch))
		sleep(ctx, 250*time.Millisecond)
	}
	for end := time.Now().Add(finishTime); time.Now().Before(end); {
		longest = max(longest, s.longestStill(watch))
		sleep(ctx, 50*time.Millisecond)
	}
	unfinished := 0
	for _, j := range jobs {
		if !s.world.allDone(j) {
			unfinished++
		}
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.log.printf("check", "%d of %d jobs are not done; a task that lasts was down for up to %v; at the same time: %d; others: %v", unfinished, len(jobs), longest+6*time.Second, len(s.world.twice), s.world.faults)
	return unfinished > 0 || longest > 3*time.Second || len(s.world.twice) > 0 || len(s.world.faults) > 0, nil
}
