package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// maxVisits bounds the waiting jobs read in one walk. It is divided among
	// the teams, so that each of 150 is reached in every tick: a team whose
	// tasks find no worker must not hide the others. The last of a team's
	// visits is drawn from the rest of its queue, so that small tasks behind
	// many large ones get their turn.
	maxJobVisits        = 512
	minMissesPerTeam    = 3
	foreignJobsPerVisit = 8  // jobs of other dispatchers that cost one visit
	tasksPerVisit       = 64 // tasks of one job that cost another visit
	// After a tick without a start a quarter is read, but the whole every
	// fourth tick: a full cluster costs little while it stays full.
	idleWalkDivisor = 4
	// maxMisses bounds the scans of one pass that find no worker. A size that
	// is no smaller than one missed before needs no scan.
	maxFailedScans = 96
	// lowFirstChance is how often, one tick in so many, the lowest waiting
	// priority goes first, so that a stream of higher ones cannot starve it.
	lowestFirstTicks = 20
	// Delays before an attempt is repeated, by why the last one ended. A
	// failure doubles the delay up to maxRetryDelay.
	rejectionRetryDelay   = 200 * time.Millisecond
	failureRetryDelay     = 500 * time.Millisecond
	maxFailureRetryDelay  = 30 * time.Second
	maxFailures           = 4 // attempts
	minFailedWorkers      = 2 // that those failed on
	maxFailuresSameWorker = 8 // when there is only one worker to fail on
)

// retry is when the next attempt of a task may be proposed.
type retryState struct {
	attempt   units.Attempt // the one that ended
	notBefore time.Time
}

// pass selects what one walk over the queues may start.
type walk struct {
	borrowing       bool
	mayPreempt      bool
	startsLeft      int // left
	failedScansLeft int // left, of scans
	jobVisitsLeft   int // left, of jobs
}

// order walks the queues: watchers first, because a monitor is small and must
// not wait, then each priority within quota by the teams' shares, then, over
// quota, what others leave unused.
func (d *Dispatcher) placeWaitingTasks() {
	d.jobVisitLimit = maxJobVisits
	if !d.assignedLastTick && d.tickCount%idleWalkDivisor != 0 {
		d.jobVisitLimit = maxJobVisits / idleWalkDivisor
	}
	defer func() { d.assignedLastTick = d.Stats.Assigned > 0 }()
	d.placeWatchers()
	d.placeReserved()
	if d.Random.IntN(lowestFirstTicks) == 0 {
		for p := units.PriorityLow; p < units.PriorityUrgent; p++ {
			d.highestUnplaced = units.PriorityUrgent // reserves nothing
			d.walkPriority(p, &walk{startsLeft: 1, failedScansLeft: 4})
		}
		d.highestUnplaced = 0
	}
	for p := units.PriorityUrgent; p >= units.PriorityLow; p-- {
		d.walkPriority(p, &walk{startsLeft: d.startsLeft, failedScansLeft: maxFailedScans, mayPreempt: p == units.PriorityUrgent})
	}
	for p := units.PriorityUrgent; p >= units.PriorityLow; p-- {
		d.walkPriority(p, &walk{startsLeft: d.startsLeft, failedScansLeft: maxFailedScans, borrowing: true})
	}
	d.pruneTaskState()
}

// watchers proposes every waiting watcher. The document's validation has
// checked them against the quotas, so they are not held back here.
func (d *Dispatcher) placeWatchers() {
	if !d.input.Ledger.HasWaitingWatcher() {
		return
	}
	watching := d.input.Ledger.Watchers()
	var spread *spreadCount
	for _, j := range watching {
		if len(j.Waiting()) == 0 || !d.ownsJob(j.ID) || !d.mayPropose(j, 0) {
			continue
		}
		if spread == nil {
			spread = d.countWatchers(watching)
		}
		d.place(placementRequest{job: j, size: j.Size, spread: spread, mayPreempt: j.Priority >= units.PriorityHigh})
	}
}

// walk serves one priority: repeatedly the oldest task of the team with the
// least share.
func (d *Dispatcher) walkPriority(p units.Priority, pass *walk) {
	pass.jobVisitsLeft = d.jobVisitLimit
	d.teamMissLimit = max(minMissesPerTeam, maxJobVisits/max(1, len(d.teams)))
	for i := range d.teams {
		d.teams[i].cursors[p] = cursor{}
	}
	for pass.startsLeft > 0 && d.startsLeft > 0 && pass.failedScansLeft > 0 && pass.jobVisitsLeft > 0 {
		t := d.teamWithLeastShare(p, pass)
		if t == nil {
			return
		}
		// Without a start no share has changed, so the team is still first.
		starts := pass.startsLeft
		for starts == pass.startsLeft && !d.queueDone(t, p) && pass.failedScansLeft > 0 && pass.jobVisitsLeft > 0 {
			d.placeNext(t, p, pass)
		}
	}
}

// leastShare picks the team with the least share among those with work left.
func (d *Dispatcher) teamWithLeastShare(p units.Priority, pass *walk) *teamRow {
	var best *teamRow
	for i := range d.teams {
		t := &d.teams[i]
		if t.cursors[p].done || (best != nil && t.share >= best.share) {
			continue
		}
		if pass.borrowing && !t.mayBorrow || d.queueDone(t, p) {
			t.cursors[p].done = true
			continue
		}
		best = t
	}
	return best
}

// atEnd reports whether the walk is through with the team's queue.
func (d *Dispatcher) queueDone(t *teamRow, p units.Priority) bool {
	c := &t.cursors[p]
	return c.misses >= d.teamMissLimit || c.job >= len(d.input.Ledger.WaitingJobs(t.name, p))
}

// skip moves to the next job of the queue.
func (c *cursor) nextJob() { c.job, c.task = c.job+1, 0 }

// serve tries the next task in the team's queue and moves its cursor on.
func (d *Dispatcher) placeNext(t *teamRow, p units.Priority, pass *walk) {
	c := &t.cursors[p]
	j := d.input.Ledger.WaitingJobs(t.name, p)[c.job]
	if c.task == 0 {
		d.Stats.JobsVisited++
		if !d.ownsJob(j.ID) {
			if c.nextJob(); c.job%foreignJobsPerVisit == 0 {
				pass.jobVisitsLeft--
			}
			return
		}
		pass.jobVisitsLeft--
	}
	if j.IsWatcher() || c.task >= len(j.Waiting()) {
		c.nextJob()
		return
	}
	index := j.Waiting()[c.task]
	if c.task++; c.task%tasksPerVisit == 0 {
		pass.jobVisitsLeft-- // most of a large job may be proposed or delayed already
	}
	if !d.mayPropose(j, index) || d.proposeFailure(j, index) {
		return
	}
	size := d.commitSize(j, &j.Tasks[index])
	over := !t.withinQuota(size, p)
	if over != pass.borrowing {
		// The rest of the job is as large; a smaller one may fit the quota.
		c.nextJob()
		return
	}
	scans := d.scans
	if d.place(placementRequest{job: j, index: index, team: t, size: size, overQuota: over, mayPreempt: pass.mayPreempt}) {
		pass.startsLeft--
		return
	}
	pass.failedScansLeft -= d.scans - scans
	d.Stats.Unplaced++
	c.nextJob()
	if c.misses++; c.misses == d.teamMissLimit-1 {
		if left := len(d.input.Ledger.WaitingJobs(t.name, p)) - c.job; left > 0 {
			c.job += d.Random.IntN(left)
		}
	}
}

// ready reports whether a waiting task may be proposed now: it is not already
// proposed, and the delay after its last attempt is over.
func (d *Dispatcher) mayPropose(j *ledger.Job, index uint32) bool {
	task := units.Task{Job: j.ID, Index: index}
	if _, proposed := d.inFlight[task]; proposed {
		return false
	}
	t := &j.Tasks[index]
	if t.Attempt == 0 || (j.IsWatcher() && t.Failures == 0) {
		return true
	}
	r, ok := d.retries[task]
	if !ok || r.attempt != t.Attempt {
		r = retryState{t.Attempt, d.input.Now.Add(d.retryDelay(t))}
		d.retries[task] = r
	}
	return !d.input.Now.Before(r.notBefore)
}

func (d *Dispatcher) retryDelay(t *ledger.Task) time.Duration {
	if t.Failures == 0 {
		return rejectionRetryDelay
	}
	delay := min(maxFailureRetryDelay, failureRetryDelay<<min(t.Failures-1, 10))
	return delay/2 + time.Duration(d.Random.Int64N(int64(delay))) // jitter, so that repeats do not arrive together
}

// giveUp proposes the failure of a task that failed often enough on different
// workers, or that can never run, and reports whether it did.
func (d *Dispatcher) proposeFailure(j *ledger.Job, index uint32) bool {
	t := &j.Tasks[index]
	reason := ""
	switch {
	case t.Failures >= maxFailures && len(t.FailedWorkers) >= minFailedWorkers, t.Failures >= maxFailuresSameWorker:
		reason = "failed too often: " + t.Reason
	default:
		reason = d.unplaceableReason(j)
	}
	if reason == "" {
		return false
	}
	task := units.Task{Job: j.ID, Index: index}
	d.proposals = append(d.proposals, Proposal{Action: Fail, Task: task, Reason: reason})
	d.inFlight[task] = inFlightProposal{attempt: t.Attempt + 1, proposedAt: d.input.Now}
	return true
}

// pruneMemory forgets tasks that no longer wait, every hundred ticks.
func (d *Dispatcher) pruneTaskState() {
	if d.tickCount%100 != 0 {
		return
	}
	for task, r := range d.retries {
		if t := d.input.Ledger.Task(task); t == nil || t.Attempt != r.attempt {
			delete(d.retries, task)
		}
	}
	for task := range d.unplacedSince {
		if t := d.input.Ledger.Task(task); t == nil || !t.State.Waiting() {
			delete(d.unplacedSince, task)
		}
	}
}
