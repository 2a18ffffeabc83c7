package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore-config"] = playExploreConfig }

// configEvent plays one planned operation: a change of the routes, a restart, a runner that leaves and
// is replaced, or an evacuation.
func (o *overlap) configEvent(ctx context.Context, rnd *rand.Rand, queues []queue) {
	s := o.s
	p, a, r := s.entries[rnd.IntN(len(s.entries))], s.agents[rnd.IntN(len(s.agents))], s.runners[rnd.IntN(len(s.runners))]
	length := time.Duration(300+rnd.IntN(3000)) * time.Millisecond
	say := func(format string, args ...any) { s.log.printf("event", format, args...) }
	restart := func(p *process, stop time.Duration) {
		say("SIGTERM of %s", p.name)
		p.Signal(syscall.SIGTERM)
		sleep(ctx, stop)
		p.Kill()
		_ = s.startProcess(p, false)
		sleep(ctx, time.Second)
	}
	switch rnd.IntN(8) {
	case 0, 1: // routes go and come back
		o.with("config", false, func() {
			var left []queue
			for _, q := range queues {
				if rnd.IntN(2) == 0 {
					left = append(left, q)
				}
			}
			s.configure(r.guards, left...)
			sleep(ctx, length)
			s.configure(r.guards, queues...)
		})
	case 2:
		o.with(r, false, func() {
			r.drain(ctx)
			sleep(ctx, length/3)
			r.mu.Lock()
			r.id = "i-" + newID()[:8]
			r.mu.Unlock()
			_ = r.begin()
		})
	case 3, 4:
		o.with(p, true, func() { restart(p, 6500*time.Millisecond) })
	case 5, 6:
		o.with(a, false, func() { restart(a, 1300*time.Millisecond) })
	case 7:
		zone := zoneNames[rnd.IntN(3)]
		o.with(zone, false, func() {
			say("zone %s is evacuated for %v", zone, length)
			s.log0.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
			sleep(ctx, length)
			s.log0.Put("keyed.op", "evacuate/"+zone, nil)
		})
	}
}

// playExploreConfig plays planned operations with the seed $SEED on jobs of queues whose routes go and
// come back, some with advice, of which a fifth is cancelled. With GUARDS=0 the runners don't guard their
// capacity, and a start that brings one over it is a fault. CORES is their size. It is no case: it was used to
// look for faults.
func playExploreConfig(ctx context.Context, s *site) (bool, error) {
	const valid = 3 * time.Second
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	guards := os.Getenv("GUARDS") != "0"
	cores, err := strconv.Atoi(cmp.Or(os.Getenv("CORES"), "12"))
	if err != nil {
		return false, err
	}
	s.addEntries(3)
	s.addRunners(8, func(i int, r *runner) {
		if i%3 == 1 {
			r.labels[0] = "b"
		}
		r.guards, r.cpu = guards, cores*1000
	})
	if err := s.addAdvice(valid, func(id string) bool { return true }); err != nil {
		return false, err
	}
	q := []queue{{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, {Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 3, Target: 1000}, adviceQueue(valid)}
	s.configure(guards, q...)
	if err := s.start(ctx); err != nil {
		return false, err
	}
	o := &overlap{s: s, busy: make(map[any]bool)}
	end := time.Now().Add(50 * time.Second)
	var streams, cancels sync.WaitGroup
	for stream := range 3 {
		streams.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(40+stream)))
			for time.Now().Before(end.Add(-6 * time.Second)) {
				sleep(ctx, time.Duration(200+rnd.IntN(2000))*time.Millisecond)
				o.configEvent(ctx, rnd, q)
			}
		})
	}
	var jobs []job
	var mu sync.Mutex
	cancelled := make(map[string]bool)
	for time.Now().Before(end) {
		queue := q[rand.IntN(3)]
		j := job{ID: newID(), Prefix: queue.Prefix}
		ms := 100 + rand.IntN(2500)
		j.Spec = fmt.Sprintf("ms=%d", ms)
		if queue.Advice != nil {
			j.Spec += " advised"
		}
		for i := range 1 + rand.IntN(3) {
			st := step{Count: 1 + rand.IntN(6), CPU: 500 + rand.IntN(3000), MemMb: 900, EstimateMs: ms, Checkpointing: rand.IntN(2) == 0}
			if i > 0 {
				st.After = []int{i - 1}
			}
			switch rand.IntN(4) {
			case 0:
				st.Gang = true
			case 1:
				st.AntiAffinity = 1
			case 2:
				st.Requirements = []string{"a", "b"}[rand.IntN(2)]
			}
			j.Steps = append(j.Steps, st)
		}
		if rand.IntN(5) == 0 {
			j.Steps[0].LongRunning, j.Steps[0].Gang = true, false
			j.Steps = j.Steps[:1]
			cancelled[j.ID] = true
		} else if rand.IntN(5) == 0 {
			cancelled[j.ID] = true
		}
		s.world.add(j)
		leaves := cancelled[j.ID]
		wait := time.Duration(rand.IntN(6000)) * time.Millisecond
		cancels.Go(func() {
			if !s.submit(ctx, j) {
				return
			}
			if leaves {
				sleep(ctx, wait)
				for ctx.Err() == nil && !s.cancel(ctx, j) {
				}
				acked := time.Now()
				sleep(ctx, time.Until(acked.Add(8*time.Second)))
				if n := s.world.running(j.ID); n > 0 {
					mu.Lock()
					s.log.printf("check", "%d tasks of %s run 8 s after its cancel was acknowledged", n, j.ID)
					mu.Unlock()
				}
			}
		})
		jobs = append(jobs, j)
		sleep(ctx, time.Duration(150+rand.IntN(300))*time.Millisecond)
	}
	streams.Wait()
	cancels.Wait()
	sleep(ctx, finishTime+4*time.Second)
	bad := false
	for _, j := range jobs {
		s.world.mu.Lock()
		taken := s.world.taken[j.ID]
		s.world.mu.Unlock()
		state, status := s.state(ctx, j)
		if taken && state != "completed" && !(cancelled[j.ID] && state == "cancelled") || s.world.running(j.ID) > 0 {
			s.log.printf("check", "job %s: %s %d, %d runs, %v", j.ID, state, status, s.world.running(j.ID), j)
			bad = true
		}
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, text := range append(s.world.twice, s.world.faults...) {
		if strings.Contains(text, "over its capacity") || !strings.Contains(text, "without the label") {
			s.log.printf("check", "%s", text)
			bad = true
		}
	}
	for _, text := range s.world.alone {
		s.log.printf("check", "alone: %s", text)
	}
	return bad, nil
}
