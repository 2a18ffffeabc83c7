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
	dispatcher      *dispatch.Dispatcher
	interference    dispatch.Interference
	evictionAllowed map[dispatch.Victim]bool // assignments that may evict, until they are launched
	workers         []dispatch.Worker
}

// maxMayEvict bounds the remembered permissions; an assignment whose
// permission is forgotten is refused and assigned anew.
const maxEvictionPermissions = 4096

func newPlanner() planner {
	return planner{
		dispatcher:      dispatch.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		interference:    make(dispatch.Interference),
		evictionAllowed: make(map[dispatch.Victim]bool),
	}
}

// observe takes over what an agent's guard has learned.
func (p *planner) recordInterference(w *workerState) {
	for _, i := range w.heartbeat.GetInterference() {
		kind := units.JobKind(i.GetJobKind())
		if p.interference[kind] == nil {
			p.interference[kind] = make(map[units.ServiceName]float64)
		}
		p.interference[kind][units.ServiceName(i.GetService())] = i.GetSlowdown()
	}
}

// place runs the dispatcher and proposes what it decides.
func (c *control) placeTasks(now time.Time) {
	v := c.currentVersion.Load()
	if v == nil || c.draining.Load() {
		return
	}
	c.planner.workers = c.planner.workers[:0]
	registered := c.currentRegistrations()
	for _, w := range c.workers {
		c.planner.workers = append(c.planner.workers, c.dispatchWorker(w, registered, now))
	}
	// Taken before the view: a second read lock inside it would wait for ever
	// behind a writer that waits for the first.
	reachableNow := c.logReachable(now) && c.jobs.Staleness(now) < maxLogStaleness
	c.jobs.View(func(l *ledger.Ledger) {
		proposals := c.planner.dispatcher.Tick(dispatch.Input{
			Now: now, Ledger: l, Document: v.document, Workers: c.planner.workers, Interference: c.planner.interference,
			LogReachable: reachableNow,
			Mine:         func(id units.JobID) bool { return c.ownership.Load().owns(string(id)) },
			Ended: func(h ledger.Holder) bool {
				w, ok := registered[h.Worker]
				return ok && !w.Holds() && w.Epoch >= h.Epoch
			},
			Dispatchers: len(c.ownership.Load().live),
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
func (c *control) currentRegistrations() map[units.WorkerID]roster.Worker {
	applied := c.members.Applied()
	if c.registeredWorkers != nil && c.registeredWorkersOffset == applied {
		return c.registeredWorkers
	}
	registered := make(map[units.WorkerID]roster.Worker, len(c.registeredWorkers))
	c.members.View(func(r *roster.Roster) {
		for _, w := range r.Workers() {
			registered[w.ID] = w
		}
	})
	c.registeredWorkers, c.registeredWorkersOffset = registered, applied
	return registered
}

// dispatchRow is the dispatcher's view of a worker. Only the registered epoch
// may get tasks: the lessor of an unregistered one is not known yet.
func (c *control) dispatchWorker(w *workerState, registered map[units.WorkerID]roster.Worker, now time.Time) dispatch.Worker {
	m := w.heartbeat
	row := dispatch.Worker{
		ID: w.id, Domain: units.DomainName(m.GetFailureDomain()), Rack: units.RackName(m.GetRack()), Region: units.RegionName(m.GetRegion()),
		Capacity: m.GetCapacity().Units(), Committed: m.GetCommitted().Units(), Evictable: m.GetEvictable().Units(),
		Age: now.Sub(w.lastHeartbeatAt), Draining: m.GetDraining(), Session: w.reachable(now) && m.GetLeaseValid(),
	}
	if registration, ok := registered[w.id]; ok && registration.Holds() && registration.Epoch == units.Epoch(m.GetEpoch()) {
		row.Epoch = registration.Epoch
	}
	for _, e := range m.GetEndpoints() {
		if e.GetState() != wire.EndpointState_ENDPOINT_STATE_GONE {
			row.Services = append(row.Services, units.ServiceName(e.GetService()))
		}
	}
	return row
}

// proposalNames are the kinds of the time line's events.
var proposalEventKinds = map[dispatch.Action]string{dispatch.Assign: "assigned", dispatch.Release: "released", dispatch.Fail: "failed"}

func (c *control) propose(l *ledger.Ledger, p dispatch.Proposal, now time.Time) {
	entry := p.Encode()
	if row := l.Task(p.Task); p.Action == dispatch.Release && row != nil && row.State == ledger.Stopping {
		entry = ledger.EncodeEnded(p.Task, p.Attempt, wire.Outcome_OUTCOME_STOPPED, 0, units.Resources{})
	}
	if p.MayEvict {
		if len(c.planner.evictionAllowed) >= maxEvictionPermissions {
			clear(c.planner.evictionAllowed)
		}
		c.planner.evictionAllowed[dispatch.Victim{Task: p.Task, Attempt: p.Attempt}] = true
	}
	if !c.jobsOutbox.add(fmt.Sprintf("%d/%s#%d/%s", p.Action, p.Task, p.Attempt, p.Holder.Worker), now, entry) {
		return
	}
	c.counters.proposals.Inc(1)
	cause := ""
	if p.Action == dispatch.Release {
		cause = c.causes.Latest(string(p.Holder.Worker)) // the end of the worker's epoch
	}
	c.event("job", proposalEventKinds[p.Action], p.Task.String(),
		fmt.Sprintf("attempt %d %s %s", p.Attempt, p.Holder.Worker, p.Reason), cause)
}
