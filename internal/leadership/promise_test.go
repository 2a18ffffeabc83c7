package leadership_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// unreachableAfter is how long a store has to be silent until a process promises.
	unreachableAfter = 900 * time.Millisecond
	// quick bounds a claim that waits for nothing.
	quick = time.Second
)

// heldStore answers no call while it is held, and keeps the first append for the test,
// which can execute it later.
type heldStore struct {
	durable.Store
	mu       sync.Mutex
	held     bool // no call is answered
	holdNext bool // the next append is not executed, and the store is held from then on
	appended chan durable.AppendRequest
}

func (s *heldStore) Append(ctx context.Context, in durable.AppendRequest) (units.Offset, error) {
	s.mu.Lock()
	first := s.holdNext
	s.held = s.held || first
	s.holdNext = false
	held := s.held
	s.mu.Unlock()
	if first {
		s.appended <- in
	}
	if held {
		return 0, fault.New("append", durable.Unknown, "no reply")
	}
	return s.Store.Append(ctx, in)
}

func (s *heldStore) Read(ctx context.Context, t durable.Topic, keyed bool, from units.Offset, wait time.Duration) (durable.Batch, error) {
	if s.isHeld() {
		return durable.Batch{}, fault.New("read", durable.Unavailable, "no reply")
	}
	return s.Store.Read(ctx, t, keyed, from, wait)
}

func (s *heldStore) isHeld() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *heldStore) hold(held bool) {
	s.mu.Lock()
	s.held = held
	s.mu.Unlock()
}

// putRecord appends a record of the leadership as another process would.
func putRecord(log *metastore.Log, name string, term leadership.Term, released bool) {
	value, err := proto.Marshal(&wire.LeadershipRecord{Name: name, Address: name, Term: uint64(term), Released: released})
	if err != nil {
		panic(err)
	}
	log.Put(string(leadership.Topic), "", value)
}

func disconnected() bool { return false }

// wantNoTerm fails if the candidate leads within the duration.
func (c *candidate) wantNoTerm(t *testing.T, within time.Duration, why string) {
	t.Helper()
	begin := bootclock.Now()
	select {
	case term := <-c.terms:
		waited := bootclock.Now().Sub(begin)
		if waited < within {
			t.Fatalf("%s leads term %d after %v, want it to wait for %v: %s", c.Name, term, waited, within, why)
		}
		c.terms <- term // for wantTerm
	case <-time.After(within):
	}
}

// wantPromise requests a promise until the candidate gives it.
func (c *candidate) wantPromise(t *testing.T, term leadership.Term) {
	t.Helper()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if promised, _, _ := c.Promise(term); promised {
			return
		}
	}
	t.Fatalf("%s gives no promise", c.Name)
}

// A claim that the store executes late names its sender as the leader. The sender took
// the leadership for vacant then, although it had promised another leader not to claim.
func TestOwnLateClaimDoesNotBreakPromise(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	putRecord(log, "a", 1, false)
	store := &heldStore{holdNext: true, appended: make(chan durable.AppendRequest, 1)}
	b := start(t, log, "b", func(e *leadership.Elector) {
		store.Store, e.Store = e.Store, store
		e.Connected = disconnected
	})
	claim := <-store.appended
	b.wantPromise(t, 1)
	if _, err := store.Store.Append(context.Background(), claim); err != nil {
		t.Fatal(err)
	}
	store.hold(false)
	b.wantNoTerm(t, leadership.PromiseDuration-50*time.Millisecond, "it has promised not to claim")
	b.wantTerm(t, quick)
}

// A process that learns that the leader's process has ended may have promised another
// leader not to claim, for example if the leader is named by a claim that was executed late.
func TestEndOfLeaderDoesNotBreakPromise(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	putRecord(log, "c", 1, false)
	store := &heldStore{}
	b := start(t, log, "b", func(e *leadership.Elector) {
		store.Store, e.Store = e.Store, store
		e.Connected = disconnected
		e.LeaderExited = func(context.Context, leadership.Leader) bool { return !store.isHeld() }
		e.ClaimDelay = 200 * time.Millisecond
	})
	time.Sleep(100 * time.Millisecond)
	store.hold(true)
	b.wantPromise(t, 1)
	store.hold(false)
	b.wantNoTerm(t, leadership.PromiseDuration-50*time.Millisecond, "it has promised not to claim")
	b.wantTerm(t, quick)
}

// A promise may be given between the decision to claim and the call to the store, for
// example while the process waits for the answer of the leader's machine.
func TestPromiseGivenAfterDecisionPreventsClaim(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	putRecord(log, "c", 1, false)
	promised := make(chan bool, 64)
	var b *candidate
	ready := make(chan struct{})
	b = start(t, log, "b", func(e *leadership.Elector) {
		e.Connected = disconnected
		e.LeaderExited = func(context.Context, leadership.Leader) bool {
			<-ready
			time.Sleep(unreachableAfter)
			ok, _, _ := b.Promise(1)
			promised <- ok
			return true
		}
	})
	close(ready)
	if !<-promised {
		t.Fatal("no promise without a reply of the store for 900 ms")
	}
	b.wantNoTerm(t, leadership.PromiseDuration-50*time.Millisecond, "it has promised not to claim")
}

// A promise may be given while a claim has no reply yet. If the claim's term were led,
// two processes would lead.
func TestPromiseHoldsAgainstClaimInFlight(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	var b *candidate
	ready, promised := make(chan struct{}), make(chan bool, 1)
	b = start(t, log, "b", func(e *leadership.Elector) {
		e.Store = &promisingStore{Store: e.Store, ready: ready, elector: e, promised: promised}
		e.Connected = disconnected
	})
	close(ready)
	if !<-promised {
		t.Fatal("no promise while the claim has no reply for 900 ms")
	}
	b.wantNoTerm(t, leadership.PromiseDuration-50*time.Millisecond, "it has promised not to claim")
	if got := b.Leader().Term; got != 1 {
		t.Errorf("term of the last record: got %d, want 1, the claim that was given up", got)
	}
	if b.ConfirmOrRenounce(1) {
		t.Error("term 1: confirmed, want it renounced, so that others need not wait")
	}
	b.wantTerm(t, quick)
}

// promisingStore lets the elector promise while its first claim, which the store has
// executed, has no reply.
type promisingStore struct {
	durable.Store
	ready    chan struct{}
	elector  *leadership.Elector
	promised chan bool
	once     sync.Once
}

func (s *promisingStore) Append(ctx context.Context, in durable.AppendRequest) (units.Offset, error) {
	<-s.ready
	offset, err := s.Store.Append(ctx, in)
	s.once.Do(func() {
		time.Sleep(unreachableAfter)
		ok, _, _ := s.elector.Promise(0)
		s.promised <- ok
	})
	return offset, err
}

// A process answers requests for promises before its elector runs. At the first start of
// a deployment, Run forgot what had been promised.
func TestPromiseBeforeRunHolds(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	b := start(t, log, "b", func(e *leadership.Elector) {
		if promised, _, _ := e.Promise(1); !promised {
			t.Error("before Run: got no promise, want one")
		}
	})
	b.wantNoTerm(t, leadership.PromiseDuration-50*time.Millisecond, "it has promised not to claim")
	b.wantTerm(t, quick)
}

// The asker counts a promise from its request, on its own clock. With a faster clock than
// the asker's, the process that promised could claim before the asker's lease has ended.
func TestPromiseOutlastsLeaseDespiteClockDrift(t *testing.T) {
	t.Parallel()
	const fastest = leadership.PromiseDuration * 105 / 100
	b := start(t, metastore.NewLog(), "b", func(e *leadership.Elector) {
		if promised, _, _ := e.Promise(1); !promised {
			t.Error("before Run: got no promise, want one")
		}
	})
	b.wantNoTerm(t, fastest-20*time.Millisecond, "its clock may be 5% faster than the asker's")
	b.wantTerm(t, quick)
}

// A restarted process does not know what its earlier incarnation has promised. The claim
// of a process that has ended does not prove that no other leader relies on a promise:
// it may have been executed late and never been led. A renewal or a release does.
func TestRestartedProcessWaitsUnlessLastTermWasLed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		leader string
		led    bool
	}{
		{"own claim", "b", false},
		{"own renewal", "b", true},
		{"claim of another process", "c", false},
		{"renewal of another process", "c", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			log := metastore.NewLog()
			putRecord(log, "a", 1, false)
			putRecord(log, test.leader, 2, false)
			if test.led {
				putRecord(log, test.leader, 2, false)
			}
			b := start(t, log, "b", func(e *leadership.Elector) {
				e.FirstStart = false
				e.Connected = disconnected
				e.LeaderExited = func(_ context.Context, leader leadership.Leader) bool { return leader.Name == "c" }
			})
			if !test.led {
				b.wantNoTerm(t, leadership.PromiseDuration, "an earlier incarnation may have promised not to claim")
			}
			b.wantTerm(t, quick)
		})
	}
}

// Records may be deleted before a follower reads them. The last leader that it knows is
// then not the last one, whose lease is valid: the end of the former proves nothing.
func TestEndOfLeaderBeforeDeletedRecordsPermitsNoClaim(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	putRecord(log, "c", 1, false)
	store := &heldStore{}
	b := start(t, log, "b", func(e *leadership.Elector) {
		store.Store, e.Store = e.Store, store
		e.Connected = disconnected
		e.LeaderExited = func(context.Context, leadership.Leader) bool { return !store.isHeld() }
		e.ClaimDelay = 200 * time.Millisecond
	})
	time.Sleep(100 * time.Millisecond)
	store.hold(true)
	time.Sleep(800 * time.Millisecond) // a long poll that was in progress has ended
	putRecord(log, "a", 2, false)
	log.DeleteHistory()
	store.hold(false)
	b.wantNoTerm(t, 1700*time.Millisecond, "the lease of term 2 is valid")
	b.wantTerm(t, quick)
}

// A leader whose records were deleted cannot know whether it is the last leader. It must
// not release the leadership, or a third process would claim it from a later leader.
func TestLeaderWithDeletedRecordsReleasesNothing(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	a := start(t, log, "a", nil)
	term := a.wantTerm(t, 3*time.Second)
	a.storeConnection.Set(metastore.Fault{NoReply: true})
	time.Sleep(700 * time.Millisecond) // a renewal that was in progress has ended
	putRecord(log, "c", term+10, false)
	log.DeleteHistory()
	a.storeConnection.Set(metastore.Fault{})
	time.Sleep(quick)
	if value := log.LastValue(string(leadership.Topic)); value != nil {
		record := &wire.LeadershipRecord{}
		if err := proto.Unmarshal(value, record); err != nil {
			t.Fatal(err)
		}
		t.Errorf("record after the deletion: got %v, want none", record)
	}
}

// Only the last leader may release the leadership.
func TestReleaseOfEarlierTermIsIgnored(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	putRecord(log, "c", 1, false)
	b := start(t, log, "b", nil)
	time.Sleep(200 * time.Millisecond)
	putRecord(log, "d", 2, false)
	putRecord(log, "c", 1, true)
	b.wantNoTerm(t, 1700*time.Millisecond, "the lease of term 2 is valid")
	b.wantTerm(t, quick)
}

// A leader that has heard of a later term must not extend its lease any more, neither by
// promises nor by a renewal that was in flight.
func TestLeaseEndsForGoodWithLaterTerm(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name          string
		storeAnswers  bool
		givesPromises bool
	}{
		{"renewal in flight", true, false},
		{"promises", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := &observingStore{answers: test.storeAnswers}
			a := start(t, metastore.NewLog(), "a", func(e *leadership.Elector) {
				store.Store, store.elector = e.Store, e
				e.Store = store
				e.RequestPromises = func(context.Context, leadership.Term) (bootclock.Instant, bool) {
					return bootclock.Now().Add(leadership.PromiseDuration), test.givesPromises
				}
			})
			term := a.wantTerm(t, 3*time.Second)
			store.setObserve()
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if store.hasObserved() && a.Leads(term) {
					t.Fatalf("leads term %d after it has heard of a later one", term)
				}
			}
			if !store.hasObserved() {
				t.Fatal("no renewal was sent")
			}
		})
	}
}

// observingStore tells the elector of a later term during a renewal.
type observingStore struct {
	durable.Store
	elector  *leadership.Elector
	answers  bool // the store still answers the renewal and those after it
	mu       sync.Mutex
	observe  bool
	observed bool
}

func (s *observingStore) setObserve() {
	s.mu.Lock()
	s.observe = true
	s.mu.Unlock()
}

func (s *observingStore) hasObserved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observed
}

func (s *observingStore) Append(ctx context.Context, in durable.AppendRequest) (units.Offset, error) {
	s.mu.Lock()
	observe := s.observe
	s.mu.Unlock()
	if !observe {
		return s.Store.Append(ctx, in)
	}
	s.elector.ObserveTerm(1000)
	s.mu.Lock()
	s.observed = true
	s.mu.Unlock()
	if !s.answers {
		return 0, fault.New("append", durable.Unknown, "no reply")
	}
	return s.Store.Append(ctx, in)
}

// A leader trusts what its predecessor has recorded. The last leader that it knows is not
// its predecessor if records were deleted before it read them.
func TestPreviousTermIsUnknownAfterDeletedRecords(t *testing.T) {
	t.Parallel()
	log := metastore.NewLog()
	putRecord(log, "c", 1, false)
	store := &heldStore{}
	b := start(t, log, "b", func(e *leadership.Elector) { store.Store, e.Store = e.Store, store })
	time.Sleep(100 * time.Millisecond)
	store.hold(true)
	time.Sleep(800 * time.Millisecond) // a long poll that was in progress has ended
	putRecord(log, "a", 2, false)
	log.DeleteHistory()
	store.hold(false)
	b.wantTerm(t, 4*time.Second)
	if got := b.PreviousTerm(); got != 0 {
		t.Errorf("term before: got %d, want 0, unknown", got)
	}
}
