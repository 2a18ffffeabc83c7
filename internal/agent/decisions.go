package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxSettled bounds the memory: at the target's peak of one start a second per
// worker it spans four hours, far longer than a launch is resent.
const maxDecisions = 16384

// memory remembers what was answered about attempts that may not start (again)
// under this epoch: a repeated or late launch gets the same answer, which keeps
// a rejection true.
type launchDecisions struct {
	byAttempt map[attemptID]decision
	order     []attemptID // oldest first
	highest   map[units.Task]units.Attempt
}

type attemptID struct {
	task   units.Task
	number units.Attempt
}

type decision struct {
	outcome wire.Outcome // STARTED or REFUSED
	reason  string
	at      time.Time
}

func (m *launchDecisions) reset() { *m = launchDecisions{} }

// remember settles an attempt. The first answer stands.
func (m *launchDecisions) record(t units.Task, number units.Attempt, outcome wire.Outcome, reason string) {
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

func (m *launchDecisions) lookup(t units.Task, number units.Attempt) (decision, bool) {
	s, ok := m.byAttempt[attemptID{t, number}]
	return s, ok
}

// superseded reports whether a higher attempt of the task is settled.
func (m *launchDecisions) superseded(t units.Task, number units.Attempt) bool {
	return number < m.highest[t]
}

func (m *launchDecisions) contains(t units.Task, number units.Attempt) bool {
	_, ok := m.lookup(t, number)
	return ok
}

// settledBefore reports whether the attempt was settled before the instant; a
// table read sent later that still lists it shows a run that must end.
func (m *launchDecisions) decidedBefore(t units.Task, number units.Attempt, sent time.Time) bool {
	s, ok := m.lookup(t, number)
	return ok && s.at.Before(sent)
}
