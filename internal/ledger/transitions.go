package ledger

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Reason is why an entry had no effect.
type Reason string

// The reasons.
const (
	ReasonMalformed      Reason = "malformed"
	ReasonDuplicateJob   Reason = "duplicateJob"
	ReasonDuplicateKey   Reason = "duplicateKey"
	ReasonUnknownJob     Reason = "unknownJob"
	ReasonUnknownTask    Reason = "unknownTask"
	ReasonJobEnded       Reason = "jobEnded"
	ReasonWrongAttempt   Reason = "attempt" // not the attempt that the task's state allows
	ReasonNotWaiting     Reason = "notWaiting"
	ReasonNotOpen        Reason = "notOpen"
	ReasonAlreadyStarted Reason = "alreadyStarted"
	ReasonCancelled      Reason = "cancelled"
	ReasonWrongOutcome   Reason = "outcome"
)

// taskEntryKind is the kind of an entry about a task. It indexes transitionRules.
type taskEntryKind uint8

const (
	kindAssigned taskEntryKind = iota
	kindStarted
	kindReleased
	kindEnded
	kindEvicted
	kindFailed
	kindCount
)

var kindNames = [kindCount]string{"assigned", "started", "released", "ended", "evicted", "failed"}

// taskEntry is a decoded entry about one task.
type taskEntry struct {
	offset          units.Offset
	kind            taskEntryKind
	task            units.Task
	attempt         units.Attempt
	worker          units.WorkerID
	epoch           units.Epoch
	committed       units.Resources
	borrowed        bool
	reason          string
	checkpoint      string
	countsAsFailure bool
	outcome         wire.Outcome
	runTime         time.Duration
	used            units.Resources
}

// transitionRule is the effect of an entry kind in a state: either the reason why
// it is rejected, or the function that applies it.
type transitionRule struct {
	reason Reason
	apply  func(*Ledger, *Job, *Task, *taskEntry) Reason
}

// transitionRules is the complete state machine, by entry kind and task state. No
// entry changes a terminal state.
var transitionRules = [kindCount][stateCount]transitionRule{
	kindAssigned: {
		Pending: {apply: (*Ledger).assign}, EvictedPending: {apply: (*Ledger).assign},
		Assigned: {reason: ReasonNotWaiting}, Running: {reason: ReasonNotWaiting}, Stopping: {reason: ReasonCancelled},
		Ended: {reason: ReasonNotWaiting}, Failed: {reason: ReasonNotWaiting}, Cancelled: {reason: ReasonCancelled},
	},
	kindStarted: {
		Pending: {reason: ReasonNotOpen}, EvictedPending: {reason: ReasonNotOpen},
		Assigned: {apply: (*Ledger).start}, Running: {reason: ReasonAlreadyStarted}, Stopping: {reason: ReasonCancelled},
		Ended: {reason: ReasonNotOpen}, Failed: {reason: ReasonNotOpen}, Cancelled: {reason: ReasonCancelled},
	},
	kindReleased: {
		Pending: {reason: ReasonNotOpen}, EvictedPending: {reason: ReasonNotOpen},
		Assigned: {apply: (*Ledger).release}, Running: {apply: (*Ledger).release}, Stopping: {apply: (*Ledger).finishCancelled},
		Ended: {reason: ReasonNotOpen}, Failed: {reason: ReasonNotOpen}, Cancelled: {reason: ReasonNotOpen},
	},
	kindEnded: {
		Pending: {reason: ReasonNotOpen}, EvictedPending: {reason: ReasonNotOpen},
		Assigned: {apply: (*Ledger).end}, Running: {apply: (*Ledger).end}, Stopping: {apply: (*Ledger).finishCancelled},
		Ended: {reason: ReasonNotOpen}, Failed: {reason: ReasonNotOpen}, Cancelled: {reason: ReasonNotOpen},
	},
	kindEvicted: {
		Pending: {reason: ReasonNotOpen}, EvictedPending: {reason: ReasonNotOpen},
		Assigned: {apply: (*Ledger).evict}, Running: {apply: (*Ledger).evict}, Stopping: {apply: (*Ledger).finishCancelled},
		Ended: {reason: ReasonNotOpen}, Failed: {reason: ReasonNotOpen}, Cancelled: {reason: ReasonNotOpen},
	},
	// A task with an open attempt cannot fail: another dispatcher assigned the
	// task before the failure was recorded, and the attempt may still succeed.
	kindFailed: {
		Pending: {apply: (*Ledger).fail}, EvictedPending: {apply: (*Ledger).fail},
		Assigned: {reason: ReasonNotWaiting}, Running: {reason: ReasonNotWaiting}, Stopping: {reason: ReasonCancelled},
		Ended: {reason: ReasonNotWaiting}, Failed: {reason: ReasonNotWaiting}, Cancelled: {reason: ReasonCancelled},
	},
}

// Apply applies one entry. It returns an error only if the entry cannot be decoded
// or exceeds a limit. An entry that is not allowed in the current state is counted
// and ignored.
func (l *Ledger) Apply(offset units.Offset, entry []byte) error {
	var m wire.JobsEntry
	if err := proto.Unmarshal(entry, &m); err != nil {
		return l.rejectMalformed(offset, "%w", err)
	}
	switch k := m.GetKind().(type) {
	case *wire.JobsEntry_Submitted:
		return l.submit(offset, k.Submitted)
	case *wire.JobsEntry_Cancelled:
		return l.cancel(offset, k.Cancelled)
	}
	e, err := decodeTaskEntry(offset, &m)
	if err != nil {
		return l.rejectMalformed(offset, "%w", err)
	}
	l.recordResult(Change{Offset: offset, Kind: kindNames[e.kind], Task: e.task, Attempt: e.attempt}, l.applyTaskEntry(e))
	return nil
}

func (l *Ledger) applyTaskEntry(e *taskEntry) Reason {
	j := l.jobs[e.task.Job]
	switch {
	case j == nil:
		return ReasonUnknownJob
	case j.EndSequence != 0:
		return ReasonJobEnded
	case int64(e.task.Index) >= int64(len(j.Tasks)):
		return ReasonUnknownTask
	}
	t := &j.Tasks[e.task.Index]
	r := transitionRules[e.kind][t.State]
	if r.apply == nil {
		return r.reason
	}
	want := t.Attempt
	if e.kind == kindAssigned {
		want++
	}
	if e.kind != kindFailed && e.attempt != want {
		return ReasonWrongAttempt
	}
	return r.apply(l, j, t, e)
}

func (l *Ledger) rejectMalformed(offset units.Offset, format string, args ...any) error {
	l.recordResult(Change{Offset: offset}, ReasonMalformed)
	return fault.New("apply", Malformed, format, args...)
}

func (l *Ledger) recordResult(c Change, r Reason) {
	if r != "" {
		l.rejections[r]++
	}
	if l.Observe != nil {
		c.Reason = r
		l.Observe(c)
	}
}

// transition changes the state of a task, updates the indexes and finishes the job
// when its last task becomes terminal.
func (l *Ledger) transition(j *Job, index uint32, to State, offset units.Offset, change func(*Task)) {
	t := &j.Tasks[index]
	l.removeFromIndexes(j, index)
	if change != nil {
		change(t)
	}
	t.State, t.StateOffset = to, offset
	if to.Waiting() && j.Failed {
		t.State = Failed
	}
	if !t.State.Open() {
		t.Committed, t.Borrowed = units.Resources{}, false
	}
	l.addToIndexes(j, index)
	if t.State.Terminal() {
		j.unfinished--
		if j.unfinished == 0 {
			l.finishJob(j, offset)
		}
	}
}

func (l *Ledger) assign(j *Job, t *Task, e *taskEntry) Reason {
	l.transition(j, e.task.Index, Assigned, e.offset, func(t *Task) {
		t.Attempt, t.Worker, t.Epoch = e.attempt, e.worker, e.epoch
		t.Committed, t.Borrowed = e.committed, e.borrowed
		if e.committed.IsZero() {
			t.Committed = j.Size
		}
	})
	return ""
}

func (l *Ledger) start(j *Job, t *Task, e *taskEntry) Reason {
	l.setOpenState(t, Running, e.offset)
	return ""
}

// setOpenState changes a task from one open state to another. The attempt keeps
// its worker epoch and committed resources.
func (l *Ledger) setOpenState(t *Task, to State, offset units.Offset) {
	if t.State == Assigned {
		l.addLaunching(WorkerEpoch{t.Worker, t.Epoch}, t.Committed, -1)
	}
	t.State, t.StateOffset = to, offset
}

func (l *Ledger) release(j *Job, t *Task, e *taskEntry) Reason {
	if e.countsAsFailure {
		l.recordFailure(t.Worker, j.ID, e.offset)
	}
	l.transition(j, e.task.Index, Pending, e.offset, func(t *Task) {
		t.Reason = e.reason
		if e.checkpoint != "" {
			t.Checkpoint = e.checkpoint
		}
		if e.countsAsFailure {
			t.Failures++
			if len(t.FailedWorkers) < 8 && !slices.Contains(t.FailedWorkers, t.Worker) {
				t.FailedWorkers = append(t.FailedWorkers, t.Worker)
			}
		}
	})
	return ""
}

func (l *Ledger) end(j *Job, t *Task, e *taskEntry) Reason {
	if e.outcome != wire.Outcome_OUTCOME_COMPLETED {
		return ReasonWrongOutcome // OUTCOME_STOPPED is valid only after a cancellation
	}
	l.recordSuccess(t.Worker)
	if j.IsWatcher() { // watchers are restarted until they are cancelled
		l.transition(j, e.task.Index, Pending, e.offset, func(t *Task) { t.Reason = "watcher exited" })
		return ""
	}
	l.recordUsage(j.JobKind, e.offset, e.used, e.runTime)
	l.transition(j, e.task.Index, Ended, e.offset, func(t *Task) { t.Reason = "" })
	return ""
}

func (l *Ledger) evict(j *Job, t *Task, e *taskEntry) Reason {
	l.transition(j, e.task.Index, EvictedPending, e.offset, func(t *Task) {
		t.Reason = e.reason
		if e.checkpoint != "" {
			t.Checkpoint = e.checkpoint
		}
	})
	return ""
}

// finishCancelled ends the attempt of a cancelled task, whatever its outcome. The
// cancellation precedes the outcome in the log, so no output is published.
func (l *Ledger) finishCancelled(j *Job, t *Task, e *taskEntry) Reason {
	l.transition(j, e.task.Index, Cancelled, e.offset, nil)
	return ""
}

func (l *Ledger) fail(j *Job, t *Task, e *taskEntry) Reason {
	j.Failed, j.Reason = true, e.reason
	l.transition(j, e.task.Index, Failed, e.offset, func(t *Task) { t.Reason = e.reason })
	for len(j.waiting) > 0 { // the job cannot complete any more, so waiting tasks fail as well
		l.transition(j, j.waiting[0], Failed, e.offset, func(t *Task) { t.Reason = "another task of the job failed" })
	}
	return ""
}

func validText(s string) bool { return s != "" && len(s) <= MaxTextBytes }

// truncate limits a text to MaxReasonBytes without splitting a rune.
func truncate(s string) string {
	if len(s) <= MaxReasonBytes {
		return s
	}
	return strings.ToValidUTF8(s[:MaxReasonBytes], "")
}
