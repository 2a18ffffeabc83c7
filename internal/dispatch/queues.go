package dispatch

import (
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// maxJobVisits limits the waiting jobs that one walk reads. It is divided
	// among the teams, so that each of 150 teams is reached in every tick even if
	// other teams have many tasks that cannot be placed. The last search for a
	// team takes a random job from the rest of its queue, so that small tasks
	// behind many large ones are tried as well.
	maxJobVisits        = 512
	minMissesPerTeam    = 3
	foreignJobsPerVisit = 8  // jobs of other dispatchers that count as one visit
	tasksPerVisit       = 64 // tasks of one job that count as one more visit
	// After a tick without assignments a walk reads only 1/idleWalkDivisor of the
	// jobs, except in every idleWalkDivisor-th tick. This keeps ticks cheap while
	// the cluster is full.
	idleWalkDivisor = 4
	// maxFailedScans limits the scans of one walk that find no worker. A size at
	// least as large as one that failed before is not scanned again.
	maxFailedScans = 96
	// Every lowestFirstTicks-th tick on average first places a task of each
	// priority below urgent, lowest first, so that a stream of higher-priority
	// tasks cannot starve lower ones.
	lowestFirstTicks = 20
	// Delays before a task is retried, by the reason why the last attempt ended.
	// Each further failure doubles the delay up to maxFailureRetryDelay.
	rejectionRetryDelay  = 200 * time.Millisecond
	failureRetryDelay    = 500 * time.Millisecond
	maxFailureRetryDelay = 30 * time.Second
	// A task fails permanently after maxFailures failed attempts on at least
	// minFailedWorkers workers, or after maxFailuresSameWorker attempts if there
	// is only one worker to run on.
	maxFailures           = 4
	minFailedWorkers      = 2
	maxFailuresSameWorker = 8
)

// retryState is the time at which the next attempt of a task may be proposed.
type retryState struct {
	attempt   units.Attempt // the attempt that ended
	notBefore time.Time
}

// walk contains the options and remaining limits of one walk over the queues of a
// priority.
type walk struct {
	borrowing       bool // places only tasks that exceed their team's quota
	mayPreempt      bool
	startsLeft      int
	failedScansLeft int
	jobVisitsLeft   int
}

// placeWaitingTasks proposes assignments in this order: watchers, which are
// small and must not wait; then tasks within quota by priority and by the teams'
// shares; then tasks that borrow capacity which other teams leave unused.
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
			d.highestUnplaced = units.PriorityUrgent // prevents reservations
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

// placeWatchers places every waiting watcher. Quotas are not checked again,
// because the validation of the configuration document has checked them.
func (d *Dispatcher) placeWatchers() {
	if !d.in.Ledger.HasWaitingWatcher() {
		return
	}
	watchers := d.in.Ledger.Watchers()
	var spread *spreadCount
	for _, j := range watchers {
		if len(j.Waiting()) == 0 || !d.ownsJob(j.ID) || !d.mayPropose(j, 0) {
			continue
		}
		if spread == nil {
			spread = d.countWatchers(watchers)
		}
		d.place(request{job: j, size: j.Size, spread: spread, mayPreempt: j.Priority >= units.PriorityHigh})
	}
}

// walkPriority places tasks of one priority: repeatedly the oldest task of the
// team with the least share.
func (d *Dispatcher) walkPriority(p units.Priority, w *walk) {
	w.jobVisitsLeft = d.jobVisitLimit
	d.teamMissLimit = max(minMissesPerTeam, maxJobVisits/max(1, len(d.teams)))
	for i := range d.teams {
		d.teams[i].cursors[p] = cursor{}
	}
	for w.startsLeft > 0 && d.startsLeft > 0 && w.failedScansLeft > 0 && w.jobVisitsLeft > 0 {
		t := d.teamWithLeastShare(p, w)
		if t == nil {
			return
		}
		// Shares change only with a start, so the team stays first until then.
		startsBefore := w.startsLeft
		for startsBefore == w.startsLeft && !d.queueDone(t, p) && w.failedScansLeft > 0 && w.jobVisitsLeft > 0 {
			d.placeNext(t, p, w)
		}
	}
}

// teamWithLeastShare returns the team with the least share among those with
// tasks left in this walk, or nil.
func (d *Dispatcher) teamWithLeastShare(p units.Priority, w *walk) *teamRow {
	var best *teamRow
	for i := range d.teams {
		t := &d.teams[i]
		if t.cursors[p].done || (best != nil && t.share >= best.share) {
			continue
		}
		if w.borrowing && !t.mayBorrow || d.queueDone(t, p) {
			t.cursors[p].done = true
			continue
		}
		best = t
	}
	return best
}

// queueDone reports whether the walk has reached the end of the team's queue or
// its limit of unplaced tasks.
func (d *Dispatcher) queueDone(t *teamRow, p units.Priority) bool {
	c := &t.cursors[p]
	return c.misses >= d.teamMissLimit || c.job >= len(d.in.Ledger.WaitingJobs(t.name, p))
}

// nextJob advances the cursor to the next job of the queue.
func (c *cursor) nextJob() { c.job, c.task = c.job+1, 0 }

// placeNext tries to place the next task of the team's queue and advances its
// cursor.
func (d *Dispatcher) placeNext(t *teamRow, p units.Priority, w *walk) {
	c := &t.cursors[p]
	j := d.in.Ledger.WaitingJobs(t.name, p)[c.job]
	if c.task == 0 {
		d.Stats.JobsVisited++
		if !d.ownsJob(j.ID) {
			if c.nextJob(); c.job%foreignJobsPerVisit == 0 {
				w.jobVisitsLeft--
			}
			return
		}
		w.jobVisitsLeft--
	}
	if j.IsWatcher() || c.task >= len(j.Waiting()) {
		c.nextJob()
		return
	}
	index := j.Waiting()[c.task]
	if c.task++; c.task%tasksPerVisit == 0 {
		w.jobVisitsLeft-- // reading many proposed or delayed tasks of a large job is not free
	}
	if !d.mayPropose(j, index) || d.proposeFailure(j, index) {
		return
	}
	size := d.commitSize(j, &j.Tasks[index])
	overQuota := !t.withinQuota(size, p)
	if overQuota != w.borrowing {
		// The other tasks of the job have the same size; a smaller job may fit
		// the quota.
		c.nextJob()
		return
	}
	scansBefore := d.scans
	if d.place(request{job: j, index: index, team: t, size: size, overQuota: overQuota, mayPreempt: w.mayPreempt}) {
		w.startsLeft--
		return
	}
	w.failedScansLeft -= d.scans - scansBefore
	d.Stats.Unplaced++
	c.nextJob()
	if c.misses++; c.misses == d.teamMissLimit-1 {
		if left := len(d.in.Ledger.WaitingJobs(t.name, p)) - c.job; left > 0 {
			c.job += d.Random.IntN(left)
		}
	}
}

// mayPropose reports whether a waiting task can be proposed now: it has no
// proposal in flight and the delay after its last attempt is over.
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
		r = retryState{t.Attempt, d.in.Now.Add(d.retryDelay(t))}
		d.retries[task] = r
	}
	return !d.in.Now.Before(r.notBefore)
}

func (d *Dispatcher) retryDelay(t *ledger.Task) time.Duration {
	if t.Failures == 0 {
		return rejectionRetryDelay
	}
	delay := min(maxFailureRetryDelay, failureRetryDelay<<min(t.Failures-1, 10))
	return delay/2 + time.Duration(d.Random.Int64N(int64(delay))) // jitter spreads retries over time
}

// proposeFailure proposes the permanent failure of a task that has failed too
// often or can never run, and reports whether it did.
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
	d.inFlight[task] = inFlightProposal{attempt: t.Attempt + 1, proposedAt: d.in.Now}
	return true
}

// pruneTaskState drops the state of tasks that no longer wait. It runs every
// hundred ticks.
func (d *Dispatcher) pruneTaskState() {
	if d.tickCount%100 != 0 {
		return
	}
	for task, r := range d.retries {
		if t := d.in.Ledger.Task(task); t == nil || t.Attempt != r.attempt {
			delete(d.retries, task)
		}
	}
	for task := range d.unplacedSince {
		if t := d.in.Ledger.Task(task); t == nil || !t.State.Waiting() {
			delete(d.unplacedSince, task)
		}
	}
}
