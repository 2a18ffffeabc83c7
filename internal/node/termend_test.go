package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// The tests in this file guard against a refusal of a job that runs all the same: it is
// handed in while the leader's term ends, and its record is written a moment later.

// lateStore executes every append, those of jobs after a random time, also when its caller
// has given up.
type lateStore struct {
	keyedStore
	appends sync.WaitGroup
}

func (s *lateStore) Append(ctx context.Context, in durable.AppendRequest) (units.Offset, error) {
	if len(in.Records) == 0 {
		return 0, nil
	}
	done := make(chan struct{})
	s.appends.Go(func() {
		defer close(done)
		time.Sleep(rand.N(3 * time.Millisecond))
		_, _ = s.keyedStore.Append(context.Background(), in) // has no error
	})
	select {
	case <-done:
		return 0, ctx.Err()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// leadUntilStopped makes e lead until stop is called, which returns when the term has ended.
func leadUntilStopped(t *testing.T, e *Entry, store durable.Store) (stop func()) {
	t.Helper()
	l := startTerm(t, store)
	ctx, cancel := context.WithCancel(l.ctx)
	l.group, l.ctx = errgroup.WithContext(ctx)
	e.setLeader(l)
	ended := make(chan error, 1)
	go func() { ended <- l.run() }()
	return func() {
		cancel()
		if err := <-ended; !isTermEnd(ctx, err) {
			t.Errorf("end of the term: got %v, want none", err)
		}
		e.setLeader(nil)
	}
}

// connectTo returns an entry process with a session to the leader e.
func connectTo(t *testing.T, e *Entry) *Entry {
	t.Helper()
	listener := &link.Listener{Address: "127.0.0.1:0", Handler: e.routes()}
	address, err := listener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- runListener(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	session, err := link.Dial(t.Context(), address.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return &Entry{Settings: &Settings{Name: "follower"}, metrics: newMetrics(nil), session: session}
}

func submitRequest(id workflow.JobID) Request {
	job := &workflow.Job{ID: id, Queue: "q", Steps: []workflow.Step{{Count: 1}}, Submitted: time.Now()}
	return Request{Verb: Submit, ID: id, Job: job, Policy: workflow.Policy{Service: "desk"}}
}

func TestJobWrittenAfterTheEndOfTheTermIsNotRefused(t *testing.T) {
	store := &keyedStore{held: make(chan struct{})}
	e := &Entry{Settings: &Settings{Name: "leader"}, metrics: newMetrics(nil)}
	stop := leadUntilStopped(t, e, store)
	replies := make(chan Reply, 2)
	for i, process := range []*Entry{e, connectTo(t, e)} {
		go func() { replies <- process.Serve(t.Context(), submitRequest(jobID(i))) }()
	}
	time.Sleep(100 * time.Millisecond) // both appends wait for the store
	stop()
	for range 2 {
		if got := <-replies; got.Outcome != Unknown {
			t.Errorf("job whose record is on its way at the end of the term: got %s (%s), want %s", got.Outcome, got.Reason, Unknown)
		}
	}
}

func TestNoJobIsRefusedWhoseRecordIsWritten(t *testing.T) {
	const rounds, jobs = 60, 16
	outcomes := make(map[Outcome]int)
	writtenUnknown := 0
	for round := range rounds {
		store := &lateStore{}
		for i, reply := range submitWhileTermEnds(t, store, jobs, round%2 == 0) {
			outcomes[reply.Outcome]++
			written := store.holds(scheduler.JobKey(jobID(i)))
			wantTruthful(t, jobID(i), reply, written)
			if written && reply.Outcome == Unknown {
				writtenUnknown++
			}
		}
	}
	if outcomes[Accepted] == 0 || outcomes[Unavailable] == 0 || writtenUnknown == 0 {
		t.Errorf("outcomes: got %v with %d written late, want each kind at least once", outcomes, writtenUnknown)
	}
}

// submitWhileTermEnds submits jobs to the leader and to another process while the term ends.
// That process learns of another leader, or it loses its session as when the leader's process
// is killed. It returns the reply for each job when all appends have been executed.
func submitWhileTermEnds(t *testing.T, store *lateStore, jobs int, killed bool) []Reply {
	t.Helper()
	leading := &Entry{Settings: &Settings{Name: "leader"}, metrics: newMetrics(nil)}
	stop := leadUntilStopped(t, leading, store)
	follower := connectTo(t, leading)
	replies := make([]Reply, jobs)
	var clients sync.WaitGroup
	for i := range replies {
		process := []*Entry{leading, follower}[i%2]
		clients.Go(func() {
			time.Sleep(rand.N(10 * time.Millisecond))
			replies[i] = process.Serve(t.Context(), submitRequest(jobID(i)))
		})
	}
	time.Sleep(rand.N(15 * time.Millisecond))
	if killed {
		follower.closeLeaderSession()
	} else {
		follower.followLeader(leadership.Leader{Name: "follower", Term: 2}) // itself, so that it dials nobody
	}
	stop()
	clients.Wait()
	store.appends.Wait()
	return replies
}

// wantTruthful checks the reply to a submission against the store.
func wantTruthful(t *testing.T, id workflow.JobID, reply Reply, written bool) {
	t.Helper()
	switch reply.Outcome {
	case Unavailable, Rejected:
		if written {
			t.Errorf("job %s: got %s (%s), want no refusal: its record is in the store", id, reply.Outcome, reply.Reason)
		}
	case Accepted:
		if !written {
			t.Errorf("job %s: got %s, want its record in the store", id, reply.Outcome)
		}
	case Unknown:
	default:
		t.Errorf("job %s: got %s, want an outcome of a submission", id, reply.Outcome)
	}
}

func jobID(i int) workflow.JobID { return workflow.JobID(fmt.Sprint("j", i)) }
