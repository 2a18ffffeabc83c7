package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

// Jobs implements administration.Backend.
func (b backend) Jobs(_ context.Context, f administration.JobFilter) ([]administration.Job, error) {
	var list []administration.Job
	b.jobs.View(func(l *ledger.Ledger) {
		var rows []*ledger.Job
		for _, name := range l.Teams() {
			if f.Team == "" || f.Team == name {
				rows = append(rows, l.TeamJobs(name)...)
			}
		}
		slices.SortFunc(rows, func(a, b *ledger.Job) int { return cmp.Compare(b.Sequence, a.Sequence) })
		for _, j := range rows {
			job := describeJob(j, false)
			if f.State != "" && job.State != f.State {
				continue
			}
			if list = append(list, job); f.Limit > 0 && len(list) >= f.Limit {
				return
			}
		}
	})
	return list, nil
}

// Job implements administration.Backend.
func (b backend) Job(_ context.Context, id units.JobID) (job administration.Job, err error) {
	err = errLogNotRead()
	if b.jobs.Staleness(time.Now()) <= maxLogStaleness {
		err = administration.Errorf(administration.KindNotFound, "job %q is not known", id)
	}
	b.jobs.View(func(l *ledger.Ledger) {
		if j := l.Job(id); j != nil {
			job, err = describeJob(j, true), nil
		}
	})
	return job, err
}

// taskCounters returns the count that a task in each state adds to.
var taskCounters = map[ledger.State]func(*administration.TaskCounts) *int{
	ledger.Pending:        func(c *administration.TaskCounts) *int { return &c.Pending },
	ledger.EvictedPending: func(c *administration.TaskCounts) *int { return &c.Pending },
	ledger.Assigned:       func(c *administration.TaskCounts) *int { return &c.Running },
	ledger.Running:        func(c *administration.TaskCounts) *int { return &c.Running },
	ledger.Stopping:       func(c *administration.TaskCounts) *int { return &c.Running },
	ledger.Ended:          func(c *administration.TaskCounts) *int { return &c.Completed },
	ledger.Failed:         func(c *administration.TaskCounts) *int { return &c.Failed },
}

// describeJob returns the administration API's view of a job, with its tasks if details
// is set.
func describeJob(j *ledger.Job, details bool) administration.Job {
	job := administration.Job{
		ID: j.ID, Team: j.Team, Name: j.Name, Kind: j.JobKind, Priority: j.Priority.String(),
		Size: administration.Size(j.Size), Submitted: j.SubmittedAt, Reason: j.Reason,
	}
	count := func(state ledger.State) {
		job.Tasks.Total++
		if counter := taskCounters[state]; counter != nil {
			*counter(&job.Tasks)++
		}
	}
	for i, t := range j.Tasks {
		count(t.State)
		if details {
			job.Details = append(job.Details, administration.Task{
				Index: uint32(i), State: t.State.String(), Attempt: t.Attempt, Worker: t.Worker,
				Failures: int(t.Failures), Checkpoint: t.Checkpoint, Reason: t.Reason,
			})
		}
	}
	for i, o := range j.Outcomes {
		count(o.State)
		if details {
			job.Details = append(job.Details, administration.Task{Index: uint32(i), State: o.State.String(), Attempt: o.Attempt})
		}
	}
	job.State = jobState(j, job.Tasks)
	return job
}

// jobState derives the state of a job from the counts of its tasks.
func jobState(j *ledger.Job, counts administration.TaskCounts) string {
	switch {
	case j.Cancelled:
		return "cancelled"
	case j.Failed:
		return "failed"
	case counts.Completed == counts.Total:
		return "completed"
	case counts.Running > 0 || counts.Completed > 0:
		return "running"
	}
	return "pending"
}

// Workers implements administration.Backend.
func (b backend) Workers(ctx context.Context) ([]administration.Worker, error) {
	var list []administration.Worker
	now := time.Now()
	document, _ := b.Entry.Document()
	err := b.runOnLoop(ctx, func(c *control) {
		running := make(map[units.WorkerID]int)
		c.jobs.View(func(l *ledger.Ledger) {
			for h := range l.WorkerEpochs() {
				running[h.Worker] += len(l.TasksOn(h))
			}
		})
		c.members.View(func(r *roster.Roster) {
			for _, w := range r.Workers() {
				view := describeWorker(w, c.workers[w.ID], now)
				view.Running = running[w.ID]
				if document != nil && document.IsDrained(w.ID) && view.State == "ready" {
					view.State = "drained"
				}
				list = append(list, view)
			}
		})
	})
	return list, err
}

// describeWorker returns the administration API's view of a worker. The parameter
// row is its state from heartbeats, or nil without any.
func describeWorker(w roster.Worker, row *workerState, now time.Time) administration.Worker {
	view := administration.Worker{
		ID: w.ID, Epoch: w.Epoch, FailureDomain: w.Domain, Rack: w.Rack, Region: w.Region,
		Lessor: w.Lessor.Worker, Capacity: administration.Size(w.Capacity), State: "silent", Endpoints: []administration.Endpoint{},
	}
	if row != nil && row.reachable(now) {
		view.State = "ready"
	}
	switch {
	case w.Left:
		view.State = "left"
	case w.Expired:
		view.State = "expired"
	}
	if row == nil {
		return view
	}
	view.Committed = administration.Size(row.heartbeat.GetCommitted().Units())
	for _, e := range row.heartbeat.GetEndpoints() {
		view.Endpoints = append(view.Endpoints, administration.Endpoint{
			Service: units.ServiceName(e.GetService()), State: endpointStates[e.GetState()],
			Slots: int(e.GetSlots()), Busy: int(e.GetBusy()), Queued: int(e.GetQueued()),
		})
	}
	return view
}

var endpointStates = map[wire.EndpointState]string{
	wire.EndpointState_ENDPOINT_STATE_READY:   "ready",
	wire.EndpointState_ENDPOINT_STATE_LEAVING: "leaving",
	wire.EndpointState_ENDPOINT_STATE_GONE:    "gone",
}

// Entries implements administration.Backend.
func (b backend) Entries(ctx context.Context) ([]administration.Entry, error) {
	var list []administration.Entry
	now := time.Now()
	err := b.runOnLoop(ctx, func(c *control) {
		c.members.View(func(r *roster.Roster) {
			for _, e := range r.Entries() {
				list = append(list, administration.Entry{
					ID: e.ID, FailureDomain: e.Domain, Region: e.Region, LinkAddress: e.LinkAddress,
					Live: c.liveness.Alive(e.ID, now), Answering: e.ID == b.Settings.ID,
				})
			}
		})
	})
	return list, err
}

// Teams implements administration.Backend.
func (b backend) Teams(context.Context) ([]administration.Team, error) {
	document, _ := b.Entry.Document()
	if document == nil {
		return nil, nil
	}
	list := make([]administration.Team, 0, len(document.Teams))
	b.jobs.View(func(l *ledger.Ledger) {
		for _, t := range document.Teams {
			view := administration.Team{Name: t.Name, Quota: administration.Size(t.Quota), MayBorrow: t.MayBorrow, Used: administration.Size(teamUsage(l, t.Name))}
			for p := units.PriorityLow; p <= units.PriorityUrgent; p++ {
				for _, j := range l.WaitingJobs(t.Name, p) {
					view.Pending += len(j.Waiting())
				}
			}
			list = append(list, view)
		}
	})
	return list, nil
}
