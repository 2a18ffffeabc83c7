package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["same-id"] = playSameID }

// playSameID: clients of two queues choose the same id for their jobs. With TROUBLE=0 they choose
// different ones.
func playSameID(ctx context.Context, s *site) (bool, error) {
	s.addEntries(3)
	s.addRunners(6, nil)
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, queue{Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	first := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=9000", Steps: []step{{Count: 2, CPU: 500, MemMb: 900, EstimateMs: 9000}}}
	second := job{ID: first.ID, Prefix: "/pufi791/", Spec: "ms=9000", Steps: []step{{Count: 5, CPU: 500, MemMb: 900, EstimateMs: 9000}}}
	if !s.trouble {
		second.ID = newID()
	}
	s.world.add(first)
	if !s.submit(ctx, first) {
		return false, fmt.Errorf("the first job was not accepted")
	}
	sleep(ctx, time.Second)
	if s.trouble {
		s.state(ctx, second) // before anybody has submitted it
	} else {
		s.world.add(second)
	}
	body, err := json.Marshal(second)
	if err != nil {
		panic(err)
	}
	status, _ := s.call(ctx, http.MethodPost, 0, second.Prefix+second.ID, body)
	sleep(ctx, 3*time.Second)
	n := s.world.running(first.ID)
	if !s.trouble {
		n += s.world.running(second.ID)
	}
	s.log.printf("check", "POST of the second job: %d; %d tasks of both jobs run", status, n)
	s.cancel(ctx, second)
	sleep(ctx, time.Second)
	state, _ := s.state(ctx, first)
	return status/100 == 2 && n < 7 || state != "running", nil
}
