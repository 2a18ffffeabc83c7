package entry

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// encodeReport turns a report about the current attempt of a task into the
// entry that records it. A nil result means that there is nothing to record.
var encodeReport = map[wire.Outcome]func(r *wire.TaskReport, t *ledger.Task) []byte{
	wire.Outcome_OUTCOME_STARTED: func(r *wire.TaskReport, t *ledger.Task) []byte {
		if t.State != ledger.Assigned {
			return nil
		}
		return ledger.EncodeStarted(reported(r))
	},
	wire.Outcome_OUTCOME_REFUSED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		return release(r, ledger.Release{Reason: r.GetReason()})
	},
	wire.Outcome_OUTCOME_COMPLETED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		t, a := reported(r)
		return ledger.EncodeEnded(t, a, r.GetOutcome(), time.Duration(r.GetRunMilliseconds())*time.Millisecond, r.GetUsed().Units())
	},
	wire.Outcome_OUTCOME_FAILED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		return release(r, ledger.Release{Reason: r.GetReason(), CountsAsFailure: true, Checkpoint: r.GetCheckpoint()})
	},
	wire.Outcome_OUTCOME_EVICTED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		t, a := reported(r)
		return ledger.EncodeEvicted(t, a, r.GetCheckpoint(), r.GetReason())
	},
	wire.Outcome_OUTCOME_STOPPED: func(r *wire.TaskReport, row *ledger.Task) []byte {
		if row.State != ledger.Stopping {
			return release(r, ledger.Release{Reason: "stopped: " + r.GetReason(), Checkpoint: r.GetCheckpoint()})
		}
		t, a := reported(r)
		return ledger.EncodeEnded(t, a, r.GetOutcome(), time.Duration(r.GetRunMilliseconds())*time.Millisecond, r.GetUsed().Units())
	},
	wire.Outcome_OUTCOME_EXPIRED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		return release(r, ledger.Release{Reason: "lease expired", Checkpoint: r.GetCheckpoint()})
	},
}

func reported(r *wire.TaskReport) (units.Task, units.Attempt) {
	return r.GetTask().Task(), units.Attempt(r.GetTask().GetAttempt())
}

func release(r *wire.TaskReport, why ledger.Release) []byte {
	t, a := reported(r)
	return ledger.EncodeReleased(t, a, why)
}

// recorded reports whether the ledger reflects a report, or holds a later fact
// that makes it void. It is false for a job or an attempt that the ledger does
// not hold: this process may be behind, and an agent forgets what is
// acknowledged.
func recorded(l *ledger.Ledger, worker units.WorkerID, r *wire.TaskReport) bool {
	task, attempt := reported(r)
	job, row := l.Job(task.Job), l.Task(task)
	switch {
	case job == nil:
		return false
	case row == nil: // the job has ended
		return true
	case row.Attempt != attempt:
		return row.Attempt > attempt
	case !row.State.Open() || row.Worker != worker:
		return true
	}
	return r.GetOutcome() == wire.Outcome_OUTCOME_STARTED && row.State != ledger.Assigned
}

// activation reports whether the report says that a lessor has activated the
// standby of a watcher while the log was unreachable.
func activation(l *ledger.Ledger, r *wire.TaskReport) bool {
	task, attempt := reported(r)
	row, job := l.Task(task), l.Job(task.Job)
	return row != nil && job != nil && job.IsWatcher() && row.Attempt+1 == attempt &&
		r.GetOutcome() == wire.Outcome_OUTCOME_STARTED
}

// acceptReports proposes the entries for the reports of a heartbeat. The owner
// of the job records a report; another process that gets it too does so only
// after the owner had time to.
func (c *control) acceptReports(w *workerRow, now time.Time) {
	if len(w.beat.GetReports()) == 0 {
		return
	}
	c.jobs.View(func(l *ledger.Ledger) {
		for _, r := range w.beat.GetReports() {
			if !recorded(l, w.id, r) {
				c.record(l, w, r, now)
			}
		}
	})
}

func (c *control) record(l *ledger.Ledger, w *workerRow, r *wire.TaskReport, now time.Time) {
	task, attempt := reported(r)
	key := fmt.Sprintf("%s/%s#%d", r.GetOutcome(), task, attempt)
	if !c.owners.Load().owns(string(task.Job)) && !c.foreignDue(key, now) {
		return
	}
	if activation(l, r) {
		c.recordActivation(l, w, r, key, now)
		return
	}
	encode, row := encodeReport[r.GetOutcome()], l.Task(task)
	if encode == nil || row == nil || row.Attempt != attempt {
		return // unknown, or not reached yet
	}
	if entry := encode(r, row); entry != nil && c.jobsOut.add(key, now, entry) {
		c.event("job", outcomeNames[r.GetOutcome()], task.String(),
			fmt.Sprintf("attempt %d on %s %s", attempt, w.id, r.GetReason()), "")
	}
}

var outcomeNames = map[wire.Outcome]string{
	wire.Outcome_OUTCOME_STARTED: "started", wire.Outcome_OUTCOME_REFUSED: "refused",
	wire.Outcome_OUTCOME_COMPLETED: "completed", wire.Outcome_OUTCOME_FAILED: "failed",
	wire.Outcome_OUTCOME_EVICTED: "evicted", wire.Outcome_OUTCOME_STOPPED: "stopped",
	wire.Outcome_OUTCOME_EXPIRED: "expired",
}

// recordActivation records in one append that the holder's attempt is over and
// that the lessor runs the next one.
func (c *control) recordActivation(l *ledger.Ledger, w *workerRow, r *wire.TaskReport, key string, now time.Time) {
	task, attempt := reported(r)
	row := l.Task(task)
	entries := [][]byte{
		ledger.EncodeAssigned(task, attempt, w.holder(), l.Job(task.Job).Size, row.Borrowed),
		ledger.EncodeStarted(task, attempt),
	}
	if row.State.Open() {
		entries = append([][]byte{ledger.EncodeReleased(task, row.Attempt, ledger.Release{Reason: "standby activated by " + string(w.id)})}, entries...)
	}
	if c.jobsOut.add(key, now, entries...) {
		c.event("job", "standbyActivated", task.String(), fmt.Sprintf("attempt %d on %s", attempt, w.id), "")
	}
}

// unrecordedActivations reports whether the agent's heartbeat carries an
// activation that the ledger does not hold yet.
func (c *control) unrecordedActivations(w *workerRow) (found bool) {
	c.jobs.View(func(l *ledger.Ledger) {
		for _, r := range w.beat.GetReports() {
			found = found || activation(l, r)
		}
	})
	return found
}

// foreignDue reports whether another process's report has been outstanding for
// foreignAfter.
func (c *control) foreignDue(key string, now time.Time) bool {
	mark := "foreign/" + key
	since, ok := c.jobsOut.proposed[mark]
	if !ok {
		c.jobsOut.proposed[mark] = now.Add(foreignAfter)
		return false
	}
	return !now.Before(since)
}

// forgottenAfter is how long a report about an unknown job is repeated while
// the tail of the stream is followed, before the job counts as ended and
// dropped: the assignment was recorded before the report was sent.
const forgottenAfter = 30 * time.Second

// unknownFor returns how long reports about the job have come in.
func (c *control) unknownFor(r *wire.TaskReport, now time.Time) time.Duration {
	job := units.JobID(r.GetTask().GetJob())
	since, ok := c.unknown[job]
	if !ok {
		if len(c.unknown) >= maxUnknown {
			clear(c.unknown)
		}
		c.unknown[job] = now
		return 0
	}
	return now.Sub(since)
}

// maxUnknown bounds the table of unknown jobs.
const maxUnknown = 4096

// answerReports acknowledges the reports that the ledger reflects.
func (c *control) answerReports(m *wire.Heartbeat, reply *wire.HeartbeatReply) {
	if len(m.GetReports()) == 0 {
		return
	}
	now := time.Now()
	current := c.jobs.Staleness(now) < reachable
	c.jobs.View(func(l *ledger.Ledger) {
		for _, r := range m.GetReports() {
			forgotten := current && l.Job(r.GetTask().Task().Job) == nil && c.unknownFor(r, now) > forgottenAfter
			if forgotten || recorded(l, units.WorkerID(m.GetWorker()), r) {
				reply.ReportsAcknowledged = append(reply.ReportsAcknowledged, r.GetTask())
			}
		}
	})
}
