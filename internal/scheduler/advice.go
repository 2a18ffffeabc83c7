package scheduler

import (
	"cmp"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

const (
	// advisedWorkers is how many workers one question names; each costs time.
	maxRequestWorkers = 30
	// openQuestions bounds the questions that wait for an answer, well below
	// what the service queues.
	maxOpenRequests = 8
	// adviceSlack is kept of a ticket's validity for the way to the runner.
	ticketMargin = 400 * time.Millisecond
	// askAgain follows a question without an answer.
	adviceRetryDelay = 500 * time.Millisecond
)

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        workflow.JobID
	Occurrence int
	Step       int
}

// Question asks which workers may run a step.
type AdviceRequest struct {
	Step      StepID
	RunnerIDs []string // incarnations
}

// advice is what is known of the workers that may run a step.
type advice struct {
	requested  bool
	retryAt    bootclock.Instant // no question before
	validUntil bootclock.Instant // tickets are valid
	tickets    map[string]string // by incarnation
}

// Questions returns what has to be asked now. The steps wait until Advise.
func (s *Scheduler) AdviceRequests(now Timestamp) []AdviceRequest {
	if !s.needsAdvice {
		return nil
	}
	var questions []AdviceRequest
	for _, u := range s.pendingSteps(now) {
		policy := s.currentPolicy(u.job)
		a := &u.step.advice
		if policy.Advice == nil || a.requested || now.Boot.Before(a.retryAt) || now.Boot.Before(a.validUntil) || s.openRequests >= maxOpenRequests {
			continue
		}
		pool := s.eligibleWorkers(policy.Service, now)
		slices.SortFunc(pool, func(x, y *worker) int {
			return cmp.Or(cmp.Compare(y.capacity.Processors-y.used.Processors, x.capacity.Processors-x.used.Processors), cmp.Compare(x.id, y.id))
		})
		q := AdviceRequest{Step: StepID{u.job.ID, u.occurrence, u.step.number}}
		for _, w := range pool[:min(len(pool), maxRequestWorkers)] {
			q.RunnerIDs = append(q.RunnerIDs, w.runner.ID)
		}
		if len(q.RunnerIDs) == 0 {
			continue
		}
		a.requested = true
		s.openRequests++
		questions = append(questions, q)
	}
	return questions
}

// Advise takes the answer to a question: the tickets by incarnation, valid for
// the given time from now. Without an answer tickets is nil.
func (s *Scheduler) SetAdvice(id StepID, tickets map[string]string, valid time.Duration, now Timestamp) {
	s.openRequests--
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

// advised returns the workers of the pool for which the step has a ticket.
func (s *Scheduler) workersWithTicket(st *step, pool []*worker, now Timestamp) []*worker {
	if !now.Boot.Before(st.advice.validUntil) {
		return nil
	}
	var may []*worker
	for _, w := range pool {
		if _, ok := st.advice.tickets[w.runner.ID]; ok {
			may = append(may, w)
		}
	}
	return may
}

// ticket returns the step's ticket for a worker, empty when none is needed.
func (st *step) ticket(w *worker) string { return st.advice.tickets[w.runner.ID] }
