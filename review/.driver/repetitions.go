package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["repetitions"] = playRepetitions }

const (
	recordBytes = 262144
	callBytes   = 2097152
)

// storeLimits passes calls on to the store and rejects an append with a record above recordBytes,
// or with more than callBytes, as PROTOCOL.md allows none.
type storeLimits struct {
	server   *http.Server
	address  string
	rejected atomic.Int64
}

func newStoreLimits(store string, log *recordLog) (*storeLimits, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &storeLimits{address: listener.Addr().String()}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	forward.ErrorLog = stdlog.New(io.Discard, "", 0) // calls that their caller has given up
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/log-append") {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if largest := largestRecord(body); largest > recordBytes || len(body) > callBytes {
				n := l.rejected.Add(1)
				if n <= 20 || n%100 == 0 {
					log.printf("store", "append to %s with a record of %d bytes: 400, rejection %d", r.URL.Query().Get("topic"), largest, n)
				}
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		forward.ServeHTTP(w, r)
	})}
	go func() { _ = l.server.Serve(listener) }() // ends with close
	return l, nil
}

func largestRecord(body []byte) int {
	largest := 0
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		largest = max(largest, n)
		body = body[min(4+n, len(body)):]
	}
	return largest
}

// The schedule of the large job: once a minute for two years. The number of times that are due
// when it is submitted, with the disruption and without.
const (
	repetitions     = 1 << 20
	repetitionTime  = time.Minute
	manyDue, fewDue = 60_000, 600
)

// playRepetitions: one job with a schedule that began weeks ago has many due times at once. Jobs
// of the usual size come after it.
func playRepetitions(ctx context.Context, s *site) (bool, error) {
	limits, err := newStoreLimits(s.store.Address, s.log)
	if err != nil {
		return false, err
	}
	defer limits.server.Close()
	s.storeAt = limits.address
	s.addEntries(3)
	s.addRunners(8, nil)
	s.configure(true, queue{Name: "r-quick", Prefix: "/lohu930/", MaxAttempts: 2, Target: 300}, queue{Name: "r-runs", Prefix: "/pufi791/", Priority: 2, MaxAttempts: 2, Target: 1000})
	if err := s.start(ctx); err != nil {
		return false, err
	}
	due := fewDue
	if s.trouble {
		due = manyDue
	}
	large := job{ID: newID(), Prefix: "/pufi791/", Spec: "ms=250", Repetitions: repetitions, IntervalMs: repetitionTime.Milliseconds(),
		FirstMs: time.Now().Add(-time.Duration(due) * repetitionTime).UnixMilli(),
		Steps:   []step{{Count: 1, CPU: 60, MemMb: 200, EstimateMs: 250}}}
	s.world.add(large)
	if !s.submit(ctx, large) {
		return false, fmt.Errorf("the large job was not accepted")
	}
	sleep(ctx, 3*time.Second)
	var jobs []job
	for range 8 {
		j := job{ID: newID(), Prefix: "/lohu930/", Spec: "ms=500", Steps: []step{{Count: 4, CPU: 500, MemMb: 900, EstimateMs: 500}, {Count: 4, CPU: 500, MemMb: 900, EstimateMs: 500, After: []int{0}}}}
		s.world.add(j)
		if s.submit(ctx, j) {
			jobs = append(jobs, j)
		}
		sleep(ctx, time.Second)
	}
	sleep(ctx, finishTime)
	for _, j := range jobs {
		state, status := s.state(ctx, j)
		s.log.printf("check", "job %s: %s %d, %d runs", j.ID, state, status, s.world.running(j.ID))
	}
	broken := false
	for _, j := range jobs {
		if state, _ := s.state(ctx, j); state != "completed" && s.idleFor(ctx, j, 5*time.Second) {
			broken = true
			break
		}
	}
	return broken, nil
}
