package ledger

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"wasabihill.example/wasabihill/pkg/units"
)

// team holds the indexes of one team.
type teamIndexes struct {
	jobs      []*Job                                    // by sequence, ended ones included
	waiting   [units.PriorityUrgent + 1][]*Job          // jobs with waiting tasks, by sequence
	committed [units.PriorityUrgent + 1]units.Resources // committed by open attempts
}

func (l *Ledger) teamIndexes(name units.TeamName) *teamIndexes {
	t := l.teams[name]
	if t == nil {
		t = &teamIndexes{}
		l.teams[name] = t
	}
	return t
}

// insertJob keeps jobs sorted by sequence. New jobs are appended, so the copy
// is paid only for the rare task that returns to a queue.
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

// link adds the task to the indexes of its state.
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
		h := WorkerEpoch{t.Worker, t.Epoch}
		l.openTasksByEpoch[h] = append(l.openTasksByEpoch[h], units.Task{Job: j.ID, Index: index})
		tm := l.teamIndexes(j.Team)
		tm.committed[j.Priority] = tm.committed[j.Priority].Add(t.Committed)
		if t.State == Assigned {
			l.addLaunching(h, t.Committed, 1)
		}
	}
}

// unlink removes the task from the indexes of its state.
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
		tm := l.teamIndexes(j.Team)
		tm.committed[j.Priority] = tm.committed[j.Priority].Sub(t.Committed)
		if t.State == Assigned {
			l.addLaunching(WorkerEpoch{t.Worker, t.Epoch}, t.Committed, -1)
		}
	}
}

func (l *Ledger) removeOpenTask(h WorkerEpoch, task units.Task) {
	held := l.openTasksByEpoch[h]
	for i := range held {
		if held[i] == task {
			held[i] = held[len(held)-1]
			held = held[:len(held)-1]
			break
		}
	}
	if len(held) == 0 {
		delete(l.openTasksByEpoch, h)
		return
	}
	l.openTasksByEpoch[h] = held
}

// Launching is what the assigned attempts on a holder commit that no report
// says have started, so a heartbeat may not show them yet.
type Launching struct {
	Committed units.Resources
	Count     int
}

func (l *Ledger) addLaunching(h WorkerEpoch, size units.Resources, n int) {
	s := l.launchingByEpoch[h]
	s.Count += n
	if s.Count <= 0 {
		delete(l.launchingByEpoch, h)
		return
	}
	if n > 0 {
		s.Committed = s.Committed.Add(size)
	} else {
		s.Committed = s.Committed.Sub(size)
	}
	l.launchingByEpoch[h] = s
}

// LaunchingOn returns the sum of the attempts that are assigned to the holder
// and not known to have started.
func (l *Ledger) LaunchingOn(h WorkerEpoch) Launching { return l.launchingByEpoch[h] }

// Job returns the row of a job, or nil. It is valid until the next Apply.
func (l *Ledger) Job(id units.JobID) *Job { return l.jobs[id] }

// Task returns the row of a task of a job that has not ended, or nil.
func (l *Ledger) Task(t units.Task) *Task {
	j := l.jobs[t.Job]
	if j == nil || int64(t.Index) >= int64(len(j.Tasks)) {
		return nil
	}
	return &j.Tasks[t.Index]
}

// JobByKey returns the job that the team submitted under the idempotency key.
func (l *Ledger) JobByKey(name units.TeamName, key string) *Job {
	if id, ok := l.jobsByKey[teamKey{name, key}]; ok {
		return l.jobs[id]
	}
	return nil
}

// JobsOf returns the retained jobs of a team by order of submission. The slice
// is valid until the next Apply.
func (l *Ledger) TeamJobs(name units.TeamName) []*Job {
	if t := l.teams[name]; t != nil {
		return t.jobs
	}
	return nil
}

// Teams returns the names of the teams that have jobs, sorted.
func (l *Ledger) Teams() []units.TeamName { return slices.Sorted(maps.Keys(l.teams)) }

// WaitingJobs returns the team's jobs of a priority that have tasks to assign,
// by order of submission. The slice is valid until the next Apply.
func (l *Ledger) WaitingJobs(name units.TeamName, p units.Priority) []*Job {
	t := l.teams[name]
	if t == nil || p < units.PriorityLow || p > units.PriorityUrgent {
		return nil
	}
	return t.waiting[p]
}

// Used returns what the team's open attempts commit, by priority.
func (l *Ledger) TeamUsage(name units.TeamName) [units.PriorityUrgent + 1]units.Resources {
	if t := l.teams[name]; t != nil {
		return t.committed
	}
	return [units.PriorityUrgent + 1]units.Resources{}
}

// TasksOn returns the tasks whose open attempt is on the holder, unordered. The
// slice is valid until the next Apply.
func (l *Ledger) TasksOn(h WorkerEpoch) []units.Task { return l.openTasksByEpoch[h] }

// Holders iterates over the worker epochs that have open attempts.
func (l *Ledger) WorkerEpochs() iter.Seq[WorkerEpoch] { return maps.Keys(l.openTasksByEpoch) }

// Watchers returns the watchers that have not ended, by name.
func (l *Ledger) Watchers() []*Job {
	return slices.SortedFunc(maps.Values(l.activeWatchers), func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
}

// WatcherWaits reports whether a watcher waits to be assigned.
func (l *Ledger) HasWaitingWatcher() bool {
	for _, j := range l.activeWatchers {
		if len(j.waiting) > 0 {
			return true
		}
	}
	return false
}

// Counts returns how many jobs are retained, and how many tasks wait and hold
// resources.
func (l *Ledger) Counts() (jobs, waiting, open int) {
	return len(l.jobs), l.waitingTasks, l.openTasks
}

// Rejections returns how many entries had no effect, by reason.
func (l *Ledger) Rejections() map[Reason]uint64 { return maps.Clone(l.rejections) }
