package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/pkg/units"
)

// A task is starved while its turn has come and a worker has room for it, but neither a run
// nor a start is under way. Placement leaves tasks starved on purpose, for example to avoid a
// worker after failures or to keep latency-critical tasks below their targets. No
// long-running task may be starved for 3 s, and no job may have nothing else running for so
// long while little of its service's capacity is in use. So these times are measured, and
// a task that has been starved for rescueAfter is placed regardless of those purposes. Gangs
// and steps that need advice are not measured.

const (
	// starvationInterval is the interval of the measurement, which examines every worker for
	// each step that has unplaced tasks.
	starvationInterval = 250 * time.Millisecond
	// rescueAfter leaves time for a measurement, a start that is rejected and a report.
	rescueAfter = 1500 * time.Millisecond
	// starvationLogAfter is the time after which starved tasks are logged.
	starvationLogAfter = time.Second
	// maxUseForStarvation is the share of a service's capacity in use from which only
	// long-running tasks count as starved.
	maxUseForStarvation = 0.5
)

// LongestStarvation returns how long the longest starved task has been starved, according to
// the last measurement.
func (s *Scheduler) LongestStarvation() time.Duration { return s.longestStarvation }

// starvation is one measurement of the starved tasks.
type starvation struct {
	cache   *searchCache // of its own, because placement excludes more workers
	use     map[units.ServiceName]float64
	longest time.Duration
	task    *task   // the longest starved one, or nil
	room    *worker // that has room for it
}

// measureStarvation updates how long tasks have been starved. mayStart is as for Tick.
func (s *Scheduler) measureStarvation(now Timestamp, mayStart bool) {
	if now.Boot.Before(s.nextStarvationCheck) {
		return
	}
	s.nextStarvationCheck = now.Boot.Add(starvationInterval)
	m := starvation{cache: s.newSearchCache(), use: make(map[units.ServiceName]float64)}
	for _, j := range s.activeJobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.open && st.unplaced > 0 {
					s.measureStep(&m, j, st, now)
				}
			}
		}
	}
	switch before := s.longestStarvation; {
	case m.longest >= starvationLogAfter && before < starvationLogAfter:
		klog.InfoS("task is starved although a worker has room", "task", m.task.id.String(), "starvedFor", m.longest, "lasts", m.task.step.LongRunning,
			"worker", m.room.id, "avoided", now.Boot.Before(m.room.retryAt), "waitsForRuns", m.task.job.recovered && s.hasUnknownRuns(), "mayStart", mayStart)
	case m.longest < before && before >= starvationLogAfter:
		klog.InfoS("longest starved task is placed or no longer has room", "starvedFor", before, "next", m.longest)
	}
	s.longestStarvation = m.longest
}

// measureStep updates the starvation of the step's tasks.
func (s *Scheduler) measureStep(m *starvation, j *job, st *step, now Timestamp) {
	policy := s.currentPolicy(j)
	if st.Gang || policy.Advice != nil {
		return
	}
	var room *worker
	if (st.LongRunning || j.placedTasks == 0 && s.useOf(policy.Service, m.use) < maxUseForStarvation) && !m.cache.hasFailure(st) {
		if room = s.workerWithRoom(st, policy.Service, nil); room == nil {
			m.cache.addFailure(st)
		}
	}
	for _, t := range st.tasks {
		switch {
		case t.done || t.worker != nil:
		case room == nil:
			t.starvedSince = 0
		case t.starvedSince == 0:
			t.starvedSince = now.Boot
		case now.Boot.Sub(t.starvedSince) > m.longest:
			m.longest, m.task, m.room = now.Boot.Sub(t.starvedSince), t, room
		}
	}
}

// workerWithRoom returns the worker with the highest score that has room for a task of
// the step, whether or not it is avoided or its latency-critical tasks tolerate the
// step, or nil if there is none. It never returns excluded.
func (s *Scheduler) workerWithRoom(st *step, service units.ServiceName, excluded *worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range s.workers {
		if w == excluded || !s.mayReceive(w, service) || !w.fits(st) {
			continue
		}
		if score := s.score(w, st); best == nil || score > bestScore || score == bestScore && w.id < best.id {
			best, bestScore = w, score
		}
	}
	return best
}

// rescueStarved places tasks that have been starved for rescueAfter: one task of a job that has
// nothing running, and every long-running task.
func (s *Scheduler) rescueStarved(unplaced []pendingStep, now Timestamp) {
	for _, p := range unplaced {
		policy := s.currentPolicy(p.job)
		if policy.Advice != nil {
			continue
		}
		for _, t := range p.step.tasks {
			if !p.step.LongRunning && p.job.placedTasks > 0 {
				break
			}
			if t.done || t.worker != nil || t.starvedSince == 0 || now.Boot.Sub(t.starvedSince) < rescueAfter {
				continue
			}
			w := s.workerWithRoom(p.step, policy.Service, t.excludedWorker(now))
			if w == nil {
				break
			}
			klog.InfoS("starved task is placed", "task", t.id.String(), "worker", w.id, "starvedFor", now.Boot.Sub(t.starvedSince), "avoided", now.Boot.Before(w.retryAt))
			s.startTask(t, w, s.nextAttempt(t), now)
		}
	}
}

// useOf returns the share of a service's processors or memory that is in use, whichever
// is greater. It keeps the result in known.
func (s *Scheduler) useOf(service units.ServiceName, known map[units.ServiceName]float64) float64 {
	if use, ok := known[service]; ok {
		return use
	}
	var used, capacity units.Resources
	for _, w := range s.workers {
		if s.mayReceive(w, service) {
			used, capacity = used.Add(w.used), capacity.Add(w.capacity)
		}
	}
	known[service] = max(ratio(int64(used.Processors), int64(capacity.Processors)), ratio(int64(used.Memory), int64(capacity.Memory)))
	return known[service]
}
