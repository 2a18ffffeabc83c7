package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wasabihill.example/wasabihill/internal/dispatch"
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// scheduler is what the versions differ in.
type scheduler interface {
	Tick(dispatch.Input) []dispatch.Proposal
}

// fixture is one run: the real ledger and a scheduler between fakes.
type fixture struct {
	firm    Firm
	c       Case
	version Version
	s       scheduler
	l       *ledger.Ledger
	doc     *environment.Document

	world    *rand.Rand // arrivals and sizes: the same for every version
	noise    *rand.Rand // requests: the same for every version
	elapsed  time.Duration
	offset   units.Offset
	due      map[time.Duration][]func()
	backlog  [][]byte // entries of agents that wait for the log
	machines []*machine
	kinds    []kind
	jobs     map[units.JobID]*spec
	saved    map[units.Task]float64 // work up to the last checkpoint
	ended    map[ledger.WorkerEpoch]bool
	learned  *interference
	m        measures
	rows     []dispatch.Worker
	nextJob  int
	debt     float64 // core seconds of work to be submitted
}

// spec is the truth about a job's tasks.
type spec struct {
	kind   *kind
	cores  float64
	memory float64 // bytes
	work   float64 // seconds at full speed
	at     time.Duration
	urgent bool
}

func newFixture(f Firm, c Case, v Version, seed uint64) *fixture {
	x := &fixture{firm: f, c: c, version: v, l: ledger.New(), due: map[time.Duration][]func(){}, jobs: map[units.JobID]*spec{},
		world: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)), saved: map[units.Task]float64{},
		ended: map[ledger.WorkerEpoch]bool{}, learned: &interference{}}
	x.doc = document(f, environment.DomainIn)
	x.s = dispatch.New(rand.New(rand.NewPCG(seed, 3)))
	if v == Naive {
		x.s = &naive{}
	}
	for i := range f.Workers {
		x.machines = append(x.machines, &machine{id: workerID(i), epoch: 1, domain: domain(i % 3),
			rack: units.RackName(fmt.Sprint("rack-", i/9)), alive: true})
	}
	x.m.init()
	x.kinds = kinds(x.world, f)
	x.l.Observe = x.observe
	for i := range f.Watchers {
		x.submitWatcher(i)
	}
	x.schedule()
	return x
}

func domain(i int) units.DomainName { return units.DomainName(fmt.Sprint("domain-", i)) }

// document is the environment with domain-0 in the given state.
func document(f Firm, first environment.DomainState) *environment.Document {
	worker := f.Capacity.Sub(f.Endpoint)
	all := units.Resources{Processors: worker.Processors * units.Millicores(f.Workers), Memory: worker.Memory * units.Bytes(f.Workers)}
	quota := units.Resources{Processors: all.Processors / 3, Memory: all.Memory / 3}
	doc := &environment.Document{Environment: "trial", LargestWorker: f.Capacity,
		Guards:   environment.Guards{Enabled: true, LatencyRatio: 1.2},
		Services: []environment.Service{{Name: "desk", Priority: units.PriorityUrgent, PerEndpoint: f.Endpoint}},
		FailureDomains: []environment.FailureDomain{{Name: domain(0), State: first}, {Name: domain(1), State: environment.DomainIn},
			{Name: domain(2), State: environment.DomainIn}}}
	for i := range 3 {
		doc.Teams = append(doc.Teams, environment.Team{Name: team(i), Quota: quota, MayBorrow: true})
	}
	return doc
}

func team(i int) units.TeamName { return units.TeamName(fmt.Sprint("team-", i)) }

// schedule enters the events of the case.
func (x *fixture) schedule() {
	at := func(t time.Duration, f func()) { x.due[t] = append(x.due[t], f) }
	if !x.c.LogOutage {
		at(crashAt, func() { x.machines[1].crash(x) })
		at(crashAt+crashBack, func() { x.machines[1].join() })
	}
	if x.c.BadWorker {
		at(badFrom, func() { x.machines[2].bad, x.machines[2].leaving = x.version != Ideal, x.version == Ideal })
	}
	if x.c.DomainOut {
		at(absentFrom, func() { x.doc = document(x.firm, environment.DomainOut) })
		at(absentTo, func() { x.doc = document(x.firm, environment.DomainIn) })
		for _, m := range x.machines {
			if m.domain != domain(0) {
				continue
			}
			// Freshness of the configuration lets agents obey within 3 s; the
			// instances go a while later.
			at(absentFrom+3*time.Second, func() { m.leave(x) })
			at(absentFrom+30*time.Second, func() { m.crash(x) })
			at(absentTo, m.join)
		}
	}
	if x.c.Waves {
		for t := wavePeriod; t < horizon; t += wavePeriod {
			at(t, func() { x.wave() })
		}
	}
}

// after runs f a number of steps later.
func (x *fixture) after(steps int, f func()) {
	t := x.elapsed + time.Duration(steps)*step
	x.due[t] = append(x.due[t], f)
}

func (x *fixture) logUp() bool {
	return !x.c.LogOutage || x.elapsed < outageFrom || x.elapsed >= outageTo
}

// record appends an entry of an agent, which repeats it until the log is back.
// One step stands for group commit, another for the reader.
func (x *fixture) record(entry []byte) { x.backlog = append(x.backlog, entry) }

func (x *fixture) apply(entry []byte) {
	x.offset++
	if err := x.l.Apply(x.offset, entry); err != nil {
		panic(err) // the fixture encodes no malformed entry
	}
}

// step advances the clock by 50 ms.
func (x *fixture) step() {
	x.elapsed += step
	for _, f := range x.due[x.elapsed] {
		f()
	}
	delete(x.due, x.elapsed)
	x.arrive()
	if x.logUp() && len(x.backlog) > 0 {
		entries := x.backlog
		x.backlog = nil
		x.after(2, func() {
			for _, e := range entries {
				x.apply(e)
			}
		})
	}
	for i, m := range x.machines {
		m.run(x)
		if x.elapsed%(500*time.Millisecond) == time.Duration(i%10)*step {
			m.heartbeat(x)
		}
		if x.elapsed%time.Second == time.Duration(i%20)*step && x.version != Ideal {
			m.guard(x)
		}
	}
	x.tick()
	x.m.sample(x)
}

// tick runs the scheduler and records its proposals.
func (x *fixture) tick() {
	x.rows = x.rows[:0]
	for _, m := range x.machines {
		if m.seen.ID != "" {
			w := m.seen
			w.HeartbeatAge, w.HasSession = x.elapsed-m.seenAt, m.alive
			x.rows = append(x.rows, w)
		}
	}
	in := dispatch.Input{Now: time.Unix(0, 0).Add(x.elapsed), Ledger: x.l, Document: x.doc, Workers: x.rows,
		LogReachable: x.logUp(), EpochEnded: func(h ledger.WorkerEpoch) bool { return x.ended[h] }}
	if x.version == Product {
		in.Interference = x.learned.table
	}
	for _, p := range x.s.Tick(in) {
		if !x.logUp() {
			continue // the append fails
		}
		entry := p.Encode()
		x.after(2, func() { x.accept(p, entry) })
	}
}

// accept applies a proposal and, when it won, launches the attempt.
func (x *fixture) accept(p dispatch.Proposal, entry []byte) {
	old := x.l.Task(p.Task)
	waited := old != nil && old.State.Waiting()
	x.apply(entry)
	if p.Action != dispatch.Assign || !waited {
		return // or the same proposal has won before
	}
	t := x.l.Task(p.Task)
	if t == nil || t.State != ledger.Assigned || t.Attempt != p.Attempt || t.Worker != p.WorkerEpoch.Worker || t.Epoch != p.WorkerEpoch.Epoch {
		return
	}
	for _, m := range x.machines {
		if m.id == p.WorkerEpoch.Worker {
			x.after(1, func() { m.launch(x, p) })
		}
	}
}

// observe counts what the fold accepted.
func (x *fixture) observe(c ledger.Change) {
	if c.Reason != "" || c.Kind != "ended" {
		return
	}
	if s := x.jobs[c.Task.Job]; s != nil && s.kind != nil {
		x.m.finished += s.cores * s.work
		x.m.ended++
	}
}

func (x *fixture) submitWatcher(i int) {
	id := units.JobID(fmt.Sprint(ledger.WatcherPrefix, "monitor-", i))
	x.jobs[id] = &spec{cores: 0.25, memory: 256e6}
	x.apply(ledger.EncodeSubmitted(&wire.JobSubmitted{Job: string(id), Team: string(team(i % 3)), Tasks: 1, Spec: &wire.TaskSpec{
		Kind: wire.TaskKind_TASK_KIND_WATCHER, Priority: wire.Priority_PRIORITY_HIGH,
		Size: wire.FromResources(units.Resources{Processors: 250, Memory: 256e6})}}))
}
