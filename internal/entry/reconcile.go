package entry

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// maxRunningListAge is the interval at which an agent is requested to send the
	// full list of its running tasks. With ten tasks and twelve entry processes the
	// lists cost 80 B/s.
	maxRunningListAge = time.Minute
	// missingTimeout is how long an attempt must be missing from full lists before
	// it counts as lost. A list may have been composed just before a start that the
	// ledger already has.
	missingTimeout = 10 * time.Second
	// reconcileInterval is the interval between two comparisons.
	reconcileInterval = time.Second
)

// missingAttempt is an attempt that is running according to the ledger but missing
// from the newest full list of its worker.
type missingAttempt struct {
	since          time.Time // time at which it was first found to be missing
	listReceivedAt time.Time // when the list without it was received
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    units.Task
	attempt units.Attempt
}

// reconcile releases attempts that are running according to the ledger although the
// agent of the same epoch lists them neither as running nor in a report. No known
// fault causes this state, but an unknown one would leave the task open forever.
// An agent never restarts an attempt that has ended, so the released attempt and
// the next one cannot run at the same time.
func (c *control) reconcile(now time.Time) {
	if now.Before(c.nextReconcileAt) || c.catchingUp(now) {
		return
	}
	c.nextReconcileAt = now.Add(reconcileInterval)
	c.compareRunningLists(now)
}

// compareRunningLists compares the newest full lists with the ledger.
func (c *control) compareRunningLists(now time.Time) {
	stillMissing := make(map[attemptKey]missingAttempt)
	c.jobs.View(func(l *ledger.Ledger) {
		for h := range l.WorkerEpochs() {
			w := c.workers[h.Worker]
			if w == nil || !w.reachable(now) || w.workerEpoch() != h || w.runningEpoch != h.Epoch {
				continue
			}
			c.reconcileWorker(l, h, w, stillMissing, now)
		}
	})
	c.missingAttempts = stillMissing
}

// reconcileWorker adds the missing attempts of one worker to stillMissing and proposes
// the release of those that count as lost.
func (c *control) reconcileWorker(l *ledger.Ledger, h ledger.WorkerEpoch, w *workerState, stillMissing map[attemptKey]missingAttempt, now time.Time) {
	listed := w.mayRun()
	for _, task := range l.TasksOn(h) {
		row := l.Task(task)
		if row.State != ledger.Running || listed(task, row.Attempt) || !c.ownership.Load().owns(string(task.Job)) {
			continue
		}
		key := attemptKey{task, row.Attempt}
		m, seen := c.missingAttempts[key]
		if !seen {
			m = missingAttempt{since: now, listReceivedAt: w.runningListedAt}
		}
		stillMissing[key] = m
		if now.Sub(m.since) < missingTimeout || !w.runningListedAt.After(m.listReceivedAt) {
			continue
		}
		entry := ledger.EncodeReleased(task, row.Attempt, ledger.Release{Reason: "the worker does not run it"})
		if c.jobsOutbox.add(fmt.Sprintf("lost/%s#%d", task, row.Attempt), now, entry) {
			c.counters.releases.Inc(1)
			c.event("job", "released", task.String(), fmt.Sprintf("attempt %d is not on %s", row.Attempt, h.Worker), "")
		}
	}
}

// mayRun returns a function that reports whether the worker may run an attempt
// according to the agent's newest full list and the reports of its newest
// heartbeat.
func (w *workerState) mayRun() func(units.Task, units.Attempt) bool {
	unreported := make(map[units.Task]bool, len(w.heartbeat.GetReports()))
	for _, r := range w.heartbeat.GetReports() {
		unreported[r.GetTask().Task()] = true
	}
	return func(t units.Task, a units.Attempt) bool { return w.runningAttempts[t] == a || unreported[t] }
}
