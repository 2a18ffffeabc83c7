package dispatch

import (
	"cmp"
	"slices"

	"wasabihill.example/wasabihill/internal/ledger"
)

// maxReleases bounds the releases of one tick: a failure domain of the target
// size runs some 2,600 tasks, which this releases within a second.
const maxReleasesPerTick = 200

// releasing reports whether the release of the task's attempt has just been
// proposed, and notes it otherwise.
func (d *Dispatcher) markReleaseProposed(v TaskAttempt) bool {
	if at, ok := d.proposedReleases[v]; ok && d.input.Now.Sub(at) <= proposalTimeout {
		return true
	}
	d.proposedReleases[v] = d.input.Now
	return false
}

// releaseEnded proposes the release of every attempt whose worker epoch has
// ended, so that the tasks run elsewhere. It is not a failure of the task.
func (d *Dispatcher) releaseEndedEpochs() {
	if d.input.EpochEnded == nil {
		return
	}
	for v, at := range d.proposedReleases {
		if d.input.Now.Sub(at) > proposalTimeout {
			delete(d.proposedReleases, v)
		}
	}
	var ended []ledger.WorkerEpoch
	for h := range d.input.Ledger.WorkerEpochs() {
		if d.input.EpochEnded(h) {
			ended = append(ended, h)
		}
	}
	slices.SortFunc(ended, func(a, b ledger.WorkerEpoch) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Epoch, b.Epoch))
	})
	left := maxReleasesPerTick
	for _, h := range ended {
		for _, task := range d.input.Ledger.TasksOn(h) {
			if left == 0 {
				return
			}
			attempt := d.input.Ledger.Task(task).Attempt
			if !d.ownsJob(task.Job) || d.markReleaseProposed(TaskAttempt{task, attempt}) {
				continue
			}
			left--
			d.proposals = append(d.proposals, Proposal{Action: Release, Task: task, Attempt: attempt, WorkerEpoch: h, Reason: "lease expired"})
		}
	}
}
