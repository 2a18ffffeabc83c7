// The checks of the guarantees. They run after the sampling has ended and take no lock.

package acceptance

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// check checks one guarantee. findViolations returns the violations and the number
// of observations; a check without observations fails.
type check struct {
	guarantee      string
	findViolations func(*firmRun) (broken []string, observed int)
}

// checks lists the ten guarantees in the order of docs/guarantees.md.
var checks = []check{
	{"no worker is committed beyond its capacity", (*firmRun).checkCapacity},
	{"no task runs in two places at once", (*firmRun).checkOverlaps},
	{"evicted work resumes exactly once", (*firmRun).checkJobs},
	{"no task starts in a domain that was taken out", (*firmRun).checkDomainOut},
	{"every answer is whole and reaches its own caller", (*firmRun).checkResponses},
	{"a refusal that says not run is true", (*firmRun).checkNotRun},
	{"a non-idempotent request runs at most once", (*firmRun).checkAtMostOnce},
	{"a leaving endpoint gets no new work after 3 s", (*firmRun).checkLeaving},
	{"a planned stop cuts off no request", (*firmRun).checkPlannedStop},
	{"an accepted document is in force within 3 s and never reverts", (*firmRun).checkVersions},
}

// checkCapacity returns what sampleWorker has found; a run without tasks proves nothing.
func (f *firmRun) checkCapacity() ([]string, int) {
	return f.observed.overcommitments, len(f.observed.runs)
}

// checkOverlaps compares the times of the runs of each task over all workers.
func (f *firmRun) checkOverlaps() ([]string, int) {
	return worker.Overlaps(f.observed.runs), len(f.observed.runs)
}

// checkJobs also checks that every job takes effect exactly once: all tasks of a
// job that was not cancelled must have completed, and no attempt may have run twice.
//
// A worker may complete a task and lose its lease before the agent reports that, so
// two completed runs of a task are allowed, and none is not.
func (f *firmRun) checkJobs() (broken []string, observed int) {
	attempts := make(map[string][]units.Attempt)
	completed := make(map[units.JobID]map[string]bool) // tasks with a completed run
	for _, r := range f.observed.runs {
		attempts[r.Task] = append(attempts[r.Task], r.Attempt)
		if name, err := units.ParseTask(r.Task); err == nil && r.State == workerapi.Completed {
			if completed[name.Job] == nil {
				completed[name.Job] = make(map[string]bool)
			}
			completed[name.Job][r.Task] = true
		}
	}
	for _, id := range f.observed.jobs {
		if job := f.observed.states[id]; job.State != "completed" || job.Tasks.Completed != tasksPerJob {
			broken = append(broken, fmt.Sprintf("job %s is %s with %d of %d tasks completed", id, job.State, job.Tasks.Completed, tasksPerJob))
		}
		if got := len(completed[id]); got != tasksPerJob {
			broken = append(broken, fmt.Sprintf("job %s: workers have completed %d of %d tasks", id, got, tasksPerJob))
		}
	}
	for task, list := range attempts {
		if len(list) > 1 {
			observed++
		}
		slices.Sort(list)
		if len(slices.Compact(list)) != len(list) {
			broken = append(broken, fmt.Sprintf("task %s: attempts %v", task, attempts[task]))
		}
	}
	return broken, observed
}

// checkDomainOut checks the tasks that started while the domain was out of service.
// Starts in other domains count as observations, too: they show that tasks could start.
func (f *firmRun) checkDomainOut() (broken []string, observed int) {
	out := make(map[units.WorkerID]bool)
	for _, w := range f.firm.Workers() {
		out[w.ID] = w.Domain == f.domainTakenOut()
	}
	for _, r := range f.observed.runs {
		if r.Start.Before(f.observed.domainOut) || !r.Start.Before(f.observed.domainIn) {
			continue
		}
		observed++
		if out[r.Worker] && r.Start.After(f.observed.domainOut.Add(maxReactionTime)) {
			broken = append(broken, fmt.Sprintf("task %s started on %s %s after the domain was taken out", r.Task, r.Worker, r.Start.Sub(f.observed.domainOut)))
		}
	}
	return broken, observed
}

// checkResponses returns the violations that the load generator found in responses.
func (f *firmRun) checkResponses() (broken []string, observed int) {
	for _, report := range []map[string]int{f.observed.quick.Faults, f.observed.order.Faults} {
		for fault, n := range report {
			broken = append(broken, fmt.Sprintf("%d times: %s", n, fault))
		}
	}
	return broken, int(f.observed.quick.Done.Count + f.observed.order.Done.Count)
}

// executions returns how often each request was executed on all endpoints.
func (f *firmRun) executions() map[string]int {
	sum := make(map[string]int)
	for _, ids := range f.observed.executed {
		for id, n := range ids {
			sum[id] += n
		}
	}
	return sum
}

// checkNotRun compares the outcomes that callers received with the executions that
// endpoints recorded.
func (f *firmRun) checkNotRun() (broken []string, observed int) {
	executed := f.executions()
	for id, a := range f.observed.results {
		if a.outcome == notRun && executed[id] > 0 {
			broken = append(broken, fmt.Sprintf("%s was rejected as not run but was executed %d times", id, executed[id]))
		}
	}
	return broken, len(f.observed.results)
}

// checkAtMostOnce checks the requests whose ID has the prefix of non-idempotent ones.
func (f *firmRun) checkAtMostOnce() (broken []string, observed int) {
	for id, n := range f.executions() {
		if strings.HasPrefix(id, orderPrefix) {
			observed++
			if n > 1 {
				broken = append(broken, fmt.Sprintf("%s was executed %d times", id, n))
			}
		}
	}
	return broken, observed
}

// checkLeaving returns what sampleEndpoint has found on endpoints that leave.
func (f *firmRun) checkLeaving() (broken []string, observed int) {
	for id := range f.observed.lateExecutions {
		broken = append(broken, id+" was executed on a leaving endpoint after the bound")
	}
	for _, l := range f.observed.leaving {
		observed += len(f.observed.executed[endpointName(l.worker)])
	}
	return broken, observed
}

// checkPlannedStop checks the requests planned around the planned stop: none may
// be aborted. The window ends before the processes are started again. A request
// that was in flight at another entry process when that one was killed from
// outside does not count against the planned stop.
func (f *firmRun) checkPlannedStop() (broken []string, observed int) {
	for id, a := range f.observed.results {
		if a.plannedAt < plannedStopAt-requestLimit || a.plannedAt > replaceAt {
			continue
		}
		observed++
		if (a.outcome == "broken" || a.outcome == "unknown") && !f.endedByKill(a) {
			broken = append(broken, fmt.Sprintf("%s at %.1f s: outcome %s", id, a.plannedAt.Seconds(), a.outcome))
		}
	}
	return broken, observed
}

// endedByKill reports whether the entry process to which the request was sent is
// one that the planned stop leaves running, but refused connections when the
// request ended.
func (f *firmRun) endedByKill(a requestResult) bool {
	for _, e := range f.firm.Entries() {
		if e.callerURL() == a.target && slices.Contains(f.gracefullyStopped(), string(e.ID)) {
			return false
		}
	}
	end := f.observed.start.Add(a.plannedAt + a.latency)
	return slices.ContainsFunc(f.observed.connectionsRefused[a.target], func(at time.Time) bool {
		return at.After(end.Add(-sampleInterval)) && at.Before(end.Add(4*sampleInterval))
	})
}

// checkVersions checks each entry process on its own: its version never decreases, and
// reaches every accepted version within maxReactionTime.
func (f *firmRun) checkVersions() (broken []string, observed int) {
	for name, seen := range f.observed.versions {
		var highest units.Offset
		for _, s := range seen {
			observed++
			if s.version < highest {
				broken = append(broken, fmt.Sprintf("%s reverted from version %d to %d", name, highest, s.version))
			}
			highest = max(highest, s.version)
			for _, a := range f.observed.acceptedVersions {
				if s.version < a.version && s.at.Sub(a.at) > maxReactionTime {
					broken = append(broken, fmt.Sprintf("%s still had version %d in force %s after version %d was accepted", name, s.version, s.at.Sub(a.at).Round(time.Millisecond), a.version))
				}
			}
		}
	}
	return broken, observed
}
