package onerun

import (
	"fmt"
	"time"

	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/workflow"
)

const (
	// holdMax is the longest lease that a runner accepts.
	holdMax = 10 * time.Second
	// worldStep is how often leases and work are looked at.
	worldStep = 5 * time.Millisecond
	// slowestClock is the rate of the slowest clock of a runner.
	slowestClock = 0.98
)

// life is one process of a runner. It keeps the rules of the platform's pages.
type life struct {
	runner.Incarnation
	world    *world
	machine  string
	began    time.Time
	rate     float64 // of its clock
	token    runner.FencingToken
	lease    runner.ClockTime
	runs     map[runID]*activeRun
	highest  map[workflow.TaskID]workflow.Attempt // stopped or ended here
	ended    []runner.EndedRun
	lastEnd  uint64
	lapsed   time.Time // when a lease last ended
	draining bool
	over     bool
}

// activeRun is a run that is at work.
type activeRun struct {
	task    workflow.TaskID
	attempt workflow.Attempt
	on      *life
	began   time.Time
	workEnd time.Time // zero for a task that lasts
	stray   bool      // started by a call to an earlier process under the same id, and no report has told the leader
}

func (r *activeRun) String() string {
	return fmt.Sprintf("%s/%d on %s (%s, born %d) since %s", r.task, r.attempt, r.on.machine, r.on.ID, r.on.StartedUnixMs, stamp(r.began))
}

func (l *life) clock() runner.ClockTime {
	return 1 + runner.ClockTime(float64(time.Since(l.began).Milliseconds())*l.rate)
}

// admit applies what all calls have in common. The caller holds world.mu.
func (l *life) admit(id string, token runner.FencingToken) runner.Kind {
	switch {
	case l == nil || l.over:
		return runner.NotSent
	case l.ID != id:
		return runner.WrongIncarnation
	case token < l.token:
		return runner.Fenced
	}
	l.token = token
	l.expire()
	return ""
}

func (l *life) extend(until runner.ClockTime) {
	l.lease = max(l.lease, min(until, l.clock()+runner.ClockTime(holdMax.Milliseconds())))
}

// start carries out a start that was sent to the process of the given birth.
func (l *life) start(call runner.StartCall, sentTo int64) runner.Kind {
	if kind := l.admit(call.Runner, call.Token); kind != "" {
		return kind
	}
	l.extend(call.Until)
	if l.lease <= l.clock() { // a later call may have extended the lease
		return runner.LeaseExpired
	}
	id := runID{call.Task, call.Attempt}
	if l.runs[id] != nil {
		return ""
	}
	if call.Attempt <= l.highest[call.Task] {
		return runner.Superseded
	}
	if l.world.rand.chance(l.world.faults.noRoom) {
		return runner.InsufficientCapacity
	}
	r := &activeRun{task: call.Task, attempt: call.Attempt, on: l, began: time.Now(), stray: sentTo != l.StartedUnixMs}
	if work := l.world.work(call.Task); work > 0 {
		r.workEnd = r.began.Add(work)
	}
	l.world.begin(r)
	l.runs[id] = r
	return ""
}

func (l *life) stop(call runner.StopCall) runner.Kind {
	if kind := l.admit(call.Runner, call.Token); kind != "" {
		return kind
	}
	l.highest[call.Task] = max(l.highest[call.Task], call.Attempt)
	for id, r := range l.runs {
		if id.task == call.Task && id.attempt <= call.Attempt {
			l.end(r, workflow.Stopped)
		}
	}
	return ""
}

// poll applies a poll that was sent to the process of the given birth, but for its wait.
func (l *life) poll(call runner.PollCall, sentTo int64) runner.Kind {
	if kind := l.admit(call.Runner, call.Token); kind != "" {
		return kind
	}
	if call.Until > 0 {
		l.extend(call.Until)
	}
	for len(l.ended) > 0 && l.ended[0].Number <= call.Recorded {
		l.world.noteEnd(l, l.ended[0], sentTo)
		l.ended = l.ended[1:]
	}
	return ""
}

// list returns the lists, of which that of the ends may be cut.
func (l *life) list() runner.Listing {
	l.expire()
	listing := runner.Listing{StartedUnixMs: l.StartedUnixMs, Clock: l.clock()}
	for _, r := range l.runs {
		listing.Running = append(listing.Running, runner.RunStatus{Task: r.task, Attempt: r.attempt})
	}
	n := min(len(l.ended), l.world.faults.endsPerList)
	listing.Ended = append(listing.Ended, l.ended[:n]...)
	listing.Truncated = n >= l.world.faults.endsPerList
	return listing
}

// expire ends the runs whose lease or work is over.
func (l *life) expire() {
	lapsed := l.clock() > l.lease
	if lapsed {
		l.lapsed = time.Now()
	}
	for _, r := range l.runs {
		switch {
		case lapsed:
			l.end(r, workflow.LeaseExpired)
		case !r.workEnd.IsZero() && !time.Now().Before(r.workEnd):
			l.end(r, workflow.Done)
		}
	}
}

func (l *life) end(r *activeRun, how workflow.End) {
	delete(l.runs, runID{r.task, r.attempt})
	l.highest[r.task] = max(l.highest[r.task], r.attempt)
	l.lastEnd++
	l.ended = append(l.ended, runner.EndedRun{Number: l.lastEnd, Task: r.task, Attempt: r.attempt, End: how})
	l.world.finish(r)
	if how == workflow.Done && !r.stray {
		l.world.done[runID{r.task, r.attempt}] = time.Now()
	}
}

// crash ends the process with all that runs on it.
func (l *life) crash() {
	l.expire()
	l.over = true
	for id, r := range l.runs {
		delete(l.runs, id)
		l.world.finish(r)
	}
}
