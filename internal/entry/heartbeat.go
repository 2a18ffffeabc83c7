package entry

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// ReceivedHeartbeat is a heartbeat and the local time at which it was received.
type ReceivedHeartbeat struct {
	Message    *wire.Heartbeat
	ReceivedAt time.Time
}

// serveHeartbeat answers POST /link/heartbeat.
func (e *Entry) serveHeartbeat(ctx context.Context, m *wire.Heartbeat) (*wire.HeartbeatReply, error) {
	now := time.Now()
	e.recorder.UpdateClock(m.GetClock())
	e.collectEvents(m.GetEvents())
	session := link.SessionFromContext(ctx)
	e.descriptions.fillOmitted(m, session)
	if e.requestServer != nil && session != nil {
		e.requestServer.ObserveHeartbeat(units.WorkerID(m.GetWorker()), session, ReceivedHeartbeat{Message: m, ReceivedAt: now})
	}
	reply := &wire.HeartbeatReply{Entry: string(e.Settings.ID)}
	if err := e.runOnLoop(ctx, func(c *control) { c.applyHeartbeat(m, session, now); c.fillReply(m, reply, now) }); err != nil {
		return nil, err
	}
	reply.WantConfig = e.acceptDocument(m)
	e.fillConfig(units.Offset(m.GetConfigOffset()), reply)
	if len(m.GetEvents()) > 0 {
		reply.EventsAcknowledged = e.collector.LastSequence(m.GetProcess())
	}
	reply.Clock = e.recorder.AdvanceClock()
	return reply, nil
}

// applyHeartbeat updates the state of the worker from its heartbeat and proposes
// what the heartbeat requests or reports.
func (c *control) applyHeartbeat(m *wire.Heartbeat, session *link.Session, now time.Time) {
	c.counters.heartbeats.Inc(1)
	id := units.WorkerID(m.GetWorker())
	w := c.workers[id]
	if w == nil {
		w = &workerState{id: id}
		c.workers[id] = w
		c.event("worker", "connected", string(id), m.GetFailureDomain(), "")
	} else if m.GetEpoch() < w.heartbeat.GetEpoch() {
		return // sent by an agent that has been replaced
	}
	if w.unresponsive {
		w.unresponsive = false
		c.event("worker", "heardAgain", string(id), "", "")
	}
	w.heartbeat, w.session, w.lastHeartbeatAt = m, session, now
	if m.GetRunningFull() {
		w.runningAttempts = make(map[units.Task]units.Attempt, len(m.GetRunning()))
		for _, r := range m.GetRunning() {
			w.runningAttempts[r.Task()] = units.Attempt(r.GetAttempt())
		}
		w.runningEpoch, w.runningListedAt = units.Epoch(m.GetEpoch()), now
	}
	c.planner.recordInterference(w)
	c.register(w, now)
	c.proposeReports(w, now)
	c.proposeExpiries(w, now)
}

// fillReply sets the fields of the reply that depend on the control state.
func (c *control) fillReply(m *wire.Heartbeat, reply *wire.HeartbeatReply, now time.Time) {
	id := units.WorkerID(m.GetWorker())
	w := c.workers[id]
	if c.shouldListEntries(w, m, now) {
		for _, l := range c.liveEntries {
			reply.Entries = append(reply.Entries, &wire.EntryAddress{Entry: string(l.ID), Address: l.LinkAddress})
		}
	}
	c.members.View(func(r *roster.Roster) {
		c.fillRegistration(r, id, m, reply)
		for _, x := range m.GetExpiries() {
			if expirySettled(r, x) {
				reply.ExpiriesAcknowledged = append(reply.ExpiriesAcknowledged, x)
			}
		}
	})
	c.acknowledgeReports(m, reply)
	reply.WantRunning = w != nil && m.GetEpoch() > 0 && w.needsRunningList(units.Epoch(m.GetEpoch()), now)
}

// fillRegistration sets the registration of the worker, its lessor, its lessees, and
// the watchers of the lessees, for which it keeps standbys.
func (c *control) fillRegistration(r *roster.Roster, id units.WorkerID, m *wire.Heartbeat, reply *wire.HeartbeatReply) {
	epoch := units.Epoch(m.GetEpoch())
	w, ok := r.Worker(id)
	if !ok {
		return
	}
	reply.RegisteredEpoch = uint64(w.Epoch)
	reply.Expired = epoch > 0 && r.EpochEnded(id, epoch)
	if w.Epoch != epoch {
		return
	}
	reply.LeaseTerm = uint64(w.Term)
	reply.LessorAvailable = betterLessorAvailable(r, w)
	if uint64(w.Term) != m.GetLeaseTerm() {
		// The agent reads these only when it begins the term.
		reply.Lessor, reply.LessorEpoch = string(w.Lessor.Worker), uint64(w.Lessor.Epoch)
		lessor, _ := r.Worker(w.Lessor.Worker)
		reply.LessorAddress = lessor.LinkAddress
	}
	for _, name := range r.Lessees(w.WorkerEpoch()) {
		lessee, _ := r.Worker(name)
		reply.Lessees = append(reply.Lessees, &wire.Lessee{
			Worker: string(name), Epoch: uint64(lessee.Epoch), Term: uint64(lessee.Term),
		})
		reply.Standbys = append(reply.Standbys, c.standbysOf(lessee.WorkerEpoch())...)
	}
}

// betterLessorAvailable reports whether the worker should request another lessor.
// Workers that register at the same time get no lessor or become each other's. In
// such a pair neither can run the other's watchers in a log outage, because both
// leases end together. One of the two then changes its lessor.
func betterLessorAvailable(r *roster.Roster, w roster.Worker) bool {
	place := roster.Location{Domain: w.Domain, Rack: w.Rack, Region: w.Region}
	if w.Lessor == (roster.WorkerEpoch{}) {
		_, ok := r.ChooseLessor(w.ID, place, nil)
		return ok
	}
	lessor, ok := r.Worker(w.Lessor.Worker)
	if !ok || lessor.Lessor.Worker != w.ID || !hasOtherLessor(r, w, lessor) {
		return false
	}
	return w.ID < lessor.ID || !hasOtherLessor(r, lessor, w)
}

// hasOtherLessor reports whether a worker other than the present lessor can be the
// lessor of w without forming another such pair.
func hasOtherLessor(r *roster.Roster, w, lessor roster.Worker) bool {
	place := roster.Location{Domain: w.Domain, Rack: w.Rack, Region: w.Region}
	chosen, ok := r.ChooseLessor(w.ID, place, func(h roster.WorkerEpoch) bool { return h.Worker != lessor.ID })
	other, _ := r.Worker(chosen.Worker)
	return ok && other.Lessor.Worker != w.ID
}

// needsRunningList reports whether the agent must send a full list of its running
// tasks, because the newest one is of another epoch or older than
// maxRunningListAge.
func (w *workerState) needsRunningList(epoch units.Epoch, now time.Time) bool {
	return w.runningEpoch != epoch || now.Sub(w.runningListedAt) > maxRunningListAge
}
