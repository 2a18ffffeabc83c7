package entry

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

const watcherCheckInterval = time.Second

// reconcileWatchers submits the watchers of the document that the ledger does not
// have, and cancels those that the document does not contain any more.
func (c *control) reconcileWatchers(now time.Time) {
	v := c.currentVersion.Load()
	if v == nil || now.Before(c.nextWatcherCheckAt) || !c.logReachable(now) {
		return
	}
	c.nextWatcherCheckAt = now.Add(watcherCheckInterval)
	wanted := make(map[string]environment.Watcher, len(v.document.Watchers))
	for _, w := range v.document.Watchers {
		wanted[w.Name] = w
	}
	c.jobs.View(func(l *ledger.Ledger) {
		present := make(map[string]bool)
		for _, j := range l.Watchers() {
			w, ok := wanted[j.Name]
			if ok && !j.Cancelled && sameWatcher(j, w) {
				present[j.Name] = true
				continue
			}
			if j.Cancelled {
				present[j.Name] = present[j.Name] || ok // wait until the last attempt of a cancelled watcher has stopped
				continue
			}
			if c.ownership.Load().owns(string(j.ID)) {
				c.jobsOutbox.add("cancel/"+string(j.ID), now, ledger.EncodeCancelled(j.ID, "not in the document"))
			}
			present[j.Name] = ok
		}
		for name, w := range wanted {
			if !present[name] && c.ownership.Load().owns(ledger.WatcherPrefix+name) {
				c.submitWatcher(l, w, v.offset, now)
			}
		}
	})
}

// sameWatcher reports whether the job was submitted with the same parameters.
func sameWatcher(j *ledger.Job, w environment.Watcher) bool {
	return j.Team == w.Team && j.Priority == w.Priority && j.Size == w.Size
}

// submitWatcher submits a watcher under the ID "watcher/<name>", or
// "watcher/<name>@<offset of the document>" if the ledger already has that ID.
func (c *control) submitWatcher(l *ledger.Ledger, w environment.Watcher, offset units.Offset, now time.Time) {
	id := units.JobID(ledger.WatcherPrefix + w.Name)
	if l.Job(id) != nil {
		id = units.JobID(fmt.Sprintf("%s%s@%d", ledger.WatcherPrefix, w.Name, offset))
	}
	entry := ledger.EncodeSubmitted(&wire.JobSubmitted{
		Job: string(id), Team: string(w.Team), Name: w.Name, Tasks: 1, SubmittedUnixMilliseconds: now.UnixMilli(),
		Spec: &wire.TaskSpec{
			Kind: wire.TaskKind_TASK_KIND_WATCHER, Priority: wire.FromPriority(w.Priority), Team: string(w.Team),
			JobKind: w.Name, Size: wire.FromResources(w.Size),
		},
	})
	if c.jobsOutbox.add("submit/"+string(id), now, entry) {
		c.event("job", "submitted", string(id), "from the document", "")
	}
}

// standbysOf returns the watchers that run on worker epoch h, as standbys for its lessor.
func (c *control) standbysOf(h roster.WorkerEpoch) []*wire.Standby {
	var list []*wire.Standby
	c.jobs.View(func(l *ledger.Ledger) {
		for _, task := range l.TasksOn(ledger.WorkerEpoch(h)) {
			job, row := l.Job(task.Job), l.Task(task)
			if job.IsWatcher() && row.State == ledger.Running {
				list = append(list, &wire.Standby{
					Task: wire.NewTaskRef(task, row.Attempt), Spec: job.LaunchSpec(task.Index),
					Holder: string(h.Worker), HolderEpoch: uint64(h.Epoch),
				})
			}
		}
	})
	return list
}
