package main

import (
	"context"
	"fmt"
	"net"
	"time"
)

func init() { cases["late-beat"] = playLateBeat }

// graceTime is how long a process may take to end after SIGTERM.
const graceTime = 6 * time.Second

// playLateBeat: a heartbeat of a runner that has crashed arrives late, at an agent that has just
// been stopped and started again as planned. Another runner has registered at the address before.
func playLateBeat(ctx context.Context, s *site) (bool, error) {
	const runners, tasks = 8, 16
	s.addEntries(3)
	s.addRunners(runners, nil)
	s.configure(true, queue{Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	r, a := s.runners[1], s.agents[1]
	oldID, oldBorn, sent := r.id, r.born, time.Now()
	r.mu.Lock()
	r.seq++
	body := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldMs": 0,
		"capacity": map[string]any{"cpu": r.cpu, "memMb": r.memMb, "gpu": 0}, "labels": r.labels, "clockMs": r.clockMs(), "seq": r.seq, "born": oldBorn}
	r.mu.Unlock()
	s.log.printf("network", "heartbeat seq %v of %s is held up", body["seq"], oldID)
	r.end("crashes")
	sleep(ctx, time.Second)
	r.id = "i-5c0e7a21"
	if err := r.begin(); err != nil {
		return false, err
	}
	sleep(ctx, 1300*time.Millisecond)
	j := job{ID: newID(), Prefix: "/pufi791/", Spec: "ms=12000", Steps: []step{{Count: tasks, CPU: 3500, MemMb: 6400, EstimateMs: 12000}}}
	s.world.add(j)
	if !s.submit(ctx, j) {
		return false, fmt.Errorf("the job was not accepted")
	}
	sleep(ctx, time.Second)
	if n := s.world.running(j.ID); n != tasks {
		return false, fmt.Errorf("%d of %d tasks run before the disruption", n, tasks)
	}
	s.log.printf("platform", "%s is stopped (SIGTERM) and started again", a.name)
	if !a.Terminate(graceTime) {
		return false, fmt.Errorf("%s did not end within graceS", a.name)
	}
	sleep(ctx, 500*time.Millisecond)
	if err := s.startProcess(a, false); err != nil {
		return false, err
	}
	for {
		conn, err := net.Dial("tcp", r.control)
		if err == nil {
			conn.Close()
			break
		}
		if !sleep(ctx, 2*time.Millisecond) {
			return false, ctx.Err()
		}
	}
	if s.trouble {
		sleep(ctx, 100*time.Millisecond)
		status := r.post("/api/instances/"+oldID+"/heartbeat", body)
		s.log.printf("network", "heartbeat seq %v of %s arrives %v after it was sent: %d", body["seq"], oldID, time.Since(sent), status)
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
