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
	maxVisits      = 512
	leastPerTeam   = 3
	foreignPerCost = 8  // jobs of other dispatchers that cost one visit
	tasksPerCost   = 64 // tasks of one job that cost another visit
	// After a tick without a start a quarter is read, but the whole every
	// fourth tick: a full cluster costs little while it stays full.
	idleShare = 4
	// maxMisses bounds the scans of one pass that find no worker. A size that
	// is no smaller than one missed before needs no scan.
	maxMisses = 96
	// lowFirstChance is how often, one tick in so many, the lowest waiting
	// priority goes first, so that a stream of higher ones cannot starve it.
	lowFirstChance = 20
	// Delays before an attempt is repeated, by why the last one ended. A
	// failure doubles the delay up to maxRetryDelay.
	refusedDelay  = 200 * time.Millisecond
	failedDelay   = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	maxFailures   = 4 // attempts
	minWorkers    = 2 // that those failed on
	maxFailuresOn = 8 // when there is only one worker to fail on
)

// retry is when the next attempt of a task may be proposed.
type retry struct {
	attempt units.Attempt // the one that ended
	at      time.Time
}

// pass selects what one walk over the queues may start.
type pass struct {
	borrowing bool
	preempt   bool
	starts    int // left
	misses    int // left, of scans
	visits    int // left, of jobs
}

// order walks the queues: watchers first, because a monitor is small and must
// not wait, then each priority within quota by the teams' shares, then, over
// quota, what others leave unused.
func (d *Dispatcher) order() {
	d.visits = maxVisits
	if !d.started && d.tickCount%idleShare != 0 {
		d.visits = maxVisits / idleShare
	}
	defer func() { d.started = d.Stats.Assigned > 0 }()
	d.watchers()
	d.serveReservations()
	if d.Random.IntN(lowFirstChance) == 0 {
		for p := units.PriorityLow; p < units.PriorityUrgent; p++ {
			d.missed = units.PriorityUrgent // reserves nothing
			d.walk(p, &pass{starts: 1, misses: 4})
		}
		d.missed = 0
	}
	for p := units.PriorityUrgent; p >= units.PriorityLow; p-- {
		d.walk(p, &pass{starts: d.budget, misses: maxMisses, preempt: p == units.PriorityUrgent})
	}
	for p := units.PriorityUrgent; p >= units.PriorityLow; p-- {
		d.walk(p, &pass{starts: d.budget, misses: maxMisses, borrowing: true})
	}
	d.pruneMemory()
}

// watchers proposes every waiting watcher. The document's validation has
// checked them against the quotas, so they are not held back here.
func (d *Dispatcher) watchers() {
	if !d.in.Ledger.HasWaitingWatcher() {
		return
	}
	watching := d.in.Ledger.Watchers()
	var spread *placed
	for _, j := range watching {
		if len(j.Waiting()) == 0 || !d.mine(j.ID) || !d.ready(j, 0) {
			continue
		}
		if spread == nil {
			spread = d.placedWatchers(watching)
		}
		d.place(request{job: j, size: j.Size, spread: spread, preempt: j.Priority >= units.PriorityHigh})
	}
}

// walk serves one priority: repeatedly the oldest task of the team with the
// least share.
func (d *Dispatcher) walk(p units.Priority, pass *pass) {
	pass.visits = d.visits
	d.perTeam = max(leastPerTeam, maxVisits/max(1, len(d.teams)))
	for i := range d.teams {
		d.teams[i].next[p] = cursor{}
	}
	for pass.starts > 0 && d.budget > 0 && pass.misses > 0 && pass.visits > 0 {
		t := d.leastShare(p, pass)
		if t == nil {
			return
		}
		// Without a start no share has changed, so the team is still first.
		starts := pass.starts
		for starts == pass.starts && !d.atEnd(t, p) && pass.misses > 0 && pass.visits > 0 {
			d.serve(t, p, pass)
		}
	}
}

// leastShare picks the team with the least share among those with work left.
func (d *Dispatcher) leastShare(p units.Priority, pass *pass) *teamRow {
	var best *teamRow
	for i := range d.teams {
		t := &d.teams[i]
		if t.next[p].done || (best != nil && t.share >= best.share) {
			continue
		}
		if pass.borrowing && !t.borrows || d.atEnd(t, p) {
			t.next[p].done = true
			continue
		}
		best = t
	}
	return best
}

// atEnd reports whether the walk is through with the team's queue.
func (d *Dispatcher) atEnd(t *teamRow, p units.Priority) bool {
	c := &t.next[p]
	return c.misses >= d.perTeam || c.job >= len(d.in.Ledger.WaitingJobs(t.name, p))
}

// skip moves to the next job of the queue.
func (c *cursor) skip() { c.job, c.task = c.job+1, 0 }

// serve tries the next task in the team's queue and moves its cursor on.
func (d *Dispatcher) serve(t *teamRow, p units.Priority, pass *pass) {
	c := &t.next[p]
	j := d.in.Ledger.WaitingJobs(t.name, p)[c.job]
	if c.task == 0 {
		d.Stats.JobsVisited++
		if !d.mine(j.ID) {
			if c.skip(); c.job%foreignPerCost == 0 {
				pass.visits--
			}
			return
		}
		pass.visits--
	}
	if j.IsWatcher() || c.task >= len(j.Waiting()) {
		c.skip()
		return
	}
	index := j.Waiting()[c.task]
	if c.task++; c.task%tasksPerCost == 0 {
		pass.visits-- // most of a large job may be proposed or delayed already
	}
	if !d.ready(j, index) || d.giveUp(j, index) {
		return
	}
	size := d.size(j, &j.Tasks[index])
	over := !t.within(size, p)
	if over != pass.borrowing {
		// The rest of the job is as large; a smaller one may fit the quota.
		c.skip()
		return
	}
	scans := d.scans
	if d.place(request{job: j, index: index, team: t, size: size, borrowed: over, preempt: pass.preempt}) {
		pass.starts--
		return
	}
	pass.misses -= d.scans - scans
	d.Stats.Unplaced++
	c.skip()
	if c.misses++; c.misses == d.perTeam-1 {
		if left := len(d.in.Ledger.WaitingJobs(t.name, p)) - c.job; left > 0 {
			c.job += d.Random.IntN(left)
		}
	}
}

// ready reports whether a waiting task may be proposed now: it is not already
// proposed, and the delay after its last attempt is over.
func (d *Dispatcher) ready(j *ledger.Job, index uint32) bool {
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
		r = retry{t.Attempt, d.in.Now.Add(d.retryDelay(t))}
		d.retries[task] = r
	}
	return !d.in.Now.Before(r.at)
}

func (d *Dispatcher) retryDelay(t *ledger.Task) time.Duration {
	if t.Failures == 0 {
		return refusedDelay
	}
	delay := min(maxRetryDelay, failedDelay<<min(t.Failures-1, 10))
	return delay/2 + time.Duration(d.Random.Int64N(int64(delay))) // jitter, so that repeats do not arrive together
}

// giveUp proposes the failure of a task that failed often enough on different
// workers, or that can never run, and reports whether it did.
func (d *Dispatcher) giveUp(j *ledger.Job, index uint32) bool {
	t := &j.Tasks[index]
	reason := ""
	switch {
	case t.Failures >= maxFailures && len(t.FailedWorkers) >= minWorkers, t.Failures >= maxFailuresOn:
		reason = "failed too often: " + t.Reason
	default:
		reason = d.impossible(j)
	}
	if reason == "" {
		return false
	}
	task := units.Task{Job: j.ID, Index: index}
	d.proposals = append(d.proposals, Proposal{Action: Fail, Task: task, Reason: reason})
	d.inFlight[task] = flight{attempt: t.Attempt + 1, at: d.in.Now}
	return true
}

// pruneMemory forgets tasks that no longer wait, every hundred ticks.
func (d *Dispatcher) pruneMemory() {
	if d.tickCount%100 != 0 {
		return
	}
	for task, r := range d.retries {
		if t := d.in.Ledger.Task(task); t == nil || t.Attempt != r.attempt {
			delete(d.retries, task)
		}
	}
	for task := range d.unplaced {
		if t := d.in.Ledger.Task(task); t == nil || !t.State.Waiting() {
			delete(d.unplaced, task)
		}
	}
}
