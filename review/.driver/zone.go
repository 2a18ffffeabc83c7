package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

func init() {
	cases["zone-loss"] = playZoneLoss
	cases["zone-loss-jobs"] = playZoneLossJobs
}

// playZoneLossJobs: the zone of the leader is lost for good, under jobs of two steps. It reports
// whether a job has nothing running for 3 s, from 4 s after the loss.
func playZoneLossJobs(ctx context.Context, s *site) (bool, error) {
	s.addEntries(3)
	s.addRunners(11, nil)
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	var jobs []job
	for range 14 {
		j := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=640", Steps: []step{{Count: 6, CPU: 480, MemMb: 960, EstimateMs: 640}, {Count: 6, CPU: 480, MemMb: 960, EstimateMs: 640, After: []int{0}}}}
		s.world.add(j)
		if !s.submit(ctx, j) {
			return false, fmt.Errorf("a job was not accepted")
		}
		jobs = append(jobs, j)
		sleep(ctx, 140*time.Millisecond)
	}
	if s.trouble {
		zone := s.entries[s.leader()].zone
		s.log.printf("power", "zone %s is lost for good", zone)
		var wait sync.WaitGroup
		for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
			if p.zone == zone {
				wait.Go(func() { p.Kill() })
			}
		}
		for i, r := range s.runners {
			if s.agents[i].zone == zone {
				wait.Go(func() { r.end("power lost") })
			}
		}
		wait.Wait()
	}
	at := time.Now()
	idleSince := make(map[string]time.Time)
	longest := time.Duration(0)
	for time.Since(at) < 14*time.Second {
		for _, j := range jobs {
			if s.world.running(j.ID) > 0 || s.world.allDone(j) {
				delete(idleSince, j.ID)
			} else if _, ok := idleSince[j.ID]; !ok {
				idleSince[j.ID] = time.Now()
			} else if since := idleSince[j.ID]; since.Before(at.Add(4 * time.Second)) {
				longest = max(longest, time.Since(at.Add(4*time.Second)))
			} else {
				longest = max(longest, time.Since(since))
			}
		}
		sleep(ctx, 20*time.Millisecond)
	}
	s.log.printf("check", "longest idle of a job, from 4 s after the loss: %v", longest)
	return longest > 3*time.Second, nil
}

// playZoneLoss: the zone of the leader is lost for good, under tasks that last. Its entry machine is
// lost $STAGGER after its other machines, or with them.
func playZoneLoss(ctx context.Context, s *site) (bool, error) {
	stagger, _ := time.ParseDuration(os.Getenv("STAGGER"))
	s.addEntries(3)
	s.addRunners(11, nil)
	s.configure(true, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: 11, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true, AntiAffinity: 2}}}
	s.world.add(watch)
	if !s.submit(ctx, watch) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, 4*time.Second)
	lead := s.leader()
	zone := s.entries[lead].zone
	s.log.printf("power", "zone %s is lost", zone)
	var wait sync.WaitGroup
	for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		if p.zone == zone {
			wait.Go(func() {
				if p.role == "entry" {
					sleep(ctx, stagger)
				}
				p.Kill()
			})
		}
	}
	for i, r := range s.runners {
		if s.agents[i].zone == zone {
			wait.Go(func() { r.end("power lost") })
		}
	}
	wait.Wait()
	at := time.Now()
	longest := time.Duration(0)
	for time.Since(at) < 14*time.Second {
		longest = max(longest, s.longestStill(watch))
		sleep(ctx, 20*time.Millisecond)
	}
	s.log.printf("check", "longest without a run: %v", longest+6*time.Second)
	return longest > 3*time.Second, nil
}
