package dispatch

import (
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/pkg/units"
)

// maxSpread bounds the tasks of a job that are spread deliberately; larger
// jobs spread by themselves, because workers are sampled at random.
const maxSpreadTasks = 64

// placed counts where the other tasks of a job, or the other watchers, are.
type spreadCount struct {
	total   int
	domains map[units.DomainName]int
	racks   map[rackKey]int
}

type rackKey struct {
	domain units.DomainName
	rack   units.RackName
}

// cost grows with the share of the other tasks that the rack and the domain
// hold already: losing either must lose as few as possible.
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

// placedTasks counts the open tasks of a job; nil for one that has too many to
// spread or only one.
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

// placedWatchers counts where the watchers are.
func (d *Dispatcher) countWatchers(watching []*ledger.Job) *spreadCount {
	p := &spreadCount{}
	for _, j := range watching {
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

func (d *Dispatcher) addToSpread(q *placementRequest, r *workerRow) {
	if q.spread != nil {
		q.spread.add(r)
	}
}
