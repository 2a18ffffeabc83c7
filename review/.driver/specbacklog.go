package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["spec-backlog"] = playSpecBacklog }

// The load of playSpecBacklog.
const (
	backlogJobs = 31
	// backlogInterval separates two jobs; about seven come in a second.
	backlogInterval = 143 * time.Millisecond
	specBytes       = 4000
)

// playSpecBacklog: the only one of eight runners with a label crashes and is back 4.5 s later. Jobs with
// long specs that need it come meanwhile.
func playSpecBacklog(ctx context.Context, s *site) (bool, error) {
	wait, err := time.ParseDuration(cmp.Or(os.Getenv("WAIT"), finishTime.String()))
	if err != nil {
		return false, err
	}
	s.addEntries(3)
	s.addRunners(8, func(i int, r *runner) {
		if i == 0 {
			r.labels[0] = "b"
		}
	})
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	r := s.runners[0]
	if s.trouble {
		r.end("crashes")
	}
	spec := "ms=640 "
	spec += strings.Repeat("x", specBytes-len(spec))
	var jobs []job
	for range backlogJobs {
		j := job{ID: newID(), Prefix: "/lohu930/", Spec: spec, Steps: []step{{Count: 36, CPU: 10, MemMb: 50, EstimateMs: 640, Requirements: "b"}}}
		s.world.add(j)
		if !s.submit(ctx, j) {
			return false, fmt.Errorf("a job was not accepted")
		}
		jobs = append(jobs, j)
		sleep(ctx, backlogInterval)
	}
	if s.trouble {
		if err := r.begin(); err != nil {
			return false, err
		}
	}
	sleep(ctx, wait)
	var lost []job
	for _, j := range jobs {
		if state, _ := s.state(ctx, j); state != "completed" {
			lost = append(lost, j)
		}
	}
	s.log.printf("check", "%d of %d jobs are not completed", len(lost), len(jobs))
	if len(lost) == 0 {
		return false, nil
	}
	return s.idleFor(ctx, lost[0], 6*time.Second), nil
}
