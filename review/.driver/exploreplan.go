package main

import (
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

func init() { cases["explore-plan"] = playExplorePlan }

// event plays one planned operation, or one fault.
func (o *overlap) event(ctx context.Context, rnd *rand.Rand, queues []queue) {
	s := o.s
	p, a, r := s.entries[rnd.IntN(len(s.entries))], s.agents[rnd.IntN(len(s.agents))], s.runners[rnd.IntN(len(s.runners))]
	length := time.Duration(300+rnd.IntN(3000)) * time.Millisecond
	say := func(format string, args ...any) { s.log.printf("event", format, args...) }
	switch kind := rnd.IntN(16); kind {
	case 0, 1, 2: // the runner is emptied; it or another one begins at its address
		o.with(r, false, func() {
			r.drain(ctx)
			sleep(ctx, length/3)
			if kind > 0 {
				r.mu.Lock()
				r.id = "i-" + newID()[:8]
				r.mu.Unlock()
			}
			_ = r.begin()
		})
	case 3, 4: // crash loop
		o.with(r, false, func() {
			for range 1 + rnd.IntN(3) {
				r.end("crash")
				sleep(ctx, time.Duration(200+rnd.IntN(1500))*time.Millisecond)
				if kind == 4 {
					r.mu.Lock()
					r.id = "i-" + newID()[:8]
					r.mu.Unlock()
				}
				_ = r.begin()
				sleep(ctx, time.Duration(200+rnd.IntN(2500))*time.Millisecond)
			}
		})
	case 5, 6: // a zone is evacuated
		zone := zoneNames[rnd.IntN(3)]
		o.with(zone, false, func() {
			say("zone %s is evacuated for %v", zone, length)
			s.log0.Put("keyed.op", "evacuate/"+zone, []byte("{}"))
			sleep(ctx, length)
			s.log0.Put("keyed.op", "evacuate/"+zone, nil)
		})
	case 7, 8: // planned restart
		o.with(p, true, func() {
			say("SIGTERM of %s", p.name)
			p.Signal(syscall.SIGTERM)
			sleep(ctx, 6500*time.Millisecond)
			p.Kill()
			_ = s.startProcess(p, false)
			sleep(ctx, time.Second)
		})
	case 9, 10:
		o.with(a, false, func() {
			say("SIGTERM of %s", a.name)
			a.Signal(syscall.SIGTERM)
			sleep(ctx, time.Second)
			a.Kill()
			sleep(ctx, length/4)
			_ = s.startProcess(a, false)
			sleep(ctx, time.Second)
		})
	case 11:
		say("SIGHUP of %s and %s", p.name, a.name)
		p.Signal(syscall.SIGHUP)
		a.Signal(syscall.SIGHUP)
	case 12:
		o.with("config", false, func() { s.configure(true, queues...) })
	case 13:
		o.with(p, true, func() {
			say("kill %s for %v", p.name, length)
			p.Kill()
			sleep(ctx, length)
			_ = s.startProcess(p, false)
			sleep(ctx, time.Second)
		})
	case 14:
		o.with(a, false, func() {
			say("kill %s for %v", a.name, length/3)
			a.Kill()
			sleep(ctx, length/3)
			_ = s.startProcess(a, false)
			sleep(ctx, time.Second)
		})
	case 15:
		o.with(r, false, func() {
			percent := int32(10 + rnd.IntN(50))
			say("%s leaves %d percent of the calls unanswered for %v", r.id, percent, length)
			r.latePercent.Store(percent)
			sleep(ctx, length)
			r.latePercent.Store(0)
		})
	}
}

// playExplorePlan plays planned operations beside faults with the seed $SEED, on jobs with
// checkpoints, gangs, labels, failing tasks and tasks that last. It is no case: it was used to
// look for faults.
func playExplorePlan(ctx context.Context, s *site) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	s.addEntries(3)
	s.addRunners(8, func(i int, r *runner) {
		if i%3 == 1 {
			r.labels[0] = "b"
		}
	})
	q := []queue{{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, {Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 3, Target: 1000}}
	s.configure(true, q...)
	if err := s.start(ctx); err != nil {
		return false, err
	}
	o := &overlap{s: s, busy: make(map[any]bool)}
	end := time.Now().Add(50 * time.Second)
	var streams sync.WaitGroup
	for stream := range 3 {
		streams.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(20+stream)))
			for time.Now().Before(end.Add(-6 * time.Second)) {
				sleep(ctx, time.Duration(200+rnd.IntN(2000))*time.Millisecond)
				o.event(ctx, rnd, q)
			}
		})
	}
	var jobs []job
	for n := 0; time.Now().Before(end); n++ {
		j := job{ID: newID(), Prefix: q[rand.IntN(2)].Prefix}
		ms := 100 + rand.IntN(2500)
		j.Spec = fmt.Sprintf("ms=%d", ms)
		if rand.IntN(20) == 0 {
			j.Spec += " fails"
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
		if n%25 == 3 {
			j.Spec = "watch"
			j.Steps = []step{{Count: 3, CPU: 3000, MemMb: 5000, EstimateMs: 500, LongRunning: true, AntiAffinity: 2}}
		}
		s.world.add(j)
		go func() {
			if !s.submit(ctx, j) {
				s.log.printf("client", "%s was not accepted", j.ID)
			}
		}()
		jobs = append(jobs, j)
		sleep(ctx, time.Duration(150+rand.IntN(300))*time.Millisecond)
	}
	streams.Wait()
	sleep(ctx, finishTime+6*time.Second)
	bad := false
	for _, j := range jobs {
		s.world.mu.Lock()
		taken := s.world.taken[j.ID]
		s.world.mu.Unlock()
		state, status := s.state(ctx, j)
		lasts := j.Steps[0].LongRunning
		ok := state == "completed" || strings.Contains(j.Spec, "fails") && state == "failed" || lasts && s.world.running(j.ID) == 3
		if taken && !ok {
			s.log.printf("check", "job %s: %s %d, %d runs, %v", j.ID, state, status, s.world.running(j.ID), j)
			bad = true
		}
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, text := range append(s.world.twice, s.world.faults...) {
		s.log.printf("check", "%s", text)
		bad = true
	}
	return bad, nil
}
