package dispatch

import (
	"cmp"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	maxPreemptionsPerTick = 32 // victims lose their work since the last checkpoint
	maxReclaimsPerTick    = 4
	maxScansPerTick       = 256 // searches over the workers after which preemption stops
	// reclaimAfter is how long a task within its team's quota waits for capacity
	// before borrowed attempts are evicted for it.
	reclaimAfter = 2 * time.Second
)

// preempt proposes the task for the worker where it must evict the smallest
// share of the capacity, and reports whether it found one. It does not wait for
// the evictions: that would cost another tick and another append, and urgent
// tasks must start within 1.4 s.
func (d *Dispatcher) preempt(q *request) bool {
	if d.preemptions >= maxPreemptionsPerTick || d.scans >= maxScansPerTick {
		return false
	}
	d.scans++
	var best *workerRow
	var least float64
	for _, i := range d.eligible {
		r := &d.rows[i]
		d.Stats.WorkersScanned++
		need := shortfall(q.size, r.free)
		if r.probe || r.launching >= 2*maxLaunching || !need.Fits(r.evictable) || !q.size.Fits(r.Capacity.Sub(r.reserved)) {
			continue
		}
		if c := dominantShare(need, r.Capacity); best == nil || c < least {
			best, least = r, c
		}
	}
	if best == nil {
		return false
	}
	victims := d.selectVictims(best, shortfall(q.size, best.free), func(j *ledger.Job, t *ledger.Task) bool {
		return t.Borrowed || j.Priority < q.job.Priority
	})
	// Tasks that a restarted agent adopted are listed under its earlier epoch, so
	// for urgent tasks the agent may choose victims that are not found here.
	if victims == nil && q.job.Priority < units.PriorityUrgent {
		return false
	}
	d.assignWithEviction(q, best, victims)
	return true
}

// reclaim evicts borrowed attempts for a task within its team's quota that has
// waited for reclaimAfter, and reports whether it proposed the task.
func (d *Dispatcher) reclaim(q *request) bool {
	since, known := d.unplacedSince[q.task()] // unknown while the table is full
	if !known || !q.noCapacity || d.reclaims >= maxReclaimsPerTick || d.in.Now.Sub(since) < reclaimAfter {
		return false
	}
	d.reclaims++
	const maxSampledWorkers = 32
	n := len(d.eligible)
	for range min(n, maxSampledWorkers) {
		r := &d.rows[d.eligible[d.Random.IntN(n)]]
		d.Stats.WorkersScanned++
		need := shortfall(q.size, r.free)
		if r.probe || r.launching >= r.launchLimit || !need.Fits(r.evictable) || !q.size.Fits(r.Capacity.Sub(r.reserved)) {
			continue
		}
		if _, ok := d.cost(r, q); !ok {
			continue
		}
		if v := d.selectVictims(r, need, func(_ *ledger.Job, t *ledger.Task) bool { return t.Borrowed }); v != nil {
			d.assignWithEviction(q, r, v)
			return true
		}
	}
	return false
}

// assignWithEviction proposes the task for a worker that must evict other tasks
// first. The resources of the victims count as free at once.
func (d *Dispatcher) assignWithEviction(q *request, r *workerRow, victims []TaskAttempt) {
	d.preemptions++
	d.Stats.Preemptions++
	need := shortfall(q.size, r.free)
	r.evictable = r.evictable.Sub(need)
	d.assign(q, r, true, victims)
	if victims == nil {
		r.free = r.free.Add(need)
	}
	for _, v := range victims {
		if t := d.in.Ledger.Task(v.Task); t != nil {
			r.free = r.free.Add(t.Committed)
		}
	}
}

// selectVictims returns the batch attempts to evict from the worker to free the
// needed resources, or nil if they do not suffice. Borrowed attempts come first,
// then the lowest priority, then the newest, which lose the least work.
func (d *Dispatcher) selectVictims(r *workerRow, need units.Resources, evictable func(*ledger.Job, *ledger.Task) bool) []TaskAttempt {
	type candidate struct {
		job  *ledger.Job
		row  *ledger.Task
		task units.Task
	}
	var all []candidate
	for _, task := range d.in.Ledger.TasksOn(r.epoch) {
		j, t := d.in.Ledger.Job(task.Job), d.in.Ledger.Task(task)
		if t.State == ledger.Running && !j.IsWatcher() && evictable(j, t) {
			all = append(all, candidate{j, t, task})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.row.Borrowed != b.row.Borrowed {
			return map[bool]int{true: -1, false: 1}[a.row.Borrowed]
		}
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(b.row.StateOffset, a.row.StateOffset),
			cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index))
	})
	victims := make([]TaskAttempt, 0, 2)
	for _, c := range all {
		if need.Fits(units.Resources{}) {
			break
		}
		victims = append(victims, TaskAttempt{c.task, c.row.Attempt})
		need = need.Sub(c.row.Committed)
	}
	if len(victims) == 0 || !need.Fits(units.Resources{}) {
		return nil
	}
	return victims
}

// shortfall returns by how much the size exceeds the free resources, in each
// dimension.
func shortfall(size, free units.Resources) units.Resources {
	n := size.Sub(free)
	return units.Resources{Processors: max(0, n.Processors), Memory: max(0, n.Memory), Accelerators: max(0, n.Accelerators)}
}
