package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore-clients"] = playExploreClients }

// clientView is what one client has seen of its job.
type clientView struct {
	job
	accepted  time.Time // 2xx to a POST; zero without one
	rejected  bool      // every POST was answered with 429 or 503
	unknown   bool      // a POST got no answer, 502 or 504
	cancelled time.Time // 2xx or 410 to a DELETE; zero without one
	gone      bool      // that answer was 410
	finished  string    // final state that a GET has shown
	faults    []string
}

// playExploreClients plays random stops, kills and planned restarts of entry machines and silent
// connections to the store, with the seed $SEED, under clients that leave early, repeat, cancel and
// ask. With PEERS=1 connections between the processes go silent too, with LASTS=1 the tasks of
// all jobs last, and with ADVICE=1 the queue has advice. It is no case: it was used to look for faults.
func playExploreClients(ctx context.Context, s *site) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 3))
	final := "completed"
	if os.Getenv("LASTS") == "1" {
		final = "running"
	}
	store, err := newProxy("127.0.0.1:0", s.store.Address)
	if err != nil {
		return false, err
	}
	s.toStore = store
	defer store.close()
	s.addEntries(3)
	s.addRunners(6, nil)
	if os.Getenv("PEERS") == "1" {
		if err := s.addPeerProxies(); err != nil {
			return false, err
		}
	}
	q := queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}
	if os.Getenv("ADVICE") == "1" {
		good := map[string]bool{s.runners[0].id: true, s.runners[2].id: true, s.runners[3].id: true}
		if err := s.addAdvice(3*time.Second, func(id string) bool { return good[id] }); err != nil {
			return false, err
		}
		q.Advice = adviceQueue(3 * time.Second).Advice
	}
	s.configure(true, q)
	if err := s.start(ctx); err != nil {
		return false, err
	}
	end := time.Now().Add(45 * time.Second)
	var faults sync.WaitGroup
	faults.Go(func() {
		for time.Now().Before(end.Add(-4 * time.Second)) {
			sleep(ctx, time.Duration(300+rnd.IntN(2200))*time.Millisecond)
			i := rnd.IntN(3)
			if lead := s.leader(); lead >= 0 && rnd.IntN(2) == 0 {
				i = lead
			}
			p := s.entries[i]
			what := rnd.IntN(8)
			if (what == 3 || what == 4) && len(s.peers) == 0 {
				what = 7
			}
			switch what {
			case 0:
				s.log.printf("fault", "kill %s", p.name)
				p.Kill()
				sleep(ctx, 500*time.Millisecond)
				_ = s.startProcess(p, false)
			case 1:
				s.log.printf("fault", "term %s", p.name)
				p.Terminate(graceTime)
				_ = s.startProcess(p, false)
			case 2:
				store.silence(1)
				s.log.printf("fault", "connections to the store go silent")
			case 3, 4:
				n := 0
				for _, peer := range s.peers {
					if rnd.IntN(2) == 0 {
						silent, _ := peer.silence(1)
						n += silent
					}
				}
				s.log.printf("fault", "%d connections between processes go silent", n)
			default:
				d := time.Duration(200+rnd.IntN(3800)) * time.Millisecond
				if rnd.IntN(2) == 0 {
					d = time.Duration(200+rnd.IntN(1500)) * time.Millisecond
				}
				s.log.printf("fault", "stop %s for %v", p.name, d)
				p.Signal(syscall.SIGSTOP)
				sleep(ctx, d)
				p.Signal(syscall.SIGCONT)
			}
			s.log.printf("fault", "over")
		}
	})
	var mu sync.Mutex
	var views []*clientView
	var clients sync.WaitGroup
	for time.Now().Before(end) {
		clients.Go(func() {
			v := s.actAsClient(ctx)
			mu.Lock()
			defer mu.Unlock()
			views = append(views, v)
		})
		sleep(ctx, 120*time.Millisecond)
	}
	faults.Wait()
	clients.Wait()
	sleep(ctx, finishTime)
	broken, known := 0, 0
	for _, v := range views {
		state, status := s.state(ctx, v.job)
		n := s.world.running(v.ID)
		started := s.world.wasStarted(v.ID)
		switch {
		case !v.cancelled.IsZero() && v.gone && v.accepted.IsZero() && (n > 0 || state == "running"):
			known++
			s.log.printf("check", "job %s runs: its DELETE was answered with 410", v.ID)
		case !v.cancelled.IsZero() && !v.gone && n > 0:
			v.faults = append(v.faults, fmt.Sprintf("runs after DELETE: %s", state))
		case !v.cancelled.IsZero() && !v.gone && state != "cancelled" && state != "completed":
			v.faults = append(v.faults, fmt.Sprintf("is %d %q after DELETE", status, state))
		case v.cancelled.IsZero() && !v.accepted.IsZero() && (state != final || final == "running" && n != 2):
			v.faults = append(v.faults, fmt.Sprintf("accepted, and %d %q at the end, with %d runs", status, state, n))
		case v.cancelled.IsZero() && v.accepted.IsZero() && v.rejected && !v.unknown && started:
			v.faults = append(v.faults, "started, and all its POSTs were rejected")
		}
		for _, f := range v.faults {
			broken++
			s.log.printf("check", "job %s: %s", v.ID, f)
		}
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.log.printf("check", "%d jobs, %d faults, %d known; %d at the same time, %d others: %v %v", len(views), broken, known, len(s.world.twice), len(s.world.faults), s.world.twice, s.world.faults)
	return broken > 0 || len(s.world.twice) > 0 || len(s.world.faults) > 0, nil
}

// wasStarted reports whether a task of the job was started.
func (w *world) wasStarted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id+".0.0.0"] > 0 || w.starts[id+".0.0.1"] > 0
}

// actAsClient hands in one job, asks for its state and perhaps cancels it.
func (s *site) actAsClient(ctx context.Context) *clientView {
	ms := 100 + rand.IntN(1500)
	v := &clientView{job: job{ID: newID(), Prefix: "/lohu930/", Spec: fmt.Sprintf("ms=%d", ms), Steps: []step{{Count: 2, CPU: 480, MemMb: 900, EstimateMs: ms}, {Count: 2, CPU: 480, MemMb: 900, EstimateMs: ms, After: []int{0}}}}, rejected: true}
	if os.Getenv("ADVICE") == "1" {
		v.Spec += " advised"
	}
	if os.Getenv("LASTS") == "1" {
		v.Steps = []step{{Count: 2, CPU: 100, MemMb: 200, EstimateMs: 500, LongRunning: true}}
	}
	s.world.add(v.job)
	body, err := json.Marshal(v.job)
	if err != nil {
		panic(err)
	}
	cancels := rand.IntN(3) == 0
	at := rand.IntN(3)
	for try := range 4 {
		status := s.postWithin(ctx, at+try, v.Prefix+v.ID, body, time.Duration(300+rand.IntN(2700))*time.Millisecond)
		switch {
		case status/100 == 2:
			v.accepted, v.rejected = time.Now(), false
		case status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable:
			v.rejected, v.unknown = false, true
		}
		if !v.accepted.IsZero() || cancels && rand.IntN(2) == 0 || !sleep(ctx, time.Duration(rand.IntN(500))*time.Millisecond) {
			break
		}
	}
	for range 4 {
		sleep(ctx, time.Duration(rand.IntN(800))*time.Millisecond)
		if cancels {
			status, _ := s.call(ctx, http.MethodDelete, rand.IntN(3), v.Prefix+v.ID, nil)
			if status/100 == 2 || status == http.StatusGone {
				v.cancelled, v.gone, cancels = time.Now(), status == http.StatusGone, false
				if v.gone && !v.accepted.IsZero() {
					v.faults = append(v.faults, "DELETE of an accepted job: 410")
				}
			}
			continue
		}
		state, status := s.state(ctx, v.job)
		if status == http.StatusGone && !v.accepted.IsZero() {
			v.faults = append(v.faults, "GET of an accepted job: 410")
		}
		if status != http.StatusOK {
			continue
		}
		if v.finished != "" && state != v.finished {
			v.faults = append(v.faults, fmt.Sprintf("shown as %s after %s", state, v.finished))
		}
		if state == "completed" || state == "cancelled" || state == "failed" {
			v.finished = state
		}
		if state == "completed" && !s.world.allDone(v.job) {
			v.faults = append(v.faults, "shown as completed before all tasks were done")
		}
		if !v.cancelled.IsZero() && !v.gone && v.finished == "" {
			v.faults = append(v.faults, "shown as "+state+" after DELETE was acknowledged")
		}
	}
	return v
}

// allDone reports whether every task of the job has ended done.
func (w *world) allDone(j job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range j.Steps {
		for i := range j.Steps[n].Count {
			if !w.done[fmt.Sprintf("%s.0.%d.%d", j.ID, n, i)] {
				return false
			}
		}
	}
	return true
}
