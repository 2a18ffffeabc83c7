package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/pkg/units"
)

// keyedStore keeps the newest record of each key in the jobs' topic, and holds appends back
// while held is not nil.
type keyedStore struct {
	slowStore
	held chan struct{}

	mu sync.Mutex // guards jobs
}

func (s *keyedStore) ReadSnapshot(ctx context.Context, topic durable.Topic) (durable.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowStore.ReadSnapshot(ctx, topic)
}

func (s *keyedStore) Append(ctx context.Context, in durable.AppendRequest) (units.Offset, error) {
	if s.held != nil && len(in.Records) > 0 {
		select {
		case <-s.held:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range in.Records {
		kept := s.jobs[:0:0]
		for _, item := range s.jobs {
			if item.Key != r.Key {
				kept = append(kept, item)
			}
		}
		if r.Value != nil {
			kept = append(kept, durable.Item{Key: r.Key, Value: r.Value})
		}
		s.jobs = kept
	}
	return 0, nil
}

// holds reports whether the jobs' topic has a record with the key.
func (s *keyedStore) holds(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range s.jobs {
		if item.Key == key {
			return true
		}
	}
	return false
}

// newStoreWithAbsentAgent returns a store with one accepted job and the agent "gone".
func newStoreWithAbsentAgent(t *testing.T) *keyedStore {
	t.Helper()
	jobs, agents := jobAndAbsentAgent(t)
	return &keyedStore{slowStore: slowStore{jobs: jobs, agents: agents}}
}

// recoverTerm returns a leader that has recovered, with the agent "present" attached.
func recoverTerm(t *testing.T, store *keyedStore, term, previous leadership.Term) *leader {
	t.Helper()
	l := startTerm(t, store)
	l.term, l.previous = term, previous
	if err := l.recover(l.ctx); err != nil {
		t.Fatal(err)
	}
	l.scheduler.Attach("present", now())
	l.scheduler.ApplyReport("present", deskReport(), now())
	l.scheduler.ExtendLease("present", deskReport(), now())
	return l
}

// record lets the leader write its records as it would at the given instant.
func (l *leader) record(t *testing.T, boot bootclock.Instant) {
	t.Helper()
	if err := l.writeRecords(scheduler.Timestamp{Boot: boot, Wall: time.Now()}); err != nil {
		t.Fatal(err)
	}
	written := make(chan struct{})
	l.writer.Write(nil, func() { close(written) })
	l.group.Go(func() error { return l.writer.Run(l.ctx) })
	<-written
}

// Guards against recovered jobs that are starved for a whole lease after each change of leader,
// and for ever when leaders change faster, because an agent is gone for good.
func TestAbsentAgentDelaysOneLeaderOnly(t *testing.T) {
	for _, c := range []struct {
		name       string
		afterBegin time.Duration // in the first term, when the absence is recorded
		previous   leadership.Term
		delay      time.Duration // of the second leader's first start
	}{
		{"leases have ended", grantDuration + grantMargin + time.Second, 1, 0},
		{"leases end in 3 s", grantDuration + grantMargin - 3*time.Second, 1, 3 * time.Second},
		{"another leader between the two", grantDuration + grantMargin + time.Second, 2, grantDuration + grantMargin},
		{"previous leader unknown", grantDuration + grantMargin + time.Second, 0, grantDuration + grantMargin},
	} {
		store := newStoreWithAbsentAgent(t)
		first := recoverTerm(t, store, 1, 0)
		first.record(t, bootclock.Now().Add(c.afterBegin))
		second := recoverTerm(t, store, 3, c.previous)
		begin := bootclock.Now()
		if c.delay > 0 {
			if got := second.orderedStarts(begin.Add(c.delay - 500*time.Millisecond)); got != 0 {
				t.Errorf("%s: starts while a lease may be valid: got %d, want 0", c.name, got)
			}
		}
		if got := second.orderedStarts(begin.Add(c.delay + 500*time.Millisecond)); got != 1 {
			t.Errorf("%s: starts once all leases have ended: got %d, want 1", c.name, got)
		}
	}
}

// Guards against a lease that a successor does not wait for: an agent whose absence is
// recorded returns, and is granted a lease while the record is still there. Its report must
// be applied at once all the same, and it must be granted once the record is deleted.
func TestReturningAgentIsGrantedOnlyWithoutItsRecord(t *testing.T) {
	store := newStoreWithAbsentAgent(t)
	recoverTerm(t, store, 1, 0).record(t, bootclock.Now().Add(time.Minute))
	l := recoverTerm(t, store, 2, 1) // the leases of "gone" have ended
	l.record(t, bootclock.Now())
	store.held = make(chan struct{})
	l.group.Go(func() error { return l.loop(l.ctx) })
	a := &agentConn{worker: "gone", address: "127.0.0.1:1", stop: func() {}, attachment: 1}
	l.enqueue(func() {
		l.agents["gone"] = a
		l.agentAttached(a, nil)
	})
	sequence := uint64(0)
	granted := func() bool {
		sequence++
		report := deskReport()
		report.Attachment, report.Sequence = 1, sequence
		ctx, cancel := context.WithTimeout(l.ctx, time.Second)
		defer cancel()
		reply, err := l.handleReport(ctx, a, 1, report)
		if err != nil {
			t.Fatalf("report %d of the returned agent: %v", sequence, err)
		}
		return reply.GetGranted()
	}
	for range 3 {
		if granted() {
			t.Fatal("report with the record in the store: granted, want no grant")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !store.holds(absencePrefix + "gone") {
		t.Fatal("record of the absence: got none, want one until it is deleted")
	}
	close(store.held)
	for deadline := time.Now().Add(5 * time.Second); !granted(); time.Sleep(300 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("report without the record: not granted within 5 s")
		}
	}
	if store.holds(absencePrefix + "gone") {
		t.Error("the record of the absence is in the store after the grant")
	}
}

// Guards against a leader that records agents as absent which have had no time to attach,
// after a slow recovery, or that records any while the store does not answer: those agents
// would get no lease before the store has deleted the records.
func TestAbsenceIsNotRecordedTooSoon(t *testing.T) {
	store := newStoreWithAbsentAgent(t)
	l := recoverTerm(t, store, 1, 0)
	ready := l.readyAt
	l.readyAt = ready.Add(5 * time.Second) // a recovery of 5 s
	l.record(t, ready.Add(5*time.Second+settleTime/2))
	if store.holds(absencePrefix + "gone") {
		t.Error("record of an agent that could not attach yet: got one, want none")
	}
	l = recoverTerm(t, store, 2, 1)
	l.storeReachable = func() bool { return false }
	l.record(t, bootclock.Now().Add(time.Minute))
	if store.holds(absencePrefix + "gone") {
		t.Error("record while the store does not answer: got one, want none")
	}
}
