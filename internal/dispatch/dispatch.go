// Package dispatch assigns tasks to workers. Each tick reads the ledger, the
// configuration document and one row per worker, and returns proposals to
// append to the jobs stream. A proposal takes effect only when the ledger
// accepts its entry, so of two conflicting proposals the later one has no effect.
package dispatch

import (
	"math/rand/v2"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Worker is the state of one worker according to its newest heartbeat.
type Worker struct {
	ID           units.WorkerID
	Epoch        units.Epoch // 0 until the agent has registered the worker
	Domain       units.DomainName
	Rack         units.RackName
	Region       units.RegionName
	Capacity     units.Resources
	Committed    units.Resources // includes the reservations of endpoints
	Evictable    units.Resources // committed by batch tasks below urgent priority
	Services     []units.ServiceName
	EndpointLoad float64 // of the busiest endpoint on the worker: running and queued requests divided by slots
	HeartbeatAge time.Duration
	Draining     bool
	HasSession   bool // launches can be delivered
}

// Interference is the slowdown that a job kind causes to a service on the same
// worker: the ratio of latency with the kind running to latency without it.
type Interference map[units.JobKind]map[units.ServiceName]float64

// Input is the data that a tick reads.
type Input struct {
	Now          time.Time
	Ledger       *ledger.Ledger
	Document     *environment.Document
	Workers      []Worker // one row per worker, in any order
	Interference Interference
	LogReachable bool
	// OwnsJob reports whether this process dispatches the job; nil means all jobs.
	OwnsJob func(units.JobID) bool
	// EpochEnded reports whether the worker epoch is recorded as ended; nil means
	// that none has ended.
	EpochEnded func(ledger.WorkerEpoch) bool
	// DispatcherCount is the number of processes that share StartsPerTick; 0
	// means one.
	DispatcherCount int
}

// Action is the kind of a proposal.
type Action uint8

// The actions.
const (
	Assign  Action = iota + 1
	Release        // the worker epoch of the attempt has ended
	Fail           // the task fails permanently
)

// Proposal is one entry to append to the jobs stream.
type Proposal struct {
	Action      Action
	Task        units.Task
	Attempt     units.Attempt // for Assign, the new attempt
	WorkerEpoch ledger.WorkerEpoch
	Committed   units.Resources
	Borrowed    bool // the attempt exceeds the team's quota
	// MayEvict allows the agent to evict lower-priority tasks for this launch.
	// Victims lists the preferred ones in order.
	MayEvict bool
	Victims  []TaskAttempt
	Reason   string
}

// TaskAttempt identifies an attempt of a task.
type TaskAttempt struct {
	Task    units.Task
	Attempt units.Attempt
}

// Encode returns the ledger entry for the proposal.
func (p Proposal) Encode() []byte {
	switch p.Action {
	case Assign:
		return ledger.EncodeAssigned(p.Task, p.Attempt, p.WorkerEpoch, p.Committed, p.Borrowed)
	case Release:
		return ledger.EncodeReleased(p.Task, p.Attempt, ledger.Release{Reason: p.Reason})
	default:
		return ledger.EncodeFailed(p.Task, p.Reason)
	}
}

// Stats counts the work done in one tick.
type Stats struct {
	JobsVisited    int
	WorkersScanned int
	Assigned       int
	Unplaced       int // visited tasks for which no worker was found
	Preemptions    int
}

// Dispatcher stores the state between ticks. It is not safe for concurrent
// use.
type Dispatcher struct {
	// Random is the source for sampling and jitter; a fixed seed makes ticks
	// reproducible.
	Random *rand.Rand
	// StartsPerTick limits the starts of all dispatchers together in one tick of
	// 50 ms; 0 means DefaultStartsPerTick.
	StartsPerTick int
	// Stats describes the last tick.
	Stats Stats

	in            Input
	rows          []workerRow
	byWorker      map[units.WorkerID]int32
	eligible      []int32
	available     []int32           // eligible workers with free resources
	capacities    []units.Resources // distinct capacities of the workers
	noCapacityFor []sizeClass
	proposals     []Proposal
	startsLeft    int

	policy           policy
	teams            []teamRow
	inFlight         map[units.Task]inFlightProposal
	retries          map[units.Task]retryState
	unplacedSince    map[units.Task]time.Time
	proposedReleases map[TaskAttempt]time.Time
	spreadCountsJob  *ledger.Job
	spreadCounts     *spreadCount // of spreadCountsJob
	scans            int          // searches over the workers in this tick
	jobVisitLimit    int          // per walk
	teamMissLimit    int          // unplaced tasks of a team after which a walk leaves its queue
	assignedLastTick bool
	smallestAssigned [2]units.Resources // smallest batch size assigned in the current and the previous window
	windowStart      time.Time
	highestUnplaced  units.Priority // highest priority of a task without a worker in this tick
	reservations     map[units.WorkerID]reservation
	usableHistories  map[units.WorkerID]*usableHistory
	suspects         map[units.WorkerID]*suspect
	learnedSizes     map[units.JobKind]learnedSize
	logOutage        logOutageState
	tickCount        uint64
	preemptions      int
	reclaims         int
}

// DefaultStartsPerTick allows 980 starts/s at 20 ticks/s plus a fifth.
const DefaultStartsPerTick = 60

// New returns a dispatcher that uses random for sampling and jitter.
func New(random *rand.Rand) *Dispatcher {
	return &Dispatcher{
		Random:           random,
		byWorker:         map[units.WorkerID]int32{},
		inFlight:         map[units.Task]inFlightProposal{},
		retries:          map[units.Task]retryState{},
		unplacedSince:    map[units.Task]time.Time{},
		proposedReleases: map[TaskAttempt]time.Time{},
		reservations:     map[units.WorkerID]reservation{},
		usableHistories:  map[units.WorkerID]*usableHistory{},
		suspects:         map[units.WorkerID]*suspect{},
		learnedSizes:     map[units.JobKind]learnedSize{},
	}
}

// Tick returns the proposals for the input. The slice is valid until the next
// call. While the log is unreachable Tick proposes nothing, because no proposal
// could be recorded.
func (d *Dispatcher) Tick(in Input) []Proposal {
	d.in, d.Stats, d.proposals = in, Stats{}, d.proposals[:0]
	d.tickCount++
	d.logOutage.update(in.LogReachable, in.Now)
	if !in.LogReachable {
		return nil
	}
	d.policy.update(in.Document)
	d.buildWorkerRows()
	d.pruneInFlight()
	d.listAvailable()
	d.startsLeft = d.startBudget()
	d.releaseEndedEpochs()
	if !d.hasWaitingTasks() {
		return d.proposals
	}
	d.noCapacityFor, d.preemptions, d.reclaims, d.scans = d.noCapacityFor[:0], 0, 0, 0
	d.spreadCountsJob, d.spreadCounts, d.highestUnplaced = nil, nil, 0
	d.buildTeamRows()
	d.pruneReservations()
	d.placeWaitingTasks()
	return d.proposals
}

func (d *Dispatcher) hasWaitingTasks() bool {
	_, waiting, _ := d.in.Ledger.Counts()
	return waiting > 0
}

func (d *Dispatcher) ownsJob(id units.JobID) bool { return d.in.OwnsJob == nil || d.in.OwnsJob(id) }
