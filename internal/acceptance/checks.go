package acceptance

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/pkg/units"
)

// check judges one guarantee. It returns what broke it, and how many
// observations it rests on: a check without observations fails.
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
	{"every answer is whole and reaches its own caller", (*firmRun).checkAnswers},
	{"a refusal that says not run is true", (*firmRun).checkNotRun},
	{"a non-idempotent request runs at most once", (*firmRun).checkAtMostOnce},
	{"a leaving endpoint gets no new work after 3 s", (*firmRun).checkLeaving},
	{"a planned stop cuts off no request", (*firmRun).checkPlannedStop},
	{"an accepted document is in force within 3 s and never reverts", (*firmRun).checkVersions},
}

func (d *firmRun) checkCapacity() ([]string, int) {
	return d.observed.overcommitments, len(d.observed.runs)
}

func (d *firmRun) checkOverlaps() ([]string, int) {
	return worker.Overlaps(d.observed.runs), len(d.observed.runs)
}

// checkJobs also proves that every job takes effect exactly once: all tasks of
// a job that was not cancelled have completed, and none has run again after it
// completed.
func (d *firmRun) checkJobs() (broken []string, observed int) {
	for _, id := range d.observed.jobs {
		if job := d.observed.states[id]; job.State != "completed" || job.Tasks.Completed != tasksPerJob {
			broken = append(broken, fmt.Sprintf("job %s is %s with %d of %d tasks completed", id, job.State, job.Tasks.Completed, tasksPerJob))
		}
	}
	attempts := make(map[string][]units.Attempt)
	completed := make(map[string]int)
	for _, r := range d.observed.runs {
		attempts[r.Task] = append(attempts[r.Task], r.Attempt)
		if r.State == "completed" {
			completed[r.Task]++
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

func (d *firmRun) checkDomainOut() (broken []string, observed int) {
	out := make(map[units.WorkerID]bool)
	for _, w := range d.firm.Workers() {
		out[w.ID] = w.Domain == d.domainTakenOut()
	}
	for _, r := range d.observed.runs {
		if r.Start.Before(d.observed.domainOut) || !r.Start.Before(d.observed.domainIn) {
			continue
		}
		observed++
		if out[r.Worker] && r.Start.After(d.observed.domainOut.Add(maxReactionTime)) {
			broken = append(broken, fmt.Sprintf("task %s started on %s %s after the domain was taken out", r.Task, r.Worker, r.Start.Sub(d.observed.domainOut)))
		}
	}
	return broken, observed
}

func (d *firmRun) checkAnswers() (broken []string, observed int) {
	for _, report := range []map[string]int{d.observed.quick.Faults, d.observed.order.Faults} {
		for fault, n := range report {
			broken = append(broken, fmt.Sprintf("%d times: %s", n, fault))
		}
	}
	return broken, int(d.observed.quick.Done.Count + d.observed.order.Done.Count)
}

// executions adds up how often each request was executed.
func (d *firmRun) executions() map[string]int {
	sum := make(map[string]int)
	for _, ids := range d.observed.executed {
		for id, n := range ids {
			sum[id] += n
		}
	}
	return sum
}

func (d *firmRun) checkNotRun() (broken []string, observed int) {
	executed := d.executions()
	for id, a := range d.observed.results {
		if a.outcome == notRun && executed[id] > 0 {
			broken = append(broken, fmt.Sprintf("%s was refused as not run and executed %d times", id, executed[id]))
		}
	}
	return broken, len(d.observed.results)
}

func (d *firmRun) checkAtMostOnce() (broken []string, observed int) {
	for id, n := range d.executions() {
		if strings.HasPrefix(id, "order-") {
			observed++
			if n > 1 {
				broken = append(broken, fmt.Sprintf("%s was executed %d times", id, n))
			}
		}
	}
	return broken, observed
}

func (d *firmRun) checkLeaving() (broken []string, observed int) {
	for id := range d.observed.lateExecutions {
		broken = append(broken, id+" was executed at an endpoint that was leaving")
	}
	for _, l := range d.observed.leaving {
		observed += len(d.observed.executed[endpointName(l.worker)])
	}
	return broken, observed
}

// checkPlannedStop looks at the requests planned around the planned stop: none
// may break off. The window ends before the processes come back. A request that
// was in flight at another entry process when that one was killed from outside
// is not the planned stop's.
func (d *firmRun) checkPlannedStop() (broken []string, observed int) {
	for id, a := range d.observed.results {
		if a.plannedAt < plannedStopAt-requestLimit || a.plannedAt > replaceAt {
			continue
		}
		observed++
		if (a.outcome == "broken" || a.outcome == "unknown") && !d.endedByKill(a) {
			broken = append(broken, fmt.Sprintf("%s at %.1f s: outcome %s", id, a.plannedAt.Seconds(), a.outcome))
		}
	}
	return broken, observed
}

// killed reports whether the entry process that the request was sent to, and
// that the timetable leaves running, was gone right after the request ended.
func (d *firmRun) endedByKill(a requestResult) bool {
	for _, e := range d.firm.Entries() {
		if e.callerURL() == a.target && slices.Contains(d.gracefullyStopped(), string(e.ID)) {
			return false
		}
	}
	end := d.observed.start.Add(a.plannedAt + a.latency)
	return slices.ContainsFunc(d.observed.connectionsRefused[a.target], func(at time.Time) bool {
		return at.After(end.Add(-sampleInterval)) && at.Before(end.Add(4*sampleInterval))
	})
}

func (d *firmRun) checkVersions() (broken []string, observed int) {
	for name, seen := range d.observed.versions {
		var highest units.Offset
		for _, s := range seen {
			observed++
			if s.version < highest {
				broken = append(broken, fmt.Sprintf("%s went back from version %d to %d", name, highest, s.version))
			}
			highest = max(highest, s.version)
			for _, a := range d.observed.acceptedVersions {
				if s.version < a.version && s.at.Sub(a.at) > maxReactionTime {
					broken = append(broken, fmt.Sprintf("%s had version %d in force %s after %d was accepted", name, s.version, s.at.Sub(a.at).Round(time.Millisecond), a.version))
				}
			}
		}
	}
	return broken, observed
}
