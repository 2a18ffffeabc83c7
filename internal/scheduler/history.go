package scheduler

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// historySize is the number of events that the history keeps, for all tasks together. It
// bounds the memory of the history to less than 1 MB.
const historySize = 4096

// eventKind classifies the events of a run.
type eventKind string

const (
	startOrdered  eventKind = "startOrdered"  // the task was placed and its start order queued
	startAccepted eventKind = "startAccepted" // the agent has accepted the start order
	startRejected eventKind = "startRejected" // the agent has reported that the start never takes effect
	runListed     eventKind = "runListed"     // a report has shown that the run has started
	runAdopted    eventKind = "runAdopted"    // a report has shown a run that the tables did not contain
	runLost       eventKind = "runLost"       // the task was released without an end of its run
	runEnded      eventKind = "runEnded"      // a report has shown the end of the run
)

// event is something that the scheduler did or learned about a run.
type event struct {
	at       bootclock.Instant
	kind     eventKind
	task     workflow.TaskID
	attempt  workflow.Attempt
	worker   units.WorkerID
	sequence uint64 // of the agent's report on which the event is based or that preceded it; 0 if there is none
	detail   string // reason of a rejection or release, or how the run ended
}

// history is a bounded record of the last events of all runs. It is logged when a second
// run of a task is seen, because the log lines of that time may have been omitted.
type history struct {
	events []event
	next   int // index of the oldest event once the history is full
}

// add appends an event and drops the oldest one if the history is full.
func (h *history) add(e event) {
	if len(h.events) < historySize {
		h.events = append(h.events, e)
		return
	}
	h.events[h.next] = e
	h.next = (h.next + 1) % historySize
}

// of describes the events of a task, oldest first, with the time before now.
func (h *history) of(id workflow.TaskID, now bootclock.Instant) []string {
	var lines []string
	for i := range h.events {
		e := &h.events[(h.next+i)%len(h.events)]
		if e.task != id {
			continue
		}
		line := fmt.Sprintf("-%v %s attempt=%d worker=%s report=%d", now.Sub(e.at), e.kind, e.attempt, e.worker, e.sequence)
		if e.detail != "" {
			line += " " + e.detail
		}
		lines = append(lines, line)
	}
	return lines
}

// recordEvent adds an event of the task's current run to the history.
func (s *Scheduler) recordEvent(t *task, kind eventKind, sequence uint64, detail string, now Timestamp) {
	s.history.add(event{at: now.Boot, kind: kind, task: t.id, attempt: t.attempt, worker: t.worker.id, sequence: sequence, detail: detail})
}

// logSecondRun counts a second run, and logs the history of the task for which w reports
// another run than the current one. what says what is reported. If that is an end, the agent
// has known it for endListedAgo. The line tells how the release of the reported run and the
// order of the current one relate to the end of the leases, as far as this leader knows them.
func (s *Scheduler) logSecondRun(w *worker, t *task, attempt workflow.Attempt, what string, endListedAgo time.Duration, now Timestamp) {
	s.secondRuns++
	values := []any{"task", t.id.String(), "worker", w.id, "attempt", attempt, "what", what, "report", w.reportSequence,
		"currentWorker", t.worker.id, "currentAttempt", t.attempt, "endListedAgo", endListedAgo}
	if t.orderedAt != 0 {
		values = append(values, "currentOrderedAgo", now.Boot.Sub(t.orderedAt))
	}
	if t.lost.attempt == attempt {
		values = append(values, "releasedBecause", t.lost.reason, "releasedAgo", now.Boot.Sub(t.lost.at), "releasedAfterLeaseEnd", t.lost.at.Sub(t.lost.leaseEnd))
	}
	klog.InfoS("second run of a task is reported", append(values, "history", s.history.of(t.id, now.Boot))...)
}

// TakeSecondRuns returns how often a report has shown a run, or the end of a run, beside
// the current run of its task, and resets the count.
func (s *Scheduler) TakeSecondRuns() int {
	n := s.secondRuns
	s.secondRuns = 0
	return n
}
