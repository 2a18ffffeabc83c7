package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() {
	cases["explore"] = playExplore
	cases["explore-silent-store"] = playExploreSilentStore
}

// playExploreSilentStore makes the open connections to the store silent, several times. It is
// no case: it was used to look for faults.
func playExploreSilentStore(ctx context.Context, s *site) (bool, error) {
	p, err := newProxy("127.0.0.1:0", s.store.Address)
	if err != nil {
		return false, err
	}
	s.toStore = p
	s.addEntries(3)
	s.addRunners(6, nil)
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: 6, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true}}}
	s.world.add(watch)
	s.submit(ctx, watch)
	begin := time.Now()
	silenced := 0
	for time.Since(begin) < 60*time.Second {
		j := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=300", Steps: []step{{Count: 6, CPU: 480, MemMb: 960, EstimateMs: 300}}}
		s.world.add(j)
		go s.submit(ctx, j)
		sleep(ctx, 200*time.Millisecond)
		if time.Since(begin) > time.Duration(15+silenced*20)*time.Second {
			silenced++
			silent, _ := p.silence(1)
			s.log.printf("network", "%d open connections to the store go silent", silent)
		}
	}
	p.close()
	return s.longestStill(watch) > 3*time.Second, nil
}

// playExplore plays a random mix of faults on jobs with gangs, labels, antiAffinity, dependencies
// and occurrences, with the seed $SEED. It is no case: it was used to look for faults.
func playExplore(ctx context.Context, s *site) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 1))
	s.addEntries(3)
	s.addRunners(6, func(i int, r *runner) {
		if i%2 == 1 {
			r.labels[0] = "b"
		}
	})
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
	q := []queue{{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, {Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000}}
	s.configure(true, q...)
	if err := s.start(ctx); err != nil {
		return false, err
	}
	var jobs []job
	end := time.Now().Add(45 * time.Second)
	go func() {
		for time.Now().Before(end.Add(-4*time.Second)) && os.Getenv("CALM") == "" {
			sleep(ctx, time.Duration(1500+rnd.IntN(3000))*time.Millisecond)
			p := s.entries[rnd.IntN(3)]
			a := s.agents[rnd.IntN(6)]
			r := s.runners[rnd.IntN(6)]
			switch n := rnd.IntN(10); n {
			case 0, 1:
				s.log.printf("fault", "kill %s", p.name)
				p.Kill()
				sleep(ctx, 500*time.Millisecond)
				_ = s.startProcess(p, false)
			case 2:
				s.log.printf("fault", "kill %s", a.name)
				a.Kill()
				sleep(ctx, 500*time.Millisecond)
				_ = s.startProcess(a, false)
			case 3, 4:
				r.end("crash")
				sleep(ctx, 800*time.Millisecond)
				if n == 4 {
					r.id = newID()
				}
				_ = r.begin()
			case 5:
				s.log.printf("fault", "stop %s", p.name)
				p.Signal(syscall.SIGSTOP)
				sleep(ctx, 4*time.Second)
				p.Signal(syscall.SIGCONT)
			case 6:
				s.log.printf("fault", "stop %s", a.name)
				a.Signal(syscall.SIGSTOP)
				sleep(ctx, time.Duration(2+rnd.IntN(7))*time.Second)
				a.Signal(syscall.SIGCONT)
			case 8:
				for _, p := range s.proxies {
					p.silence(1)
				}
				s.log.printf("fault", "connections to runners go silent")
			case 9:
				store.silence(1)
				s.log.printf("fault", "connections to the store go silent")
			case 7:
				s.log.printf("fault", "term %s", p.name)
				p.Terminate(6 * time.Second)
				_ = s.startProcess(p, false)
			}
			s.log.printf("fault", "over")
		}
	}()
	for time.Now().Before(end) {
		j := job{ID: newID(), Prefix: q[rand.IntN(2)].Prefix}
		ms := 100 + rand.IntN(1500)
		j.Spec = fmt.Sprintf("ms=%d", ms)
		for i := range 1 + rand.IntN(3) {
			st := step{Count: 1 + rand.IntN(6), CPU: 500 + rand.IntN(3000), MemMb: 900, EstimateMs: ms}
			if i > 0 {
				st.After = []int{i - 1}
			}
			switch rand.IntN(5) {
			case 0:
				st.Gang = true
			case 1:
				st.AntiAffinity = 1
			case 2:
				st.Requirements = []string{"a", "b"}[rand.IntN(2)]
			}
			j.Steps = append(j.Steps, st)
		}
		if rand.IntN(4) == 0 {
			j.Repetitions, j.FirstMs, j.IntervalMs = 2+rand.IntN(5), time.Now().UnixMilli()+1000, int64(300+rand.IntN(2000))
		}
		s.world.add(j)
		go func() {
			if s.submit(ctx, j) {
				return
			}
			s.log.printf("client", "%s was not accepted", j.ID)
		}()
		jobs = append(jobs, j)
		sleep(ctx, time.Duration(200+rand.IntN(400))*time.Millisecond)
	}
	sleep(ctx, finishTime+10*time.Second)
	bad := false
	for _, j := range jobs {
		s.world.mu.Lock()
		taken := s.world.taken[j.ID]
		s.world.mu.Unlock()
		if state, status := s.state(ctx, j); taken && state != "completed" {
			s.log.printf("check", "job %s: %s %d %v", j.ID, state, status, j)
			bad = true
		}
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, text := range append(s.world.twice, s.world.faults...) {
		s.log.printf("check", "%s", text)
		bad = true
	}
	for _, text := range s.world.alone {
		s.log.printf("check", "alone: %s", text)
	}
	return bad, nil
}
