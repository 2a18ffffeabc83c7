package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// The bounds of the promises, from the users' requirements.
const (
	// minFaultFreeTime is how long a machine must have been free of unplanned
	// faults for a time bound to apply to it.
	minFaultFreeTime  = 4 * time.Second
	cancellationBound = 4 * time.Second
	evacuationBound   = 5 * time.Second
	drainBound        = 3 * time.Second
	abortTolerance    = 200 * time.Millisecond
	plannedStopMargin = time.Second // after the grace period; requests aborted until then count against the planned stop
)

// noStartPeriod is a period in which no task may start in a failure domain or on a
// runner.
type noStartPeriod struct {
	domain string
	runner string
	host   string
	from   time.Time
	until  time.Time // zero if the period has not ended
}

func (p noStartPeriod) covers(at time.Time, after time.Duration) bool {
	return at.After(p.from.Add(after)) && (p.until.IsZero() || at.Before(p.until))
}

// observations is the input of the checks.
type observations struct {
	runs            []taskrunner.Run
	jobs            map[string]*job
	abortedRequests []abortedRequest
	faults          []injectedFault
	domainsOut      []noStartPeriod
	draining        []noStartPeriod
}

// check finds violations of one promise.
type check struct {
	promise string
	find    func(*observations, func(at time.Time, job, format string, args ...any))
}

var checks = []check{
	{"steps run in their order", (*observations).checkOrder},
	{"no runner holds more than its room", (*observations).checkCapacity},
	{"failed attempts are counted", (*observations).checkAttempts},
	{"a cancelled job starts nothing", (*observations).checkCancellations},
	{"nothing starts in a domain that is out", (*observations).checkDomains},
	{"nothing starts on a draining runner", (*observations).checkDrains},
	{"a refused job never runs", (*observations).checkRejections},
	{"a completed job has done its work", (*observations).checkCompleted},
	{"a job ends as its tasks do", (*observations).checkFinalStates},
	{"a planned stop cuts no request off", (*observations).checkPlannedStops},
	{"silent connections end no lease", (*observations).checkSilences},
}

// evaluate applies every check to the run and returns the result.
func (r *Run) evaluate() *Result {
	g := r.generator
	result := &Result{Seed: r.Seed, Faults: r.injected, Runs: r.fleet.runRecorder.Runs(), Began: r.began, Dir: r.Dir, Responses: g.responses}
	for _, h := range r.fleet.hosts() {
		result.Processes = append(result.Processes, h.name)
		if h.process.Exited() {
			r.recordFailure("processes do not end by themselves", fmt.Errorf("process %s exited unexpectedly", h.name))
		}
	}
	result.Starts = len(result.Runs)
	result.Broken = append(append(result.Broken, g.unexpectedResponses...), r.failures...)
	for _, v := range r.fleet.runRecorder.Violations() {
		result.Broken = append(result.Broken, Broken{"a task runs once at a time and not after its end", v.At, jobID(v.Task), v.Text})
	}
	for _, h := range r.fleet.agents {
		r.recordDrain(h)
	}
	for _, j := range g.jobsInOrder {
		if !j.accepted.IsZero() {
			result.Accepted++
		} else if j.rejected {
			result.Rejected++
		}
	}
	o := &observations{runs: result.Runs, jobs: g.jobs, abortedRequests: g.abortedRequests, faults: r.injected, domainsOut: r.domainsOut, draining: r.draining}
	result.Broken = append(result.Broken, o.findViolations()...)
	slices.SortStableFunc(result.Broken, func(a, b Broken) int { return a.At.Compare(b.At) })
	return result
}

func (o *observations) findViolations() []Broken {
	var all []Broken
	for _, c := range checks {
		c.find(o, func(at time.Time, job, format string, args ...any) {
			all = append(all, Broken{c.promise, at, job, fmt.Sprintf(format, args...)})
		})
	}
	return all
}

// recordFailure records a violation that was found outside the checks, such as a
// process that does not restart.
func (r *Run) recordFailure(promise string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, Broken{Promise: promise, At: time.Now(), Text: err.Error()})
}

// faultFree reports whether no unplanned fault affected the host during the period
// that ends at the given time.
func (o *observations) faultFree(host string, at time.Time, period time.Duration) bool {
	from := at.Add(-period)
	return !slices.ContainsFunc(o.faults, func(f injectedFault) bool {
		touches := f.Host == "" || f.Host == host
		return touches && !f.Planned && f.Began.Before(at) && (f.Ended.IsZero() || f.Ended.After(from))
	})
}

// parseTaskName returns the job ID and the step of a task name, which is
// job.occurrence.step.index.
func parseTaskName(task string) (job string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return task, 0
	}
	return parts[0], step
}

func jobID(task string) string { job, _ := parseTaskName(task); return job }

// hostName returns the name of the agent on the runner's machine.
func hostName(runner string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(runner, runnerPrefix), lifeSeparator)
	return name
}

type violationReporter = func(at time.Time, job, format string, args ...any)

// firstCompletions returns the time at which each task first completed.
func (o *observations) firstCompletions() map[string]time.Time {
	done := make(map[string]time.Time)
	for _, x := range o.runs {
		if first, ok := done[x.Task]; x.End == "done" && (!ok || x.EndTime.Before(first)) {
			done[x.Task] = x.EndTime
		}
	}
	return done
}

func (o *observations) checkOrder(report violationReporter) {
	done := o.firstCompletions()
	for _, x := range o.runs {
		id, step := parseTaskName(x.Task)
		j := o.jobs[id]
		if j == nil || step >= len(j.template.job.Steps) {
			report(x.StartTime, id, "%s started on %s, but no caller submitted it", x.Task, x.Runner)
			continue
		}
		for _, before := range j.template.job.Steps[step].After {
			for index := range j.template.job.Steps[before].Tasks {
				name := fmt.Sprintf("%s.0.%d.%d", id, before, index)
				if at, ok := done[name]; !ok || at.After(x.StartTime) {
					report(x.StartTime, id, "%s started on %s before %s completed", x.Task, x.Runner, name)
				}
			}
		}
	}
}

func (o *observations) checkCapacity(report violationReporter) {
	type change struct {
		at   time.Time
		by   int
		task string
	}
	changes := make(map[string][]change)
	for _, x := range o.runs {
		changes[x.Runner] = append(changes[x.Runner], change{x.StartTime, 1, x.Task})
		if !x.EndTime.IsZero() {
			changes[x.Runner] = append(changes[x.Runner], change{x.EndTime, -1, x.Task})
		}
	}
	for name, list := range changes {
		// Of changes at the same time, ends are counted before starts.
		slices.SortFunc(list, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.by, b.by)) })
		running := 0
		for _, c := range list {
			if running += c.by; c.by > 0 && running > runnerCores {
				report(c.at, jobID(c.task), "%s started on %s, which then ran %d tasks with %d cores", c.task, name, running, runnerCores)
			}
		}
	}
}

func (o *observations) checkAttempts(report violationReporter) {
	failures := make(map[string][]time.Time)
	for _, x := range o.runs {
		if x.End == "failed" && x.Acknowledged {
			failures[x.Task] = append(failures[x.Task], x.EndTime)
		}
	}
	for _, x := range o.runs {
		n := 0
		for _, at := range failures[x.Task] {
			if at.Before(x.StartTime) {
				n++
			}
		}
		if n >= maxAttempts {
			report(x.StartTime, jobID(x.Task), "%s started on %s after %d recorded failures", x.Task, x.Runner, n)
		}
	}
}

func (o *observations) checkCancellations(report violationReporter) {
	for _, x := range o.runs {
		j := o.jobs[jobID(x.Task)]
		if j == nil || j.cancelled.IsZero() || !x.StartTime.After(j.cancelled.Add(cancellationBound)) || !o.faultFree(hostName(x.Runner), x.StartTime, minFaultFreeTime) {
			continue
		}
		report(x.StartTime, j.id, "%s started on %s %v after its cancellation was acknowledged", x.Task, x.Runner, x.StartTime.Sub(j.cancelled).Round(time.Millisecond))
	}
}

func (o *observations) checkDomains(report violationReporter) {
	for _, x := range o.runs {
		for _, a := range o.domainsOut {
			if a.domain == x.Domain && a.covers(x.StartTime, evacuationBound) && o.faultFree(hostName(x.Runner), x.StartTime, minFaultFreeTime) {
				report(x.StartTime, jobID(x.Task), "%s started on %s %v after %s was taken out", x.Task, x.Runner, x.StartTime.Sub(a.from).Round(time.Millisecond), a.domain)
			}
		}
	}
}

func (o *observations) checkDrains(report violationReporter) {
	for _, x := range o.runs {
		for _, a := range o.draining {
			if a.runner == x.Runner && a.covers(x.StartTime, drainBound) && o.faultFree(a.host, x.StartTime, minFaultFreeTime) {
				report(x.StartTime, jobID(x.Task), "%s started on %s %v after its agent received its draining state", x.Task, x.Runner, x.StartTime.Sub(a.from).Round(time.Millisecond))
			}
		}
	}
}

func (o *observations) checkRejections(report violationReporter) {
	for _, x := range o.runs {
		if j := o.jobs[jobID(x.Task)]; j != nil && j.rejected {
			report(x.StartTime, j.id, "%s started on %s although every submission was rejected", x.Task, x.Runner)
		}
	}
}

func (o *observations) checkCompleted(report violationReporter) {
	done := o.firstCompletions()
	for _, j := range o.jobs {
		i := slices.IndexFunc(j.states, func(o observedState) bool { return o.state == completed })
		if i < 0 {
			continue
		}
		for step, s := range j.template.job.Steps {
			for index := range s.Tasks {
				name := fmt.Sprintf("%s.0.%d.%d", j.id, step, index)
				if at, ok := done[name]; !ok || at.After(j.states[i].at) {
					report(j.states[i].at, j.id, "state was completed before %s completed", name)
				}
			}
		}
	}
}

// checkFinalStates compares the final state of a job with the one that its spec
// and cancellation imply.
func (o *observations) checkFinalStates(report violationReporter) {
	for _, j := range o.jobs {
		state := j.lastState()
		if !finalStates[state] {
			continue
		}
		want := map[string]string{failingSpec: failed, watchSpec: cancelled}[j.template.job.Spec]
		if want == "" {
			want = completed
		}
		if state != want && (state != cancelled || j.cancelSent.IsZero()) {
			report(j.states[len(j.states)-1].at, j.id, "final state of a %s job is %s", j.template.job.Spec, state)
		}
	}
}

func (o *observations) checkPlannedStops(report violationReporter) {
	for _, c := range o.abortedRequests {
		for _, f := range o.faults {
			if f.Kind != terminateKind || f.Host != c.host || c.abortedAt.Before(f.Began) || c.abortedAt.After(f.Began.Add(gracePeriod+plannedStopMargin)) {
				continue
			}
			if o.faultFree(c.host, c.abortedAt, minFaultFreeTime+c.abortedAt.Sub(c.sent)) {
				report(c.abortedAt, "", "%s aborted a request %v after it was sent: %s", c.host, c.abortedAt.Sub(c.sent).Round(time.Millisecond), c.reason)
			}
		}
	}
}
