package scheduler

// startState is how far the start of a task's run is known to have come. It decides what a
// report says about the run: an agent carries out an order that it accepts after it has
// made a report, so the absence of the run from that report means nothing.
type startState struct {
	phase startPhase
	// afterReport is, from startIsAccepted on, the number of the agent's last report before
	// it accepted the order. Later reports of the session contain the run or its outcome.
	afterReport uint64
}

// startPhase is a phase of a start. The phases follow each other in this order.
type startPhase int

const (
	startIsQueued   startPhase = iota // TakeOrders has not returned the order yet
	startIsSent                       // the agent may have received the order
	startIsAccepted                   // the agent has acknowledged the order, or has listed the run
	startIsListed                     // a report has shown that the run has started
)

// String returns the name of the phase for logs.
func (p startPhase) String() string {
	return [...]string{"queued", "sent", "accepted", "listed"}[p]
}

// decidedBy reports whether a report with the given number tells what became of the start.
func (s startState) decidedBy(report uint64) bool {
	return s.phase >= startIsAccepted && s.afterReport < report
}

// accept records the acknowledgement of a sent order.
func (s *startState) accept(lastReport uint64) {
	if s.phase == startIsSent {
		s.phase, s.afterReport = startIsAccepted, lastReport
	}
}

// beginSession makes every report of a new session decide on a start that was sent on an
// earlier one, because the agent no longer accepts the order.
func (s *startState) beginSession() {
	s.phase, s.afterReport = max(s.phase, startIsAccepted), 0
}

// isListed reports whether a report has shown that the task's run has started.
func (t *task) isListed() bool { return t.start.phase == startIsListed }

// decided reports whether the agent's last report tells what became of the task's start.
func (w *worker) decided(t *task) bool { return t.start.decidedBy(w.reportSequence) }
