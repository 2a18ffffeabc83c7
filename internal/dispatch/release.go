package dispatch

import (
	"cmp"
	"slices"

	"wasabihill.example/wasabihill/internal/ledger"
)

// maxReleases bounds the releases of one tick: a failure domain of the target
// size runs some 2,600 tasks, which this releases within a second.
const maxReleases = 200

// releasing reports whether the release of the task's attempt has just been
// proposed, and notes it otherwise.
func (d *Dispatcher) releasing(v TaskAttempt) bool {
	if at, ok := d.released[v]; ok && d.in.Now.Sub(at) <= proposalTimeout {
		return true
	}
	d.released[v] = d.in.Now
	return false
}

// releaseEnded proposes the release of every attempt whose worker epoch has
// ended, so that the tasks run elsewhere. It is not a failure of the task.
func (d *Dispatcher) releaseEnded() {
	if d.in.EpochEnded == nil {
		return
	}
	for v, at := range d.released {
		if d.in.Now.Sub(at) > proposalTimeout {
			delete(d.released, v)
		}
	}
	var ended []ledger.WorkerEpoch
	for h := range d.in.Ledger.WorkerEpochs() {
		if d.in.EpochEnded(h) {
			ended = append(ended, h)
		}
	}
	slices.SortFunc(ended, func(a, b ledger.WorkerEpoch) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Epoch, b.Epoch))
	})
	left := maxReleases
	for _, h := range ended {
		for _, task := range d.in.Ledger.TasksOn(h) {
			if left == 0 {
				return
			}
			attempt := d.in.Ledger.Task(task).Attempt
			if !d.mine(task.Job) || d.releasing(TaskAttempt{task, attempt}) {
				continue
			}
			left--
			d.proposals = append(d.proposals, Proposal{Action: Release, Task: task, Attempt: attempt, WorkerEpoch: h, Reason: "lease expired"})
		}
	}
}
