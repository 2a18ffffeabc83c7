package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wasabihill.example/wasabihill/internal/standin/metastore"
)

func init() { cases["two-leaders"] = playTwoLeaders }

// playTwoLeaders: the store turns the three entry machines away for 9 s and serves the others, and forgets its
// history meanwhile. An entry machine is added at once, which the store serves. A job that the new one has
// accepted is asked for at the others. It is no case: no machine is in touch while the store turns some away, and
// a store may be held to keep its newest records.
func playTwoLeaders(ctx context.Context, s *site) (bool, error) {
	const entries, outage, visible = 3, 9 * time.Second, 3 * time.Second
	s.addEntries(entries + 1)
	added := s.entries[entries]
	s.entries = s.entries[:entries]
	s.addRunners(8, nil)
	turned := s.log0.NewServer()
	defer turned.Close()
	path, err := newProxy(s.address(s.ip(240), proxyPort), turned.Address)
	if err != nil {
		return false, err
	}
	defer path.close()
	for _, p := range s.entries {
		p.store = path.listener.Addr().String()
	}
	s.configure(true, queue{Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	s.entries = append(s.entries, added)
	begin := time.Now()
	if s.trouble {
		turned.Set(metastore.Fault{Status: http.StatusServiceUnavailable})
		path.silence(1) // the calls that wait get no answer either
		s.log0.DeleteHistory()
		s.log.printf("store", "turns the entry machines away and has forgotten its history")
	}
	if err := s.startProcess(added, false); err != nil {
		return false, err
	}
	j := job{ID: newID(), Prefix: "/pufi791/", Spec: "ms=3000", Steps: []step{{Count: 4, CPU: 3500, MemMb: 6400, EstimateMs: 3000}}}
	s.world.add(j)
	var accepted time.Time
	broken := false
	for time.Since(begin) < outage {
		if accepted.IsZero() {
			if status, _ := s.call(ctx, http.MethodPost, entries, j.Prefix+j.ID, []byte(fmt.Sprintf(`{"spec":%q,"steps":[{"count":4,"cpu":3500,"memMb":6400,"estimateMs":3000}]}`, j.Spec))); status == http.StatusOK {
				accepted = time.Now()
				s.world.accepted(j)
			}
		} else {
			for i := range entries {
				if status, _ := s.call(ctx, http.MethodGet, i, j.Prefix+j.ID, nil); status == http.StatusGone && time.Since(accepted) > visible {
					broken = true
				}
			}
		}
		if !sleep(ctx, 200*time.Millisecond) {
			break
		}
	}
	turned.Set(metastore.Fault{})
	s.log.printf("store", "serves all again")
	sleep(ctx, 6*time.Second)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, text := range append(s.world.twice, s.world.faults...) {
		s.log.printf("check", "%s", text)
	}
	return broken || len(s.world.twice) > 0, nil
}
