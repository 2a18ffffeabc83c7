package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["explore-drain"] = playDrainLoad }

// playDrainLoad stops the entry processes in turn as planned, under clients that keep their
// connections open. It is no case: it was used to look for faults.
func playDrainLoad(ctx context.Context, s *site) (bool, error) {
	s.addEntries(3)
	s.addRunners(6, nil)
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	rotation := make([]atomic.Int32, 3) // misses
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			for i, p := range s.entries {
				if s.ready(p) {
					rotation[i].Store(0)
				} else {
					rotation[i].Add(1)
				}
			}
		}
	})
	var lost, answered, refused atomic.Int64
	client := func(n int) {
		rnd := rand.New(rand.NewPCG(uint64(n), uint64(time.Now().UnixNano())))
		var conn net.Conn
		var reader *bufio.Reader
		at := 0
		for {
			select {
			case <-stop:
				return
			default:
			}
			if conn == nil {
				at = rnd.IntN(3)
				if rotation[at].Load() >= 2 {
					continue
				}
				c, err := net.DialTimeout("tcp", s.address(s.entries[at].ip, frontPort), time.Second)
				if err != nil {
					refused.Add(1)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				conn, reader = c, bufio.NewReader(c)
			}
			var request *http.Request
			id := newID()
			switch rnd.IntN(3) {
			case 0:
				j := job{ID: id, Prefix: "/lohu930/", Spec: "ms=50", Steps: []step{{Count: 1, CPU: 100, MemMb: 100, EstimateMs: 50}}}
				s.world.add(j)
				body, _ := json.Marshal(j)
				request, _ = http.NewRequest(http.MethodPost, "http://"+hostName+"/lohu930/"+id, bytes.NewReader(body))
			default:
				request, _ = http.NewRequest(http.MethodGet, "http://"+hostName+"/lohu930/"+id, nil)
			}
			request.Header.Set("X-Deadline-Ms", "3000")
			var buffer bytes.Buffer
			_ = request.Write(&buffer)
			_, err := conn.Write(buffer.Bytes())
			sent := time.Now()
			if err == nil {
				_ = conn.SetReadDeadline(sent.Add(5 * time.Second))
				var response *http.Response
				response, err = http.ReadResponse(reader, request)
				if err == nil {
					var b bytes.Buffer
					_, err = b.ReadFrom(response.Body)
					response.Body.Close()
					if response.Close {
						conn.Close()
						conn = nil
					}
				}
			}
			if err != nil {
				if took := time.Since(sent); took > 200*time.Millisecond {
					lost.Add(1)
					s.log.printf("check", "client %d at %s: %s got no answer after %v: %v", n, s.entries[at].name, request.Method, took, err)
				}
				if conn != nil {
					conn.Close()
					conn = nil
				}
			} else {
				answered.Add(1)
			}
			time.Sleep(time.Duration(rnd.IntN(60)) * time.Millisecond)
		}
	}
	for n := range 60 {
		wait.Go(func() { client(n) })
	}
	sleep(ctx, 2*time.Second)
	for round := range 6 {
		p := s.entries[round%3]
		lead := s.leader()
		s.log.printf("fault", "SIGTERM to %s, leader is %s", p.name, s.entries[lead].name)
		begin := time.Now()
		p.Terminate(7 * time.Second)
		s.log.printf("fault", "%s has ended after %v", p.name, time.Since(begin))
		sleep(ctx, 500*time.Millisecond)
		if err := s.startProcess(p, false); err != nil {
			return false, err
		}
		sleep(ctx, 4*time.Second)
	}
	close(stop)
	wait.Wait()
	s.log.printf("check", "answered %d, refused connections %d, lost %d", answered.Load(), refused.Load(), lost.Load())
	fmt.Println(answered.Load(), refused.Load(), lost.Load())
	return lost.Load() > 0, nil
}
