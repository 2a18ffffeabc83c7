package worker

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is one worker behind the interface, with a manually advanced clock.
type fixture struct {
	workerapi.Worker
	core  *Core
	clock atomic.Int64
	epoch units.Epoch
}

func (f *fixture) advance(d time.Duration) { f.clock.Add(int64(d)); f.core.Advance() }

func (f *fixture) now() workerapi.Clock { return workerapi.Clock(f.clock.Load()) }

var oneCore = units.Resources{Processors: 1000, Memory: units.GiB}

func (f *fixture) request(attempt units.Attempt) workerapi.StartRequest {
	return workerapi.StartRequest{
		Epoch: f.epoch, Task: units.Task{Job: "watcher/freezer", Index: 0}, Attempt: attempt, Kind: "monitor",
		Size: oneCore, RunTime: 5 * time.Second, LeaseUntil: f.now() + workerapi.Clock(8*time.Second), Label: "label",
	}
}

// implementations are the implementations of the interface under test: the core
// itself, and the HTTP client with the handler. Each must pass the same cases.
var implementations = map[string]func(*testing.T, *Core) workerapi.Worker{
	"core": func(_ *testing.T, c *Core) workerapi.Worker { return c },
	"client": func(t *testing.T, c *Core) workerapi.Worker {
		server := httptest.NewServer(NewHandler(c))
		transport := &http.Transport{}
		t.Cleanup(func() { transport.CloseIdleConnections(); server.Close() })
		return &workerapi.Client{BaseURL: server.URL, HTTP: &http.Client{Transport: transport}}
	},
}

func eachImplementation(t *testing.T, test func(t *testing.T, ctx context.Context, f *fixture)) {
	for name, implementation := range implementations {
		t.Run(name, func(t *testing.T) {
			f := &fixture{}
			f.clock.Store(int64(time.Second))
			f.core = &Core{Name: "worker-1", Capacity: units.Resources{Processors: 4000, Memory: 8 * units.GiB}, Clock: f.now, UsageLag: 2 * time.Second}
			f.Worker = implementation(t, f.core)
			holder, err := f.Hold(t.Context(), "agent-1")
			if err != nil || holder.Epoch != 1 || holder.Capacity != f.core.Capacity || holder.Clock != f.now() {
				t.Fatalf("Hold: got %+v, %v", holder, err)
			}
			f.epoch = holder.Epoch
			test(t, t.Context(), f)
		})
	}
}

func (f *fixture) onlyTask(t *testing.T) workerapi.Task {
	t.Helper()
	table, err := f.Tasks(context.Background())
	if err != nil || len(table.Tasks) != 1 {
		t.Fatalf("Tasks: got %+v, %v, want one row", table, err)
	}
	return table.Tasks[0]
}

func wantErrorKind(t *testing.T, what string, err error, want workerapi.Kind) {
	t.Helper()
	if want == "" && err == nil {
		return
	}
	if !fault.Is(err, want) {
		t.Errorf("%s: got error %v, want kind %q", what, err, want)
	}
}

// Guards against tasks that run past the end of their lease, that run again after
// a late renewal, or that make progress past the lease while the worker's process
// is paused.
func TestLeaseExpires(t *testing.T) {
	eachImplementation(t, func(t *testing.T, ctx context.Context, f *fixture) {
		wantErrorKind(t, "start", f.Start(ctx, f.request(1)), "")
		f.advance(time.Second)
		f.clock.Add(int64(time.Minute)) // the process is paused: no Advance in between
		task := f.onlyTask(t)
		if task.State != workerapi.Expired || task.Ran != time.Second {
			t.Errorf("got %s after %s, want expired after 1s", task.State, task.Ran)
		}
		_, err := f.Renew(ctx, f.epoch, f.now()+workerapi.Clock(time.Hour), []units.Task{task.Task})
		wantErrorKind(t, "late renewal", err, "")
		if got := f.onlyTask(t).State; got != workerapi.Expired {
			t.Errorf("after a late renewal: got %s, want expired", got)
		}
		run := f.core.Runs()[0]
		if got, want := run.End.Sub(run.Start), 8*time.Second; got > want || run.Open {
			t.Errorf("run: got %s open=%t, want at most %s, closed", got, run.Open, want)
		}
	})
}

// Guards against a worker that accepts calls of a former holder, whose epoch is
// stale.
func TestStaleEpochIsFenced(t *testing.T) {
	eachImplementation(t, func(t *testing.T, ctx context.Context, f *fixture) {
		wantErrorKind(t, "start", f.Start(ctx, f.request(1)), "")
		if _, err := f.Hold(ctx, "agent-2"); err != nil {
			t.Fatal(err)
		}
		task, old := f.request(1).Task, f.epoch
		calls := map[string]func() error{
			"start":      func() error { return f.Start(ctx, f.request(2)) },
			"activate":   func() error { return f.Activate(ctx, old, task, 1, 2) },
			"renew":      func() error { _, err := f.Renew(ctx, old, 1<<60, []units.Task{task}); return err },
			"throttle":   func() error { return f.Throttle(ctx, old, task, 1, 0.5) },
			"checkpoint": func() error { _, err := f.Checkpoint(ctx, old, task, 1, true); return err },
			"stop":       func() error { return f.Stop(ctx, old, task, 1) },
			"forget":     func() error { return f.Forget(ctx, old, task, 1) },
		}
		before := f.onlyTask(t)
		for name, call := range calls {
			wantErrorKind(t, name, call(), workerapi.Fenced)
		}
		if got := f.onlyTask(t); got != before {
			t.Errorf("fenced calls changed the task: got %+v, want %+v", got, before)
		}
	})
}

// Guards against calls that are not idempotent: a call that is retried after its
// reply was lost must succeed and have no further effect.
func TestLostReplies(t *testing.T) {
	task := units.Task{Job: "watcher/freezer", Index: 0}
	cases := []struct {
		op      string
		prepare func(context.Context, *fixture) error
		call    func(context.Context, *fixture) error
		want    workerapi.TaskState // "" when the row has been removed
	}{
		{"start", nil, func(ctx context.Context, f *fixture) error { return f.Start(ctx, f.request(1)) }, workerapi.Running},
		{"renew", startTask, func(ctx context.Context, f *fixture) error {
			_, err := f.Renew(ctx, f.epoch, 1<<50, []units.Task{task})
			return err
		}, workerapi.Running},
		{"throttle", startTask, func(ctx context.Context, f *fixture) error { return f.Throttle(ctx, f.epoch, task, 1, 0.5) }, workerapi.Running},
		{"checkpoint", startTask, func(ctx context.Context, f *fixture) error {
			_, err := f.Checkpoint(ctx, f.epoch, task, 1, true)
			return err
		}, workerapi.Checkpointed},
		{"stop", startTask, func(ctx context.Context, f *fixture) error { return f.Stop(ctx, f.epoch, task, 1) }, workerapi.Stopped},
		{"activate", startStandby, func(ctx context.Context, f *fixture) error { return f.Activate(ctx, f.epoch, task, 1, 2) }, workerapi.Running},
		{"forget", func(ctx context.Context, f *fixture) error {
			return errors.Join(startTask(ctx, f), f.Stop(ctx, f.epoch, task, 1))
		}, func(ctx context.Context, f *fixture) error { return f.Forget(ctx, f.epoch, task, 1) }, ""},
	}
	for _, c := range cases {
		t.Run(c.op, func(t *testing.T) {
			eachImplementation(t, func(t *testing.T, ctx context.Context, f *fixture) {
				if c.prepare != nil {
					wantErrorKind(t, "prepare", c.prepare(ctx, f), "")
				}
				f.core.SetFaults(Faults{LoseReplies: 1, LoseOp: c.op})
				wantErrorKind(t, "reply lost", c.call(ctx, f), workerapi.Unknown)
				first, _ := f.Tasks(ctx)
				wantErrorKind(t, "repeat", c.call(ctx, f), "")
				second, _ := f.Tasks(ctx)
				if len(first.Tasks) != len(second.Tasks) || len(second.Tasks) > 0 && first.Tasks[0] != second.Tasks[0] {
					t.Errorf("the repeat changed the table: got %+v, want %+v", second, first)
				}
				if c.want != "" && second.Tasks[0].State != c.want || c.want == "" && len(second.Tasks) != 0 {
					t.Errorf("got %+v, want state %q", second.Tasks, c.want)
				}
			})
		})
	}
}

func startTask(ctx context.Context, f *fixture) error { return f.Start(ctx, f.request(1)) }

func startStandby(ctx context.Context, f *fixture) error {
	r := f.request(1)
	r.Standby = true
	return f.Start(ctx, r)
}

// Guards against a delayed start that runs an attempt twice or runs an attempt
// that has been replaced, and against tasks that exceed the worker's capacity.
func TestStartRules(t *testing.T) {
	eachImplementation(t, func(t *testing.T, ctx context.Context, f *fixture) {
		wantErrorKind(t, "start", f.Start(ctx, f.request(2)), "")
		wantErrorKind(t, "duplicate", f.Start(ctx, f.request(2)), "")
		wantErrorKind(t, "lower attempt", f.Start(ctx, f.request(1)), workerapi.Conflict)
		wantErrorKind(t, "higher attempt while running", f.Start(ctx, f.request(3)), workerapi.Conflict)
		large := f.request(1)
		large.Task.Index, large.Size.Processors = 1, 3001
		wantErrorKind(t, "too large", f.Start(ctx, large), workerapi.Full)
		late := f.request(1)
		late.Task.Index, late.LeaseUntil = 1, f.now()
		wantErrorKind(t, "lease over", f.Start(ctx, late), workerapi.Conflict)
		wantErrorKind(t, "attempt 0", f.Start(ctx, f.request(0)), workerapi.Invalid)
		wantErrorKind(t, "unknown task", f.Stop(ctx, f.epoch, units.Task{Job: "other"}, 1), workerapi.NotFound)
		wantErrorKind(t, "forget while running", f.Forget(ctx, f.epoch, f.request(2).Task, 2), workerapi.Conflict)
		wantErrorKind(t, "stop", f.Stop(ctx, f.epoch, f.request(2).Task, 2), "")
		wantErrorKind(t, "forget", f.Forget(ctx, f.epoch, f.request(2).Task, 2), "")
		wantErrorKind(t, "forgotten attempt", f.Start(ctx, f.request(2)), workerapi.Conflict)
		wantErrorKind(t, "next attempt", f.Start(ctx, f.request(3)), "")
	})
}

// Guards against progress that ignores throttling or is lost at a checkpoint, and
// against usage that becomes visible before its lag has passed.
func TestProgress(t *testing.T) {
	eachImplementation(t, func(t *testing.T, ctx context.Context, f *fixture) {
		f.core.ActualSize = func(r workerapi.StartRequest) units.Resources {
			r.Size.Processors *= 2
			return r.Size
		}
		r := f.request(1)
		wantErrorKind(t, "start", f.Start(ctx, r), "")
		f.advance(time.Second)
		if got := f.onlyTask(t); got.Usage != (units.Resources{}) {
			t.Errorf("usage before the lag: got %v, want none", got.Usage)
		}
		f.advance(time.Second)
		if got := f.onlyTask(t); got.Usage.Processors != 2000 || got.UsageAge != 2*time.Second {
			t.Errorf("usage: got %v aged %s, want 2 cores aged 2s", got.Usage, got.UsageAge)
		}
		wantErrorKind(t, "throttle", f.Throttle(ctx, f.epoch, r.Task, 1, 0.5), "")
		f.advance(2 * time.Second) // 3 s of work done
		name, err := f.Checkpoint(ctx, f.epoch, r.Task, 1, true)
		wantErrorKind(t, "checkpoint", err, "")
		next := f.request(2)
		next.Checkpoint = name
		wantErrorKind(t, "resume", f.Start(ctx, next), "")
		f.advance(1900 * time.Millisecond)
		if got := f.onlyTask(t).State; got != workerapi.Running {
			t.Errorf("before the remaining work is done: got %s, want running", got)
		}
		f.advance(100 * time.Millisecond)
		if got := f.onlyTask(t).State; got != workerapi.Completed {
			t.Errorf("after the remaining work: got %s, want completed", got)
		}
		f.core.SetFaults(Faults{FailTasks: true})
		wantErrorKind(t, "start on a failing worker", f.Start(ctx, f.request(3)), "")
		if got := f.onlyTask(t); got.State != workerapi.Failed || got.Reason == "" {
			t.Errorf("failing worker: got %s %q, want failed with a reason", got.State, got.Reason)
		}
		f.core.SetFaults(Faults{Unreachable: true})
		wantErrorKind(t, "unreachable", f.Stop(ctx, f.epoch, r.Task, 3), workerapi.Unknown)
		if found := Overlaps(f.core.Runs()); len(found) != 0 {
			t.Errorf("overlaps: got %v, want none", found)
		}
	})
}

// Guards against a client that accepts a truncated, malformed or oversized reply
// as valid, or maps a status to the wrong kind of error.
func TestClientErrorKinds(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   workerapi.Kind
	}{
		"cut short":           {200, `{"epoch":1,"tasks":[{"ta`, workerapi.Unknown},
		"not JSON":            {200, "<html>", workerapi.Unknown},
		"oversized":           {200, `{"epoch":1,"tasks":[]` + strings.Repeat(" ", 9<<20) + "}", workerapi.Unknown},
		"malformed task":      {200, `{"epoch":1,"tasks":[{"task":"nameless"}]}`, workerapi.Unknown},
		"server error":        {500, "", workerapi.Unknown},
		"older epoch, plain":  {409, "", workerapi.Fenced},
		"conflict, with kind": {409, `{"kind":"conflict"}`, workerapi.Conflict},
		"no such task":        {404, "", workerapi.NotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			transport := &http.Transport{}
			defer server.Close()
			defer transport.CloseIdleConnections()
			_, err := (&workerapi.Client{BaseURL: server.URL, HTTP: &http.Client{Transport: transport}}).Tasks(t.Context())
			wantErrorKind(t, "tasks", err, c.want)
		})
	}
}

// Guards against a malformed request that is accepted or makes the worker panic.
func TestMalformedRequests(t *testing.T) {
	handler := NewHandler(&Core{Name: "worker-1"})
	for _, r := range []struct{ method, path, body string }{
		{"POST", "/v1/tasks", `{"epoch":1,"unknown":2}`},
		{"POST", "/v1/tasks", `{"epoch":1,"task":"nameless"}`},
		{"POST", "/v1/tasks", strings.Repeat("[", 2<<20)},
		{"POST", "/v1/holder", `{"holder":""}`},
		{"POST", "/v1/leases", `{"tasks":["nameless"]}`},
		{"POST", "/v1/tasks/nameless/stop", `{}`},
		{"DELETE", "/v1/tasks/job%2F0?attempt=-1&epoch=1", ""},
		{"POST", "/v1/faults", `{"speed":"fast"}`},
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(r.method, r.path, strings.NewReader(r.body)))
		if recorder.Code != http.StatusBadRequest {
			t.Errorf("%s %s: got status %d, want 400", r.method, r.path, recorder.Code)
		}
	}
}
