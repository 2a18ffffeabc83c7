package entry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wasabihill.example/wasabihill/internal/dispatch"
	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// planner connects the dispatcher to the tables of this process.
type planner struct {
	dispatcher   *dispatch.Dispatcher
	interference dispatch.Interference
	mayEvict     map[dispatch.TaskAttempt]bool // assignments that may evict, until they are launched
	rows         []dispatch.Worker
}

// maxMayEvict bounds the remembered permissions; an assignment whose
// permission is forgotten is refused and assigned anew.
const maxMayEvict = 4096

func newPlanner() planner {
	return planner{
		dispatcher:   dispatch.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		interference: make(dispatch.Interference),
		mayEvict:     make(map[dispatch.TaskAttempt]bool),
	}
}

// observe takes over what an agent's guard has learned.
func (p *planner) observe(w *workerRow) {
	for _, i := range w.beat.GetInterference() {
		kind := units.JobKind(i.GetJobKind())
		if p.interference[kind] == nil {
			p.interference[kind] = make(map[units.ServiceName]float64)
		}
		p.interference[kind][units.ServiceName(i.GetService())] = i.GetSlowdown()
	}
}

// place runs the dispatcher and proposes what it decides.
func (c *control) place(now time.Time) {
	v := c.document.Load()
	if v == nil || c.draining.Load() {
		return
	}
	c.planner.rows = c.planner.rows[:0]
	registered := c.registrations()
	for _, w := range c.workers {
		c.planner.rows = append(c.planner.rows, c.dispatchRow(w, registered, now))
	}
	// Taken before the view: a second read lock inside it would wait for ever
	// behind a writer that waits for the first.
	reachableNow := c.logReachable(now) && c.jobs.Staleness(now) < reachable
	c.jobs.View(func(l *ledger.Ledger) {
		proposals := c.planner.dispatcher.Tick(dispatch.Input{
			Now: now, Ledger: l, Document: v.document, Workers: c.planner.rows, Interference: c.planner.interference,
			LogReachable: reachableNow,
			OwnsJob:      func(id units.JobID) bool { return c.owners.Load().owns(string(id)) },
			EpochEnded: func(h ledger.WorkerEpoch) bool {
				w, ok := registered[h.Worker]
				return ok && !w.Active() && w.Epoch >= h.Epoch
			},
			DispatcherCount: len(c.owners.Load().live),
		})
		for _, p := range proposals {
			c.propose(l, p, now)
		}
		_, waiting, open := l.Counts()
		c.counters.waiting.Update(float64(waiting))
		c.counters.open.Update(float64(open))
	})
}

// registrations returns the newest registration of every worker. The table is
// built anew only when the members stream has moved, which is a few times a
// second, while a tick comes 20 times a second.
func (c *control) registrations() map[units.WorkerID]roster.Worker {
	applied := c.members.Applied()
	if c.registered != nil && c.registeredAt == applied {
		return c.registered
	}
	registered := make(map[units.WorkerID]roster.Worker, len(c.registered))
	c.members.View(func(r *roster.Roster) {
		for _, w := range r.Workers() {
			registered[w.ID] = w
		}
	})
	c.registered, c.registeredAt = registered, applied
	return registered
}

// dispatchRow is the dispatcher's view of a worker. Only the registered epoch
// may get tasks: the lessor of an unregistered one is not known yet.
func (c *control) dispatchRow(w *workerRow, registered map[units.WorkerID]roster.Worker, now time.Time) dispatch.Worker {
	m := w.beat
	row := dispatch.Worker{
		ID: w.id, Domain: units.DomainName(m.GetFailureDomain()), Rack: units.RackName(m.GetRack()), Region: units.RegionName(m.GetRegion()),
		Capacity: m.GetCapacity().Units(), Committed: m.GetCommitted().Units(), Evictable: m.GetEvictable().Units(),
		HeartbeatAge: now.Sub(w.heard), Draining: m.GetDraining(), HasSession: w.reachable(now) && m.GetLeaseValid(),
	}
	if known, ok := registered[w.id]; ok && known.Active() && known.Epoch == units.Epoch(m.GetEpoch()) {
		row.Epoch = known.Epoch
	}
	for _, e := range m.GetEndpoints() {
		if e.GetState() != wire.EndpointState_ENDPOINT_STATE_GONE {
			row.Services = append(row.Services, units.ServiceName(e.GetService()))
		}
	}
	return row
}

// proposalNames are the kinds of the time line's events.
var proposalNames = map[dispatch.Action]string{dispatch.Assign: "assigned", dispatch.Release: "released", dispatch.Fail: "failed"}

func (c *control) propose(l *ledger.Ledger, p dispatch.Proposal, now time.Time) {
	entry := p.Encode()
	if row := l.Task(p.Task); p.Action == dispatch.Release && row != nil && row.State == ledger.Stopping {
		entry = ledger.EncodeEnded(p.Task, p.Attempt, wire.Outcome_OUTCOME_STOPPED, 0, units.Resources{})
	}
	if p.MayEvict {
		if len(c.planner.mayEvict) >= maxMayEvict {
			clear(c.planner.mayEvict)
		}
		c.planner.mayEvict[dispatch.TaskAttempt{Task: p.Task, Attempt: p.Attempt}] = true
	}
	if !c.jobsOut.add(fmt.Sprintf("%d/%s#%d/%s", p.Action, p.Task, p.Attempt, p.WorkerEpoch.Worker), now, entry) {
		return
	}
	c.counters.proposals.Inc(1)
	cause := ""
	if p.Action == dispatch.Release {
		cause = c.causes.Get(string(p.WorkerEpoch.Worker)) // the end of the worker's epoch
	}
	c.event("job", proposalNames[p.Action], p.Task.String(),
		fmt.Sprintf("attempt %d %s %s", p.Attempt, p.WorkerEpoch.Worker, p.Reason), cause)
}
