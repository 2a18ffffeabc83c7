package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxDecisions bounds the recorded decisions. At the target peak of one start per
// second and worker they span four hours, far longer than a launch is resent.
const maxDecisions = 16384

// decisions records the results of launches: attempts that were rejected or have
// run and so must not start, or not start again, under this epoch. A repeated or
// late launch gets the same result, so that a rejected attempt never runs.
type decisions struct {
	byAttempt map[attemptID]decision
	order     []attemptID // oldest first
	highest   map[units.Task]units.Attempt
}

// attemptID identifies an attempt of a task.
type attemptID struct {
	task   units.Task
	number units.Attempt
}

// decision is the recorded result of the launch of an attempt.
type decision struct {
	outcome wire.Outcome // STARTED or REFUSED
	reason  string
	at      time.Time
}

func (m *decisions) reset() { *m = decisions{} }

// record records the decision on an attempt, unless there already is one.
func (m *decisions) record(t units.Task, number units.Attempt, outcome wire.Outcome, reason string) {
	if m.byAttempt == nil {
		m.byAttempt = make(map[attemptID]decision)
		m.highest = make(map[units.Task]units.Attempt)
	}
	key := attemptID{t, number}
	if _, ok := m.byAttempt[key]; ok {
		return
	}
	if len(m.order) >= maxDecisions {
		oldest := m.order[0]
		m.order = m.order[1:]
		delete(m.byAttempt, oldest)
		if m.highest[oldest.task] == oldest.number {
			delete(m.highest, oldest.task)
		}
	}
	m.byAttempt[key] = decision{outcome, reason, time.Now()}
	m.order = append(m.order, key)
	m.highest[t] = max(m.highest[t], number)
}

func (m *decisions) lookup(t units.Task, number units.Attempt) (decision, bool) {
	s, ok := m.byAttempt[attemptID{t, number}]
	return s, ok
}

// superseded reports whether a later attempt of the task has been decided on.
func (m *decisions) superseded(t units.Task, number units.Attempt) bool { return number < m.highest[t] }

func (m *decisions) contains(t units.Task, number units.Attempt) bool {
	_, ok := m.lookup(t, number)
	return ok
}

// decidedBefore reports whether the attempt was decided on before the given time.
// If a table read that was sent later still lists the attempt, it must be stopped.
func (m *decisions) decidedBefore(t units.Task, number units.Attempt, sent time.Time) bool {
	s, ok := m.lookup(t, number)
	return ok && s.at.Before(sent)
}
