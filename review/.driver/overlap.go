package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore-overlap"] = playOverlap }

// overlap plays faults that overlap. Each machine has at most one at a time.
type overlap struct {
	s    *site
	mu   sync.Mutex
	busy map[any]bool
	core int // entry processes with a fault
}

// with calls fn for the target unless that has a fault already.
func (o *overlap) with(target any, isCore bool, fn func()) {
	o.mu.Lock()
	if o.busy[target] || isCore && o.core >= 2 {
		o.mu.Unlock()
		return
	}
	o.busy[target] = true
	if isCore {
		o.core++
	}
	o.mu.Unlock()
	fn()
	o.mu.Lock()
	delete(o.busy, target)
	if isCore {
		o.core--
	}
	o.mu.Unlock()
}

func (o *overlap) fault(ctx context.Context, rnd *rand.Rand, store *proxy) {
	s := o.s
	p, a, r := s.entries[rnd.IntN(3)], s.agents[rnd.IntN(6)], s.runners[rnd.IntN(6)]
	kind, length := rnd.IntN(15), time.Duration(500+rnd.IntN(5000))*time.Millisecond
	say := func(format string, args ...any) { s.log.printf("fault", format, args...) }
	switch kind {
	case 0, 1, 2:
		o.with(p, true, func() {
			say("kill %s for %v", p.name, length)
			p.Kill()
			sleep(ctx, length)
			_ = s.startProcess(p, false)
		})
	case 3, 4:
		o.with(a, false, func() {
			say("kill %s for %v", a.name, length/3)
			a.Kill()
			sleep(ctx, length/3)
			_ = s.startProcess(a, false)
		})
	case 5, 6, 7:
		o.with(r, false, func() {
			r.end("crash")
			if os.Getenv("FAST") == "" {
				sleep(ctx, length/3)
			} else {
				sleep(ctx, time.Duration(rnd.IntN(80))*time.Millisecond)
			}
			if kind == 7 {
				r.mu.Lock()
				r.id = "i-" + newID()[:8]
				r.mu.Unlock()
			}
			_ = r.begin()
		})
	case 8:
		o.with(p, true, func() {
			say("stop %s for %v", p.name, length)
			p.Signal(syscall.SIGSTOP)
			sleep(ctx, length)
			p.Signal(syscall.SIGCONT)
		})
	case 9:
		o.with(a, false, func() {
			say("stop %s for %v", a.name, length)
			a.Signal(syscall.SIGSTOP)
			sleep(ctx, length)
			a.Signal(syscall.SIGCONT)
		})
	case 10, 11, 12:
		o.with(r, false, func() {
			percent := int32(10 + rnd.IntN(60))
			lost := kind == 12
			say("%s leaves %d percent of the calls unanswered for %v, lost %t", r.id, percent, length, lost)
			r.lost.Store(lost)
			r.latePercent.Store(percent)
			sleep(ctx, length)
			r.latePercent.Store(0)
		})
	case 13:
		i := rnd.IntN(6)
		silent, open := s.proxies[i].silence(1)
		say("%d of %d connections to %s go silent", silent, open, s.runners[i].id)
	case 14:
		silent, open := store.silence(0.5)
		say("%d of %d connections to the store go silent", silent, open)
	}
}

// playOverlap plays overlapping faults with the seed $SEED on jobs with gangs, labels,
// antiAffinity, dependencies, occurrences, cancels and tasks that last. It is no case: it was
// used to look for faults. With $FAST, runners that crash begin again within 80 ms.
func playOverlap(ctx context.Context, s *site) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
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
	cancelled := make(map[string]time.Time)
	var cancelMu sync.Mutex
	end := time.Now().Add(45 * time.Second)
	o := &overlap{s: s, busy: make(map[any]bool)}
	var streams sync.WaitGroup
	for stream := range 3 {
		streams.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(10+stream)))
			for time.Now().Before(end.Add(-8 * time.Second)) {
				sleep(ctx, time.Duration(300+rnd.IntN(2500))*time.Millisecond)
				o.fault(ctx, rnd, store)
			}
		})
	}
	var watches []job
	for range 2 {
		j := job{ID: newID(), Prefix: q[0].Prefix, Spec: "watch", Steps: []step{{Count: 3, CPU: 3000, MemMb: 5000, EstimateMs: 500, LongRunning: true, AntiAffinity: 2}}}
		s.world.add(j)
		if s.submit(ctx, j) {
			watches = append(watches, j)
		}
	}
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
		mayCancel := rand.IntN(8) == 0
		go func() {
			if !s.submit(ctx, j) {
				s.log.printf("client", "%s was not accepted", j.ID)
				return
			}
			if mayCancel {
				sleep(ctx, time.Duration(rand.IntN(2500))*time.Millisecond)
				if s.cancel(ctx, j) {
					cancelMu.Lock()
					cancelled[j.ID] = time.Now()
					cancelMu.Unlock()
				}
			}
		}()
		jobs = append(jobs, j)
		sleep(ctx, time.Duration(150+rand.IntN(300))*time.Millisecond)
	}
	streams.Wait()
	sleep(ctx, finishTime+8*time.Second)
	bad := false
	cancelMu.Lock()
	defer cancelMu.Unlock()
	for _, j := range jobs {
		s.world.mu.Lock()
		taken := s.world.taken[j.ID]
		s.world.mu.Unlock()
		want := "completed"
		if _, ok := cancelled[j.ID]; ok {
			want = "cancelled"
			if s.world.running(j.ID) > 0 {
				s.log.printf("check", "job %s was cancelled and runs", j.ID)
				bad = true
			}
		}
		if state, status := s.state(ctx, j); taken && state != want && !(want == "cancelled" && (state == "completed")) {
			s.log.printf("check", "job %s: %s %d, want %s %v", j.ID, state, status, want, j)
			bad = true
		}
	}
	for _, j := range watches {
		if n := s.world.running(j.ID); n != 3 {
			s.log.printf("check", "watch %s has %d runs", j.ID, n)
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
