// Package scheduler decides which task runs where. It is a set of tables and
// of rules over them, without input or output: a process feeds it submissions,
// cancellations, reports of workers and the operators' state, asks it for
// orders, and writes its records to the store.
//
// Reading order: scheduler.go (tables), submit.go, report.go, tick.go,
// order.go, place.go, records.go.
package scheduler

import (
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Now is the time of an event on both clocks.
type Timestamp struct {
	Boot bootclock.Instant // leases, time-outs
	Wall time.Time         // due times, ages of jobs
}

// Scheduler holds the tables. Set the exported fields before the first call.
// It is not safe for concurrent use.
type Scheduler struct {
	// GrantBound is how long after its last grant a worker that is not heard
	// of may still run tasks.
	MaxLeaseDuration time.Duration
	// KeepFinished is how long the state of a finished job is kept.
	FinishedRetention time.Duration

	operatorState   operations.State
	jobs            map[workflow.JobID]*job
	activeJobs      map[workflow.JobID]*job // jobs whose state is not final
	unflushedStates []*job                  // jobs whose newest state is not durable yet
	workers         map[units.WorkerID]*worker
	dirty           map[workflow.JobID]*job        // changed since the last Flush
	lastFlush       uint64                         // number of the last Flush
	needsAdvice     bool                           // a queue needs advice
	openRequests    int                            // questions for advice without an answer
	meanJobWork     map[workflow.QueueName]float64 // core-seconds of a job
	// usualSpeed is the logarithm of the speed of a queue's tasks on all workers,
	// relative to their estimates.
	queueSpeed     map[workflow.QueueName]float64
	nextRelocation bootclock.Instant // next search for better workers of slowed tasks
	model          interference.Model
}

// New returns a scheduler without jobs and workers.
func New(grantBound, keepFinished time.Duration) *Scheduler {
	return &Scheduler{
		MaxLeaseDuration: grantBound, FinishedRetention: keepFinished,
		jobs: make(map[workflow.JobID]*job), activeJobs: make(map[workflow.JobID]*job), meanJobWork: make(map[workflow.QueueName]float64), queueSpeed: make(map[workflow.QueueName]float64), workers: make(map[units.WorkerID]*worker), dirty: make(map[workflow.JobID]*job),
	}
}

// SetOperations takes over the operators' state.
func (s *Scheduler) SetOperatorState(state operations.State) {
	s.operatorState = state
	s.needsAdvice = false
	if state.Configuration == nil {
		return
	}
	for i := range state.Configuration.Routes {
		s.needsAdvice = s.needsAdvice || state.Configuration.Routes[i].Policy.Advice != nil
	}
}

// job is a row of the table of jobs.
type job struct {
	*workflow.Job
	submittedPolicy workflow.Policy // when it was accepted; the queue's current one goes first
	state           workflow.State
	durableState    workflow.State // state that is durable, which clients may see
	stateFlush      uint64         // flush that makes state durable
	finishedAt      time.Time      // when state became final
	submittedAt     bootclock.Instant
	occurrences     []*occurrence // those that have begun and are not complete
	completed       int           // occurrences below this number are done
	opened          int           // occurrences below this number have begun
	started         bool          // a task has been ordered to start
	recovered       bool          // accepted before this scheduler began
	placedTasks     int           // tasks with a worker
}

// occurrence is one repetition of the steps of a job.
type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int // steps that are not done
}

// step is the state of one step of an occurrence.
type step struct {
	*workflow.Step
	number    int
	open      bool // every step that it depends on is done
	tasks     []*task
	tasksLeft int // tasks that are not done
	unplaced  int // tasks that are neither done nor placed
	advice    advice
}

// task is one task. It has at most one worker at a time.
type task struct {
	id             workflow.TaskID
	job            *job
	step           *step
	done           bool
	attempt        workflow.Attempt   // of the run on worker, or of the last one
	highestAttempt workflow.Attempt   // that was ordered or seen
	renumbered     bool               // attempts of an earlier scheduler that are not recorded were skipped
	failedAttempts []workflow.Attempt // runs that were counted as failures, in no order
	checkpoint     string
	worker         *worker           // nil when it is not placed
	startPending   bool              // the order is on its way, so that a report can't show it yet
	startSequence  uint64            // reports with a higher sequence show the run
	confirmed      bool              // a report has shown the run at work
	stopOrderedAt  bootclock.Instant // when a stop was ordered last; 0 for never
	percent        int
	lastProgress   progressReading
	load           int64             // of the last report: tail latency in ms, or processors in use
	pace           int               // percent, of the last report
	paceSince      bootclock.Instant // first report of that pace
	movedFrom      *worker           // worker that slowed the task last, or nil
	mayReturnAt    bootclock.Instant // until then it does not return there
}

// worker is a row of the table of workers: an agent and its runner.
type worker struct {
	id                 units.WorkerID
	attached           bool // a session to the agent exists
	synced             bool // the last report of the session shows everything that runs
	unresponsive       bool // the runner does not answer its agent
	runsEnded          bool // a silent runner can't run anything any more
	runner             runner.Info
	capacity           units.Resources
	used               units.Resources
	rack               string
	lastReport         uint64            // of the last report
	latestLeaseEnd     bootclock.Instant // nothing runs there after it, unless a report shows otherwise
	mayHaveUnknownRuns bool              // runs of an earlier scheduler may be there that the tables lack
	tasks              map[workflow.TaskID]*task
	latencyCritical    int // placed tasks with a latency target
	bestEffort         int // placed tasks that fill
	// What the placed tasks ask for, with a latency target and without.
	latencyCriticalProcessors, otherProcessors units.Millicores
	usage                                      usage // what the tasks really take
	retryAt                                    bootclock.Instant
	failureStreak                              int // failures in a row
	speed                                      speed
	durableEnd                                 uint64
	unflushedEnds                              []reportedEnds // ends whose record is on its way
	orders                                     pendingOrders
}

// recordedEnds says that ends up to number are durable once the flush is.
type reportedEnds struct {
	flush  uint64
	number uint64
}

// pending are orders that were decided and not taken yet.
type pendingOrders struct {
	starts         []*task
	descriptions   []*task
	stops          []workflow.TaskID
	attempts       []workflow.Attempt // of stops
	durableEndRose bool               // recordedEnd has risen
}

// drop forgets what was decided of a task that has left the worker.
func (p *pendingOrders) remove(t *task) {
	is := func(o *task) bool { return o == t }
	p.starts = slices.DeleteFunc(p.starts, is)
	p.descriptions = slices.DeleteFunc(p.descriptions, is)
}

func (p *pendingOrders) empty() bool {
	return len(p.starts) == 0 && len(p.stops) == 0 && len(p.descriptions) == 0 && !p.durableEndRose
}

// policyOf returns the current policy of the job's queue, or the one under
// which it was accepted when the queue no longer exists.
func (s *Scheduler) currentPolicy(j *job) *workflow.Policy {
	if route := s.operatorState.Configuration.Queue(j.Queue); route != nil {
		return &route.Policy
	}
	return &j.submittedPolicy
}

// settled reports whether everything that may run on w is in the tables.
func (w *worker) runsKnown(now Timestamp) bool {
	switch {
	case w.attached && w.synced:
		return true
	case w.attached && w.unresponsive:
		return w.runsEnded
	}
	return now.Boot.After(w.latestLeaseEnd)
}

// release takes a task off its worker.
func (t *task) release() {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t.id)
	w.orders.remove(t)
	if t.step.BestEffort && t.load > 0 {
		w.usage.endedTasks = append(w.usage.endedTasks, interference.Filling{Image: t.step.Image, Cores: float64(t.load) / 1000, Ended: true})
		t.load = 0
	}
	w.used = w.used.Sub(t.step.reservation())
	if t.step.LatencyTarget > 0 {
		w.latencyCritical--
		w.latencyCriticalProcessors -= t.step.Size.Processors
	} else {
		w.otherProcessors -= t.step.Size.Processors
	}
	if t.step.BestEffort {
		w.bestEffort--
	}
	t.worker, t.confirmed, t.startPending, t.stopOrderedAt, t.lastProgress = nil, false, false, 0, progressReading{}
	t.job.placedTasks--
	if !t.done {
		t.step.unplaced++
	}
}

// assign puts a task on a worker.
func (t *task) assign(w *worker, attempt workflow.Attempt) {
	t.worker, t.attempt = w, attempt
	t.highestAttempt = max(t.highestAttempt, attempt)
	w.tasks[t.id] = t
	w.used = w.used.Add(t.step.reservation())
	if t.step.LatencyTarget > 0 {
		w.latencyCritical++
		w.latencyCriticalProcessors += t.step.Size.Processors
	} else {
		w.otherProcessors += t.step.Size.Processors
	}
	if t.step.BestEffort {
		w.bestEffort++
	}
	t.job.placedTasks++
	t.job.started = true
	if !t.done {
		t.step.unplaced--
	}
}

// claim is what a task of the step takes from a worker's capacity.
func (st *step) reservation() units.Resources {
	size := st.Size
	if st.BestEffort {
		size.Processors = 0
	}
	return size
}
