package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["spec-restart"] = playSpecRestart }

const (
	// downTime is how long a process is away that is stopped and started in turn.
	downTime = 1300 * time.Millisecond
	// calmTime is the time without any disruption before the cancel.
	calmTime = 7 * time.Second
)

// playSpecRestart: tasks that last, with long specs, run on the only one of eight runners with a label.
// The agent of that runner is stopped as planned and starts again. Later the clients of four of the jobs
// cancel them, one after the other, and another one hands in a small job that needs the label. For looking,
// $JOBS (default 36) is the number of jobs, $WAIT (default 14 s) the time after the last cancel, HOW=kill
// kills the agent, and with $LABEL empty the jobs need none and run on all runners.
func playSpecRestart(ctx context.Context, s *site) (bool, error) {
	const width, cancels = 36, 4
	jobs, err := strconv.Atoi(cmp.Or(os.Getenv("JOBS"), "36"))
	if err != nil {
		return false, err
	}
	wait, err := time.ParseDuration(cmp.Or(os.Getenv("WAIT"), finishTime.String()))
	if err != nil {
		return false, err
	}
	label, set := os.LookupEnv("LABEL")
	if !set {
		label = "b"
	}
	s.addEntries(3)
	s.addRunners(8, func(i int, r *runner) {
		if i == 0 {
			r.labels[0] = "b"
		}
	})
	s.configure(true, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	r, a := s.runners[0], s.agents[0]
	var watches []job
	for range jobs {
		j := job{ID: newID(), Prefix: "/pule252/", Spec: strings.Repeat("x", specBytes), Steps: []step{{Count: width, CPU: 20, MemMb: 50, EstimateMs: 500, LongRunning: true, Requirements: label}}}
		s.world.add(j)
		if !s.submit(ctx, j) {
			return false, fmt.Errorf("a job was not accepted")
		}
		watches = append(watches, j)
		if label != "" {
			sleep(ctx, backlogInterval)
		}
	}
	count := func() (n int) {
		for _, r := range s.runners {
			n += r.runCount()
		}
		return n
	}
	for end := time.Now().Add(5 * time.Second); count() < jobs*width && time.Now().Before(end); {
		sleep(ctx, 20*time.Millisecond)
	}
	if n := count(); n != jobs*width {
		return false, fmt.Errorf("%d of %d tasks run", n, jobs*width)
	}
	s.log.printf("check", "%d tasks run, %d on %s", count(), r.runCount(), r.id)
	if s.trouble {
		stopped := time.Now()
		if os.Getenv("HOW") == "kill" {
			s.log.printf("platform", "%s is killed (SIGKILL)", a.name)
			a.Kill()
		} else {
			s.log.printf("platform", "%s is stopped (SIGTERM)", a.name)
			if !a.Terminate(graceTime) {
				return false, fmt.Errorf("%s did not end within graceS", a.name)
			}
		}
		s.log.printf("platform", "%s has ended", a.name)
		sleep(ctx, downTime-time.Since(stopped))
		s.log.printf("platform", "%s is started again", a.name)
		if err := s.startProcess(a, false); err != nil {
			return false, err
		}
	}
	sleep(ctx, calmTime)
	s.log.printf("check", "%d tasks run on %s", r.runCount(), r.id)
	var at time.Time
	for _, j := range watches[:cancels] {
		if !s.cancel(ctx, j) {
			return false, fmt.Errorf("the cancel was not acknowledged")
		}
		at = time.Now()
		sleep(ctx, 500*time.Millisecond)
	}
	small := job{ID: newID(), Prefix: "/pule252/", Spec: "ms=500", Steps: []step{{Count: 2, CPU: 100, MemMb: 50, EstimateMs: 500, Requirements: "b"}}}
	s.world.add(small)
	accepted := s.submit(ctx, small)
	sleep(ctx, wait-time.Since(at))
	broken := false
	for _, j := range watches[:cancels] {
		n := s.world.running(j.ID)
		broken = broken || n > 0 && time.Since(at) > cancelTime+stopTime
		s.log.printf("check", "%d tasks of job %s run, at least %.1f s after its DELETE was acknowledged", n, j.ID, time.Since(at).Seconds())
	}
	state, status := s.state(ctx, small)
	s.log.printf("check", "the small job, accepted=%t, is %d %q", accepted, status, state)
	r.mu.Lock()
	lapsed := r.lapsed
	r.mu.Unlock()
	s.log.printf("check", "%d tasks run on %s; a lease of it lapsed: %t", r.runCount(), r.id, lapsed)
	return broken, nil
}
