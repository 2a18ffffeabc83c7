package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"
)

func init() {
	cases["power-loss"] = func(ctx context.Context, s *site) (bool, error) { return playPowerLoss(ctx, s, false) }
	cases["power-loss-zone"] = func(ctx context.Context, s *site) (bool, error) { return playPowerLoss(ctx, s, true) }
}

var wonLine = regexp.MustCompile(`"leadership won" term=(\d+)`)

// leader returns the index of the entry process that has won the leadership last, by the logs.
func (s *site) leader() int {
	best, bestTerm := -1, 0
	for i, p := range s.entries {
		data, err := os.ReadFile(p.LogPath)
		if err != nil {
			continue
		}
		for _, m := range wonLine.FindAllSubmatch(data, -1) {
			if term, err := strconv.Atoi(string(m[1])); err == nil && term > bestTerm {
				best, bestTerm = i, term
			}
		}
	}
	return best
}

// darkTime is how long the machines that come back are without power.
const darkTime = 3 * time.Second

// playPowerLoss: all machines lose power at once. All come back but two, which are lost for
// good: the entry machine that led, and one of eleven with its runner. With wholeZone, those of
// the zone of the entry machine that led don't come back.
func playPowerLoss(ctx context.Context, s *site, wholeZone bool) (bool, error) {
	const runners, tasks = 11, 6
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
	calm := time.Now()
	if s.trouble {
		lead := s.leader()
		if lead < 0 {
			return false, fmt.Errorf("no process has won the leadership")
		}
		lost := map[*process]bool{s.entries[lead]: true, s.agents[0]: true}
		if wholeZone {
			delete(lost, s.agents[0])
			for _, p := range s.agents {
				if p.zone == s.entries[lead].zone {
					lost[p] = true
				}
			}
		}
		for p := range lost {
			s.log.printf("power", "%s is lost for good", p.name)
		}
		s.log.printf("power", "all machines lose power; %s led", s.entries[lead].name)
		var wait sync.WaitGroup
		for _, p := range append(append([]*process(nil), s.entries...), s.agents...) {
			wait.Go(func() { p.Kill() })
		}
		for _, r := range s.runners {
			wait.Go(func() { r.end("power lost") })
		}
		wait.Wait()
		sleep(ctx, darkTime)
		for i, r := range s.runners {
			if lost[s.agents[i]] {
				continue
			}
			r.id = fmt.Sprintf("i-%08x", 0x5c0e0000+i)
			if err := r.begin(); err != nil {
				return false, err
			}
			if err := s.startProcess(s.agents[i], false); err != nil {
				return false, err
			}
		}
		for _, p := range s.entries {
			if lost[p] {
				continue
			}
			if err := s.startProcess(p, false); err != nil {
				return false, err
			}
		}
		calm = time.Now()
		s.log.printf("power", "all other machines have power again")
	}
	// A task may not stand still for 3 s from 6 s after its last run, if these 3 s and the 4 s
	// before them are calm.
	broken := false
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); {
		still := s.longestStill(watch)
		if !broken && time.Since(calm) > 7*time.Second && still > 3*time.Second {
			broken = true
			s.log.printf("check", "a task that lasts has had no run for %v, %v after the machines came back", still+6*time.Second, time.Since(calm))
		}
		if broken && s.world.running(watch.ID) == tasks {
			s.log.printf("check", "all tasks run again, %v after the machines came back", time.Since(calm))
			return true, nil
		}
		if !sleep(ctx, 20*time.Millisecond) {
			break
		}
	}
	return broken, nil
}
