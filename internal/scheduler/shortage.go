package scheduler

import "wasabihill.example/wasabihill/pkg/units"

// shortage keeps what one tick has found out about its pools, so that the rules
// do not search all workers again for every waiting and every slowed task. It
// answers the load of more work than the workers hold, where nearly every search
// fails. While a tick places tasks, room only shrinks, so what found none finds
// none later in the same tick.
type shortage struct {
	scheduler *Scheduler
	pools     map[units.ServiceName][]*worker
	without   map[demand][]units.Resources // sizes that found no worker
}

// demand is what decides, beside the size, which workers may take a task.
type demand struct {
	service     units.ServiceName
	image       string // of tasks that fill
	requirement string
}

func (s *Scheduler) newShortage() *shortage {
	return &shortage{scheduler: s, pools: make(map[units.ServiceName][]*worker), without: make(map[demand][]units.Resources)}
}

// pool returns the workers of a service that may get new tasks.
func (x *shortage) pool(service units.ServiceName, now Timestamp) []*worker {
	pool, ok := x.pools[service]
	if !ok {
		pool = x.scheduler.pool(service, now)
		x.pools[service] = pool
	}
	return pool
}

func (x *shortage) demand(st *step) demand {
	d := demand{service: x.scheduler.policyOf(st.tasks[0].job).Service, requirement: st.RequiredLabel}
	if st.BestEffort {
		d.image = "fills " + st.Image
	}
	return d
}

// add takes note that no worker has room for a task of the step. A step whose
// tasks keep apart, or stay away from a worker, says nothing about others.
func (x *shortage) add(st *step) {
	if st.AntiAffinity > 0 || st.Gang {
		return
	}
	for _, t := range st.tasks {
		if t.movedFrom != nil {
			return
		}
	}
	d := x.demand(st)
	x.without[d] = append(x.without[d], st.Size)
}

// covers reports whether a task that asks for no more found no worker.
func (x *shortage) covers(st *step) bool {
	for _, size := range x.without[x.demand(st)] {
		if size.Fits(st.Size) {
			return true
		}
	}
	return false
}
