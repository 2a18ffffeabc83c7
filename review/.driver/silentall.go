package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"
)

func init() { cases["silent-all"] = playSilentAll }

// playSilentAll: under ordinary traffic the open connections to the runners and to the store go
// silent in one moment, while new ones work. $SILENT limits them to "runners" or "store".
func playSilentAll(ctx context.Context, s *site) (bool, error) {
	const runners = 11
	what := os.Getenv("SILENT")
	s.addEntries(3)
	s.addRunners(runners, nil)
	for i, r := range s.runners {
		p, err := newProxy(s.address(s.agents[i].ip, proxyPort), r.address)
		if err != nil {
			return false, err
		}
		s.proxies = append(s.proxies, p)
	}
	store, err := newProxy("127.0.0.1:0", s.store.Address)
	if err != nil {
		return false, err
	}
	s.toStore = store
	defer store.close()
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, queue{Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000}, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: 6, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true}}}
	s.world.add(watch)
	if !s.submit(ctx, watch) {
		return false, fmt.Errorf("the job was not accepted")
	}
	begin := time.Now()
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for sleep(traffic, time.Duration(rand.ExpFloat64()*float64(time.Second)/8)) {
			j := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=640", Steps: []step{{Count: 6, CPU: 480, MemMb: 960, EstimateMs: 640}}}
			if rand.IntN(2) == 0 {
				j.Steps = append(j.Steps, step{Count: 6, CPU: 480, MemMb: 960, EstimateMs: 640, After: []int{0}})
			}
			if rand.IntN(7) == 0 {
				j = job{ID: newID(), Prefix: "/pufi791/", Spec: "ms=2200", Steps: []step{{Count: 8, CPU: 3500, MemMb: 6400, EstimateMs: 2200}}}
			}
			s.world.add(j)
			go s.submit(traffic, j)
		}
	}()
	sleep(ctx, 20*time.Second)
	if n := s.world.running(watch.ID); n != 6 {
		return false, fmt.Errorf("%d of 6 tasks run before the disruption", n)
	}
	calm := time.Now()
	if s.trouble {
		if !strings.Contains(what, "runners") {
			silent, open := store.silence(1)
			s.log.printf("network", "%d of %d open connections to the store go silent", silent, open)
		}
		if !strings.Contains(what, "store") {
			for i, p := range s.proxies {
				silent, open := p.silence(1)
				s.log.printf("network", "%d of %d open connections to %s go silent", silent, open, s.runners[i].id)
			}
		}
	}
	_ = begin
	broken := false
	longest := time.Duration(0)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		still := s.longestStill(watch)
		longest = max(longest, still)
		if !broken && time.Since(calm) > 7*time.Second && still > 3*time.Second {
			broken = true
		}
		if !sleep(ctx, 20*time.Millisecond) {
			break
		}
	}
	s.log.printf("check", "longest without a run: %v", longest+6*time.Second)
	return broken, nil
}
