// Package scheduler decides which task runs on which worker. It consists of
// in-memory tables and rules over them and does no input or output. The leader
// passes it submissions, cancellations, worker reports and the operators' state,
// collects its orders, and writes its records to the store.
//
// Start reading at scheduler.go (tables), then submit.go, occurrences.go, session.go, report.go, ends.go,
// tick.go, backlog.go, place.go, records.go, progress.go, parts.go and recovery.go.
package scheduler

import (
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// Timestamp is a point in time on both clocks.
type Timestamp struct {
	Boot bootclock.Instant // for leases and timeouts
	Wall time.Time         // for due times and the ages of jobs
}

// Scheduler holds the tables. The exported fields must be set before the first
// call. It is not safe for concurrent use.
type Scheduler struct {
	// MaxLeaseDuration is how long after the last extension of its lease an
	// unreachable worker may still run tasks.
	MaxLeaseDuration time.Duration
	// MaxStrayLeaseDuration is the longest lease that a runner may hold by a call that was
	// meant for its life before. It limits what the record of one may say.
	MaxStrayLeaseDuration time.Duration
	// Term is the term of the leader, which is higher than that of all its predecessors.
	Term uint64
	// MaxRecordBytes is the size of the largest record that the store accepts, with its key.
	MaxRecordBytes int
	// FinishedRetention is how long the state of a finished job is kept.
	FinishedRetention time.Duration

	operatorState      operations.State
	jobs               map[workflow.JobID]*job
	activeJobs         map[workflow.JobID]*job // jobs whose state is not final
	unflushedStates    []*job                  // jobs whose current state is not durable yet, in flush order
	workers            map[units.WorkerID]*worker
	dirty              map[workflow.JobID]*job        // changed since the last Flush
	strayLeases        map[units.WorkerID]*strayLease // of workers that may hold one, also of those that have left
	dirtyStrayLeases   map[units.WorkerID]bool        // changed or ended since the last Flush
	lastFlush          uint64                         // number of the last Flush
	needsAdvice        bool                           // at least one queue requires advice
	openAdviceRequests int                            // advice requests without a reply
	meanJobWork        map[workflow.QueueName]float64 // core-seconds per job
	// queueSpeed is the logarithm of the mean speed of a queue's tasks on all
	// workers, relative to their estimates.
	queueSpeed          map[workflow.QueueName]float64
	nextRelocation      bootclock.Instant // next search for better workers for throttled or slow tasks
	nextStarvationCheck bootclock.Instant // next measurement of starved tasks
	// longestStarvation is how long the longest starved task has been starved.
	longestStarvation time.Duration
	model             interference.Model
	history           history
	secondRuns        int // reports of a second run since TakeSecondRuns
}

// New returns a scheduler without jobs and workers.
func New(maxLeaseDuration, finishedRetention time.Duration) *Scheduler {
	return &Scheduler{
		MaxLeaseDuration: maxLeaseDuration, FinishedRetention: finishedRetention, MaxRecordBytes: durable.DefaultLimits.RecordBytes,
		jobs: make(map[workflow.JobID]*job), activeJobs: make(map[workflow.JobID]*job), meanJobWork: make(map[workflow.QueueName]float64), queueSpeed: make(map[workflow.QueueName]float64), workers: make(map[units.WorkerID]*worker), dirty: make(map[workflow.JobID]*job),
		strayLeases: make(map[units.WorkerID]*strayLease), dirtyStrayLeases: make(map[units.WorkerID]bool),
	}
}

// SetOperatorState replaces the operators' state.
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

// job is a row of the job table.
type job struct {
	*workflow.Job
	submittedPolicy workflow.Policy // at acceptance; used only if the queue no longer exists
	state           workflow.State
	durableState    workflow.State // last state that is durable; the only one that clients may see
	stateFlush      uint64         // number of the flush that makes state durable
	finishedAt      time.Time      // when the state became final
	submittedAt     bootclock.Instant
	failure         string        // why the job has failed, if that is not a failure of its tasks
	occurrences     []*occurrence // the open ones, in the order of their numbers
	opened          int           // all occurrences below this number are open or have ended
	parts           progressParts // the parts of its progress in the store
	started         bool          // a run of at least one task has started
	recovered       bool          // accepted by an earlier leader
	placedTasks     int           // tasks assigned to a worker
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int // steps with tasks that are not done
}

// step is the state of one step in one occurrence.
type step struct {
	*workflow.Step
	number    int
	open      bool // all steps that it depends on are done
	tasks     []*task
	tasksLeft int // tasks that are not done
	unplaced  int // tasks that are neither done nor assigned to a worker
	advice    advice
}

// task is a row of the task table. A task has at most one worker at a time.
type task struct {
	id             workflow.TaskID
	job            *job
	step           *step
	done           bool
	attempt        workflow.Attempt   // of the run on worker, or of the previous run
	highestAttempt workflow.Attempt   // highest attempt that was ordered or reported
	lost           lostRun            // the last run that was released without an end
	failedAttempts []workflow.Attempt // attempts counted as failures, unordered
	checkpoint     string
	worker         *worker           // nil while the task is unplaced
	start          startState        // of the run on worker
	orderedAt      bootclock.Instant // when the run on worker was ordered; 0 if an earlier leader did
	stopOrderedAt  bootclock.Instant // when a stop was last ordered; 0 if never
	percent        int
	lastProgress   progressReading
	load           int64             // from the last report: tail latency in ms, or processors in use in millicores
	pace           int               // percent, from the last report
	paceSince      bootclock.Instant // since when the started run has had this pace
	movedFrom      *worker           // worker that the task was last moved off, or nil
	mayReturnAt    bootclock.Instant // the task does not return to movedFrom earlier
	starvedSince   bootclock.Instant // since when the task is starved; 0 while it is not
}

// worker is a row of the worker table: an agent and its runner.
type worker struct {
	id                 units.WorkerID
	attached           bool // a session with the agent exists
	synced             bool // the session's last report lists all runs on the worker
	unresponsive       bool // the runner does not respond to its agent
	runsEnded          bool // the runner is unresponsive, and none of its runs can still be active
	runner             runner.Info
	listedIncarnation  runner.Incarnation // last one that the agent has reported with its lists; no call to a life before has any effect on it
	capacity           units.Resources
	used               units.Resources
	rack               string
	reportSequence     uint64            // sequence number of the last report
	latestLeaseEnd     bootclock.Instant // no task runs there afterwards, unless a report shows otherwise
	grantEnd           bootclock.Instant // no granted lease lasts longer; not after latestLeaseEnd, which counts stray leases too
	predecessorUntil   bootclock.Instant // runs of the runner before may go on until then; 0 if none may
	granted            bool              // a lease in this session; without one the agent rejects every start
	mayHaveUnknownRuns bool              // runs ordered by an earlier leader may be missing from the tables
	tasks              map[workflow.TaskID]*task
	latencyCritical    int // latency-critical tasks placed here
	bestEffort         int // best-effort tasks placed here
	// Processors requested by the placed tasks with and without a latency target.
	latencyCriticalProcessors, otherProcessors units.Millicores
	usage                                      usage             // measured and predicted resource usage
	retryAt                                    bootclock.Instant // avoided until then
	failureStreak                              int               // consecutive failures
	speed                                      speed
	durableEnd                                 uint64         // the ends of runs up to this number are durable
	unflushedEnds                              []reportedEnds // reported ends whose records are not durable yet
	orders                                     pendingOrders
}

// reportedEnds states that the ends up to number become durable with the flush.
type reportedEnds struct {
	flush  uint64
	number uint64
}

// pendingOrders are orders that TakeOrders has not returned yet.
type pendingOrders struct {
	starts         []*task
	descriptions   []*task
	stops          []workflow.TaskID
	attempts       []workflow.Attempt // of the runs in stops
	durableEndRose bool               // durableEnd has increased and must be sent
}

// remove deletes the start and the description of a task that has left the worker.
func (p *pendingOrders) remove(t *task) {
	is := func(o *task) bool { return o == t }
	p.starts = slices.DeleteFunc(p.starts, is)
	p.descriptions = slices.DeleteFunc(p.descriptions, is)
}

func (p *pendingOrders) empty() bool {
	return len(p.starts) == 0 && len(p.stops) == 0 && len(p.descriptions) == 0 && !p.durableEndRose
}

// currentPolicy returns the current policy of the job's queue, or the policy at
// its acceptance if the queue no longer exists.
func (s *Scheduler) currentPolicy(j *job) *workflow.Policy {
	if route := s.operatorState.Configuration.Queue(j.Queue); route != nil {
		return &route.Policy
	}
	return &j.submittedPolicy
}

// runsKnown reports whether the tables contain every task that may run on w. While reports
// are partial only the end of the lease tells, and each of them extends it.
func (w *worker) runsKnown(now Timestamp) bool {
	return w.attached && w.synced || w.runsHaveEnded(now)
}

// runsHaveEnded reports whether no task can run on w unless a later report shows otherwise.
func (w *worker) runsHaveEnded(now Timestamp) bool {
	return w.attached && w.unresponsive && w.runsEnded || now.Boot.After(w.latestLeaseEnd)
}

// extendLeases records that leases may be granted to the worker until the given instant.
func (w *worker) extendLeases(until bootclock.Instant) {
	w.grantEnd = max(w.grantEnd, until)
	w.latestLeaseEnd = max(w.latestLeaseEnd, until)
}

// release removes the task from its worker.
func (t *task) release() {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t.id)
	w.orders.remove(t)
	if t.step.BestEffort && t.load > 0 {
		w.usage.endedTasks = append(w.usage.endedTasks, interference.UsageReading{Image: t.step.Image, Cores: float64(t.load) / 1000, Ended: true})
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
	t.worker, t.start, t.orderedAt, t.stopOrderedAt, t.lastProgress = nil, startState{}, 0, 0, progressReading{}
	t.job.placedTasks--
	if !t.done {
		t.step.unplaced++
	}
}

// assign places the task on a worker.
func (t *task) assign(w *worker, attempt workflow.Attempt) {
	t.worker, t.attempt, t.starvedSince = w, attempt, 0
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
	if !t.done {
		t.step.unplaced--
	}
}

// reservation returns what a task of the step takes of a worker's capacity. A
// best-effort task reserves no processors: it uses those that others leave free.
func (st *step) reservation() units.Resources {
	size := st.Size
	if st.BestEffort {
		size.Processors = 0
	}
	return size
}
