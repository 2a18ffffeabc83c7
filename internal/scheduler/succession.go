package scheduler

import (
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The succession of the runner of a worker by one with another id. An agent that has known the
// predecessor says that its runs have ended. One that has not, since it has started meanwhile,
// tells only of the runner that it has found: the runs of the predecessor may go on until the
// leases that an earlier process of the agent was granted have ended.

// replaceRunner is called when a report names another runner than the last one. Unless the
// agent says that the runs of the predecessor have ended, they are kept until its leases end.
func (s *Scheduler) replaceRunner(w *worker, in *wire.RunnerState, leaseEnd bootclock.Instant, now Timestamp) {
	ended := in.GetPredecessorEnded() == w.runner.ID
	klog.InfoS("runner replaced", "worker", w.id, "old", w.runner.ID, "new", in.GetId(), "oldBorn", w.runner.StartedUnixMs, "born", in.GetBornUnixMs(),
		"tasks", len(w.tasks), "silent", in.GetSilent(), "predecessorEnded", ended, "leaseLeft", leaseEnd.Sub(now.Boot))
	switch {
	case w.runner.ID == in.GetId():
	case ended && !w.hasPredecessor(now) || !now.Boot.Before(leaseEnd):
		w.predecessorUntil = 0
		s.releaseTasks(w, now, runnerReplaced, func(t *task) bool { return true })
	default:
		w.withdrawStarts()
		if ended || len(w.tasks) == 0 && !w.mayHaveUnknownRuns {
			return // only the runner before the one that has ended may go on, until w.predecessorUntil
		}
		w.predecessorUntil = max(w.predecessorUntil, leaseEnd)
	}
}

// hasPredecessor reports whether runs of the runner before may go on.
func (w *worker) hasPredecessor(now Timestamp) bool { return now.Boot.Before(w.predecessorUntil) }

// releasePredecessor releases the tasks of the runner before once its leases have ended. No start
// was ordered meanwhile, so these are the tasks that the runner does not list.
func (s *Scheduler) releasePredecessor(w *worker, listed map[workflow.TaskID]bool, now Timestamp) {
	if w.predecessorUntil == 0 || w.hasPredecessor(now) {
		return
	}
	w.predecessorUntil = 0
	s.releaseTasks(w, now, runnerReplaced, func(t *task) bool { return !listed[t.id] })
}

// incarnationOf returns the incarnation that a report names.
func incarnationOf(in *wire.RunnerState) runner.Incarnation {
	return runner.Incarnation{ID: in.GetId(), StartedUnixMs: in.GetBornUnixMs()}
}
