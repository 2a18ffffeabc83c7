package soak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/pause"
)

const (
	// The shares of a core that processes have in a deployment. A process that has used its
	// share of a period stands until the next one.
	agentShare  = 0.24
	entryShare  = 0.4
	sharePeriod = 100 * time.Millisecond
	// sharePoll is the time between two readings of the processes' use of the processors.
	sharePoll = 2 * time.Millisecond
	// maxDebt is the number of periods for which a process stands at most after a burst, which
	// is long where this process, on a busy machine, reads late what was used.
	maxDebt = time.Duration(maxStall / sharePeriod)
)

// stopProcess stops the process until continueProcess was called as often.
func (h *host) stopProcess() {
	h.hostFaults.mu.Lock()
	defer h.hostFaults.mu.Unlock()
	if h.stopCount++; h.stopCount == 1 {
		h.process.Signal(syscall.SIGSTOP)
	}
}

func (h *host) continueProcess() {
	h.hostFaults.mu.Lock()
	defer h.hostFaults.mu.Unlock()
	if h.stopCount--; h.stopCount == 0 {
		h.process.Signal(syscall.SIGCONT)
	}
}

func (r *Run) suspend(h *host) { h.stopProcess() }

func (r *Run) resume(h *host) { h.continueProcess() }

// beginStalls stops the process again and again for a short time, until endStalls.
func (r *Run) beginStalls(h *host) {
	random := r.random()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	h.stopStalls = func() { cancel(); <-ended }
	draw := func() time.Duration {
		return minStall + time.Duration(random.Int64N(int64(maxStall-minStall)))
	}
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			h.stopProcess()
			pause.For(ctx, draw())
			h.continueProcess()
			pause.For(ctx, draw())
		}
	}()
}

func (r *Run) endStalls(h *host) { h.stopStalls() }

// share is the use of the processors by the process of a host.
type share struct {
	host    *host
	quota   time.Duration // of each period
	pid     int
	used    time.Duration // by the process so far
	left    time.Duration // of the quota; negative after a burst, which counts in the next periods
	stopped bool
	stops   int
}

// limitShares limits each process to a multiple of its share until the returned function is
// called. A multiple below 1 stands for a higher load.
func (f *fleet) limitShares(multiple float64) (stop func()) {
	var shares []*share
	for _, h := range f.hosts() {
		fraction := agentShare
		if h.role == "entry" {
			fraction = entryShare
		}
		shares = append(shares, &share{host: h, quota: time.Duration(multiple * fraction * float64(sharePeriod))})
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		period := time.Now()
		for pause.For(ctx, sharePoll) {
			refill := time.Since(period) >= sharePeriod
			if refill {
				period = period.Add(sharePeriod)
			}
			for _, s := range shares {
				s.update(refill)
			}
		}
		stops := make([]int, len(shares))
		for i, s := range shares {
			s.setStopped(false)
			stops[i] = s.stops
		}
		klog.InfoS("processes were stopped by their share of a core", "stops", stops)
	}()
	return func() { cancel(); <-ended }
}

// update stops a process that has used its share, and lets one go on that has a new one.
func (s *share) update(refill bool) {
	pid := s.host.process.PID()
	used := processTime(pid)
	if pid == s.pid {
		s.left = max(s.left-(used-s.used), -maxDebt*s.quota)
	}
	s.pid, s.used = pid, used
	if refill {
		s.left = min(s.quota, s.left+s.quota)
	}
	s.setStopped(s.left <= 0)
}

func (s *share) setStopped(stop bool) {
	switch {
	case stop && !s.stopped:
		s.host.stopProcess()
		s.stops++
	case !stop && s.stopped:
		s.host.continueProcess()
	}
	s.stopped = stop
}

// processTime returns the processor time of a process, or 0 if it has ended.
func processTime(pid int) time.Duration {
	const processClock = 2 // the type of the clock of all threads of a process
	var t unix.Timespec
	if pid == 0 || unix.ClockGettime(int32(^pid<<3|processClock), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
