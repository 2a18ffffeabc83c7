package ledger

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"wasabihill.example/wasabihill/pkg/units"
)

// teamIndexes contains the jobs and usage of one team.
type teamIndexes struct {
	jobs      []*Job                                    // by sequence, including ended jobs
	waiting   [units.PriorityUrgent + 1][]*Job          // jobs with waiting tasks, by sequence
	committed [units.PriorityUrgent + 1]units.Resources // by open attempts of each priority
}

func (l *Ledger) teamIndexes(name units.TeamName) *teamIndexes {
	t := l.teams[name]
	if t == nil {
		t = &teamIndexes{}
		l.teams[name] = t
	}
	return t
}

// insertJob inserts a job by sequence. New jobs go to the end, so elements are
// moved only in the rare case that a task returns to a queue.
func insertJob(jobs []*Job, j *Job) []*Job {
	i, found := slices.BinarySearchFunc(jobs, j.Sequence, func(o *Job, s uint64) int { return cmp.Compare(o.Sequence, s) })
	if found {
		return jobs
	}
	return slices.Insert(jobs, i, j)
}

func removeJob(jobs []*Job, j *Job) []*Job {
	i, found := slices.BinarySearchFunc(jobs, j.Sequence, func(o *Job, s uint64) int { return cmp.Compare(o.Sequence, s) })
	if !found {
		return jobs
	}
	if i == 0 {
		jobs[0] = nil
		return jobs[1:]
	}
	return slices.Delete(jobs, i, i+1)
}

// addToIndexes adds the task to the indexes of its state.
func (l *Ledger) addToIndexes(j *Job, index uint32) {
	t := &j.Tasks[index]
	switch {
	case t.State.Waiting():
		l.waitingTasks++
		if n := len(j.waiting); n == 0 || j.waiting[n-1] < index {
			j.waiting = append(j.waiting, index)
		} else if i, found := slices.BinarySearch(j.waiting, index); !found {
			j.waiting = slices.Insert(j.waiting, i, index)
		}
		if len(j.waiting) == 1 {
			w := &l.teamIndexes(j.Team).waiting[j.Priority]
			*w = insertJob(*w, j)
		}
	case t.State.Open():
		l.openTasks++
		epoch := WorkerEpoch{t.Worker, t.Epoch}
		l.openTasksByEpoch[epoch] = append(l.openTasksByEpoch[epoch], units.Task{Job: j.ID, Index: index})
		indexes := l.teamIndexes(j.Team)
		indexes.committed[j.Priority] = indexes.committed[j.Priority].Add(t.Committed)
		if t.State == Assigned {
			l.addLaunching(epoch, t.Committed, 1)
		}
	}
}

// removeFromIndexes removes the task from the indexes of its state.
func (l *Ledger) removeFromIndexes(j *Job, index uint32) {
	t := &j.Tasks[index]
	switch {
	case t.State.Waiting():
		l.waitingTasks--
		if i, found := slices.BinarySearch(j.waiting, index); found {
			if i == 0 {
				j.waiting = j.waiting[1:]
			} else {
				j.waiting = slices.Delete(j.waiting, i, i+1)
			}
		}
		if len(j.waiting) == 0 {
			j.waiting = nil
			w := &l.teamIndexes(j.Team).waiting[j.Priority]
			*w = removeJob(*w, j)
		}
	case t.State.Open():
		l.openTasks--
		l.removeOpenTask(WorkerEpoch{t.Worker, t.Epoch}, units.Task{Job: j.ID, Index: index})
		indexes := l.teamIndexes(j.Team)
		indexes.committed[j.Priority] = indexes.committed[j.Priority].Sub(t.Committed)
		if t.State == Assigned {
			l.addLaunching(WorkerEpoch{t.Worker, t.Epoch}, t.Committed, -1)
		}
	}
}

func (l *Ledger) removeOpenTask(w WorkerEpoch, task units.Task) {
	open := l.openTasksByEpoch[w]
	for i := range open {
		if open[i] == task {
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
			break
		}
	}
	if len(open) == 0 {
		delete(l.openTasksByEpoch, w)
		return
	}
	l.openTasksByEpoch[w] = open
}

// Launching is the number and committed resources of the attempts on a worker
// epoch that are assigned but not reported as started. Heartbeats may not include
// them yet.
type Launching struct {
	Committed units.Resources
	Count     int
}

func (l *Ledger) addLaunching(w WorkerEpoch, size units.Resources, n int) {
	s := l.launchingByEpoch[w]
	s.Count += n
	if s.Count <= 0 {
		delete(l.launchingByEpoch, w)
		return
	}
	if n > 0 {
		s.Committed = s.Committed.Add(size)
	} else {
		s.Committed = s.Committed.Sub(size)
	}
	l.launchingByEpoch[w] = s
}

// LaunchingOn returns the attempts on the worker epoch that are assigned but not
// reported as started.
func (l *Ledger) LaunchingOn(w WorkerEpoch) Launching { return l.launchingByEpoch[w] }

// Job returns the job with the id, or nil. It is valid until the next Apply.
func (l *Ledger) Job(id units.JobID) *Job { return l.jobs[id] }

// Task returns the task, or nil if it does not exist or its job has ended. It is valid
// until the next Apply.
func (l *Ledger) Task(t units.Task) *Task {
	j := l.jobs[t.Job]
	if j == nil || int64(t.Index) >= int64(len(j.Tasks)) {
		return nil
	}
	return &j.Tasks[t.Index]
}

// JobByKey returns the job that the team submitted with the idempotency key, or
// nil.
func (l *Ledger) JobByKey(name units.TeamName, key string) *Job {
	if id, ok := l.jobsByKey[teamKey{name, key}]; ok {
		return l.jobs[id]
	}
	return nil
}

// TeamJobs returns the retained jobs of a team in order of submission. The slice
// is valid until the next Apply.
func (l *Ledger) TeamJobs(name units.TeamName) []*Job {
	if t := l.teams[name]; t != nil {
		return t.jobs
	}
	return nil
}

// Teams returns the names of the teams that have jobs, sorted.
func (l *Ledger) Teams() []units.TeamName { return slices.Sorted(maps.Keys(l.teams)) }

// WaitingJobs returns the team's jobs of a priority that have waiting tasks, in
// order of submission. The slice is valid until the next Apply.
func (l *Ledger) WaitingJobs(name units.TeamName, p units.Priority) []*Job {
	t := l.teams[name]
	if t == nil || p < units.PriorityLow || p > units.PriorityUrgent {
		return nil
	}
	return t.waiting[p]
}

// TeamUsage returns the resources committed by the team's open attempts, by
// priority.
func (l *Ledger) TeamUsage(name units.TeamName) [units.PriorityUrgent + 1]units.Resources {
	if t := l.teams[name]; t != nil {
		return t.committed
	}
	return [units.PriorityUrgent + 1]units.Resources{}
}

// TasksOn returns the tasks whose open attempt is on the worker epoch, in no
// particular order. The slice is valid until the next Apply.
func (l *Ledger) TasksOn(w WorkerEpoch) []units.Task { return l.openTasksByEpoch[w] }

// WorkerEpochs iterates over the worker epochs that have open attempts.
func (l *Ledger) WorkerEpochs() iter.Seq[WorkerEpoch] { return maps.Keys(l.openTasksByEpoch) }

// Watchers returns the jobs of watchers that have not ended, sorted by id.
func (l *Ledger) Watchers() []*Job {
	return slices.SortedFunc(maps.Values(l.activeWatchers), func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
}

// HasWaitingWatcher reports whether a watcher waits to be assigned.
func (l *Ledger) HasWaitingWatcher() bool {
	for _, j := range l.activeWatchers {
		if len(j.waiting) > 0 {
			return true
		}
	}
	return false
}

// Counts returns the number of retained jobs, of waiting tasks and of tasks with
// an open attempt.
func (l *Ledger) Counts() (jobs, waiting, open int) {
	return len(l.jobs), l.waitingTasks, l.openTasks
}

// Rejections returns the number of rejected entries by reason.
func (l *Ledger) Rejections() map[Reason]uint64 { return maps.Clone(l.rejections) }
