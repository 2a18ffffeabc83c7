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

// scheduler is the part that differs between versions.
type scheduler interface {
	Tick(dispatch.Input) []dispatch.Proposal
}

// simulation is one run of a scheduler and the real ledger; everything around
// them is a fake.
type simulation struct {
	cluster   Cluster
	scenario  Scenario
	version   Version
	scheduler scheduler
	ledger    *ledger.Ledger
	document  *environment.Document

	arrivalRand  *rand.Rand // source of arrivals and sizes, equal for all versions
	requestRand  *rand.Rand // source of request latencies and lease times, equal for all versions
	elapsed      time.Duration
	offset       units.Offset
	events       map[time.Duration][]func()
	unrecorded   [][]byte // entries of agents, not yet appended to the log
	machines     []*machine
	kinds        []kind
	jobs         map[units.JobID]*jobSpec
	checkpoints  map[units.Task]float64 // work done up to the last checkpoint
	endedEpochs  map[ledger.WorkerEpoch]bool
	interference *interference
	measures     measures
	workerRows   []dispatch.Worker
	nextJob      int
	workDue      float64 // core seconds of work not yet submitted
}

// jobSpec is the actual resource use and work of each task of a job.
type jobSpec struct {
	kind        *kind
	cores       float64
	memory      float64 // bytes
	work        float64 // seconds at full speed
	submittedAt time.Duration
	urgent      bool
}

func newSimulation(f Cluster, c Scenario, v Version, seed uint64) *simulation {
	x := &simulation{cluster: f, scenario: c, version: v, ledger: ledger.New(), events: map[time.Duration][]func(){}, jobs: map[units.JobID]*jobSpec{},
		arrivalRand: rand.New(rand.NewPCG(seed, 1)), requestRand: rand.New(rand.NewPCG(seed, 2)), checkpoints: map[units.Task]float64{},
		endedEpochs: map[ledger.WorkerEpoch]bool{}, interference: &interference{}}
	x.document = document(f, environment.DomainIn)
	x.scheduler = dispatch.New(rand.New(rand.NewPCG(seed, 3)))
	if v == Naive {
		x.scheduler = &naive{}
	}
	for i := range f.Workers { // a rack belongs to a domain: of nine workers each domain has three
		x.machines = append(x.machines, &machine{id: workerID(i), epoch: 1, domain: domainName(i % 3),
			rack: units.RackName(fmt.Sprint("rack-", i/9)), alive: true})
	}
	x.measures.init()
	x.kinds = kinds(x.arrivalRand, f)
	x.ledger.Observe = x.observe
	for i := range f.Watchers {
		x.submitWatcher(i)
	}
	x.scheduleEvents()
	return x
}

func domainName(i int) units.DomainName { return units.DomainName(fmt.Sprint("domain-", i)) }

// document returns the configuration of the environment with domain-0 in the
// given state.
func document(f Cluster, first environment.DomainState) *environment.Document {
	worker := f.Capacity.Sub(f.Endpoint)
	all := units.Resources{Processors: worker.Processors * units.Millicores(f.Workers), Memory: worker.Memory * units.Bytes(f.Workers)}
	quota := units.Resources{Processors: all.Processors / 3, Memory: all.Memory / 3}
	doc := &environment.Document{Environment: "trial", LargestWorker: f.Capacity,
		Guards:   environment.Guards{Enabled: true, LatencyRatio: 1.2},
		Services: []environment.Service{{Name: "desk", Priority: units.PriorityUrgent, PerEndpoint: f.Endpoint}},
		FailureDomains: []environment.FailureDomain{{Name: domainName(0), State: first}, {Name: domainName(1), State: environment.DomainIn},
			{Name: domainName(2), State: environment.DomainIn}}}
	for i := range 3 {
		doc.Teams = append(doc.Teams, environment.Team{Name: teamName(i), Quota: quota, MayBorrow: true})
	}
	return doc
}

func teamName(i int) units.TeamName { return units.TeamName(fmt.Sprint("team-", i)) }

// scheduleEvents adds the events of the scenario.
func (x *simulation) scheduleEvents() {
	at := func(t time.Duration, f func()) { x.events[t] = append(x.events[t], f) }
	if !x.scenario.LogOutage {
		at(crashAt, func() { x.machines[1].crash(x) })
		at(crashAt+crashDuration, func() { x.machines[1].join() })
	}
	if x.scenario.FailingWorker {
		at(failingFrom, func() { x.machines[2].failing, x.machines[2].leaving = x.version != Ideal, x.version == Ideal })
	}
	if x.scenario.DomainOut {
		at(absentFrom, func() { x.document = document(x.cluster, environment.DomainOut) })
		at(absentTo, func() { x.document = document(x.cluster, environment.DomainIn) })
		for _, m := range x.machines {
			if m.domain != domainName(0) {
				continue
			}
			// Agents receive the new configuration within 3 s; the instances stop
			// later.
			at(absentFrom+3*time.Second, func() { m.leave(x) })
			at(absentFrom+30*time.Second, func() { m.crash(x) })
			at(absentTo, m.join)
		}
	}
	if x.scenario.NoisyWaves {
		for t := wavePeriod; t < horizon; t += wavePeriod {
			at(t, func() { x.submitWave() })
		}
	}
}

// after runs f the given number of steps later.
func (x *simulation) after(steps int, f func()) {
	t := x.elapsed + time.Duration(steps)*step
	x.events[t] = append(x.events[t], f)
}

func (x *simulation) logReachable() bool {
	return !x.scenario.LogOutage || x.elapsed < outageFrom || x.elapsed >= outageTo
}

// record queues an entry of an agent, which retries the append until the log is
// reachable. The entry is applied two steps after its append: one step for the
// group commit and one for the reader.
func (x *simulation) record(entry []byte) { x.unrecorded = append(x.unrecorded, entry) }

// apply appends an entry to the log and applies it to the ledger.
func (x *simulation) apply(entry []byte) {
	x.offset++
	if err := x.ledger.Apply(x.offset, entry); err != nil {
		panic(err) // the simulation encodes no malformed entry
	}
}

// step advances the clock by one step (50 ms).
func (x *simulation) step() {
	x.elapsed += step
	for _, f := range x.events[x.elapsed] {
		f()
	}
	delete(x.events, x.elapsed)
	x.submitArrivals()
	if x.logReachable() && len(x.unrecorded) > 0 {
		entries := x.unrecorded
		x.unrecorded = nil
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
	x.measures.sample(x)
}

// tick runs the scheduler and records its proposals.
func (x *simulation) tick() {
	x.workerRows = x.workerRows[:0]
	for _, m := range x.machines {
		if m.reported.ID != "" {
			w := m.reported
			w.HeartbeatAge, w.HasSession = x.elapsed-m.reportedAt, m.alive
			x.workerRows = append(x.workerRows, w)
		}
	}
	in := dispatch.Input{Now: time.Unix(0, 0).Add(x.elapsed), Ledger: x.ledger, Document: x.document, Workers: x.workerRows,
		LogReachable: x.logReachable(), EpochEnded: func(h ledger.WorkerEpoch) bool { return x.endedEpochs[h] }}
	if x.version == Product {
		in.Interference = x.interference.table
	}
	for _, p := range x.scheduler.Tick(in) {
		if !x.logReachable() {
			continue // the append fails
		}
		entry := p.Encode()
		x.after(2, func() { x.accept(p, entry) })
	}
}

// accept applies a proposal and launches the attempt if the ledger accepted it.
func (x *simulation) accept(p dispatch.Proposal, entry []byte) {
	old := x.ledger.Task(p.Task)
	waited := old != nil && old.State.Waiting()
	x.apply(entry)
	if p.Action != dispatch.Assign || !waited {
		return // otherwise the same proposal was accepted before
	}
	t := x.ledger.Task(p.Task)
	if t == nil || t.State != ledger.Assigned || t.Attempt != p.Attempt || t.Worker != p.WorkerEpoch.Worker || t.Epoch != p.WorkerEpoch.Epoch {
		return
	}
	for _, m := range x.machines {
		if m.id == p.WorkerEpoch.Worker {
			x.after(1, func() { m.launch(x, p) })
		}
	}
}

// observe counts the tasks whose end the ledger accepted.
func (x *simulation) observe(c ledger.Change) {
	if c.Reason != "" || c.Kind != "ended" {
		return
	}
	if s := x.jobs[c.Task.Job]; s != nil && s.kind != nil {
		x.measures.finished += s.cores * s.work
		x.measures.ended++
	}
}

func (x *simulation) submitWatcher(i int) {
	id := units.JobID(fmt.Sprint(ledger.WatcherPrefix, "monitor-", i))
	x.jobs[id] = &jobSpec{cores: 0.25, memory: 256e6}
	x.apply(ledger.EncodeSubmitted(&wire.JobSubmitted{Job: string(id), Team: string(teamName(i % 3)), Tasks: 1, Spec: &wire.TaskSpec{
		Kind: wire.TaskKind_TASK_KIND_WATCHER, Priority: wire.Priority_PRIORITY_HIGH,
		Size: wire.FromResources(units.Resources{Processors: 250, Memory: 256e6})}}))
}
