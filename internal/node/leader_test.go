package node

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/jobstore"
	"wasabihill.example/wasabihill/internal/operations"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// slowStore holds one accepted job and one agent, and takes delay for each snapshot.
type slowStore struct {
	durable.Store
	delay        time.Duration
	jobs, agents []durable.Item
}

func (s *slowStore) Append(context.Context, durable.AppendRequest) (units.Offset, error) {
	return 0, nil
}

func (s *slowStore) ReadSnapshot(_ context.Context, topic durable.Topic) (durable.Snapshot, error) {
	time.Sleep(s.delay)
	if topic == jobstore.Topic {
		return durable.Snapshot{Items: s.jobs}, nil
	}
	return durable.Snapshot{Items: s.agents}, nil
}

func (s *slowStore) Read(ctx context.Context, _ durable.Topic, _ bool, _ units.Offset, _ time.Duration) (durable.Batch, error) {
	<-ctx.Done()
	return durable.Batch{}, ctx.Err()
}

// startTerm returns a leader whose loop the test plays, with ctx for its goroutines.
func startTerm(t *testing.T, store durable.Store) *leader {
	t.Helper()
	configuration := &operations.Configuration{Routes: []operations.Route{{Queue: "q", Policy: workflow.Policy{Service: "desk", MaxAttempts: 1}}}}
	configuration.Index()
	ctx, cancel := context.WithCancel(context.Background())
	l := &leader{term: 1, settings: &Settings{FinishedJobRetention: time.Minute, MaxLease: 10 * time.Second}, store: store, operations: &operations.Follower{},
		isLeading: func() bool { return true }, storeReachable: func() bool { return true }, metrics: newMetrics(nil), events: make(chan func(), eventQueueSize),
		agents: make(map[units.WorkerID]*agentConn), absences: make(map[units.WorkerID]*recordedAbsence), knownAbsent: make(map[units.WorkerID]bool), submissions: make(map[workflow.JobID]*submission), writer: jobstore.New(store, 1)}
	l.group, l.ctx = errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		_ = l.group.Wait() // the goroutines of the term end with ctx
	})
	l.scheduler = scheduler.New(grantDuration+grantMargin, time.Minute)
	l.scheduler.SetOperatorState(operations.State{Configuration: configuration})
	return l
}

func deskReport() *wire.WorkerReport {
	return &wire.WorkerReport{Sequence: 1, Runner: &wire.RunnerState{Id: "r", Service: "desk", Millicores: 1000, MemoryBytes: 1 << 30}}
}

// orderedStarts runs the rules at the given instant and returns the number of starts.
func (l *leader) orderedStarts(boot bootclock.Instant) int {
	n := 0
	l.scheduler.Tick(scheduler.Timestamp{Boot: boot, Wall: time.Now()}, true)
	for _, orders := range l.scheduler.TakeOrders() {
		n += len(orders.Starts)
	}
	return n
}

// jobAndAbsentAgent returns the records of one accepted job and of the agent "gone", which
// does not answer.
func jobAndAbsentAgent(t *testing.T) (jobs, agents []durable.Item) {
	t.Helper()
	job, err := workflow.Encode(&workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}, Submitted: time.Now()}, workflow.Policy{Service: "desk", MaxAttempts: 1})
	if err != nil {
		t.Fatal(err)
	}
	agent, err := proto.Marshal(&wire.MemberRecord{Name: "gone", Address: "127.0.0.1:1", Role: string(RoleAgent)})
	if err != nil {
		t.Fatal(err)
	}
	return []durable.Item{{Key: scheduler.JobKey("j"), Value: job}}, []durable.Item{{Key: memberKey(RoleAgent, "gone"), Value: agent}}
}

// A new leader waits until the leases that its predecessor may have granted to an absent
// agent have expired. Counted from the end of a slow recovery instead of the beginning of
// the term, the wait is longer, and recovered tasks are starved.
func TestRecoveryCountsLeasesFromBeginOfTerm(t *testing.T) {
	jobs, agents := jobAndAbsentAgent(t)
	l := startTerm(t, &slowStore{delay: 400 * time.Millisecond, jobs: jobs, agents: agents})
	begin := bootclock.Now()
	if err := l.recover(l.ctx); err != nil {
		t.Fatal(err)
	}
	l.scheduler.Attach("present", now())
	l.scheduler.ApplyReport("present", deskReport(), now())
	l.scheduler.ExtendLease("present", deskReport(), now())
	expiry := begin.Add(grantDuration + grantMargin)
	if got := l.orderedStarts(expiry.Add(-50 * time.Millisecond)); got != 0 {
		t.Errorf("starts while a lease of the absent agent may be valid: got %d, want 0", got)
	}
	if got := l.orderedStarts(expiry.Add(300 * time.Millisecond)); got != 1 {
		t.Errorf("starts 300 ms after the last possible lease has expired: got %d, want 1", got)
	}
}

// An agent that moves to another address has no session until the leader has connected to
// it again. When it still counted as attached, orders were dropped unsent, and if the new
// address was never reached, its tasks were starved for ever.
func TestMovedAgentIsDetachedUntilConnected(t *testing.T) {
	l := startTerm(t, &slowStore{})
	old := &agentConn{worker: "w", address: "127.0.0.1:1", stop: func() {}}
	l.agents["w"] = old
	l.agentAttached(old, nil)
	l.scheduler.ApplyReport("w", deskReport(), now())
	l.scheduler.ExtendLease("w", deskReport(), now())
	l.handleMember(member{role: RoleAgent, name: "w", address: "127.0.0.1:2"})
	l.scheduler.Accept(&workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}, Submitted: time.Now()}, workflow.Policy{Service: "desk"}, now())
	if got := l.orderedStarts(bootclock.Now()); got != 0 {
		t.Errorf("starts ordered without a session to the agent: got %d, want 0", got)
	}
}

// Guards against a grant without the scheduler's knowledge: an agent without a runner
// would use it for the runs of a runner that it finds later. A grant to one whose runner does
// not answer would defer the time at which its tasks may start elsewhere.
func TestAgentWithoutRunnerGetsNoGrant(t *testing.T) {
	l := startTerm(t, &slowStore{})
	silent := proto.Clone(deskReport().Runner).(*wire.RunnerState)
	silent.Silent = true
	a := &agentConn{worker: "w", address: "127.0.0.1:1", stop: func() {}, attachment: 1}
	l.agents["w"] = a
	l.agentAttached(a, nil)
	for _, c := range []struct {
		report *wire.WorkerReport
		want   bool
	}{
		{&wire.WorkerReport{Sequence: 1, Attachment: 1}, false},
		{&wire.WorkerReport{Sequence: 2, Attachment: 1, Runner: silent}, false},
		{&wire.WorkerReport{Sequence: 3, Attachment: 1, Runner: deskReport().Runner}, true},
	} {
		result := l.applyReport(a, 1, c.report)
		if result.err != nil || result.reply.GetGranted() != c.want {
			t.Errorf("report with runner %v: got granted %t, error %v; want granted %t", c.report.Runner, result.reply.GetGranted(), result.err, c.want)
		}
	}
}

// A lookup of a job whose record is being written must not be answered 410: the job may be
// accepted before the answer arrives.
func TestLookupOfJobBeingAccepted(t *testing.T) {
	l := startTerm(t, &slowStore{})
	ask := func(verb Verb, id workflow.JobID) Outcome {
		replies := make(chan Reply, 1)
		l.processRequest(Request{Verb: verb, ID: id}, replies)
		return (<-replies).Outcome
	}
	job := &workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}, Submitted: time.Now()}
	l.processRequest(Request{Verb: Submit, ID: "j", Job: job}, make(chan Reply, 1)) // its record is not written, as the writer does not run
	for _, verb := range []Verb{Lookup, Cancel} {
		if got := ask(verb, "j"); got != Unavailable {
			t.Errorf("%s of a job that is being accepted: got %s, want %s", verb, got, Unavailable)
		}
		if got := ask(verb, "other"); got != JobNotFound {
			t.Errorf("%s of a job that nobody submitted: got %s, want %s", verb, got, JobNotFound)
		}
	}
	l.isLeading = func() bool { return false }
	if got := ask(Lookup, "other"); got != Unavailable {
		t.Errorf("lookup without a valid lease: got %s, want %s", got, Unavailable)
	}
}
