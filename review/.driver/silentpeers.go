package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func init() { cases["silent-peers"] = playSilentPeers }

// addPeerProxies puts a proxy before the session address of each process. Call it before start.
func (s *site) addPeerProxies() error {
	for i, p := range append(append([]*process(nil), s.entries...), s.agents...) {
		ip := s.ip(101 + i)
		proxy, err := newProxy(s.address(ip, sessionPort), s.address(p.ip, sessionPort))
		if err != nil {
			return err
		}
		p.Args = append(p.Args, "--advertise", ip)
		s.peers = append(s.peers, proxy)
	}
	return nil
}

// playSilentPeers: under ordinary traffic open connections between the project's processes go
// silent, every 12 s, while new ones work. $SEED draws whose, $SHARE is the share of the processes
// whose incoming connections go silent (default 1). It is no case: it was used to look for faults.
func playSilentPeers(ctx context.Context, s *site) (bool, error) {
	const runners = 8
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 7))
	share := 1.0
	if v, err := strconv.ParseFloat(os.Getenv("SHARE"), 64); err == nil {
		share = v
	}
	s.addEntries(3)
	s.addRunners(runners, nil)
	if err := s.addPeerProxies(); err != nil {
		return false, err
	}
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: 16, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true}}}
	s.world.add(watch)
	if !s.submit(ctx, watch) {
		return false, fmt.Errorf("the job was not accepted")
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var jobs []job
	handed := make(chan struct{})
	accepted := make(chan job, 2000)
	go func() {
		defer close(handed)
		for sleep(traffic, time.Duration(rand.ExpFloat64()*float64(time.Second)/8)) {
			j := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=640", Steps: []step{{Count: 6, CPU: 480, MemMb: 960, EstimateMs: 640}, {Count: 6, CPU: 480, MemMb: 960, EstimateMs: 640, After: []int{0}}}}
			s.world.add(j)
			go func() {
				if s.submit(ctx, j) {
					accepted <- j
				}
			}()
		}
	}()
	sleep(ctx, 5*time.Second)
	if n := s.world.running(watch.ID); n != watch.Steps[0].Count {
		return false, fmt.Errorf("%d of %d tasks run before the disruption", n, watch.Steps[0].Count)
	}
	broken := false
	longest := time.Duration(0)
	for range 5 {
		calm := time.Now()
		if s.trouble {
			for i, p := range s.peers {
				if rnd.Float64() < share {
					silent, open := p.silence(1)
					s.log.printf("network", "%d of %d open connections to process %d go silent", silent, open, i)
				}
			}
		}
		for time.Since(calm) < 12*time.Second {
			still := s.longestStill(watch)
			longest = max(longest, still)
			if time.Since(calm) > 7*time.Second && still > 3*time.Second {
				broken = true
			}
			if !sleep(ctx, 20*time.Millisecond) {
				break
			}
		}
	}
	stop()
	<-handed
	sleep(ctx, finishTime)
	close(accepted)
	for j := range accepted {
		jobs = append(jobs, j)
		if state, status := s.state(ctx, j); state != "completed" {
			broken = true
			s.log.printf("check", "job %s is %d %q", j.ID, status, state)
		}
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.log.printf("check", "%d jobs; longest without a run: %v; %d at the same time, %d others: %v %v", len(jobs), longest+6*time.Second, len(s.world.twice), len(s.world.faults), s.world.twice, s.world.faults)
	return broken || len(s.world.twice) > 0 || len(s.world.faults) > 0, nil
}
