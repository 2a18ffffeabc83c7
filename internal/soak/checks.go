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

// The bounds of the promises, as the users state them.
const (
	// inTouch is how long a machine must have been free of faults for a promise
	// with a bound to hold for it.
	inTouch     = 4 * time.Second
	cancelBound = 4 * time.Second
	evacuateIn  = 5 * time.Second
	drainBound  = 3 * time.Second
	cutSlack    = 200 * time.Millisecond
	afterGrace  = time.Second // a planned stop's promise covers so much after its grace
)

// absence is a time in which nothing may start in a domain or on a runner.
type absence struct {
	domain string
	runner string
	host   string
	from   time.Time
	until  time.Time // zero for not ended
}

func (a absence) covers(at time.Time, after time.Duration) bool {
	return at.After(a.from.Add(after)) && (a.until.IsZero() || at.Before(a.until))
}

// evidence is what the checks judge.
type evidence struct {
	runs    []taskrunner.Run
	jobs    map[string]*job
	cuts    []cutRequest
	faults  []injected
	out     []absence
	drained []absence
}

// check judges one promise.
type check struct {
	promise string
	judge   func(*evidence, func(at time.Time, job, format string, args ...any))
}

var checks = []check{
	{"steps run in their order", (*evidence).checkOrder},
	{"no runner holds more than its room", (*evidence).checkRoom},
	{"failed attempts are counted", (*evidence).checkAttempts},
	{"a cancelled job starts nothing", (*evidence).checkCancels},
	{"nothing starts in a domain that is out", (*evidence).checkDomains},
	{"nothing starts on a draining runner", (*evidence).checkDrains},
	{"a refused job never runs", (*evidence).checkRefusals},
	{"a completed job has done its work", (*evidence).checkCompleted},
	{"a job ends as its tasks do", (*evidence).checkEnds},
	{"a planned stop cuts no request off", (*evidence).checkPlannedStops},
}

// judge applies every check to what the run has shown.
func (r *Run) judge() *Result {
	g := r.callers
	result := &Result{Seed: r.Seed, Faults: r.done, Runs: r.fleet.witness.Runs(), Began: r.began, Dir: r.Dir, Answers: g.answers}
	for _, h := range r.fleet.hosts() {
		result.Processes = append(result.Processes, h.name)
		if h.process.Exited() {
			r.fail("processes do not end by themselves", fmt.Errorf("%s has ended", h.name))
		}
	}
	result.Starts = len(result.Runs)
	result.Broken = append(append(result.Broken, g.wrong...), r.failures...)
	for _, v := range r.fleet.witness.Violations() {
		result.Broken = append(result.Broken, Broken{"a task runs once at a time and not after its end", v.At, jobOf(v.Task), v.Text})
	}
	for _, h := range r.fleet.agents {
		r.noteDrain(h)
	}
	for _, j := range g.order {
		if !j.accepted.IsZero() {
			result.Accepted++
		} else if j.refused {
			result.Refused++
		}
	}
	e := &evidence{runs: result.Runs, jobs: g.jobs, cuts: g.cuts, faults: r.done, out: r.out, drained: r.drained}
	result.Broken = append(result.Broken, e.judge()...)
	slices.SortStableFunc(result.Broken, func(a, b Broken) int { return a.At.Compare(b.At) })
	return result
}

func (e *evidence) judge() []Broken {
	var all []Broken
	for _, c := range checks {
		c.judge(e, func(at time.Time, job, format string, args ...any) {
			all = append(all, Broken{c.promise, at, job, fmt.Sprintf(format, args...)})
		})
	}
	return all
}

// fail notes a promise that broke beside the checks.
func (r *Run) fail(promise string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, Broken{Promise: promise, At: time.Now(), Text: err.Error()})
}

// calm reports whether no unplanned fault touched the host in the time before at.
func (e *evidence) calm(host string, at time.Time, before time.Duration) bool {
	from := at.Add(-before)
	return !slices.ContainsFunc(e.faults, func(f injected) bool {
		touches := f.Host == "" || f.Host == host
		return touches && !f.Planned && f.Began.Before(at) && (f.Ended.IsZero() || f.Ended.After(from))
	})
}

// taskName is the parts of a task's name, job.occurrence.step.index.
func taskName(task string) (job string, step int) {
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

func jobOf(task string) string { job, _ := taskName(task); return job }

// hostOf is the agent beside a runner.
func hostOf(runner string) string { return strings.TrimPrefix(runner, runnerPrefix) }

type report = func(at time.Time, job, format string, args ...any)

// firstDone returns when each task first ended well.
func (e *evidence) firstDone() map[string]time.Time {
	done := make(map[string]time.Time)
	for _, x := range e.runs {
		if first, ok := done[x.Task]; x.End == "done" && (!ok || x.EndTime.Before(first)) {
			done[x.Task] = x.EndTime
		}
	}
	return done
}

func (e *evidence) checkOrder(broken report) {
	done := e.firstDone()
	for _, x := range e.runs {
		id, step := taskName(x.Task)
		j := e.jobs[id]
		if j == nil || step >= len(j.shape.job.Steps) {
			broken(x.StartTime, id, "%s started on %s, which nobody submitted", x.Task, x.Runner)
			continue
		}
		for _, before := range j.shape.job.Steps[step].After {
			for index := range j.shape.job.Steps[before].Tasks {
				name := fmt.Sprintf("%s.0.%d.%d", id, before, index)
				if at, ok := done[name]; !ok || at.After(x.StartTime) {
					broken(x.StartTime, id, "%s started on %s before %s was done", x.Task, x.Runner, name)
				}
			}
		}
	}
}

func (e *evidence) checkRoom(broken report) {
	type change struct {
		at   time.Time
		by   int
		task string
	}
	changes := make(map[string][]change)
	for _, x := range e.runs {
		changes[x.Runner] = append(changes[x.Runner], change{x.StartTime, 1, x.Task})
		if !x.EndTime.IsZero() {
			changes[x.Runner] = append(changes[x.Runner], change{x.EndTime, -1, x.Task})
		}
	}
	for name, list := range changes {
		// An end and a start at the same time need no more room.
		slices.SortFunc(list, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.by, b.by)) })
		running := 0
		for _, c := range list {
			if running += c.by; c.by > 0 && running > runnerCores {
				broken(c.at, jobOf(c.task), "%s started on %s, which then ran %d tasks with room for %d", c.task, name, running, runnerCores)
			}
		}
	}
}

func (e *evidence) checkAttempts(broken report) {
	failures := make(map[string][]time.Time)
	for _, x := range e.runs {
		if x.End == "failed" && x.Acknowledged {
			failures[x.Task] = append(failures[x.Task], x.EndTime)
		}
	}
	for _, x := range e.runs {
		n := 0
		for _, at := range failures[x.Task] {
			if at.Before(x.StartTime) {
				n++
			}
		}
		if n >= maxAttempts {
			broken(x.StartTime, jobOf(x.Task), "%s started on %s after %d recorded failures", x.Task, x.Runner, n)
		}
	}
}

func (e *evidence) checkCancels(broken report) {
	for _, x := range e.runs {
		j := e.jobs[jobOf(x.Task)]
		if j == nil || j.cancelled.IsZero() || !x.StartTime.After(j.cancelled.Add(cancelBound)) || !e.calm(hostOf(x.Runner), x.StartTime, inTouch) {
			continue
		}
		broken(x.StartTime, j.id, "%s started on %s %v after its cancellation was acknowledged", x.Task, x.Runner, x.StartTime.Sub(j.cancelled).Round(time.Millisecond))
	}
}

func (e *evidence) checkDomains(broken report) {
	for _, x := range e.runs {
		for _, a := range e.out {
			if a.domain == x.Domain && a.covers(x.StartTime, evacuateIn) && e.calm(hostOf(x.Runner), x.StartTime, inTouch) {
				broken(x.StartTime, jobOf(x.Task), "%s started on %s %v after %s was taken out", x.Task, x.Runner, x.StartTime.Sub(a.from).Round(time.Millisecond), a.domain)
			}
		}
	}
}

func (e *evidence) checkDrains(broken report) {
	for _, x := range e.runs {
		for _, a := range e.drained {
			if a.runner == x.Runner && a.covers(x.StartTime, drainBound) && e.calm(a.host, x.StartTime, inTouch) {
				broken(x.StartTime, jobOf(x.Task), "%s started on %s %v after its agent knew that it drains", x.Task, x.Runner, x.StartTime.Sub(a.from).Round(time.Millisecond))
			}
		}
	}
}

func (e *evidence) checkRefusals(broken report) {
	for _, x := range e.runs {
		if j := e.jobs[jobOf(x.Task)]; j != nil && j.refused {
			broken(x.StartTime, j.id, "%s started on %s although every submission was refused", x.Task, x.Runner)
		}
	}
}

func (e *evidence) checkCompleted(broken report) {
	done := e.firstDone()
	for _, j := range e.jobs {
		i := slices.IndexFunc(j.states, func(o observed) bool { return o.state == completed })
		if i < 0 {
			continue
		}
		for step, s := range j.shape.job.Steps {
			for index := range s.Tasks {
				name := fmt.Sprintf("%s.0.%d.%d", j.id, step, index)
				if at, ok := done[name]; !ok || at.After(j.states[i].at) {
					broken(j.states[i].at, j.id, "shown as completed before %s was done", name)
				}
			}
		}
	}
}

// checkEnds compares the state in which a job ended with what its tasks do.
func (e *evidence) checkEnds(broken report) {
	for _, j := range e.jobs {
		state := j.last()
		if !final[state] {
			continue
		}
		want := map[string]string{hopelessSpec: failed, watchSpec: cancelled}[j.shape.job.Spec]
		if want == "" {
			want = completed
		}
		if state != want && (state != cancelled || j.cancelSent.IsZero()) {
			broken(j.states[len(j.states)-1].at, j.id, "a %s job was shown as %s", j.shape.job.Spec, state)
		}
	}
}

func (e *evidence) checkPlannedStops(broken report) {
	for _, c := range e.cuts {
		for _, f := range e.faults {
			if f.Kind != terminateKind || f.Host != c.host || c.at.Before(f.Began) || c.at.After(f.Began.Add(graceWithin+afterGrace)) {
				continue
			}
			if e.calm(c.host, c.at, inTouch+c.at.Sub(c.sent)) {
				broken(c.at, "", "%s broke a request off %v after it had been sent: %s", c.host, c.at.Sub(c.sent).Round(time.Millisecond), c.text)
			}
		}
	}
}
