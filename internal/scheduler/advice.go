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
	advisedWorkers = 30
	// openQuestions bounds the questions that wait for an answer, well below
	// what the service queues.
	openQuestions = 8
	// adviceSlack is kept of a ticket's validity for the way to the runner.
	adviceSlack = 400 * time.Millisecond
	// askAgain follows a question without an answer.
	askAgain = 500 * time.Millisecond
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
	asked   bool
	again   bootclock.Instant // no question before
	until   bootclock.Instant // tickets are valid
	tickets map[string]string // by incarnation
}

// Questions returns what has to be asked now. The steps wait until Advise.
func (s *Scheduler) AdviceRequests(now Timestamp) []AdviceRequest {
	if !s.advising {
		return nil
	}
	var questions []AdviceRequest
	for _, u := range s.backlog(now) {
		policy := s.policyOf(u.job)
		a := &u.step.advice
		if policy.Advice == nil || a.asked || now.Boot.Before(a.again) || now.Boot.Before(a.until) || s.asked >= openQuestions {
			continue
		}
		pool := s.pool(policy.Service, now)
		slices.SortFunc(pool, func(x, y *worker) int {
			return cmp.Or(cmp.Compare(y.capacity.Processors-y.used.Processors, x.capacity.Processors-x.used.Processors), cmp.Compare(x.id, y.id))
		})
		q := AdviceRequest{Step: StepID{u.job.ID, u.occurrence, u.step.number}}
		for _, w := range pool[:min(len(pool), advisedWorkers)] {
			q.RunnerIDs = append(q.RunnerIDs, w.info.ID)
		}
		if len(q.RunnerIDs) == 0 {
			continue
		}
		a.asked = true
		s.asked++
		questions = append(questions, q)
	}
	return questions
}

// Advise takes the answer to a question: the tickets by incarnation, valid for
// the given time from now. Without an answer tickets is nil.
func (s *Scheduler) SetAdvice(id StepID, tickets map[string]string, valid time.Duration, now Timestamp) {
	s.asked--
	t := s.task(workflow.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
	if t == nil {
		return
	}
	t.step.advice = advice{again: now.Boot.Add(askAgain)}
	if tickets != nil {
		t.step.advice.tickets = tickets
		t.step.advice.until = now.Boot.Add(valid - adviceSlack)
	}
}

// advised returns the workers of the pool for which the step has a ticket.
func (s *Scheduler) advised(st *step, pool []*worker, now Timestamp) []*worker {
	if !now.Boot.Before(st.advice.until) {
		return nil
	}
	var may []*worker
	for _, w := range pool {
		if _, ok := st.advice.tickets[w.info.ID]; ok {
			may = append(may, w)
		}
	}
	return may
}

// ticket returns the step's ticket for a worker, empty when none is needed.
func (st *step) ticket(w *worker) string { return st.advice.tickets[w.info.ID] }
