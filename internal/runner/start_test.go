package runner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/workflow"
)

// fakeAPI returns scripted results and records the starts and stops.
type fakeAPI struct {
	mu     sync.Mutex
	starts []Kind // results of starts in order; "" or none left is success
	stops  []Kind // results of stops in order
	calls  []string
}

func (f *fakeAPI) next(name string, results *[]Kind) (ClockTime, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, name)
	kind := Kind("")
	if len(*results) > 0 {
		kind, *results = (*results)[0], (*results)[1:]
	}
	if kind != "" {
		return 0, fault.New(name, kind, "scripted")
	}
	return 1, nil
}

func (f *fakeAPI) Start(context.Context, StartCall) (ClockTime, error) {
	return f.next("start", &f.starts)
}
func (f *fakeAPI) Stop(context.Context, StopCall) (ClockTime, error)    { return f.next("stop", &f.stops) }
func (f *fakeAPI) SetPace(context.Context, PaceCall) (ClockTime, error) { return 1, nil }
func (f *fakeAPI) Poll(context.Context, PollCall) (Listing, error)      { return Listing{}, nil }

func (f *fakeAPI) recordedCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

// newReadyController returns a controller that has read the runner's lists and has a
// grant of one minute.
func newReadyController(api API) *Controller {
	c := &Controller{API: api, MaxLease: 10 * time.Second}
	c.info, c.listed, c.listedAt = &Info{Incarnation: Incarnation{ID: "r"}}, true, bootclock.Now()
	c.runs = make(map[workflow.TaskID]*run)
	c.setClock(1000)
	c.heardAt = bootclock.Now()
	c.ExtendGrant(bootclock.Now().Add(time.Minute))
	return c
}

// Guards against a task that runs twice after an unanswered start. Such a start may
// be carried out seconds later, or may have been carried out and have ended. Whatever
// the next call returns, the controller must stop the attempt and read the lists
// before it gives up the run.
func TestUnansweredStartIsCancelled(t *testing.T) {
	cases := map[string]struct {
		starts []Kind
		stops  []Kind
		want   []string
		reason Kind // of the rejection; empty when only a listing can decide
	}{
		"then success":                         {[]Kind{Unanswered}, nil, []string{"start", "start"}, ""},
		"then insufficient capacity":           {[]Kind{Unanswered, InsufficientCapacity}, nil, []string{"start", "start", "stop"}, ""},
		"then unavailable":                     {[]Kind{Unanswered, Unavailable}, nil, []string{"start", "start", "stop"}, ""},
		"then invalid ticket":                  {[]Kind{Unanswered, InvalidTicket}, nil, []string{"start", "start", "stop"}, ""},
		"then superseded":                      {[]Kind{Unanswered, Superseded}, nil, []string{"start", "start"}, ""},
		"stop unanswered":                      {[]Kind{Unanswered, InsufficientCapacity}, []Kind{Unanswered}, []string{"start", "start", "stop", "stop"}, ""},
		"insufficient capacity at first":       {[]Kind{InsufficientCapacity}, nil, []string{"start"}, InsufficientCapacity},
		"not sent, then insufficient capacity": {[]Kind{NotSent, InsufficientCapacity}, nil, []string{"start", "start"}, InsufficientCapacity},
		"never answered":                       {[]Kind{Unanswered, Unanswered, Unanswered, Unanswered}, nil, []string{"start", "start", "start", "start", "stop"}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			api := &fakeAPI{starts: test.starts, stops: test.stops}
			c := newReadyController(api)
			task := workflow.TaskID{Job: "a"}
			c.runs[task] = &run{attempt: 1, starting: true}
			c.callStart(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
			if got := api.recordedCalls(); !slices.Equal(got, test.want) {
				t.Errorf("calls: got %v, want %v", got, test.want)
			}
			reason := Kind("")
			if len(c.rejections) > 0 {
				reason = c.rejections[0].Reason
			}
			if reason != test.reason {
				t.Errorf("rejection: got %q, want %q", reason, test.reason)
			}
			if got, want := c.runs[task] != nil, test.reason == ""; got != want {
				t.Errorf("run in the table: got %t, want %t", got, want)
			}
		})
	}
}

// The first start call is carried out but not answered, and its run completes; the
// second call is rejected as superseded. Guards against reporting the attempt as
// rejected or lost before the scheduler has received the end of the run.
func TestEndOfUnansweredStartIsReported(t *testing.T) {
	api := &fakeAPI{starts: []Kind{Unanswered, Superseded}}
	c := newReadyController(api)
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, starting: true}
	c.callStart(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
	c.mergeListing("r", Listing{Clock: 2000, Ended: []EndedRun{{Number: 1, Task: task, Attempt: 1, End: workflow.Done}}}, bootclock.Now())
	report, _ := c.Report()
	if len(report.GetEnded()) != 1 || len(report.GetRejected()) != 0 || len(report.GetRunning()) != 0 {
		t.Errorf("got report %v, want the end alone", report)
	}
}

// Guards against a start after the grant has ended, when the scheduler may already
// have given up the worker.
func TestNoStartWithoutGrant(t *testing.T) {
	api := &fakeAPI{}
	c := newReadyController(api)
	c.grantedUntil = bootclock.Now().Add(-time.Second)
	c.Start(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: workflow.TaskID{Job: "a"}, Attempt: 1})
	if got := api.recordedCalls(); len(got) != 0 || len(c.rejections) != 1 {
		t.Errorf("got calls %v and %d rejections, want none and one", got, len(c.rejections))
	}
}

// Guards against a lease that outlasts the grant, in particular on a slow clock of the
// runner.
func TestLeaseEndsWithinGrant(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	begin := bootclock.Now()
	c.runnerClock, c.clockReadAt = 1000, begin
	c.grantedUntil = begin.Add(5 * time.Second)
	until, ok := c.extendLease(begin.Add(time.Second))
	if want := ClockTime(1000 + 5000*(1-maxClockDrift)); !ok || until > want {
		t.Errorf("lease: got %d, %t, want at most %d", until, ok, want)
	}
}

// A runner that has ended without notice never answers again, and its tasks start
// elsewhere once its leases have certainly expired. Guards against polls that extend its
// lease meanwhile: no long-running task may have nothing running for 9 s.
func TestSilentRunnerIsEmptyInTime(t *testing.T) {
	const longestGap = 9 * time.Second
	c := newReadyController(&fakeAPI{})
	begin := bootclock.Now()
	c.runnerClock, c.clockReadAt = 1000, begin
	c.grantedUntil = begin.Add(6 * time.Second)
	c.extendLease(begin)
	c.unresponsive = true
	for at := begin; at.Before(begin.Add(longestGap)); at = at.Add(100 * time.Millisecond) {
		c.grantedUntil = at.Add(6 * time.Second) // the leader still grants the agent's reports
		c.extendLease(at)
	}
	if !c.allLeasesExpired(begin.Add(longestGap - 500*time.Millisecond)) {
		t.Errorf("silent for %v: got runs that may be active, want none", longestGap-500*time.Millisecond)
	}
	lease := time.Duration(c.leaseUntil-1000) * time.Millisecond
	if slowest := time.Duration(float64(lease) / (1 - maxClockDrift)); !c.allLeasesExpired(begin.Add(slowest+time.Second)) || c.allLeasesExpired(begin.Add(slowest)) {
		t.Errorf("lease of %v: want it expired between %v and 1 s later", lease, slowest)
	}
}

// A runner whose answers are lost goes on sending heartbeats, which bring readings of its
// clock. Guards against leases that these extend without end: the runner's lists are unknown,
// and that holds all recovered jobs of a new leader.
func TestSilentRunnerIsEmptyInTimeDespiteHeartbeats(t *testing.T) {
	const longestGap = 9 * time.Second
	c := newReadyController(&fakeAPI{})
	begin := bootclock.Now()
	c.runnerClock, c.clockReadAt, c.grantedUntil = 1000, begin, begin.Add(6*time.Second)
	c.extendLease(begin)
	c.unresponsive = true
	for elapsed := time.Duration(0); elapsed < longestGap; elapsed += 100 * time.Millisecond {
		at := begin.Add(elapsed)
		if elapsed%time.Second == 0 {
			c.HandleAnnouncement(*c.info, 1000+ClockTime(elapsed.Milliseconds()))
			c.clockReadAt = at
		}
		c.grantedUntil = at.Add(6 * time.Second)
		c.extendLease(at)
	}
	if !c.allLeasesExpired(begin.Add(longestGap - 500*time.Millisecond)) {
		t.Errorf("no answer for %v: got runs that may be active, want none", longestGap-500*time.Millisecond)
	}
	c.mergeListing("r", Listing{Clock: 10_000}, bootclock.Now())
	if until, ok := c.extendLease(bootclock.Now()); !ok || until <= 10_000 {
		t.Errorf("lease once the runner answers: got %d, %t, want one after 10000", until, ok)
	}
}

// A start call in flight may reach a runner that has restarted with the same id, and
// the new incarnation may accept it. Guards against a report without that run before
// the call has ended: the scheduler would consider the run lost and start the task on
// another worker, so that it runs twice at the same time.
func TestStartInFlightSurvivesRunnerRestart(t *testing.T) {
	api := &blockingAPI{release: make(chan struct{}), arrived: make(chan struct{})}
	c := newReadyController(api)
	task := workflow.TaskID{Job: "a"}
	c.Start(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
	<-api.arrived
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	report, _ := c.Report()
	if got := len(report.GetRunning()); got != 1 {
		t.Errorf("runs in the report while the call is in flight: got %d, want 1", got)
	}
	close(api.release)
	c.Start(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: workflow.TaskID{Job: "b"}, Attempt: 1})
	report, _ = c.Report()
	if got := len(report.GetRejected()); got != 1 || report.GetRejected()[0].GetReason() != string(WrongIncarnation) {
		t.Errorf("order for the earlier incarnation: got rejections %v, want one for %s", report.GetRejected(), WrongIncarnation)
	}
}

// A start that the new incarnation has confirmed may be missing from a listing that
// was requested earlier. Guards against dropping the run because of that listing, and
// against keeping it when it is missing from a later one.
func TestConfirmedStartSurvivesOlderListing(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	earlier, later := workflow.TaskID{Job: "a"}, workflow.TaskID{Job: "b"}
	requested := bootclock.Now()
	c.runs[earlier] = &run{attempt: 1, confirmedAt: requested.Add(-time.Second)}
	c.runs[later] = &run{attempt: 1, confirmedAt: requested.Add(time.Millisecond)}
	empty := Listing{StartedUnixMs: 5, Clock: 1}
	c.mergeListing("r", empty, requested)
	if got := len(c.runs); got != 2 {
		t.Errorf("after the listing that shows the new incarnation: got %d runs, want both", got)
	}
	requested = bootclock.Now().Add(time.Millisecond)
	c.runs[later].confirmedAt = requested.Add(time.Millisecond)
	c.mergeListing("r", empty, requested)
	if c.runs[earlier] != nil || c.runs[later] == nil {
		t.Errorf("after a listing of the new incarnation: got runs %v, want only that of job b", c.runs)
	}
	c.mergeListing("r", empty, requested.Add(time.Second))
	if got := len(c.runs); got != 0 {
		t.Errorf("after a listing that was requested later: got %d runs, want 0", got)
	}
}

// Directly after a restart with the same id, the runner may have accepted a start
// that was in flight. Guards against an agent that has run for long and reports the
// runner as empty, so that the scheduler starts the same tasks on other workers.
func TestRestartedRunnerIsNotReportedAsEmpty(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.startedAt = bootclock.Now().Add(-time.Hour)
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	report, _ := c.Report()
	if r := report.GetRunner(); !r.GetSilent() || r.GetEmpty() {
		t.Errorf("after the restart: got silent %t, empty %t; want true, false", r.GetSilent(), r.GetEmpty())
	}
	c.restartedAt = c.restartedAt.Add(-2 * c.MaxLease)
	report, _ = c.Report()
	if !report.GetRunner().GetEmpty() {
		t.Error("after the longest lease: got not empty, want empty")
	}
}

// blockingAPI returns from a start when release is closed.
type blockingAPI struct {
	fakeAPI
	release, arrived chan struct{}
}

func (b *blockingAPI) Start(context.Context, StartCall) (ClockTime, error) {
	close(b.arrived)
	<-b.release
	return 1, nil
}

// An unanswered start may be carried out by the incarnation that it was sent to, and
// its run may complete there. Guards against another call that reaches a new
// incarnation with the same id, which would run the task a second time.
func TestStartIsNotRepeatedOnceListed(t *testing.T) {
	task := workflow.TaskID{Job: "a"}
	cases := map[string]struct {
		duringStart func(*Controller) // called while the first start call is in flight
		starts      int
		running     int // number of runs in the report afterwards
	}{
		"end is listed": {func(c *Controller) {
			c.mergeListing("r", Listing{Clock: 2000, Ended: []EndedRun{{Number: 1, Task: task, Attempt: 1, End: workflow.Done}}}, bootclock.Now())
		}, 1, 0},
		"run is listed": {func(c *Controller) {
			c.mergeListing("r", Listing{Clock: 2000, Running: []RunStatus{{Task: task, Attempt: 1}}}, bootclock.Now())
		}, 1, 1},
		"runner has restarted": {func(c *Controller) {
			c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
		}, 1, 1}, // until a listing of the new incarnation arrives
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			api := &interruptingAPI{fakeAPI: fakeAPI{starts: []Kind{Unanswered, "", ""}}}
			c := newReadyController(api)
			api.duringStart = func() { test.duringStart(c) }
			c.runs[task] = &run{attempt: 1, starting: true}
			c.callStart(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
			if got := len(api.recordedCalls()); got != test.starts {
				t.Errorf("calls: got %v, want %d starts", api.recordedCalls(), test.starts)
			}
			report, rejections := c.Report()
			if got := len(report.GetRunning()); got != test.running || rejections != 0 {
				t.Errorf("got %d runs and %d rejections in the report, want %d and none", got, rejections, test.running)
			}
		})
	}
}

// Guards against a start that was sent to an earlier incarnation and is accepted by
// the next one: calls to each incarnation, and calls of the next agent process, must
// carry a higher token, so that the runner rejects the delayed call.
func TestEachIncarnationRaisesTheFencingToken(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	c.BaseToken = 7
	before, _, _ := c.nextPoll()
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	after, _, _ := c.nextPoll()
	if after.Token <= before.Token {
		t.Errorf("token for the new incarnation: got %d, want more than %d", after.Token, before.Token)
	}
	next := newReadyController(&fakeAPI{})
	next.BaseToken = 8
	if got, _, _ := next.nextPoll(); got.Token <= after.Token {
		t.Errorf("token of the next agent process: got %d, want more than %d", got.Token, after.Token)
	}
}

// A stop that was sent to an earlier incarnation has no effect on the next one. Guards
// against a run of the new incarnation that counts as being stopped, so that no new
// stop is sent.
func TestStopIsRepeatedAfterRunnerRestart(t *testing.T) {
	api := &fakeAPI{}
	c := newReadyController(api)
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, confirmedAt: bootclock.Now(), stopping: true}
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	if c.runs[task].stopping {
		t.Error("after the restart the run still counts as being stopped")
	}
}

// interruptingAPI calls duringStart in its first start.
type interruptingAPI struct {
	fakeAPI
	duringStart func()
	once        sync.Once
}

func (i *interruptingAPI) Start(ctx context.Context, call StartCall) (ClockTime, error) {
	i.once.Do(i.duringStart)
	return i.fakeAPI.Start(ctx, call)
}

// A runner lists a limited number of ended runs at a time. A run whose end is not among them
// must not be taken for a lost one, whose task starts again although it is done.
func TestRunWhoseEndIsNotListedYetIsKept(t *testing.T) {
	c := newReadyController(&fakeAPI{})
	task := workflow.TaskID{Job: "a"}
	requested := bootclock.Now()
	c.runs[task] = &run{attempt: 1, confirmedAt: requested.Add(-time.Second)}
	other := EndedRun{Number: 1, Task: workflow.TaskID{Job: "b"}, Attempt: 1, End: workflow.Done}
	c.mergeListing("r", Listing{Clock: 2000, Ended: []EndedRun{other}, Truncated: true}, requested)
	if c.runs[task] == nil {
		t.Error("after a listing that lacks the latest ends: got no run, want it kept")
	}
	c.mergeListing("r", Listing{Clock: 3000, Ended: []EndedRun{{Number: 2, Task: task, Attempt: 1, End: workflow.Done}}}, requested.Add(time.Second))
	if report, _ := c.Report(); len(report.GetRunning()) != 0 || len(report.GetEnded()) != 2 {
		t.Errorf("after the listing with the end: got %d runs and %d ends, want 0 and 2", len(report.GetRunning()), len(report.GetEnded()))
	}
}
