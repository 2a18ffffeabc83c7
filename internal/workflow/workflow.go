// Package workflow describes the jobs that a scheduler places: steps of equal
// tasks, their order, sizes and constraints. It holds no state of a run.
package workflow

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// JobID names a job; the client chooses it, so a repeated submission of the
// same id is one job.
type JobID string

// QueueName names the queue that a job was submitted to.
type QueueName string

// Job is a submitted job. It does not change after it was accepted.
type Job struct {
	ID          JobID
	Queue       QueueName
	Spec        string        // opaque to the scheduler, passed to each run as it is
	Steps       []Step        // at least one; a step comes after the steps that it depends on
	Repetitions int           // occurrences of the steps; 0 means one occurrence without a due time
	FirstDue    time.Time     // due time of occurrence 0; zero without repetitions
	Interval    time.Duration // between the due times of two occurrences
	Submitted   time.Time     // when the first entry process read the submission
}

// Step is a set of equal tasks.
type Step struct {
	Count          int
	Size           units.Resources // requested by each task
	Estimate       time.Duration   // the client's rough estimate of one task
	After          []int           // earlier steps whose tasks must all be done first
	Checkpointing  bool            // tasks save their progress and resume from it
	Gang           bool            // tasks work only while all of them run
	SameRack       bool            // tasks are slower when they run on several racks
	RequiredLabel  string          // label that the worker must have; empty for none
	DataRack       string          // rack on which the tasks are fastest; empty for none
	AntiAffinity   int             // most tasks of the step on one worker; 0 for no limit
	Speculative    bool            // several copies of a task may run at the same time
	LongRunning    bool            // tasks run until the job is cancelled
	BestEffort     bool            // the step uses processors that other tasks leave idle
	Image          string          // tasks of one image behave alike
	LatencyTarget  time.Duration   // tail latency that a serving task must keep; 0 for none
	MaxUnavailable int             // tasks that may be away at a time because of the scheduler
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// Due returns when occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Repetitions == 0 {
		return time.Time{}
	}
	return j.FirstDue.Add(time.Duration(k) * j.Interval)
}

// TaskID names one task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String formats t as "job.occurrence.step.index".
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID reads the form that String writes.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task %q: want job.occurrence.step.index", s)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: %q is no number", s, part)
		}
		numbers[i] = n
	}
	return TaskID{JobID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// Attempt numbers the runs of a task, from 1.
type Attempt int64

// State is the state of a job as its client sees it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed" // every task has ended well
	Failed    State = "failed"    // a task has failed as often as its queue allows
	Cancelled State = "cancelled"
)

// Final reports whether a job in state s never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// End is how a run ended.
type End string

// The ends of a run.
const (
	Done           End = "done"
	Errored        End = "errored" // failed by its own fault or the worker's
	Stopped        End = "stopped" // on request
	LeaseExpired   End = "lapsed"  // its lease expired
	GangBroken     End = "broken"  // another member of its gang ended
	GangIncomplete End = "alone"   // the other members of its gang did not start in time
)

// Policy is what a queue's configuration says of its jobs.
type Policy struct {
	Service          units.ServiceName // workers of this service run the tasks
	Priority         int               // 0 comes first
	MaxAttempts      int               // runs of one task that may end errored
	Stretch          float64           // latency objective as a multiple of the longest chain of work
	LatencyAllowance time.Duration     // added to the objective
	Advice           *Advice           // nil when any worker of the service may run a step
}

// Advice bounds the calls to the service that knows which workers may run a step.
type Advice struct {
	CallTime       time.Duration // time of one call
	TimePerWorker  time.Duration // time for each worker named
	TicketValidity time.Duration // how long a ticket is valid
}

// Summary describes the steps in a few words for a log line.
func (j *Job) Summary() string {
	var b strings.Builder
	for i := range j.Steps {
		s := &j.Steps[i]
		fmt.Fprintf(&b, "[%dx %v %v after=%v", s.Count, s.Size, s.Estimate, s.After)
		for _, flag := range []struct {
			name string
			set  bool
		}{{"checkpointing", s.Checkpointing}, {"gang", s.Gang}, {"sameRack", s.SameRack}, {"speculative", s.Speculative},
			{"endless", s.LongRunning}, {"fills", s.BestEffort}, {"spread=" + strconv.Itoa(s.AntiAffinity), s.AntiAffinity > 0},
			{"target=" + s.LatencyTarget.String(), s.LatencyTarget > 0}, {"spare=" + strconv.Itoa(s.MaxUnavailable), s.MaxUnavailable > 0},
			{"image=" + s.Image, s.Image != ""}} {
			if flag.set {
				b.WriteString(" " + flag.name)
			}
		}
		b.WriteByte(']')
	}
	return b.String()
}
