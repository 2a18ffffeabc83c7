// Package workflow defines the jobs that the scheduler places: steps of equal tasks
// with their dependencies, sizes and constraints. It contains no runtime state.
package workflow

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
)

// JobID identifies a job. The client chooses it, so that a repeated submission with
// the same id refers to the same job.
type JobID string

// QueueName is the name of the queue that a job was submitted to.
type QueueName string

// Job is a submitted job. It is immutable once accepted.
type Job struct {
	ID          JobID
	Queue       QueueName
	Spec        string        // opaque to the scheduler; passed unchanged to each run
	Steps       []Step        // at least one; each step follows the steps that it depends on
	Repetitions int           // number of occurrences; 0 means one occurrence without a due time
	FirstDue    time.Time     // due time of occurrence 0; zero if Repetitions is 0
	Interval    time.Duration // between the due times of consecutive occurrences
	Submitted   time.Time     // when an entry process first received the submission
}

// Step is a set of equal tasks.
type Step struct {
	Count          int
	Size           units.Resources // requested per task
	Estimate       time.Duration   // the client's rough estimate of the duration of one task
	After          []int           // numbers of the earlier steps that must be done before this one starts
	Checkpointing  bool            // tasks save their progress and resume from it
	Gang           bool            // tasks make progress only while all of them run
	SameRack       bool            // tasks run slower if they are spread over several racks
	RequiredLabel  string          // label that a worker must have; empty for none
	DataRack       string          // rack on which the tasks run fastest; empty for none
	AntiAffinity   int             // maximum number of the step's tasks per worker; 0 for no limit
	Speculative    bool            // several copies of a task may run concurrently
	LongRunning    bool            // tasks run until the job is cancelled
	BestEffort     bool            // tasks use only processors that other tasks leave free
	Image          string          // tasks with the same image behave alike
	LatencyTarget  time.Duration   // maximum tail latency of a latency-critical task; 0 for none
	MaxUnavailable int             // maximum number of tasks that the scheduler may make unavailable at a time
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// Due returns the time from which occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Repetitions == 0 {
		return time.Time{}
	}
	return j.FirstDue.Add(time.Duration(k) * j.Interval)
}

// TaskID identifies a task of a job.
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

// ParseTaskID parses the format that String returns.
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

// Attempt is the number of a run of a task, starting at 1.
type Attempt int64

// State is the state of a job as its client sees it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed" // all tasks are done
	Failed    State = "failed"    // a task has failed as often as the queue's policy allows
	Cancelled State = "cancelled"
)

// Final reports whether s is a state that a job never leaves.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// End is the way in which a run ended.
type End string

// The ends of a run.
const (
	Done           End = "done"
	Errored        End = "errored" // failed, because of the task or the worker
	Stopped        End = "stopped" // by an order to stop
	LeaseExpired   End = "lapsed"  // the lease of the run expired
	GangBroken     End = "broken"  // another member of the gang ended
	GangIncomplete End = "alone"   // the other members of the gang did not start in time
)

// Policy is the part of a queue's configuration that applies to its jobs.
type Policy struct {
	Service          units.ServiceName // service whose workers run the tasks
	Priority         int               // 0 is the most urgent
	MaxAttempts      int               // failed runs of a task after which the job fails
	Stretch          float64           // latency objective as a multiple of the job's critical path
	LatencyAllowance time.Duration     // fixed part of the latency objective, added to the multiple
	Advice           *Advice           // nil if any worker of the service may run a step
}

// Advice contains the timing of the calls to the advice service, which issues tickets for
// the workers that may run a step.
type Advice struct {
	CallTime       time.Duration // fixed duration of a call
	TimePerWorker  time.Duration // additional duration per worker in the request
	TicketValidity time.Duration // validity of a ticket
}

// Summary returns a short description of the steps for a log line.
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
