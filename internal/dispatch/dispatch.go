// Package dispatch decides which task goes to which worker. Its systems are
// functions over tables: every tick reads the ledger, the document and one row
// per worker, and returns proposals. Nothing takes effect before the fold of
// the jobs stream accepts it, so a proposal that loses does no harm.
package dispatch

import (
	"math/rand/v2"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Worker is one row of the table of workers, made from its newest heartbeat.
type Worker struct {
	ID           units.WorkerID
	Epoch        units.Epoch // 0 before the agent holds the worker
	Domain       units.DomainName
	Rack         units.RackName
	Region       units.RegionName
	Capacity     units.Resources
	Committed    units.Resources // endpoints' reservations included
	Evictable    units.Resources // committed by batch below urgent
	Services     []units.ServiceName
	EndpointLoad float64       // of the busiest endpoint beside it: busy and queued requests over slots
	HeartbeatAge time.Duration // of the heartbeat
	Draining     bool
	HasSession   bool // a launch can be delivered
}

// Interference holds how much a job kind slows a service beside it: the ratio
// of latency with the kind running to latency without.
type Interference map[units.JobKind]map[units.ServiceName]float64

// Input is what a tick reads.
type Input struct {
	Now          time.Time
	Ledger       *ledger.Ledger
	Document     *environment.Document
	Workers      []Worker // one row per worker, in any order
	Interference Interference
	LogReachable bool
	// Mine reports whether this process dispatches the job; nil means all.
	OwnsJob func(units.JobID) bool
	// Ended reports whether the worker epoch is recorded as ended; nil means none.
	EpochEnded func(ledger.WorkerEpoch) bool
	// Dispatchers is how many processes share the limit of starts, 0 for one.
	DispatcherCount int
}

// Action is what a proposal asks for.
type Action uint8

// The actions.
const (
	Assign  Action = iota + 1
	Release        // the attempt's worker epoch has ended
	Fail           // the task is given up for good
)

// Proposal is one entry to append to the jobs stream.
type Proposal struct {
	Action      Action
	Task        units.Task
	Attempt     units.Attempt // the new one when assigning
	WorkerEpoch ledger.WorkerEpoch
	Committed   units.Resources
	Borrowed    bool // the team is over its quota
	// MayEvict allows the agent to evict lower priorities for this launch;
	// Victims are those that dispatch would choose, first to last.
	MayEvict bool
	Victims  []TaskAttempt
	Reason   string
}

// Victim is an attempt that may be evicted.
type TaskAttempt struct {
	Task    units.Task
	Attempt units.Attempt
}

// Encode returns the ledger entry of the proposal.
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

// Stats counts the work of one tick.
type Stats struct {
	JobsVisited    int
	WorkersScanned int
	Assigned       int
	Unplaced       int // tasks that were visited and found no worker
	Preemptions    int
}

// Dispatcher holds what the systems remember between ticks. One goroutine
// calls Tick.
type Dispatcher struct {
	// Random decides samples and jitter; a fixed seed makes ticks repeatable.
	Random *rand.Rand
	// StartsPerTick bounds the starts of all dispatchers in one tick of 50 ms;
	// 0 means DefaultStartsPerTick.
	StartsPerTick int
	// Stats describes the last tick.
	Stats Stats

	input         Input
	rows          []workerRow
	byWorker      map[units.WorkerID]int32
	eligible      []int32
	available     []int32           // of eligible, those that are not full
	capacities    []units.Resources // distinct capacities
	noCapacityFor []unplaceableSize
	proposals     []Proposal
	startsLeft    int

	policy           policy
	teams            []teamRow
	inFlight         map[units.Task]inFlightProposal
	retries          map[units.Task]retryState
	unplacedSince    map[units.Task]time.Time
	proposedReleases map[TaskAttempt]time.Time
	spreadCountsJob  *ledger.Job
	spreadCounts     *spreadCount // of spreadJob
	scans            int
	jobVisitLimit    int                // of jobs, that a walk may make
	teamMissLimit    int                // tasks of a team that may find no worker
	assignedLastTick bool               // the last tick assigned something
	smallestAssigned [2]units.Resources // smallest batch assigned, this window and the last
	windowStart      time.Time
	highestUnplaced  units.Priority // highest that found no worker in the tick
	reservations     map[units.WorkerID]reservation
	usableHistories  map[units.WorkerID]*usableHistory
	suspects         map[units.WorkerID]*suspect
	learnedSizes     map[units.JobKind]learnedSize
	logOutage        logOutageState
	tickCount        uint64
	preemptions      int
	reclaims         int
}

// DefaultStartsPerTick is 980 starts/s at 20 ticks/s with a fifth to spare.
const DefaultStartsPerTick = 60

// New returns a dispatcher that draws from random.
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

// Tick runs every system once and returns the proposals. The slice is valid
// until the next Tick. While the log is unreachable there are none, because
// nothing could be recorded.
func (d *Dispatcher) Tick(in Input) []Proposal {
	d.input, d.Stats, d.proposals = in, Stats{}, d.proposals[:0]
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
	_, waiting, _ := d.input.Ledger.Counts()
	return waiting > 0
}

func (d *Dispatcher) ownsJob(job units.JobID) bool {
	return d.input.OwnsJob == nil || d.input.OwnsJob(job)
}
