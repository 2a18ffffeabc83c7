package scheduler

import "wasabihill.example/wasabihill/pkg/units"

// searchCache caches the results of worker searches for one tick, so that the rules
// do not search all workers again for every pending and every throttled task. It
// matters under overload, when nearly every search fails. Free capacity only shrinks
// while a tick places tasks, so a search that failed also fails later in that tick.
type searchCache struct {
	scheduler   *Scheduler
	workers     map[units.ServiceName][]*worker
	failedSizes map[searchKey][]units.Resources // task sizes that fit on no worker
}

// searchKey holds the properties other than the size that determine which workers
// can run a task.
type searchKey struct {
	service       units.ServiceName
	image         string // only for best-effort tasks
	requiredLabel string
}

func (s *Scheduler) newSearchCache() *searchCache {
	return &searchCache{scheduler: s, workers: make(map[units.ServiceName][]*worker), failedSizes: make(map[searchKey][]units.Resources)}
}

// eligibleWorkers returns the workers that may receive new tasks of a service.
func (c *searchCache) eligibleWorkers(service units.ServiceName, now Timestamp) []*worker {
	pool, ok := c.workers[service]
	if !ok {
		pool = c.scheduler.eligibleWorkers(service, now)
		c.workers[service] = pool
	}
	return pool
}

func (c *searchCache) key(st *step) searchKey {
	key := searchKey{service: c.scheduler.currentPolicy(st.tasks[0].job).Service, requiredLabel: st.RequiredLabel}
	if st.BestEffort {
		key.image = "fills " + st.Image // never empty, unlike the image of other tasks
	}
	return key
}

// addFailure records that no worker has capacity for a task of the step. Gangs, steps
// with anti-affinity and steps with relocated tasks are not recorded: their search
// excludes workers that are suitable for other steps.
func (c *searchCache) addFailure(st *step) {
	if st.AntiAffinity > 0 || st.Gang {
		return
	}
	for _, t := range st.tasks {
		if t.movedFrom != nil {
			return
		}
	}
	key := c.key(st)
	c.failedSizes[key] = append(c.failedSizes[key], st.Size)
}

// hasFailure reports whether the search for a task that is no larger than a task of
// the step has already failed.
func (c *searchCache) hasFailure(st *step) bool {
	for _, size := range c.failedSizes[c.key(st)] {
		if size.Fits(st.Size) {
			return true
		}
	}
	return false
}
