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

// scripted answers starts in order and records every call.
type scriptedAPI struct {
	mu     sync.Mutex
	starts []Kind // answers to starts; "" is success
	stops  []Kind // answers to stops
	calls  []string
}

func (s *scriptedAPI) next(name string, answers *[]Kind) (ClockTime, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, name)
	kind := Kind("")
	if len(*answers) > 0 {
		kind, *answers = (*answers)[0], (*answers)[1:]
	}
	if kind != "" {
		return 0, fault.New(name, kind, "scripted")
	}
	return 1, nil
}

func (s *scriptedAPI) Start(context.Context, StartCall) (ClockTime, error) {
	return s.next("start", &s.starts)
}
func (s *scriptedAPI) Stop(context.Context, StopCall) (ClockTime, error) {
	return s.next("stop", &s.stops)
}
func (s *scriptedAPI) SetPace(context.Context, PaceCall) (ClockTime, error) { return 1, nil }
func (s *scriptedAPI) Poll(context.Context, PollCall) (Listing, error)      { return Listing{}, nil }

func (s *scriptedAPI) recordedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// ready returns a controller whose runner is known and whose grant is long.
func newReadyController(api API) *Controller {
	c := &Controller{API: api, LongestLease: 10 * time.Second}
	c.info, c.listed = &Info{Incarnation: Incarnation{ID: "r"}}, true
	c.runs = make(map[workflow.TaskID]*run)
	c.setClock(1000)
	c.ExtendGrant(bootclock.Now().Add(time.Minute))
	return c
}

// A start without an answer may be carried out seconds later, or may have been
// carried out and ended. Whatever the next try is told, the attempt must be made
// impossible and the lists must be read before it is given up, or the task runs
// a second time.
func TestUnansweredStartIsCancelled(t *testing.T) {
	cases := map[string]struct {
		starts []Kind
		stops  []Kind
		want   []string
		reason Kind // of the rejection; empty when the lists have to tell
	}{
		"then done":             {[]Kind{Unanswered}, nil, []string{"start", "start"}, ""},
		"then no room":          {[]Kind{Unanswered, InsufficientCapacity}, nil, []string{"start", "start", "stop"}, ""},
		"then unhealthy":        {[]Kind{Unanswered, Unavailable}, nil, []string{"start", "start", "stop"}, ""},
		"then no ticket":        {[]Kind{Unanswered, InvalidTicket}, nil, []string{"start", "start", "stop"}, ""},
		"then superseded":       {[]Kind{Unanswered, Superseded}, nil, []string{"start", "start"}, ""},
		"stop unanswered":       {[]Kind{Unanswered, InsufficientCapacity}, []Kind{Unanswered}, []string{"start", "start", "stop", "stop"}, ""},
		"no room at once":       {[]Kind{InsufficientCapacity}, nil, []string{"start"}, InsufficientCapacity},
		"never sent, then room": {[]Kind{NotSent, InsufficientCapacity}, nil, []string{"start", "start"}, InsufficientCapacity},
		"never answered":        {[]Kind{Unanswered, Unanswered, Unanswered, Unanswered}, nil, []string{"start", "start", "start", "start", "stop"}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			api := &scriptedAPI{starts: test.starts, stops: test.stops}
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

// The first try was carried out without an answer and its run has ended well; the
// next try is refused as an old attempt. The end must reach the scheduler before
// anything tells it that the attempt is gone.
func TestEndOfUnansweredStartIsReported(t *testing.T) {
	api := &scriptedAPI{starts: []Kind{Unanswered, Superseded}}
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

// After its grant has ended an agent must not start anything: the scheduler may
// have given the worker up.
func TestNoStartWithoutGrant(t *testing.T) {
	api := &scriptedAPI{}
	c := newReadyController(api)
	c.grantedUntil = bootclock.Now().Add(-time.Second)
	c.Start(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: workflow.TaskID{Job: "a"}, Attempt: 1})
	if got := api.recordedCalls(); len(got) != 0 || len(c.rejections) != 1 {
		t.Errorf("got calls %v and %d rejections, want none and one", got, len(c.rejections))
	}
}

// The lease on the runner's clock must end before the grant does, also when
// that clock is slow.
func TestLeaseEndsWithinGrant(t *testing.T) {
	c := newReadyController(&scriptedAPI{})
	begin := bootclock.Now()
	c.runnerClock, c.clockReadAt = 1000, begin
	c.grantedUntil = begin.Add(5 * time.Second)
	until, ok := c.extendLease(begin.Add(time.Second))
	if want := ClockTime(1000 + 5000*(1-maxClockDrift)); !ok || until > want {
		t.Errorf("lease: got %d, %t, want at most %d", until, ok, want)
	}
}

// A start on its way may reach a runner that is born again under its id, which
// takes it: until its call has ended, the run must stay in the reports. Otherwise
// the scheduler takes it for lost and starts the task elsewhere, twice at a time.
func TestStartInFlightSurvivesRunnerRestart(t *testing.T) {
	api := &blockingAPI{release: make(chan struct{}), arrived: make(chan struct{})}
	c := newReadyController(api)
	task := workflow.TaskID{Job: "a"}
	c.Start(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
	<-api.arrived
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	report, _ := c.Report()
	if got := len(report.GetRunning()); got != 1 {
		t.Errorf("runs in the report while the call is under way: got %d, want 1", got)
	}
	close(api.release)
	c.Start(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: workflow.TaskID{Job: "b"}, Attempt: 1})
	report, _ = c.Report()
	if got := len(report.GetRejected()); got != 1 || report.GetRejected()[0].GetReason() != string(WrongIncarnation) {
		t.Errorf("an order for the earlier incarnation: got rejections %v, want one for %s", report.GetRejected(), WrongIncarnation)
	}
}

// A start that the new life has answered may be missing in a listing that was
// asked for before: the listing says nothing about it. A later one does.
func TestConfirmedStartSurvivesOlderListing(t *testing.T) {
	c := newReadyController(&scriptedAPI{})
	old, fresh := workflow.TaskID{Job: "a"}, workflow.TaskID{Job: "b"}
	asked := bootclock.Now()
	c.runs[old] = &run{attempt: 1, confirmedAt: asked.Add(-time.Second)}
	c.runs[fresh] = &run{attempt: 1, confirmedAt: asked.Add(time.Millisecond)}
	empty := Listing{StartedUnixMs: 5, Clock: 1}
	c.mergeListing("r", empty, asked)
	if c.runs[old] != nil || c.runs[fresh] == nil {
		t.Errorf("after a listing of the new life: got runs %v, want only that of job b", c.runs)
	}
	c.mergeListing("r", empty, asked.Add(time.Second))
	if got := len(c.runs); got != 0 {
		t.Errorf("after a listing that was asked for later: got %d runs, want 0", got)
	}
}

// Right after a rebirth under the same id the new life may hold a start that was
// on its way. An agent that has run for long must not report it as empty, or the
// scheduler starts what runs there elsewhere.
func TestRestartedRunnerIsNotReportedAsEmpty(t *testing.T) {
	c := newReadyController(&scriptedAPI{})
	c.startedAt = bootclock.Now().Add(-time.Hour)
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	report, _ := c.Report()
	if r := report.GetRunner(); !r.GetSilent() || r.GetEmpty() {
		t.Errorf("after the rebirth: got silent %t, empty %t; want true, false", r.GetSilent(), r.GetEmpty())
	}
	c.restartedAt = c.restartedAt.Add(-2 * c.LongestLease)
	report, _ = c.Report()
	if !report.GetRunner().GetEmpty() {
		t.Error("after the longest lease: got not empty, want empty")
	}
}

// slowStart answers a start when it is released.
type blockingAPI struct {
	scriptedAPI
	release, arrived chan struct{}
}

func (s *blockingAPI) Start(context.Context, StartCall) (ClockTime, error) {
	close(s.arrived)
	<-s.release
	return 1, nil
}

// A start that gets no answer may be carried out by the life that was meant and
// end well there. A further try that reaches another life under the same id runs
// the task a second time.
func TestStartIsNotRepeatedOnceListed(t *testing.T) {
	task := workflow.TaskID{Job: "a"}
	cases := map[string]struct {
		between func(*Controller) // happens while the first try is unanswered
		starts  int
		running int // runs in the report afterwards
	}{
		"its end is listed": {func(c *Controller) {
			c.mergeListing("r", Listing{Clock: 2000, Ended: []EndedRun{{Number: 1, Task: task, Attempt: 1, End: workflow.Done}}}, bootclock.Now())
		}, 1, 0},
		"it is listed": {func(c *Controller) {
			c.mergeListing("r", Listing{Clock: 2000, Running: []RunStatus{{Task: task, Attempt: 1}}}, bootclock.Now())
		}, 1, 1},
		"the runner is born again": {func(c *Controller) {
			c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
		}, 1, 1}, // until a listing of the new life says more
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			api := &interruptingAPI{scriptedAPI: scriptedAPI{starts: []Kind{Unanswered, "", ""}}}
			c := newReadyController(api)
			api.between = func() { test.between(c) }
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

// A start that was meant for an earlier life and arrives after the first call of
// the new one must be refused by the runner: its token is lower. The next agent
// process must have a higher one than both.
func TestEachIncarnationRaisesTheFencingToken(t *testing.T) {
	c := newReadyController(&scriptedAPI{})
	c.BaseToken = 7
	before, _, _ := c.nextPoll()
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	after, _, _ := c.nextPoll()
	if after.Token <= before.Token {
		t.Errorf("token of the new life: got %d, want more than %d", after.Token, before.Token)
	}
	next := newReadyController(&scriptedAPI{})
	next.BaseToken = 8
	if got, _, _ := next.nextPoll(); got.Token <= after.Token {
		t.Errorf("token of the next process: got %d, want more than %d", got.Token, after.Token)
	}
}

// A stop that went to the earlier life must be ordered again for a run that the
// new life holds.
func TestStopIsRepeatedAfterRunnerRestart(t *testing.T) {
	api := &scriptedAPI{}
	c := newReadyController(api)
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, confirmedAt: bootclock.Now(), stopping: true}
	c.HandleAnnouncement(Info{Incarnation: Incarnation{ID: "r", StartedUnixMs: 2}}, 1)
	if c.runs[task].stopping {
		t.Error("after the rebirth the run still counts as being stopped")
	}
}

// interrupted calls between while its first start is under way.
type interruptingAPI struct {
	scriptedAPI
	between func()
	once    sync.Once
}

func (i *interruptingAPI) Start(ctx context.Context, call StartCall) (ClockTime, error) {
	i.once.Do(i.between)
	return i.scriptedAPI.Start(ctx, call)
}
