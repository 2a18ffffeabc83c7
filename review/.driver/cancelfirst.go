package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cancel-first"] = playCancelFirst }

// The figures of playCancelFirst.
const (
	// freezeTime is how long the leader's machine stands still.
	freezeTime = time.Second
	// patience is the time within which clients leave. It is below half of their queue's
	// targetLatencyMs.
	patience = 800 * time.Millisecond
	// leaveEvery is the reciprocal of the share of the clients that leave.
	leaveEvery = 4
	// cancelTime is the time after the acknowledgement of a DELETE in which starts are allowed.
	cancelTime = 3 * time.Second
)

// cancelledJob is a job that its client may have cancelled.
type cancelledJob struct {
	job
	post   int       // status of the answer to POST; 0 without one
	status int       // of the answer to DELETE; 0 if there was none
	at     time.Time // of that answer
}

// playCancelFirst: the leader's machine stands still for a second. Clients hand in jobs at the two
// other entry machines meanwhile. A quarter of them leave without an answer and cancel their job at
// the other one of the two.
func playCancelFirst(ctx context.Context, s *site) (bool, error) {
	const clients = 28
	s.addEntries(3)
	s.addRunners(8, nil)
	s.configure(true, queue{Name: "r-watch", Prefix: "/pule252/", MaxAttempts: 2, Target: 2500})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	lead := s.leader()
	if lead < 0 {
		return false, fmt.Errorf("no process has won the leadership")
	}
	others := [2]int{(lead + 1) % len(s.entries), (lead + 2) % len(s.entries)}
	var thaw sync.WaitGroup
	if s.trouble {
		p := s.entries[lead]
		s.log.printf("platform", "%s, which leads, stands still (SIGSTOP)", p.name)
		p.Signal(syscall.SIGSTOP)
		thaw.Go(func() {
			sleep(ctx, freezeTime)
			p.Signal(syscall.SIGCONT)
			s.log.printf("platform", "%s goes on (SIGCONT)", p.name)
		})
	}
	jobs := make([]cancelledJob, clients)
	var calls sync.WaitGroup
	for i := range jobs {
		first := i / leaveEvery % 2
		calls.Go(func() { jobs[i] = s.handIn(ctx, others[first], others[1-first], i%leaveEvery == 0) })
	}
	calls.Wait()
	thaw.Wait()
	sleep(ctx, finishTime)
	broken := 0
	for i := range jobs {
		j := &jobs[i]
		if j.status == 0 {
			continue
		}
		state, status := s.state(ctx, j.job)
		n := s.world.running(j.ID)
		s.log.printf("check", "job %s: POST %d, DELETE %d %.1f s ago; now %d %s, %d tasks run", j.ID, j.post, j.status, time.Since(j.at).Seconds(), status, state, n)
		if (j.status/100 == 2 || j.status == http.StatusGone) && n > 0 && time.Since(j.at) > cancelTime+stopTime {
			broken++
		}
	}
	s.log.printf("check", "%d jobs run whose DELETE was acknowledged", broken)
	return broken > 0, nil
}

// handIn hands in a job of tasks that last at an entry process. A client that leaves waits for the
// answer for patience, and then cancels the job at the other one until that is acknowledged.
func (s *site) handIn(ctx context.Context, entry, other int, leaves bool) cancelledJob {
	j := cancelledJob{job: job{ID: newID(), Prefix: "/pule252/", Spec: "watch",
		Steps: []step{{Count: 2, CPU: 1000, MemMb: 1000, EstimateMs: 500, LongRunning: true}}}}
	s.world.add(j.job)
	body, err := json.Marshal(j.job)
	if err != nil {
		panic(err)
	}
	wait := deadlineMs * time.Millisecond
	if leaves {
		wait = patience
	}
	s.log.printf("client", "POST %s at %s, body %s, leaves=%t", j.Prefix+j.ID, s.entries[entry].name, body, leaves)
	begin := time.Now()
	j.post = s.postWithin(ctx, entry, j.Prefix+j.ID, body, wait)
	if !leaves {
		return j
	}
	sleep(ctx, patience-time.Since(begin)) // with TROUBLE=0 it cancels at the same time
	for range maxTries {
		j.status, _ = s.call(ctx, http.MethodDelete, other, j.Prefix+j.ID, nil)
		j.at = time.Now()
		if j.status/100 == 2 || j.status == http.StatusGone || !sleep(ctx, 500*time.Millisecond) {
			break
		}
	}
	return j
}

// postWithin sends a POST and waits for its answer for the given time. It returns the status, or 0.
func (s *site) postWithin(ctx context.Context, entry int, path string, body []byte, wait time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	p := s.entries[entry%len(s.entries)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address(p.ip, frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = hostName
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadlineMs))
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		s.log.printf("client", "POST %s at %s: no answer: %v", path, p.name, err)
		return 0
	}
	defer response.Body.Close()
	s.log.printf("client", "POST %s at %s: %d", path, p.name, response.StatusCode)
	return response.StatusCode
}
