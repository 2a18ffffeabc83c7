package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/pkg/units"
)

// A task stands while its turn has come and a worker has room for it, but neither a run
// nor a start is under way. Placement lets tasks stand on purpose, for example to avoid a
// worker after failures or to keep latency-critical tasks below their targets. No
// long-running task may stand for 3 s, and no job may have nothing else running for so
// long while little of its service's capacity is in use. So these times are measured, and
// what has stood for rescueAfter is placed regardless of those purposes. Gangs and steps
// that need advice are not measured.

const (
	// standingInterval is the interval of the measurement, which examines every worker for
	// each step that has unplaced tasks.
	standingInterval = 250 * time.Millisecond
	// rescueAfter leaves time for a measurement, a start that is rejected and a report.
	rescueAfter = 1500 * time.Millisecond
	// standingLogged is the time after which standing tasks are logged.
	standingLogged = time.Second
	// maxStandingUse is the share of a service's capacity in use from which only
	// long-running tasks count as standing.
	maxStandingUse = 0.5
)

// LongestStanding returns how long the task that stands longest has stood, according to
// the last measurement.
func (s *Scheduler) LongestStanding() time.Duration { return s.longestStanding }

// standings is one measurement of the standing tasks.
type standings struct {
	cache   *searchCache // of its own, because placement excludes more workers
	use     map[units.ServiceName]float64
	longest time.Duration
	task    *task   // that stands longest, or nil
	room    *worker // that has room for it
}

// measureStanding updates how long tasks have stood. mayStart is as for Tick.
func (s *Scheduler) measureStanding(now Timestamp, mayStart bool) {
	if now.Boot.Before(s.nextStanding) {
		return
	}
	s.nextStanding = now.Boot.Add(standingInterval)
	m := standings{cache: s.newSearchCache(), use: make(map[units.ServiceName]float64)}
	for _, j := range s.activeJobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.open && st.unplaced > 0 {
					s.measureStep(&m, j, st, now)
				}
			}
		}
	}
	switch before := s.longestStanding; {
	case m.longest >= standingLogged && before < standingLogged:
		klog.InfoS("a task stands although a worker has room", "task", m.task.id.String(), "stood", m.longest, "lasts", m.task.step.LongRunning,
			"worker", m.room.id, "avoided", now.Boot.Before(m.room.retryAt), "waitsForRuns", m.task.job.recovered && s.hasUnknownRuns(), "mayStart", mayStart)
	case m.longest < before && before >= standingLogged:
		klog.InfoS("the task that stood longest is placed or has no room any more", "stood", before, "next", m.longest)
	}
	s.longestStanding = m.longest
}

// measureStep updates the standing of the step's tasks.
func (s *Scheduler) measureStep(m *standings, j *job, st *step, now Timestamp) {
	policy := s.currentPolicy(j)
	if st.Gang || policy.Advice != nil {
		return
	}
	var room *worker
	if (st.LongRunning || j.placedTasks == 0 && s.useOf(policy.Service, m.use) < maxStandingUse) && !m.cache.hasFailure(st) {
		if room = s.workerWithRoom(st, policy.Service, nil); room == nil {
			m.cache.addFailure(st)
		}
	}
	for _, t := range st.tasks {
		switch {
		case t.done || t.worker != nil:
		case room == nil:
			t.standingSince = 0
		case t.standingSince == 0:
			t.standingSince = now.Boot
		case now.Boot.Sub(t.standingSince) > m.longest:
			m.longest, m.task, m.room = now.Boot.Sub(t.standingSince), t, room
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

// rescueStanding places tasks that have stood for rescueAfter: one task of a job that has
// nothing running, and every long-running task.
func (s *Scheduler) rescueStanding(unplaced []pendingStep, now Timestamp) {
	for _, p := range unplaced {
		policy := s.currentPolicy(p.job)
		if policy.Advice != nil {
			continue
		}
		for _, t := range p.step.tasks {
			if !p.step.LongRunning && p.job.placedTasks > 0 {
				break
			}
			if t.done || t.worker != nil || t.standingSince == 0 || now.Boot.Sub(t.standingSince) < rescueAfter {
				continue
			}
			w := s.workerWithRoom(p.step, policy.Service, t.excludedWorker(now))
			if w == nil {
				break
			}
			klog.InfoS("standing task is placed", "task", t.id.String(), "worker", w.id, "stood", now.Boot.Sub(t.standingSince), "avoided", now.Boot.Before(w.retryAt))
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
