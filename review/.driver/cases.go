package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["drain-restart"] = playDrainRestart
	cases["advice-many"] = playAdviceMany
	cases["advice-restart"] = playAdviceRestart
	cases["foreign-beat"] = playForeignBeat
	cases["silent-connections"] = playSilentConnections
}

// idleFor watches a job for the given time, in which every runner is up and idle. It
// reports whether for 3 s nothing of the job runs.
func (s *site) idleFor(ctx context.Context, j job, watch time.Duration) bool {
	idleSince := time.Now()
	for end := time.Now().Add(watch); time.Now().Before(end); {
		if s.world.running(j.ID) > 0 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > 3*time.Second {
			return true
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return false
		}
	}
	return false
}

// playDrainRestart: one of 16 runners, the only one with a label, ends as planned and begins
// again under its id.
func playDrainRestart(ctx context.Context, s *site) (bool, error) {
	const runners = 16
	s.addEntries(3)
	s.addRunners(runners, func(i int, r *runner) {
		r.phase = true
		if i == 0 {
			r.labels[0] = "b"
		}
	})
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	if s.trouble {
		r := s.runners[0]
		r.drain(ctx)
		sleep(ctx, 1500*time.Millisecond)
		if err := r.begin(); err != nil {
			return false, err
		}
	}
	sleep(ctx, 5*time.Second)
	j := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=400", Steps: []step{{Count: 4, CPU: 500, MemMb: 900, EstimateMs: 400, Requirements: "b"}}}
	s.world.add(j)
	if !s.submit(ctx, j) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, finishTime)
	state, _ := s.state(ctx, j)
	if state == "completed" {
		return false, nil
	}
	return s.idleFor(ctx, j, 4*time.Second), nil
}

// adviceQueue is a route whose policy the advice service knows.
func adviceQueue(valid time.Duration) queue {
	return queue{Name: "r-advised", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500,
		Advice: map[string]int{"decideMs": 20, "eachMs": 1, "validMs": int(valid.Milliseconds())}}
}

// addAdvice adds the advice service, by whose policy only the runners of good run a step.
func (s *site) addAdvice(valid time.Duration, good func(id string) bool) error {
	s.advice = &advisor{address: s.address(s.ip(250), advicePort), decide: 20 * time.Millisecond, each: time.Millisecond, valid: valid, good: good, log: s.log,
		bornOf: s.bornOf}
	for _, r := range s.runners {
		r.tickets = s.advice.isValid
	}
	return s.advice.start()
}

// bornOf returns the start of the present life of the runner with the id, or 0 if there is none.
func (s *site) bornOf(id string) int64 {
	for _, r := range s.runners {
		r.mu.Lock()
		born, same := r.born, r.id == id
		r.mu.Unlock()
		if same {
			return born
		}
	}
	return 0
}

// playAdviceMany: a queue with advice on 36 runners, of which four may run its steps. Two of
// these are lost for good.
func playAdviceMany(ctx context.Context, s *site) (bool, error) {
	const runners = 36
	s.addEntries(3)
	s.addRunners(runners, nil)
	good := map[string]bool{}
	for _, i := range []int{3, 5, 22, 25} {
		good[s.runners[i].id] = true
	}
	if err := s.addAdvice(3*time.Second, func(id string) bool { return good[id] }); err != nil {
		return false, err
	}
	s.configure(true, adviceQueue(3*time.Second))
	if err := s.start(ctx); err != nil {
		return false, err
	}
	submit := func() (job, error) {
		j := job{ID: newID(), Prefix: "/pule252/", Spec: "ms=500 advised", Steps: []step{{Count: 2, CPU: 2000, MemMb: 900, EstimateMs: 500}}}
		s.world.add(j)
		if !s.submit(ctx, j) {
			return j, fmt.Errorf("a job was not accepted")
		}
		return j, nil
	}
	before, err := submit()
	if err != nil {
		return false, err
	}
	sleep(ctx, 4*time.Second)
	if state, _ := s.state(ctx, before); state != "completed" {
		return false, fmt.Errorf("the job before the disruption is %q", state)
	}
	if s.trouble {
		for _, i := range []int{3, 5} {
			s.runners[i].end("lost for good")
		}
	}
	sleep(ctx, 10*time.Second)
	after, err := submit()
	if err != nil {
		return false, err
	}
	sleep(ctx, finishTime)
	if state, _ := s.state(ctx, after); state == "completed" {
		return false, nil
	}
	return s.idleFor(ctx, after, 4*time.Second), nil
}

// playAdviceRestart: a long-running job on a queue with advice. A runner of it crashes and
// starts again under its id.
func playAdviceRestart(ctx context.Context, s *site) (bool, error) {
	const valid = 20 * time.Second
	s.addEntries(3)
	s.addRunners(6, nil)
	if err := s.addAdvice(valid, func(id string) bool { return id <= s.runners[2].id }); err != nil {
		return false, err
	}
	s.configure(true, adviceQueue(valid))
	if err := s.start(ctx); err != nil {
		return false, err
	}
	j := job{ID: newID(), Prefix: "/pule252/", Spec: "advised", Steps: []step{{Count: 3, CPU: 6000, MemMb: 13000, EstimateMs: 500, LongRunning: true, AntiAffinity: 2}}}
	s.world.add(j)
	if !s.submit(ctx, j) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, 4*time.Second)
	if n := s.world.running(j.ID); n != 3 {
		return false, fmt.Errorf("%d of 3 tasks run before the disruption", n)
	}
	if s.trouble {
		s.runners[0].end("crashes")
		sleep(ctx, 1500*time.Millisecond)
		if err := s.runners[0].begin(); err != nil {
			return false, err
		}
	}
	// From 6 s after its last run, and with 7 s of calm behind, no task may stand still for 3 s.
	sleep(ctx, 7*time.Second)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
		if s.longestStill(j) > 3*time.Second {
			return true, nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	return false, nil
}

// longestStill returns how long the task of the job that is longest without a run has none,
// counted from 6 s after its last run.
func (s *site) longestStill(j job) time.Duration {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	longest := time.Duration(0)
	for i := range j.Steps[0].Count {
		task := fmt.Sprintf("%s.0.0.%d", j.ID, i)
		if last, ok := s.world.lastAt[task]; ok && len(s.world.active[task]) == 0 {
			longest = max(longest, time.Since(last)-6*time.Second)
		}
	}
	return longest
}

// playForeignBeat: while tasks run, one heartbeat of another writer arrives at an agent.
func playForeignBeat(ctx context.Context, s *site) (bool, error) {
	s.addEntries(3)
	s.addRunners(6, nil)
	s.configure(true, queue{Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	j := job{ID: newID(), Prefix: "/pufi791/", Spec: "ms=12000", Steps: []step{{Count: 12, CPU: 3500, MemMb: 6400, EstimateMs: 12000}}}
	s.world.add(j)
	if !s.submit(ctx, j) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, 3*time.Second)
	if n := s.world.running(j.ID); n != 12 {
		return false, fmt.Errorf("%d of 12 tasks run before the disruption", n)
	}
	if s.trouble {
		r := s.runners[1]
		body := map[string]any{"service": r.service, "address": "127.0.0.9:8080", "zone": r.zone, "state": "ready",
			"capacity": map[string]any{"cpu": r.cpu, "memMb": r.memMb, "gpu": 0}, "born": time.Now().UnixMilli()}
		status := r.post("/api/instances/i-41c20b77/heartbeat", body)
		s.log.printf("other", "heartbeat of i-41c20b77 without version, slots, coldMs, seq, labels and clockMs to the agent of %s: %d", r.id, status)
	}
	for range 40 {
		if state, _ := s.state(ctx, j); state == "completed" {
			break
		}
		sleep(ctx, time.Second)
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, text := range s.world.twice {
		s.log.printf("check", "two runs at the same time: %s", text)
	}
	return len(s.world.twice) > 0, nil
}

// The extent of the disruption in playSilentConnections. The share of machines is inside that of
// the resets of connections in the site's troubles (0.35).
const (
	silentRunners = 2 // of 6
	silentShare   = 1.0
)

// quickJobs is the number of jobs of small tasks that are submitted at once. Each leaves idle
// connections between the agents and their runners.
const quickJobs = 8

// playSilentConnections: the open connections from two agents to their runners go silent for good,
// some seconds after a burst of jobs of small tasks. Only these two runners may run the long-running job.
func playSilentConnections(ctx context.Context, s *site) (bool, error) {
	s.addEntries(3)
	s.addRunners(6, func(i int, r *runner) {
		if i < silentRunners {
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
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	watch := job{ID: newID(), Prefix: "/pule252/", Spec: "watch", Steps: []step{{Count: 2, CPU: 6400, MemMb: 13000, EstimateMs: 500, LongRunning: true, Requirements: "b"}}}
	s.world.add(watch)
	if !s.submit(ctx, watch) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, 3*time.Second)
	var clients sync.WaitGroup
	for range quickJobs {
		quick := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=640", Steps: []step{{Count: 36, CPU: 480, MemMb: 960, EstimateMs: 640}}}
		s.world.add(quick)
		clients.Go(func() { s.submit(ctx, quick) })
	}
	clients.Wait()
	sleep(ctx, 2500*time.Millisecond)
	if n := s.world.running(watch.ID); n != 2 {
		return false, fmt.Errorf("%d of 2 tasks run before the disruption", n)
	}
	if s.trouble {
		for i, p := range s.proxies[:silentRunners] {
			silent, open := p.silence(silentShare)
			s.log.printf("network", "%d of %d open connections to %s go silent", silent, open, s.runners[i].id)
		}
	}
	broken := false
	for end := time.Now().Add(35 * time.Second); time.Now().Before(end); {
		if s.longestStill(watch) > 3*time.Second {
			broken = true
		}
		if !sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	return broken, nil
}
