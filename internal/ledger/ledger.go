// Package ledger folds the stream of jobs into tables of jobs and tasks. Every
// entry process applies the same entries in the same order and so agrees on
// which attempt of a task holds; an entry that the rules do not allow in the
// task's state has no effect and is counted.
package ledger

import (
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind says which failure an Error is.
type Kind string

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// The kinds of errors.
const (
	Malformed   Kind = "malformed entry"
	BadSnapshot Kind = "bad snapshot"
)

// State is the state of a task.
type State uint8

// The states of a task. Stopping is a cancelled task whose last attempt is not
// yet known to have stopped: it never starts anew but still holds resources.
const (
	Pending State = iota + 1
	EvictedPending
	Assigned
	Running
	Stopping
	Ended
	Failed
	Cancelled
	stateCount
)

var stateNames = [stateCount]string{"", "pending", "evictedPending", "assigned", "running", "stopping", "ended", "failed", "cancelled"}

// String returns the name of s, such as "running".
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return "unknown"
}

// Waiting reports whether a task in s may be assigned.
func (s State) Waiting() bool { return s == Pending || s == EvictedPending }

// Open reports whether a task in s has an attempt that may hold resources.
func (s State) Open() bool { return s == Assigned || s == Running || s == Stopping }

// Terminal reports whether a task in s never changes again.
func (s State) Terminal() bool { return s >= Ended && s < stateCount }

// WatcherPrefix begins the id of the single-task job of a watcher.
const WatcherPrefix = "watcher/"

// Limits of the fold. Each is part of the deterministic function: every entry
// process must use the same value.
const (
	// RetainedJobs and RetainedTasks bound the ended jobs kept for lookup: a day
	// and a half at 13,000 jobs a day.
	MaxEndedJobs  = 20_000
	MaxEndedTasks = 200_000
	// MaxTasks bounds the tasks of one job, MaxText every id, key and name, and
	// MaxReason the texts that are cut instead of rejected.
	MaxTasksPerJob = 10_000
	MaxTextBytes   = 256
	MaxReasonBytes = 512
)

// Task is the row of one task.
type Task struct {
	Attempt       units.Attempt // current attempt, 0 before the first
	State         State
	Worker        units.WorkerID // of the current attempt
	Epoch         units.Epoch
	Failures      uint32           // attempts that counted as failures
	FailedWorkers []units.WorkerID // distinct, in order of first failure
	Checkpoint    string           // to resume from
	Reason        string           // of the last release, eviction or failure
	StateOffset   units.Offset     // where State began
	Committed     units.Resources  // of the current attempt
	Borrowed      bool             // the current attempt exceeds the team's quota
}

// Outcome is what remains of a task of an ended job.
type Outcome struct {
	State   State
	Attempt units.Attempt // names the published output when State is Ended
}

// Job is the row of one job. Callers read it on the goroutine that applies.
type Job struct {
	ID           units.JobID
	Key          string // idempotency key within the team, empty for none
	Team         units.TeamName
	Name         string
	Kind         wire.TaskKind
	Priority     units.Priority
	JobKind      units.JobKind
	Size         units.Resources // declared
	RunTime      time.Duration   // declared, 0 for a watcher
	Checkpoint   string          // of the submission
	Sequence     uint64          // order of submission
	SubmitOffset units.Offset
	SubmittedAt  time.Time // wall clock, display only
	Cancelled    bool
	Failed       bool   // a task failed for good; waiting tasks do not start
	Reason       string // of the cancellation or failure
	Tasks        []Task // nil once the job has ended
	Outcomes     []Outcome
	EndSequence  uint64       // order of ending, 0 before
	EndOffset    units.Offset // where the last task ended

	waiting    []uint32 // ascending indexes of tasks that may be assigned
	unfinished int      // tasks that are not terminal
}

// Waiting returns the indexes of the tasks that may be assigned, ascending. The
// slice is valid until the next Apply.
func (j *Job) Waiting() []uint32 { return j.waiting }

// IsWatcher reports whether the job is a watcher.
func (j *Job) IsWatcher() bool { return j.Kind == wire.TaskKind_TASK_KIND_WATCHER }

// Holder is one epoch of a worker.
type WorkerEpoch struct {
	Worker units.WorkerID
	Epoch  units.Epoch
}

// Change describes an entry that took effect, or why it did not.
type Change struct {
	Offset  units.Offset
	Kind    string     // entry kind, such as "assigned"
	Task    units.Task // Index is 0 for entries about a whole job
	Attempt units.Attempt
	Reason  Reason // empty when the entry took effect
}

// Ledger is the folded state. One goroutine owns it.
type Ledger struct {
	// Observe, when set before the first Apply, is told of each entry applied or
	// rejected. It must not call back into the Ledger's Apply or Restore.
	Observe func(Change)

	jobs             map[units.JobID]*Job
	jobsByKey        map[teamKey]units.JobID
	teams            map[units.TeamName]*teamIndexes
	openTasksByEpoch map[WorkerEpoch][]units.Task
	launchingByEpoch map[WorkerEpoch]Launching
	activeWatchers   map[units.JobID]*Job // not ended
	endedJobs        []*Job               // by order of ending
	endedTasks       int
	usageByKind      map[units.JobKind]*KindUsage
	failureStreaks   map[units.WorkerID]*failureStreak
	rejections       map[Reason]uint64
	nextSequence     uint64
	nextEndSequence  uint64
	waitingTasks     int
	openTasks        int
}

type teamKey struct {
	team units.TeamName
	key  string
}

// New returns an empty ledger.
func New() *Ledger {
	l := &Ledger{}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	*l = Ledger{
		Observe:          l.Observe,
		jobs:             map[units.JobID]*Job{},
		jobsByKey:        map[teamKey]units.JobID{},
		teams:            map[units.TeamName]*teamIndexes{},
		openTasksByEpoch: map[WorkerEpoch][]units.Task{},
		launchingByEpoch: map[WorkerEpoch]Launching{},
		activeWatchers:   map[units.JobID]*Job{},
		usageByKind:      map[units.JobKind]*KindUsage{},
		failureStreaks:   map[units.WorkerID]*failureStreak{},
		rejections:       map[Reason]uint64{},
	}
	l.nextSequence, l.nextEndSequence = 1, 1
}
