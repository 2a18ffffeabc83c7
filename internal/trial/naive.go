package trial

import (
	"cmp"
	"slices"

	"wasabihill.example/wasabihill/internal/dispatch"
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

// naive is the baseline scheduler. It assigns tasks in order of submission to the
// first worker that fits their declared size, starting at a round-robin position.
// It learns nothing and retries failed tasks at once.
type naive struct {
	next int
}

// maxNaiveVisits is the maximum number of tasks considered in one tick.
const maxNaiveVisits = 300

// Tick implements scheduler. Without the log it proposes nothing.
func (n *naive) Tick(in dispatch.Input) []dispatch.Proposal {
	if !in.LogReachable {
		return nil
	}
	out := n.releaseExpired(in)
	free := make([]units.Resources, len(in.Workers))
	for i, w := range in.Workers {
		h := ledger.WorkerEpoch{Worker: w.ID, Epoch: w.Epoch}
		free[i] = w.Capacity.Sub(w.Committed).Sub(in.Ledger.LaunchingOn(h).Committed)
	}
	visits := 0
	for _, j := range waitingJobs(in.Ledger) {
		for _, index := range j.Waiting() {
			if visits++; visits > maxNaiveVisits {
				return out
			}
			if p, ok := n.place(in, free, j, index); ok {
				out = append(out, p)
			}
		}
	}
	return out
}

// waitingJobs returns the jobs with waiting tasks, in order of submission.
func waitingJobs(l *ledger.Ledger) []*ledger.Job {
	var jobs []*ledger.Job
	for _, name := range l.Teams() {
		for p := units.PriorityLow; p <= units.PriorityUrgent; p++ {
			jobs = append(jobs, l.WaitingJobs(name, p)...)
		}
	}
	slices.SortFunc(jobs, func(a, b *ledger.Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return jobs
}

// place proposes the next worker with sufficient free resources for the task.
func (n *naive) place(in dispatch.Input, free []units.Resources, j *ledger.Job, index uint32) (dispatch.Proposal, bool) {
	for range free {
		n.next = (n.next + 1) % len(free)
		w := in.Workers[n.next]
		if !j.Size.Fits(free[n.next]) || in.Document.DomainIsOut(w.Domain) || !w.HasSession {
			continue
		}
		free[n.next] = free[n.next].Sub(j.Size)
		return dispatch.Proposal{Action: dispatch.Assign, Task: units.Task{Job: j.ID, Index: index}, Attempt: j.Tasks[index].Attempt + 1,
			WorkerEpoch: ledger.WorkerEpoch{Worker: w.ID, Epoch: w.Epoch}, Committed: j.Size}, true
	}
	return dispatch.Proposal{}, false
}

// releaseExpired proposes the release of all tasks whose worker epoch has ended.
func (n *naive) releaseExpired(in dispatch.Input) []dispatch.Proposal {
	var out []dispatch.Proposal
	for h := range in.Ledger.WorkerEpochs() {
		if !in.EpochEnded(h) {
			continue
		}
		for _, task := range in.Ledger.TasksOn(h) {
			out = append(out, dispatch.Proposal{Action: dispatch.Release, Task: task, Attempt: in.Ledger.Task(task).Attempt, Reason: "lease expired"})
		}
	}
	slices.SortFunc(out, func(a, b dispatch.Proposal) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}
