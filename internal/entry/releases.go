package entry

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// releaseEndedEpochs releases attempts of an epoch that has been replaced by a newer
// one in force. The newer agent has adopted what the worker still runs, so only
// attempts missing from its full list have ended. If the newest epoch has ended
// too, the worker runs nothing, and the dispatcher releases all its attempts.
func (c *control) releaseEndedEpochs(now time.Time) {
	if c.catchingUp(now) {
		return
	}
	type ended struct {
		holder ledger.WorkerEpoch
		newest roster.Worker
	}
	var holders []ended
	c.jobs.View(func(l *ledger.Ledger) {
		for h := range l.WorkerEpochs() {
			holders = append(holders, ended{holder: h})
		}
	})
	replaced := holders[:0]
	c.members.View(func(r *roster.Roster) {
		for _, h := range holders {
			newest, ok := r.Worker(h.holder.Worker)
			if ok && newest.Active() && newest.Epoch > h.holder.Epoch {
				replaced = append(replaced, ended{h.holder, newest})
			}
		}
	})
	for _, h := range replaced {
		c.releaseAttempts(h.holder, h.newest, now)
	}
}

// releaseAttempts releases the attempts on an ended epoch that the newest epoch of the
// worker has not adopted.
func (c *control) releaseAttempts(h ledger.WorkerEpoch, newest roster.Worker, now time.Time) {
	adopted := c.adoptedAttempts(h, newest)
	if adopted == nil {
		return
	}
	c.jobs.View(func(l *ledger.Ledger) {
		for _, task := range l.TasksOn(h) {
			row := l.Task(task)
			if adopted(task, row.Attempt) || !c.ownership.Load().owns(string(task.Job)) {
				continue
			}
			entry := ledger.EncodeReleased(task, row.Attempt, ledger.Release{Reason: "worker epoch ended"})
			if row.State == ledger.Stopping {
				entry = ledger.EncodeEnded(task, row.Attempt, wire.Outcome_OUTCOME_STOPPED, 0, units.Resources{})
			}
			if c.jobsOutbox.add(fmt.Sprintf("release/%s#%d", task, row.Attempt), now, entry) {
				c.counters.releases.Inc(1)
				c.event("job", "released", task.String(), fmt.Sprintf("attempt %d: epoch %d of %s ended", row.Attempt, h.Epoch, h.Worker), "")
			}
		}
	})
}

// adoptedAttempts returns a function that reports whether an attempt of an ended
// epoch may still run, or nil until the newest epoch has sent its full list.
func (c *control) adoptedAttempts(h ledger.WorkerEpoch, newest roster.Worker) func(units.Task, units.Attempt) bool {
	w := c.workers[h.Worker]
	if w == nil || w.runningEpoch != newest.Epoch || units.Epoch(w.heartbeat.GetEpoch()) != newest.Epoch {
		return nil
	}
	return w.mayRun()
}
