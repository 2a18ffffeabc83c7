// Package ledger is the replicated state machine of jobs and tasks. Every entry
// process applies the entries of the jobs stream in the same order, so all agree
// on the current attempt of each task. An entry that is not allowed in the state
// of its task has no effect and is counted as a rejection.
package ledger

import (
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind classifies an Error.
type Kind string

// Error is the error type of this package.
type Error = fault.Error[Kind]

// The kinds of errors.
const (
	Malformed   Kind = "malformed entry"
	BadSnapshot Kind = "bad snapshot"
)

// State is the state of a task.
type State uint8

// The states of a task. A task in Stopping is cancelled but its last attempt has
// not been reported as stopped: it never starts again but may still use resources.
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

// Open reports whether a task in s has an attempt that may use resources.
func (s State) Open() bool { return s == Assigned || s == Running || s == Stopping }

// Terminal reports whether s is final.
func (s State) Terminal() bool { return s >= Ended && s < stateCount }

// WatcherPrefix is the prefix of the id of a watcher's job, which has a single
// task.
const WatcherPrefix = "watcher/"

// Limits of the state machine. Every entry process must use the same values,
// because the state must be a deterministic function of the entries.
const (
	// MaxEndedJobs and MaxEndedTasks limit the ended jobs that are kept for
	// queries: a day and a half at 13,000 jobs a day.
	MaxEndedJobs  = 20_000
	MaxEndedTasks = 200_000
	// Entries that exceed MaxTasksPerJob, or MaxTextBytes in an id, key or name,
	// are rejected. Reasons are truncated to MaxReasonBytes.
	MaxTasksPerJob = 10_000
	MaxTextBytes   = 256
	MaxReasonBytes = 512
)

// Task is the state of one task.
type Task struct {
	Attempt       units.Attempt // current attempt, 0 before the first
	State         State
	Worker        units.WorkerID // of the current attempt
	Epoch         units.Epoch
	Failures      uint32           // attempts that count as failures
	FailedWorkers []units.WorkerID // distinct, in order of first failure
	Checkpoint    string           // from which the next attempt resumes
	Reason        string           // of the last release, eviction or failure
	StateOffset   units.Offset     // of the entry that set State
	Committed     units.Resources  // of the current attempt
	Borrowed      bool             // the current attempt exceeds the team's quota
}

// Outcome is the final state of a task, kept after its job has ended.
type Outcome struct {
	State   State
	Attempt units.Attempt // identifies the published output if State is Ended
}

// Job is the state of one job. It may be read only by the goroutine that calls
// Apply.
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
	Checkpoint   string          // from which first attempts resume
	Sequence     uint64          // orders jobs by submission
	SubmitOffset units.Offset
	SubmittedAt  time.Time // wall clock, for display only
	Cancelled    bool
	Failed       bool   // a task failed permanently; waiting tasks do not start
	Reason       string // of the cancellation or failure
	Tasks        []Task // nil after the job has ended
	Outcomes     []Outcome
	EndSequence  uint64       // orders jobs by their end, 0 before
	EndOffset    units.Offset // of the entry that ended the last task

	waiting    []uint32 // ascending indexes of tasks that may be assigned
	unfinished int      // number of tasks that are not terminal
}

// Waiting returns the indexes of the tasks that may be assigned, in ascending
// order. The slice is valid until the next Apply.
func (j *Job) Waiting() []uint32 { return j.waiting }

// IsWatcher reports whether the job is a watcher.
func (j *Job) IsWatcher() bool { return j.Kind == wire.TaskKind_TASK_KIND_WATCHER }

// WorkerEpoch identifies one epoch of a worker.
type WorkerEpoch struct {
	Worker units.WorkerID
	Epoch  units.Epoch
}

// Change describes an applied entry and its result.
type Change struct {
	Offset  units.Offset
	Kind    string     // entry kind, such as "assigned"
	Task    units.Task // Index is 0 for entries about a job
	Attempt units.Attempt
	Reason  Reason // empty when the entry took effect
}

// Ledger is the state of all jobs and tasks. It is not safe for concurrent use.
type Ledger struct {
	// Observe, if set before the first Apply, is called for each accepted or
	// rejected entry. It must not call Apply or Restore.
	Observe func(Change)

	jobs             map[units.JobID]*Job
	jobsByKey        map[teamKey]units.JobID
	teams            map[units.TeamName]*teamIndexes
	openTasksByEpoch map[WorkerEpoch][]units.Task
	launchingByEpoch map[WorkerEpoch]Launching
	activeWatchers   map[units.JobID]*Job // watchers that have not ended
	endedJobs        []*Job               // by EndSequence
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
