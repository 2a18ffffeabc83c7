package entry

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// encodeReport maps each outcome to the function that encodes the entry for a
// report with that outcome about the current attempt of a task. The function
// returns nil if there is nothing to record.
var encodeReport = map[wire.Outcome]func(r *wire.TaskReport, t *ledger.Task) []byte{
	wire.Outcome_OUTCOME_STARTED: func(r *wire.TaskReport, t *ledger.Task) []byte {
		if t.State != ledger.Assigned {
			return nil
		}
		return ledger.EncodeStarted(reportedAttempt(r))
	},
	wire.Outcome_OUTCOME_REFUSED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		return encodeRelease(r, ledger.Release{Reason: r.GetReason()})
	},
	wire.Outcome_OUTCOME_COMPLETED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		t, a := reportedAttempt(r)
		return ledger.EncodeEnded(t, a, r.GetOutcome(), time.Duration(r.GetRunMilliseconds())*time.Millisecond, r.GetUsed().Units())
	},
	wire.Outcome_OUTCOME_FAILED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		return encodeRelease(r, ledger.Release{Reason: r.GetReason(), CountsAsFailure: true, Checkpoint: r.GetCheckpoint()})
	},
	wire.Outcome_OUTCOME_EVICTED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		t, a := reportedAttempt(r)
		return ledger.EncodeEvicted(t, a, r.GetCheckpoint(), r.GetReason())
	},
	wire.Outcome_OUTCOME_STOPPED: func(r *wire.TaskReport, row *ledger.Task) []byte {
		if row.State != ledger.Stopping {
			return encodeRelease(r, ledger.Release{Reason: "stopped: " + r.GetReason(), Checkpoint: r.GetCheckpoint()})
		}
		t, a := reportedAttempt(r)
		return ledger.EncodeEnded(t, a, r.GetOutcome(), time.Duration(r.GetRunMilliseconds())*time.Millisecond, r.GetUsed().Units())
	},
	wire.Outcome_OUTCOME_EXPIRED: func(r *wire.TaskReport, _ *ledger.Task) []byte {
		return encodeRelease(r, ledger.Release{Reason: "lease expired", Checkpoint: r.GetCheckpoint()})
	},
}

func reportedAttempt(r *wire.TaskReport) (units.Task, units.Attempt) {
	return r.GetTask().Task(), units.Attempt(r.GetTask().GetAttempt())
}

func encodeRelease(r *wire.TaskReport, why ledger.Release) []byte {
	t, a := reportedAttempt(r)
	return ledger.EncodeReleased(t, a, why)
}

// isRecorded reports whether the ledger has recorded the report, or a later record
// makes it obsolete. It returns false for a job or an attempt that the ledger does
// not have: this process may lag behind, and an agent drops a report once it is
// acknowledged.
func isRecorded(l *ledger.Ledger, worker units.WorkerID, r *wire.TaskReport) bool {
	task, attempt := reportedAttempt(r)
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

// isActivation reports whether r is the report of a lessor that has activated the
// standby of a watcher while the log was unreachable.
func isActivation(l *ledger.Ledger, r *wire.TaskReport) bool {
	task, attempt := reportedAttempt(r)
	row, job := l.Task(task), l.Job(task.Job)
	return row != nil && job != nil && job.IsWatcher() && row.Attempt+1 == attempt &&
		r.GetOutcome() == wire.Outcome_OUTCOME_STARTED
}

// proposeReports proposes the entries for the reports of a heartbeat. A
// process that does not own the job does so only after ownerTimeout.
func (c *control) proposeReports(w *workerState, now time.Time) {
	if len(w.heartbeat.GetReports()) == 0 {
		return
	}
	c.jobs.View(func(l *ledger.Ledger) {
		for _, r := range w.heartbeat.GetReports() {
			if !isRecorded(l, w.id, r) {
				c.proposeReport(l, w, r, now)
			}
		}
	})
}

// proposeReport proposes the entry for one report, if this process must act on it.
func (c *control) proposeReport(l *ledger.Ledger, w *workerState, r *wire.TaskReport, now time.Time) {
	task, attempt := reportedAttempt(r)
	key := fmt.Sprintf("%s/%s#%d", r.GetOutcome(), task, attempt)
	if !c.ownership.Load().owns(string(task.Job)) && !c.ownerTimedOut(key, now) {
		return
	}
	if isActivation(l, r) {
		c.proposeActivation(l, w, r, key, now)
		return
	}
	encode, row := encodeReport[r.GetOutcome()], l.Task(task)
	if encode == nil || row == nil || row.Attempt != attempt {
		return // unknown outcome, or an attempt that the ledger does not have yet
	}
	if entry := encode(r, row); entry != nil && c.jobsOutbox.add(key, now, entry) {
		c.event("job", outcomeEventKinds[r.GetOutcome()], task.String(),
			fmt.Sprintf("attempt %d on %s %s", attempt, w.id, r.GetReason()), "")
	}
}

// outcomeEventKinds maps each outcome to the kind of its timeline event.
var outcomeEventKinds = map[wire.Outcome]string{
	wire.Outcome_OUTCOME_STARTED: "started", wire.Outcome_OUTCOME_REFUSED: "refused",
	wire.Outcome_OUTCOME_COMPLETED: "completed", wire.Outcome_OUTCOME_FAILED: "failed",
	wire.Outcome_OUTCOME_EVICTED: "evicted", wire.Outcome_OUTCOME_STOPPED: "stopped",
	wire.Outcome_OUTCOME_EXPIRED: "expired",
}

// proposeActivation proposes, in one append, the entries that end the attempt of the
// lost worker and record that the lessor w runs the next one.
func (c *control) proposeActivation(l *ledger.Ledger, w *workerState, r *wire.TaskReport, key string, now time.Time) {
	task, attempt := reportedAttempt(r)
	row := l.Task(task)
	entries := [][]byte{
		ledger.EncodeAssigned(task, attempt, w.workerEpoch(), l.Job(task.Job).Size, row.Borrowed),
		ledger.EncodeStarted(task, attempt),
	}
	if row.State.Open() {
		entries = append([][]byte{ledger.EncodeReleased(task, row.Attempt, ledger.Release{Reason: "standby activated by " + string(w.id)})}, entries...)
	}
	if c.jobsOutbox.add(key, now, entries...) {
		c.event("job", "standbyActivated", task.String(), fmt.Sprintf("attempt %d on %s", attempt, w.id), "")
	}
}

// unrecordedActivations reports whether the newest heartbeat of the agent reports
// an activation that the ledger does not have yet.
func (c *control) unrecordedActivations(w *workerState) (found bool) {
	c.jobs.View(func(l *ledger.Ledger) {
		for _, r := range w.heartbeat.GetReports() {
			found = found || isActivation(l, r)
		}
	})
	return found
}

// ownerTimedOut reports whether a report that another process owns has not been
// recorded for ownerTimeout.
func (c *control) ownerTimedOut(key string, now time.Time) bool {
	waitKey := "foreign/" + key
	deadline, ok := c.jobsOutbox.retryableAt[waitKey]
	if !ok {
		c.jobsOutbox.retryableAt[waitKey] = now.Add(ownerTimeout)
		return false
	}
	return !now.Before(deadline)
}

// endedJobTimeout is the time after which an unknown job in reports counts as ended
// and dropped from the ledger, if the ledger is current. It cannot be a new job,
// because the assignment was recorded before the report was sent.
const endedJobTimeout = 30 * time.Second

// unknownJobAge returns the time since the first report about the unknown job.
func (c *control) unknownJobAge(r *wire.TaskReport, now time.Time) time.Duration {
	job := units.JobID(r.GetTask().GetJob())
	since, ok := c.unknownJobSince[job]
	if !ok {
		if len(c.unknownJobSince) >= maxUnknownJobs {
			clear(c.unknownJobSince)
		}
		c.unknownJobSince[job] = now
		return 0
	}
	return now.Sub(since)
}

// maxUnknownJobs bounds the table of unknown jobs.
const maxUnknownJobs = 4096

// acknowledgeReports acknowledges the reports that are recorded or obsolete.
func (c *control) acknowledgeReports(m *wire.Heartbeat, reply *wire.HeartbeatReply) {
	if len(m.GetReports()) == 0 {
		return
	}
	now := time.Now()
	current := c.jobs.Staleness(now) < maxLogStaleness
	c.jobs.View(func(l *ledger.Ledger) {
		for _, r := range m.GetReports() {
			jobEnded := current && l.Job(r.GetTask().Task().Job) == nil && c.unknownJobAge(r, now) > endedJobTimeout
			if jobEnded || isRecorded(l, units.WorkerID(m.GetWorker()), r) {
				reply.ReportsAcknowledged = append(reply.ReportsAcknowledged, r.GetTask())
			}
		}
	})
}
