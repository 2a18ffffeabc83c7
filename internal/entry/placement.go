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

// planner contains the dispatcher and its inputs from this process.
type planner struct {
	dispatcher      *dispatch.Dispatcher
	interference    dispatch.Interference
	evictionAllowed map[dispatch.TaskAttempt]bool // assigned attempts that may evict others when they are launched
	workers         []dispatch.Worker
}

// maxEvictionPermissions bounds evictionAllowed. An attempt whose permission has
// been dropped is rejected by the agent, and its task is assigned again.
const maxEvictionPermissions = 4096

func newPlanner() planner {
	return planner{
		dispatcher:      dispatch.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		interference:    make(dispatch.Interference),
		evictionAllowed: make(map[dispatch.TaskAttempt]bool),
	}
}

// recordInterference stores the slowdowns that the agent's guard has estimated.
func (p *planner) recordInterference(w *workerState) {
	for _, i := range w.heartbeat.GetInterference() {
		kind := units.JobKind(i.GetJobKind())
		if p.interference[kind] == nil {
			p.interference[kind] = make(map[units.ServiceName]float64)
		}
		p.interference[kind][units.ServiceName(i.GetService())] = i.GetSlowdown()
	}
}

// placeTasks runs the dispatcher and proposes the entries for its decisions.
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
	// Read this before View locks the ledger: a second read lock inside it would
	// deadlock with a writer that waits for the first read lock.
	reachableNow := c.logReachable(now) && c.jobs.Staleness(now) < maxLogStaleness
	c.jobs.View(func(l *ledger.Ledger) {
		proposals := c.planner.dispatcher.Tick(dispatch.Input{
			Now: now, Ledger: l, Document: v.document, Workers: c.planner.workers, Interference: c.planner.interference,
			LogReachable: reachableNow,
			OwnsJob:      func(id units.JobID) bool { return c.ownership.Load().owns(string(id)) },
			EpochEnded: func(h ledger.WorkerEpoch) bool {
				w, ok := registered[h.Worker]
				return ok && !w.Active() && w.Epoch >= h.Epoch
			},
			DispatcherCount: len(c.ownership.Load().live),
		})
		for _, p := range proposals {
			c.propose(l, p, now)
		}
		_, waiting, open := l.Counts()
		c.counters.waiting.Update(float64(waiting))
		c.counters.open.Update(float64(open))
	})
}

// currentRegistrations returns the newest registration of every worker. It rebuilds
// the table only after a change of the members stream, which occurs a few times
// per second, whereas there are 20 ticks per second.
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

// dispatchWorker returns the dispatcher's input for a worker. Only a registered
// epoch may be assigned tasks, because an unregistered one has no lessor yet.
func (c *control) dispatchWorker(w *workerState, registered map[units.WorkerID]roster.Worker, now time.Time) dispatch.Worker {
	m := w.heartbeat
	row := dispatch.Worker{
		ID: w.id, Domain: units.DomainName(m.GetFailureDomain()), Rack: units.RackName(m.GetRack()), Region: units.RegionName(m.GetRegion()),
		Capacity: m.GetCapacity().Units(), Committed: m.GetCommitted().Units(), Evictable: m.GetEvictable().Units(),
		HeartbeatAge: now.Sub(w.lastHeartbeatAt), Draining: m.GetDraining(), HasSession: w.reachable(now) && m.GetLeaseValid(),
	}
	if registration, ok := registered[w.id]; ok && registration.Active() && registration.Epoch == units.Epoch(m.GetEpoch()) {
		row.Epoch = registration.Epoch
	}
	for _, e := range m.GetEndpoints() {
		if e.GetState() != wire.EndpointState_ENDPOINT_STATE_GONE {
			row.Services = append(row.Services, units.ServiceName(e.GetService()))
		}
	}
	return row
}

// proposalEventKinds maps each action to the kind of its timeline event.
var proposalEventKinds = map[dispatch.Action]string{dispatch.Assign: "assigned", dispatch.Release: "released", dispatch.Fail: "failed"}

// propose queues the entry for a proposal of the dispatcher.
func (c *control) propose(l *ledger.Ledger, p dispatch.Proposal, now time.Time) {
	entry := p.Encode()
	if row := l.Task(p.Task); p.Action == dispatch.Release && row != nil && row.State == ledger.Stopping {
		entry = ledger.EncodeEnded(p.Task, p.Attempt, wire.Outcome_OUTCOME_STOPPED, 0, units.Resources{})
	}
	if p.MayEvict {
		if len(c.planner.evictionAllowed) >= maxEvictionPermissions {
			clear(c.planner.evictionAllowed)
		}
		c.planner.evictionAllowed[dispatch.TaskAttempt{Task: p.Task, Attempt: p.Attempt}] = true
	}
	if !c.jobsOutbox.add(fmt.Sprintf("%d/%s#%d/%s", p.Action, p.Task, p.Attempt, p.WorkerEpoch.Worker), now, entry) {
		return
	}
	c.counters.proposals.Inc(1)
	cause := ""
	if p.Action == dispatch.Release {
		cause = c.causes.Get(string(p.WorkerEpoch.Worker)) // the end of the worker's epoch
	}
	c.event("job", proposalEventKinds[p.Action], p.Task.String(),
		fmt.Sprintf("attempt %d %s %s", p.Attempt, p.WorkerEpoch.Worker, p.Reason), cause)
}
