package dispatch

import (
	"cmp"
	"slices"

	"wasabihill.example/wasabihill/internal/ledger"
)

// maxReleasesPerTick limits the releases of one tick. A failure domain of the
// target size runs about 2,600 tasks, which are released within a second.
const maxReleasesPerTick = 200

// markReleaseProposed reports whether a release of the attempt was proposed
// within proposalTimeout. If not, it records one for now.
func (d *Dispatcher) markReleaseProposed(a TaskAttempt) bool {
	if at, ok := d.proposedReleases[a]; ok && d.in.Now.Sub(at) <= proposalTimeout {
		return true
	}
	d.proposedReleases[a] = d.in.Now
	return false
}

// releaseEndedEpochs proposes the release of every attempt whose worker epoch
// has ended, so that the tasks run elsewhere. The releases do not count as
// failures.
func (d *Dispatcher) releaseEndedEpochs() {
	if d.in.EpochEnded == nil {
		return
	}
	for a, at := range d.proposedReleases {
		if d.in.Now.Sub(at) > proposalTimeout {
			delete(d.proposedReleases, a)
		}
	}
	var ended []ledger.WorkerEpoch
	for epoch := range d.in.Ledger.WorkerEpochs() {
		if d.in.EpochEnded(epoch) {
			ended = append(ended, epoch)
		}
	}
	slices.SortFunc(ended, func(a, b ledger.WorkerEpoch) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Epoch, b.Epoch))
	})
	left := maxReleasesPerTick
	for _, epoch := range ended {
		for _, task := range d.in.Ledger.TasksOn(epoch) {
			if left == 0 {
				return
			}
			attempt := d.in.Ledger.Task(task).Attempt
			if !d.ownsJob(task.Job) || d.markReleaseProposed(TaskAttempt{task, attempt}) {
				continue
			}
			left--
			d.proposals = append(d.proposals, Proposal{Action: Release, Task: task, Attempt: attempt, WorkerEpoch: epoch, Reason: "lease expired"})
		}
	}
}
