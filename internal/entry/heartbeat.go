package entry

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// ReceivedHeartbeat is a heartbeat with the local time of its arrival.
type ReceivedHeartbeat struct {
	Message    *wire.Heartbeat
	ReceivedAt time.Time
}

// heartbeat answers POST /link/heartbeat.
func (e *Entry) serveHeartbeat(ctx context.Context, m *wire.Heartbeat) (*wire.HeartbeatReply, error) {
	now := time.Now()
	e.recorder.Observe(m.GetClock())
	e.collectEvents(m.GetEvents())
	session := link.FromContext(ctx)
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
		reply.EventsAcknowledged = e.collector.Acknowledged(m.GetProcess())
	}
	reply.Clock = e.recorder.Clock()
	return reply, nil
}

// observe takes over what the heartbeat says.
func (c *control) applyHeartbeat(m *wire.Heartbeat, session *link.Session, now time.Time) {
	c.counters.heartbeats.Inc(1)
	id := units.WorkerID(m.GetWorker())
	w := c.workers[id]
	if w == nil {
		w = &workerState{id: id}
		c.workers[id] = w
		c.event("worker", "connected", string(id), m.GetFailureDomain(), "")
	} else if m.GetEpoch() < w.heartbeat.GetEpoch() {
		return // from an agent that has been replaced
	}
	if w.reportedSilent {
		w.reportedSilent = false
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

// answer fills in what the agent has to know.
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

// answerRegistration tells the agent its registration, its lessor, its lessees
// and the watchers that it stands by for.
func (c *control) fillRegistration(r *roster.Roster, id units.WorkerID, m *wire.Heartbeat, reply *wire.HeartbeatReply) {
	epoch := units.Epoch(m.GetEpoch())
	w, ok := r.Worker(id)
	if !ok {
		return
	}
	reply.RegisteredEpoch = uint64(w.Epoch)
	reply.Expired = epoch > 0 && r.EndedEpoch(id, epoch)
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
	for _, name := range r.Lessees(w.Holder()) {
		lessee, _ := r.Worker(name)
		reply.Lessees = append(reply.Lessees, &wire.Lessee{
			Worker: string(name), Epoch: uint64(lessee.Epoch), Term: uint64(lessee.Term),
		})
		reply.Standbys = append(reply.Standbys, c.standbysOf(lessee.Holder())...)
	}
}

// betterLessor reports whether the worker should ask for another lessor. Workers
// that register at the same time find none yet, or each other: of such a pair
// neither can take over the other's watchers in a log outage, because its own
// lease ends with the other. One of the two changes.
func betterLessorAvailable(r *roster.Roster, w roster.Worker) bool {
	place := roster.Place{Domain: w.Domain, Rack: w.Rack, Region: w.Region}
	if w.Lessor == (roster.Holder{}) {
		_, ok := r.ChooseLessor(w.ID, place, nil)
		return ok
	}
	lessor, ok := r.Worker(w.Lessor.Worker)
	if !ok || lessor.Lessor.Worker != w.ID || !hasOtherLessor(r, w, lessor) {
		return false
	}
	return w.ID < lessor.ID || !hasOtherLessor(r, lessor, w)
}

// hasOtherLessor reports whether a worker other than its present lessor could
// be its lessor without making another such pair.
func hasOtherLessor(r *roster.Roster, w, lessor roster.Worker) bool {
	place := roster.Place{Domain: w.Domain, Rack: w.Rack, Region: w.Region}
	chosen, ok := r.ChooseLessor(w.ID, place, func(h roster.Holder) bool { return h.Worker != lessor.ID })
	other, _ := r.Worker(chosen.Worker)
	return ok && other.Lessor.Worker != w.ID
}

// needsList reports whether the agent has to send a full list: the newest is
// of another epoch or a minute old.
func (w *workerState) needsRunningList(epoch units.Epoch, now time.Time) bool {
	return w.runningEpoch != epoch || now.Sub(w.runningListedAt) > maxRunningListAge
}
