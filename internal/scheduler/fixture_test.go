package scheduler

import (
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	testMaxLeaseDuration      = 6500 * time.Millisecond
	testMaxStrayLeaseDuration = 11 * time.Second
)

// fixture drives a scheduler step by step. The test controls the time, the agents'
// reports and the store.
type fixture struct {
	testing.TB
	scheduler *Scheduler
	term      uint64 // of the leader
	now       Timestamp
	agents    map[units.WorkerID]*fakeAgent
	records   map[string][]byte
}

// fakeAgent contains what an agent would report.
type fakeAgent struct {
	sequence uint64
	runner   *wire.RunnerState
	running  map[string]*wire.RunRow
	ended    []*wire.EndRow
	lastEnd  uint64
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{TB: t, agents: make(map[units.WorkerID]*fakeAgent), records: make(map[string][]byte)}
	f.now = Timestamp{Boot: bootclock.Instant(time.Hour), Wall: time.UnixMilli(1_700_000_000_000)}
	f.startNewLeader()
	return f
}

// startNewLeader replaces the scheduler by one recovered from the durable records, as a
// new leader does.
func (f *fixture) startNewLeader() {
	f.scheduler = New(testMaxLeaseDuration, 120*time.Second)
	f.term += 2 // a leader that renews nothing is followed by one whose term is higher by 2
	f.scheduler.Term = f.term
	f.scheduler.MaxStrayLeaseDuration = testMaxStrayLeaseDuration
	configuration := &operations.Configuration{Version: 1, Routes: []operations.Route{
		{Queue: "quick", Host: "a", Prefix: "/q/", Policy: workflow.Policy{Service: "desk", MaxAttempts: 2, Stretch: 1.5, LatencyAllowance: 300 * time.Millisecond}},
		{Queue: "runs", Host: "a", Prefix: "/r/", Policy: workflow.Policy{Service: "desk", Priority: 2, MaxAttempts: 2, Stretch: 2, LatencyAllowance: time.Second}},
	}}
	configuration.Index()
	f.scheduler.SetOperatorState(operations.State{Configuration: configuration})
	var items []durable.Item
	for key, value := range f.records {
		items = append(items, durable.Item{Key: key, Value: value})
	}
	if skipped := f.scheduler.Recover(items, f.now); skipped != 0 {
		f.Fatalf("got %d skipped records, want none", skipped)
	}
	for id := range f.agents {
		f.scheduler.RecoverWorker(id, f.scheduler.MaxLeaseDuration, f.now)
	}
}

// addWorker adds an agent with a runner of the given number of cores and sends its first
// report.
func (f *fixture) addWorker(id units.WorkerID, cores int) *fakeAgent {
	a := &fakeAgent{running: make(map[string]*wire.RunRow), runner: &wire.RunnerState{
		Id: "runner-" + string(id), BornUnixMs: 1, Service: "desk", Domain: "north", Labels: []string{"a", "r1"},
		Millicores: int64(cores) * 1000, MemoryBytes: 64 << 30,
	}}
	f.agents[id] = a
	f.scheduler.Attach(id, f.now)
	f.report(id)
	return a
}

// report sends the agent's current state and extends its lease. A stray lease that it tells of is
// stored, as the leader writes the changed records after each batch of reports.
func (f *fixture) report(id units.WorkerID) {
	a := f.agents[id]
	a.sequence++
	report := &wire.WorkerReport{Sequence: a.sequence, Runner: a.runner, Ended: a.ended}
	for _, row := range a.running {
		report.Running = append(report.Running, row)
	}
	f.scheduler.ApplyReport(id, report, f.now)
	f.scheduler.ExtendLease(id, report, f.now)
	if len(f.scheduler.dirtyStrayLeases) > 0 {
		f.flush()
	}
}

// flush stores every change.
func (f *fixture) flush() {
	records, flush, err := f.scheduler.Flush(f.now)
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range records {
		if r.Value == nil {
			delete(f.records, r.Key)
			continue
		}
		f.records[r.Key] = r.Value
	}
	f.scheduler.CommitFlush(flush)
}

// submit stores the record of a new job and passes the job to the scheduler.
func (f *fixture) submit(queue workflow.QueueName, steps ...workflow.Step) workflow.JobID {
	id := workflow.JobID(fmt.Sprintf("%016x", len(f.records)+1))
	f.accept(&workflow.Job{ID: id, Queue: queue, Spec: "s", Steps: steps, Submitted: f.now.Wall})
	return id
}

// accept stores the record of the job and passes it to the scheduler.
func (f *fixture) accept(job *workflow.Job) {
	f.Helper()
	policy := f.scheduler.operatorState.Configuration.Queue(job.Queue).Policy
	value, err := workflow.Encode(job, policy)
	if err != nil {
		f.Fatal(err)
	}
	f.records[JobKey(job.ID)] = value
	f.scheduler.Accept(job, policy, f.now)
}

// tick runs the rules, stores every change and delivers the orders to the agents. It
// returns the worker of each started task.
func (f *fixture) tick() map[string]units.WorkerID {
	f.scheduler.Tick(f.now, true)
	f.flush()
	started := make(map[string]units.WorkerID)
	for _, orders := range f.scheduler.TakeOrders() {
		a := f.agents[orders.Worker]
		for _, start := range orders.Starts {
			a.running[start.Task.String()] = &wire.RunRow{Task: start.Task.String(), Attempt: int64(start.Attempt), Pace: 100}
			started[start.Task.String()] = orders.Worker
		}
		for _, stop := range orders.Stops {
			if row := a.running[stop.Task.String()]; row != nil && row.GetAttempt() == int64(stop.Attempt) {
				a.end(stop.Task.String(), workflow.Stopped)
			}
		}
		a.acknowledge(orders.DurableEnds)
		f.scheduler.ConfirmStarts(orders.Worker, orders.Starts, a.sequence, f.now)
	}
	return started
}

// end ends a run on the agent's runner with the given result.
func (a *fakeAgent) end(task string, how workflow.End) {
	row := a.running[task]
	delete(a.running, task)
	a.lastEnd++
	a.ended = append(a.ended, &wire.EndRow{Number: a.lastEnd, Task: task, Attempt: row.GetAttempt(), End: string(how), Checkpoint: row.GetCheckpoint()})
}

// acknowledge removes the ends up to number, which are durable.
func (a *fakeAgent) acknowledge(number uint64) {
	for len(a.ended) > 0 && a.ended[0].GetNumber() <= number {
		a.ended = a.ended[1:]
	}
}

// advance moves both clocks forward.
func (f *fixture) advance(d time.Duration) {
	f.now.Boot, f.now.Wall = f.now.Boot.Add(d), f.now.Wall.Add(d)
}

func (f *fixture) wantState(id workflow.JobID, want workflow.State) {
	f.Helper()
	if got, _ := f.scheduler.JobState(id); got != want {
		f.Errorf("state of %s: got %q, want %q", id, got, want)
	}
}

func cores(n int) units.Resources {
	return units.Resources{Processors: units.Millicores(n) * 1000, Memory: units.GiB}
}
