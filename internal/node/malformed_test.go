package node

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/jobstore"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

func encodeMember(t testing.TB, role Role, name, address string) []byte {
	t.Helper()
	value, err := proto.Marshal(&wire.MemberRecord{Name: name, Address: address, Role: string(role)})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against odd records among those of the members: each would be waited for at every
// takeover, or prevent all promises, or stop the reader.
func TestOddMemberIsSkipped(t *testing.T) {
	odd := []durable.Item{
		{Key: "agent/a", Value: bytes.Repeat([]byte{0x0b}, 20_000)}, // groups within groups
		{Key: "agent/b", Value: []byte("\xff\xff")},
		{Key: "agent/c", Value: encodeMember(t, RoleAgent, "c", "10.0.0.1:70000")},
		{Key: "agent/d", Value: encodeMember(t, RoleAgent, "d", "10.0.0.1:0")},
		{Key: "agent/e", Value: encodeMember(t, RoleAgent, "e", "host:80")},
		{Key: "agent/f", Value: encodeMember(t, RoleAgent, "f", "")},
		{Key: "agent/g", Value: encodeMember(t, RoleAgent, "other", "10.0.0.1:80")},
		{Key: "agent/h", Value: encodeMember(t, RoleEntry, "h", "10.0.0.1:80")},
		{Key: "agent/", Value: encodeMember(t, RoleAgent, "", "10.0.0.1:80")},
		{Key: "robot/i", Value: encodeMember(t, "robot", "i", "10.0.0.1:80")},
		{Key: "agent/\xff", Value: encodeMember(t, RoleAgent, "x", "10.0.0.1:80")},
		{Key: "", Value: nil},
	}
	var got []string
	collect := func(m member) { got = append(got, m.name) }
	for _, item := range append(odd, durable.Item{Key: "agent/good", Value: encodeMember(t, RoleAgent, "good", "10.0.0.1:80")}) {
		applyMember(item.Key, item.Value, item.Offset, collect)
	}
	if len(got) != 1 || got[0] != "good" {
		t.Errorf("got members %q, want only the good one", got)
	}
}

// Guards against a forwarded message that ends the scheduler of the leader.
func TestOddForwardedRequestIsRejected(t *testing.T) {
	step := []*wire.WorkflowStep{{Count: 1}}
	for name, in := range map[string]*wire.ClientCall{
		"empty":          {},
		"unknown verb":   {Verb: "dance", JobId: "j"},
		"no job":         {Verb: string(Submit), JobId: "j"},
		"no steps":       {Verb: string(Submit), JobId: "j", Job: &wire.JobRecord{Id: "j"}},
		"negative count": {Verb: string(Submit), JobId: "j", Job: &wire.JobRecord{Id: "j", Steps: []*wire.WorkflowStep{{Count: -1}}}},
		"other id":       {Verb: string(Submit), JobId: "j", Job: &wire.JobRecord{Id: "k", Steps: step}},
		"no id":          {Verb: string(Submit), Job: &wire.JobRecord{Steps: step}},
	} {
		if r, err := requestFromWire(in); err == nil {
			t.Errorf("%s: got %+v, want an error", name, r)
		}
	}
	if _, err := requestFromWire(&wire.ClientCall{Verb: string(Submit), JobId: "j", Job: &wire.JobRecord{Id: "j", Steps: step}}); err != nil {
		t.Errorf("valid submission: got %v, want no error", err)
	}
}

// Guards against an unexpected error in the scheduler that ends the process of the leader, on
// which its clients and the other processes depend.
func TestPanicEndsOnlyTheTerm(t *testing.T) {
	l := startTerm(t, &slowStore{})
	ended := make(chan error, 1)
	go func() { ended <- l.run() }()
	l.enqueue(func() { panic("odd") })
	select {
	case err := <-ended:
		if !fault.Is(err, Panicked) {
			t.Errorf("got %v, want an error of kind %s", err, Panicked)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the term goes on after a panic")
	}
}

// Guards against an answer 410 of a process that was suspended after it had looked the job up:
// a later leader may have accepted the job.
func TestNotFoundIsConfirmedWhenItIsAnswered(t *testing.T) {
	l := startTerm(t, &slowStore{})
	leads := true
	l.isLeading = func() bool { return leads }
	replies := make(chan Reply, 1)
	l.processRequest(Request{Verb: Lookup, ID: "j"}, replies)
	reply := <-replies
	leads = false // as after a suspension
	if got := l.confirm(reply).Outcome; got != Unavailable {
		t.Errorf("answer after the lease has ended: got %s, want %s", got, Unavailable)
	}
	if got := l.confirm(Reply{Outcome: Accepted}).Outcome; got != Accepted {
		t.Errorf("durable acceptance: got %s, want %s", got, Accepted)
	}
}

// Guards against orders that a suspended leader sends with a permission that has ended
// meanwhile, beside those of its successor.
func TestOrdersAreConfirmedWhenTheyAreSent(t *testing.T) {
	l := startTerm(t, &slowStore{})
	starts := scheduler.Orders{Worker: "w", Starts: make([]runner.StartOrder, 1)}
	if l.maySend(len(starts.Starts)) {
		t.Error("starts may be sent although the operators' records were never read, want not")
	}
	if !l.maySend(0) {
		t.Error("stops may not be sent by the leader, want that they may")
	}
	l.isLeading = func() bool { return false }
	if l.maySend(0) {
		t.Error("stops may be sent after the lease has ended, want not")
	}
}

// Guards against a job record of another writer that ends the term of each leader in turn.
func TestOddJobRecordDoesNotEndTheTerm(t *testing.T) {
	store := &slowStore{jobs: []durable.Item{{Key: scheduler.JobKey("odd"), Value: []byte{0xff, 0xff}}, {Key: absencePrefix + "x", Value: []byte("{")}}}
	l := startTerm(t, store)
	l.writer = jobstore.New(store, 1)
	if err := l.recover(l.ctx); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

func FuzzDecodeMember(f *testing.F) {
	f.Add("agent/a", encodeMember(f, RoleAgent, "a", "10.0.0.1:80"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if m, err := decodeMember(key, value); err == nil && (m.name == "" || m.role != RoleEntry && m.role != RoleAgent) {
			t.Fatalf("got %+v, want a role and a name", m)
		}
	})
}

func FuzzForwardedRequest(f *testing.F) {
	value, err := proto.Marshal(&wire.ClientCall{Verb: string(Submit), JobId: "j", Job: &wire.JobRecord{Id: "j", Steps: []*wire.WorkflowStep{{Count: 1}, {Count: 2, After: []int32{0}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &wire.ClientCall{}
		if proto.Unmarshal(data, in) != nil {
			return
		}
		r, err := requestFromWire(in)
		if err != nil || r.Verb != Submit {
			return
		}
		s := scheduler.New(time.Second, time.Minute)
		at := scheduler.Timestamp{Boot: bootclock.Instant(time.Hour), Wall: time.Now()}
		s.Accept(r.Job, r.Policy, at)
		s.Tick(at, true)
		if _, _, err := s.Flush(at); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzAbsenceRecord(f *testing.F) {
	f.Add([]byte(`{"term":3,"leaseLeftMs":100}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		const longest = 11 * time.Second
		for id, left := range leasesLeft([]durable.Item{{Key: absencePrefix + "w", Value: data}}, 3, longest) {
			if left < 0 || left > longest || id != units.WorkerID("w") {
				t.Fatalf("got %v for %s, want a time that is left, at most %v", left, id, longest)
			}
		}
	})
}

// panickingRunner panics at the first polls.
type panickingRunner struct {
	runner.API
	polls atomic.Int32
}

func (r *panickingRunner) Poll(ctx context.Context, _ runner.PollCall) (runner.Listing, error) {
	if r.polls.Add(1) <= 2 {
		panic("odd")
	}
	<-ctx.Done()
	return runner.Listing{}, ctx.Err()
}

// Guards against an unexpected error in the control of a runner that ends the agent.
func TestPanicDoesNotEndTheAgent(t *testing.T) {
	api := &panickingRunner{}
	a := &Agent{Controller: &runner.Controller{API: api, MaxLease: time.Second}, metrics: newMetrics(nil)}
	a.Controller.HandleAnnouncement(runner.Info{Incarnation: runner.Incarnation{ID: "r", StartedUnixMs: 1}}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.runController(ctx) }()
	for deadline := time.Now().Add(3 * time.Second); api.polls.Load() < 3; time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-ended:
			t.Fatalf("the control ended with %v, want it to go on", err)
		default:
		}
		if time.Now().After(deadline) {
			t.Fatal("no further poll after a panic")
		}
	}
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("got %v at the end, want no error", err)
	}
}
