package entries

import (
	"context"
	"net/http"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// dispatchInterval is the time between two rounds of Dispatch.
	dispatchInterval = 200 * time.Millisecond
	// maxSilence is the age of the last heartbeat from which ReleaseSilentWorkers
	// applies.
	maxSilence = 5 * time.Second
)

// Dispatch assigns pending tasks to random workers and launches them, until ctx
// ends.
func (p *Platform) Dispatch(ctx context.Context) {
	for ctx.Err() == nil {
		launches, handlers := p.nextLaunches()
		for name, l := range launches {
			go p.launch(ctx, name, handlers[name], l)
		}
		time.Sleep(dispatchInterval)
	}
}

// nextLaunches assigns the pending tasks. It returns the launches of all tasks that are
// assigned and not started, and the handlers of their agents, by worker.
func (p *Platform) nextLaunches() (map[string]*wire.Launch, map[string]http.Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseSilentWorkers()
	names := p.availableWorkers()
	launches, handlers := map[string]*wire.Launch{}, map[string]http.Handler{}
	for _, name := range p.order {
		r := p.tasks[name]
		if r.worker == "" && !r.ended && len(names) > 0 && !p.logUnreachable {
			r.worker = names[p.random.IntN(len(names))]
			r.epoch, r.attempt = p.registrations[r.worker].epoch, r.attempt+1
		}
		if r.worker == "" || r.started || r.ended {
			continue
		}
		l := launches[r.worker]
		if l == nil {
			l = &wire.Launch{Worker: r.worker, Epoch: r.epoch}
			launches[r.worker], handlers[r.worker] = l, p.agentHandlers[r.worker]
		}
		if l.Epoch == r.epoch {
			l.Tasks = append(l.Tasks, &wire.LaunchTask{Task: wire.NewTaskRef(name, units.Attempt(r.attempt)), Spec: r.spec})
		}
	}
	return launches, handlers
}

// releaseSilentWorkers makes the tasks of silent workers pending if ReleaseSilentWorkers
// is set. p.mu must be held.
func (p *Platform) releaseSilentWorkers() {
	for name, at := range p.lastHeartbeat {
		if p.ReleaseSilentWorkers && time.Since(at) > maxSilence {
			p.release(name, func(units.Task, *taskState) bool { return true })
		}
	}
}

// availableWorkers returns the workers that may get tasks. p.mu must be held.
func (p *Platform) availableWorkers() []string {
	var names []string
	for _, name := range []string{"w1", "w2", "w3"} {
		if w := p.registrations[name]; w != nil && !w.expired && (!p.ReleaseSilentWorkers || time.Since(p.lastHeartbeat[name]) < maxSilence) {
			names = append(names, name)
		}
	}
	return names
}

// launch sends a launch to a worker and applies the results. Tasks that were
// rejected become pending.
func (p *Platform) launch(ctx context.Context, worker string, handler http.Handler, l *wire.Launch) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	reply := &wire.LaunchReply{}
	if err := p.network.call(ctx, "entry", worker, handler, "/link/launch", l, reply); err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, result := range reply.Results {
		r := p.tasks[result.Task.Task()]
		if result.Outcome == wire.Outcome_OUTCOME_REFUSED {
			p.rejected[taskAttempt{result.Task.Task(), units.Attempt(result.Task.Attempt)}] = true
		}
		if r.attempt != result.Task.Attempt || r.worker != worker || r.ended || p.logUnreachable {
			continue
		}
		if result.Outcome == wire.Outcome_OUTCOME_REFUSED {
			r.worker = ""
		}
	}
}
