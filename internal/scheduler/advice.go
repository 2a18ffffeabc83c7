package scheduler

import (
	"cmp"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

const (
	// maxRequestWorkers limits the workers of one request, since each adds to the
	// time of the call.
	maxRequestWorkers = 30
	// maxOpenRequests limits the requests without a reply. It is well below the
	// queue limit of the advice service.
	maxOpenRequests = 8
	// ticketMargin is the part of a ticket's validity that is left for the start order
	// to reach the runner.
	ticketMargin = 400 * time.Millisecond
	// adviceRetryDelay is the delay before a step's next request.
	adviceRetryDelay = 500 * time.Millisecond
)

// StepID identifies a step in one occurrence of a job.
type StepID struct {
	Job        workflow.JobID
	Occurrence int
	Step       int
}

// AdviceRequest asks the advice service which workers may run a step.
type AdviceRequest struct {
	Step      StepID
	RunnerIDs []string // of the candidate runners
}

// advice holds the tickets that permit a step to run on certain workers.
type advice struct {
	requested  bool
	retryAt    bootclock.Instant // no request before this time
	validUntil bootclock.Instant // end of the tickets' validity
	tickets    map[string]string // by runner id
}

// AdviceRequests returns the requests to send now. Each step waits for SetAdvice.
func (s *Scheduler) AdviceRequests(now Timestamp) []AdviceRequest {
	if !s.needsAdvice {
		return nil
	}
	var requests []AdviceRequest
	for _, p := range s.pendingSteps(now) {
		policy := s.currentPolicy(p.job)
		a := &p.step.advice
		if policy.Advice == nil || a.requested || now.Boot.Before(a.retryAt) || now.Boot.Before(a.validUntil) || s.openAdviceRequests >= maxOpenRequests {
			continue
		}
		pool := s.eligibleWorkers(policy.Service, now)
		slices.SortFunc(pool, func(x, y *worker) int {
			return cmp.Or(cmp.Compare(y.capacity.Processors-y.used.Processors, x.capacity.Processors-x.used.Processors), cmp.Compare(x.id, y.id))
		})
		request := AdviceRequest{Step: StepID{p.job.ID, p.occurrence, p.step.number}}
		for _, w := range pool[:min(len(pool), maxRequestWorkers)] {
			request.RunnerIDs = append(request.RunnerIDs, w.runner.ID)
		}
		if len(request.RunnerIDs) == 0 {
			continue
		}
		a.requested = true
		s.openAdviceRequests++
		requests = append(requests, request)
	}
	return requests
}

// SetAdvice stores the reply to a request: the tickets by runner id, which
// are valid for the given time from now. tickets is nil if the request failed.
func (s *Scheduler) SetAdvice(id StepID, tickets map[string]string, valid time.Duration, now Timestamp) {
	s.openAdviceRequests--
	t := s.task(workflow.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
	if t == nil {
		return
	}
	t.step.advice = advice{retryAt: now.Boot.Add(adviceRetryDelay)}
	if tickets != nil {
		t.step.advice.tickets = tickets
		t.step.advice.validUntil = now.Boot.Add(valid - ticketMargin)
	}
}

// workersWithTicket returns the workers of the pool for which the step has a valid
// ticket.
func (s *Scheduler) workersWithTicket(st *step, pool []*worker, now Timestamp) []*worker {
	if !now.Boot.Before(st.advice.validUntil) {
		return nil
	}
	var allowed []*worker
	for _, w := range pool {
		if _, ok := st.advice.tickets[w.runner.ID]; ok {
			allowed = append(allowed, w)
		}
	}
	return allowed
}

// ticket returns the step's ticket for a worker, or an empty string if the queue
// requires none.
func (st *step) ticket(w *worker) string { return st.advice.tickets[w.runner.ID] }
