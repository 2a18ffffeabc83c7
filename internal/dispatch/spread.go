package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxSpreadTasks is the largest number of tasks of a job that are spread by cost.
// Larger jobs spread anyway, because workers are sampled at random.
const maxSpreadTasks = 64

// spreadCount counts the open tasks of a job, or the watchers, by failure domain
// and rack.
type spreadCount struct {
	total   int
	domains map[units.DomainName]int
	racks   map[rackKey]int
}

type rackKey struct {
	domain units.DomainName
	rack   units.RackName
}

// cost grows with the share of the counted tasks on the worker's rack and in its
// failure domain, so that the loss of either affects as few tasks as possible.
func (p *spreadCount) cost(r *workerRow) float64 {
	if p == nil || p.total == 0 {
		return 0
	}
	n := float64(p.total)
	return costRack*float64(p.racks[rackKey{r.Domain, r.Rack}])/n + costDomain*float64(p.domains[r.Domain])/n
}

func (p *spreadCount) add(r *workerRow) {
	if p.domains == nil {
		p.domains, p.racks = map[units.DomainName]int{}, map[rackKey]int{}
	}
	p.total++
	p.domains[r.Domain]++
	p.racks[rackKey{r.Domain, r.Rack}]++
}

// countJobTasks counts the open tasks of a job. It returns nil for a job with a
// single task or more than maxSpreadTasks.
func (d *Dispatcher) countJobTasks(j *ledger.Job) *spreadCount {
	if len(j.Tasks) < 2 || len(j.Tasks) > maxSpreadTasks {
		return nil
	}
	if d.spreadCountsJob == j {
		return d.spreadCounts
	}
	p := &spreadCount{}
	d.spreadCountsJob, d.spreadCounts = j, p
	for i := range j.Tasks {
		d.countTask(p, units.Task{Job: j.ID, Index: uint32(i)}, &j.Tasks[i])
	}
	return p
}

func (d *Dispatcher) countWatchers(watchers []*ledger.Job) *spreadCount {
	p := &spreadCount{}
	for _, j := range watchers {
		d.countTask(p, units.Task{Job: j.ID}, &j.Tasks[0])
	}
	return p
}

func (d *Dispatcher) countTask(p *spreadCount, task units.Task, t *ledger.Task) {
	id := t.Worker
	if !t.State.Open() {
		f, proposed := d.inFlight[task]
		if !proposed {
			return
		}
		id = f.epoch.Worker
	}
	if i, ok := d.byWorker[id]; ok {
		p.add(&d.rows[i])
	}
}

func (d *Dispatcher) addToSpread(q *request, r *workerRow) {
	if q.spread != nil {
		q.spread.add(r)
	}
}
