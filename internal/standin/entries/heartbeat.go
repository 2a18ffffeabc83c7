package entries

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// SessionHandler returns a handler for the calls on one session that an agent has
// dialled. agentHandler handles the calls to the agent on that session.
func (p *Platform) SessionHandler(agentHandler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /link/heartbeat", link.Handle(func(_ context.Context, h *wire.Heartbeat) (*wire.HeartbeatReply, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.agentHandlers[h.Worker] = agentHandler
		return p.heartbeat(h), nil
	}))
	return mux
}

// heartbeat applies a heartbeat and returns the reply. p.mu must be held.
func (p *Platform) heartbeat(h *wire.Heartbeat) *wire.HeartbeatReply {
	p.lastHeartbeat[h.Worker] = time.Now()
	if !p.logUnreachable && !p.configurationFrozen {
		p.lastLogRead = time.Now()
	}
	reply := &wire.HeartbeatReply{Entry: "entry", ConfigOffset: p.documentOffset, LogReachable: !p.logUnreachable,
		ConfigStalenessMilliseconds: time.Since(p.lastLogRead).Milliseconds()}
	if h.ConfigOffset < p.documentOffset {
		reply.ConfigDocument = p.encodedDocument
	}
	if !h.Committed.Units().Fits(h.Capacity.Units()) {
		p.addViolation("worker %s committed %s of %s", h.Worker, h.Committed.Units(), h.Capacity.Units())
	}
	if h.Epoch != 0 && !p.logUnreachable {
		p.applyHeartbeat(h, reply)
	}
	if w := p.registrations[h.Worker]; w != nil {
		reply.RegisteredEpoch, reply.LeaseTerm, reply.Expired = w.epoch, w.term, w.expired
		reply.Lessor, reply.LessorEpoch = w.lessor, w.lessorEpoch
		reply.LessorAddress = "link/" + w.lessor
	}
	for name, w := range p.registrations {
		if w.lessor == h.Worker && w.lessorEpoch == h.Epoch && !w.expired {
			reply.Lessees = append(reply.Lessees, &wire.Lessee{Worker: name, Epoch: w.epoch, Term: w.term})
			reply.Standbys = append(reply.Standbys, p.standbysOf(name, w)...)
		}
	}
	return reply
}

// standbysOf returns the standbys for the started watchers of a worker.
func (p *Platform) standbysOf(holder string, w *registration) []*wire.Standby {
	var out []*wire.Standby
	for _, name := range p.order {
		r := p.tasks[name]
		if r.spec.Kind == wire.TaskKind_TASK_KIND_WATCHER && r.worker == holder && r.started {
			out = append(out, &wire.Standby{Task: wire.NewTaskRef(name, units.Attempt(r.attempt)), Spec: r.spec, Holder: holder, HolderEpoch: w.epoch})
		}
	}
	return out
}

// applyHeartbeat applies the changes that a heartbeat requests, by the rules of the
// log, and adds the acknowledgements to the reply.
func (p *Platform) applyHeartbeat(h *wire.Heartbeat, reply *wire.HeartbeatReply) {
	w := p.registrations[h.Worker]
	if w == nil || h.Epoch > w.epoch {
		w = &registration{epoch: h.Epoch, term: 1}
		p.registrations[h.Worker] = w
		p.chooseLessor(h.Worker, w, "")
	}
	if h.Epoch != w.epoch || w.expired {
		return
	}
	if h.RunningFull {
		p.reconcile(h, w)
	}
	if h.WantsLessor && h.LeaseTerm == w.term {
		w.term++
		p.chooseLessor(h.Worker, w, w.lessor)
	}
	for _, r := range h.Reports {
		p.applyReport(h.Worker, h.Epoch, r)
		reply.ReportsAcknowledged = append(reply.ReportsAcknowledged, r.Task)
	}
	for _, e := range h.Expiries {
		l := p.registrations[e.Worker]
		if l.epoch == e.Epoch && l.term == e.Term && l.lessor == h.Worker && l.lessorEpoch == h.Epoch && !l.expired {
			l.expired = true
			p.release(e.Worker, func(name units.Task, r *taskState) bool { return r.epoch <= e.Epoch })
		}
		reply.ExpiriesAcknowledged = append(reply.ExpiriesAcknowledged, e)
	}
}

// chooseLessor chooses a lessor for a worker. It avoids the previous lessor and,
// with lower priority, lessees of the worker, because two workers that are each
// other's lessors lose their leases together.
func (p *Platform) chooseLessor(name string, w *registration, previous string) {
	best, lowest := "", 0
	for _, other := range slices.Sorted(maps.Keys(p.registrations)) {
		o := p.registrations[other]
		if other == name || o.expired {
			continue
		}
		cost := 0
		if o.lessor == name {
			cost++
		}
		if other == previous {
			cost += 2
		}
		if best == "" || cost < lowest {
			best, lowest = other, cost
		}
	}
	w.lessor = best
	if best != "" {
		w.lessorEpoch = p.registrations[best].epoch
	}
}

// reconcile assigns the tasks of a worker's earlier epochs to its new epoch if the
// heartbeat lists them as running or reports them, and releases the others.
func (p *Platform) reconcile(h *wire.Heartbeat, w *registration) {
	listed := map[taskAttempt]bool{}
	for _, ref := range h.Running {
		listed[taskAttempt{ref.Task(), units.Attempt(ref.Attempt)}] = true
	}
	for _, r := range h.Reports {
		listed[taskAttempt{r.Task.Task(), units.Attempt(r.Task.Attempt)}] = true
	}
	p.release(h.Worker, func(name units.Task, r *taskState) bool {
		if r.epoch == w.epoch {
			return false
		}
		if listed[taskAttempt{name, units.Attempt(r.attempt)}] {
			r.epoch = w.epoch
			return false
		}
		return true
	})
}

// release makes the tasks of a worker pending for which the predicate is true.
func (p *Platform) release(worker string, matches func(units.Task, *taskState) bool) {
	for _, name := range p.order {
		if r := p.tasks[name]; r.worker == worker && !r.ended && matches(name, r) {
			r.worker, r.started = "", false
		}
	}
}

// applyReport applies a report about the current attempt of a task, or about the
// activation of a standby as its next attempt. Other reports are ignored.
func (p *Platform) applyReport(worker string, epoch uint64, report *wire.TaskReport) {
	r := p.tasks[report.Task.Task()]
	if r == nil {
		return // launched by the test, not by this platform
	}
	isWatcher := r.spec.Kind == wire.TaskKind_TASK_KIND_WATCHER
	if isWatcher && report.Outcome == wire.Outcome_OUTCOME_STARTED && report.Task.Attempt == r.attempt+1 {
		r.attempt, r.worker, r.epoch, r.started = report.Task.Attempt, worker, epoch, true
		return
	}
	if r.attempt != report.Task.Attempt || r.ended || r.worker != worker {
		return
	}
	switch report.Outcome {
	case wire.Outcome_OUTCOME_STARTED:
		r.started = true
	case wire.Outcome_OUTCOME_COMPLETED:
		r.ended = true
	default:
		if report.Checkpoint != "" {
			r.spec = proto.Clone(r.spec).(*wire.TaskSpec) // messages in transit share the old spec
			r.spec.Checkpoint = report.Checkpoint
		}
		r.worker, r.started = "", false
	}
}
