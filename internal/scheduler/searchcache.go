package scheduler

import "wasabihill.example/wasabihill/pkg/units"

// shortage keeps what one tick has found out about its pools, so that the rules
// do not search all workers again for every waiting and every slowed task. It
// answers the load of more work than the workers hold, where nearly every search
// fails. While a tick places tasks, room only shrinks, so what found none finds
// none later in the same tick.
type searchCache struct {
	scheduler   *Scheduler
	workers     map[units.ServiceName][]*worker
	failedSizes map[searchKey][]units.Resources // sizes that found no worker
}

// demand is what decides, beside the size, which workers may take a task.
type searchKey struct {
	service     units.ServiceName
	image       string // of tasks that fill
	requirement string
}

func (s *Scheduler) newSearchCache() *searchCache {
	return &searchCache{scheduler: s, workers: make(map[units.ServiceName][]*worker), failedSizes: make(map[searchKey][]units.Resources)}
}

// pool returns the workers of a service that may get new tasks.
func (x *searchCache) eligibleWorkers(service units.ServiceName, now Timestamp) []*worker {
	pool, ok := x.workers[service]
	if !ok {
		pool = x.scheduler.eligibleWorkers(service, now)
		x.workers[service] = pool
	}
	return pool
}

func (x *searchCache) key(st *step) searchKey {
	d := searchKey{service: x.scheduler.currentPolicy(st.tasks[0].job).Service, requirement: st.RequiredLabel}
	if st.BestEffort {
		d.image = "fills " + st.Image
	}
	return d
}

// add takes note that no worker has room for a task of the step. A step whose
// tasks keep apart, or stay away from a worker, says nothing about others.
func (x *searchCache) addFailure(st *step) {
	if st.AntiAffinity > 0 || st.Gang {
		return
	}
	for _, t := range st.tasks {
		if t.movedFrom != nil {
			return
		}
	}
	d := x.key(st)
	x.failedSizes[d] = append(x.failedSizes[d], st.Size)
}

// covers reports whether a task that asks for no more found no worker.
func (x *searchCache) hasFailure(st *step) bool {
	for _, size := range x.failedSizes[x.key(st)] {
		if size.Fits(st.Size) {
			return true
		}
	}
	return false
}
