package agent

import (
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxSettled bounds the memory: at the target's peak of one start a second per
// worker it spans four hours, far longer than a launch is resent.
const maxSettled = 16384

// memory remembers what was answered about attempts that may not start (again)
// under this epoch: a repeated or late launch gets the same answer, which keeps
// a rejection true.
type memory struct {
	answers map[attempt]settled
	order   []attempt // oldest first
	highest map[units.Task]units.Attempt
}

type attempt struct {
	task   units.Task
	number units.Attempt
}

type settled struct {
	outcome wire.Outcome // STARTED or REFUSED
	reason  string
	at      time.Time
}

func (m *memory) reset() { *m = memory{} }

// remember settles an attempt. The first answer stands.
func (m *memory) remember(t units.Task, number units.Attempt, outcome wire.Outcome, reason string) {
	if m.answers == nil {
		m.answers = make(map[attempt]settled)
		m.highest = make(map[units.Task]units.Attempt)
	}
	key := attempt{t, number}
	if _, ok := m.answers[key]; ok {
		return
	}
	if len(m.order) >= maxSettled {
		oldest := m.order[0]
		m.order = m.order[1:]
		delete(m.answers, oldest)
		if m.highest[oldest.task] == oldest.number {
			delete(m.highest, oldest.task)
		}
	}
	m.answers[key] = settled{outcome, reason, time.Now()}
	m.order = append(m.order, key)
	m.highest[t] = max(m.highest[t], number)
}

func (m *memory) answer(t units.Task, number units.Attempt) (settled, bool) {
	s, ok := m.answers[attempt{t, number}]
	return s, ok
}

// superseded reports whether a higher attempt of the task is settled.
func (m *memory) superseded(t units.Task, number units.Attempt) bool { return number < m.highest[t] }

func (m *memory) knows(t units.Task, number units.Attempt) bool {
	_, ok := m.answer(t, number)
	return ok
}

// settledBefore reports whether the attempt was settled before the instant; a
// table read sent later that still lists it shows a run that must end.
func (m *memory) settledBefore(t units.Task, number units.Attempt, sent time.Time) bool {
	s, ok := m.answer(t, number)
	return ok && s.at.Before(sent)
}
