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

func init() { cases["large-spec"] = playLargeSpec }

// playLargeSpec: one large job of small tasks comes, with a spec of the largest size. It may run on one
// of the runners only. With TROUBLE=0 its spec is short.
func playLargeSpec(ctx context.Context, s *site) (bool, error) {
	count, err := strconv.Atoi(cmp.Or(os.Getenv("COUNT"), "1200"))
	if err != nil {
		return false, err
	}
	s.addEntries(3)
	s.addRunners(8, func(i int, r *runner) {
		if i == 0 {
			r.labels[0] = "b"
		}
	})
	s.configure(true, queue{Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	large := job{ID: newID(), Prefix: "/pufi791/", Spec: "ms=2000 ", Steps: []step{{Count: count, CPU: 10, MemMb: 10, EstimateMs: 2000, Requirements: "b"}}}
	if s.trouble {
		large.Spec += strings.Repeat("x", 4000-len(large.Spec))
	}
	s.world.add(large)
	if !s.submit(ctx, large) {
		return false, fmt.Errorf("the large job was not accepted")
	}
	wait, err := time.ParseDuration(cmp.Or(os.Getenv("WAIT"), finishTime.String()))
	if err != nil {
		return false, err
	}
	sleep(ctx, wait)
	state, _ := s.state(ctx, large)
	if state == "completed" {
		return false, nil
	}
	return s.idleFor(ctx, large, 6*time.Second), nil
}
