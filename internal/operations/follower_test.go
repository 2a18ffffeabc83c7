package operations

import (
	"context"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// scriptedStore returns the given batches, one per read, and then ends the test's
// context. observe is called before each read.
type scriptedStore struct {
	durable.Store
	batches []durable.Batch
	observe func()
	cancel  context.CancelFunc
}

func (s *scriptedStore) ReadSnapshot(context.Context, durable.Topic) (durable.Snapshot, error) {
	return durable.Snapshot{}, nil
}

func (s *scriptedStore) Read(ctx context.Context, _ durable.Topic, _ bool, _ units.Offset, _ time.Duration) (durable.Batch, error) {
	s.observe()
	if len(s.batches) == 0 {
		s.cancel()
		return durable.Batch{}, fault.New("read", durable.Unavailable, "script has ended")
	}
	batch := s.batches[0]
	s.batches = s.batches[1:]
	time.Sleep(time.Millisecond) // so that the clock tells the reads apart
	return batch, nil
}

// unchangedFormat ignores all records.
type unchangedFormat struct{}

func (unchangedFormat) Apply(state State, _ string, _ []byte) (State, error) { return state, nil }
func (unchangedFormat) Topic() string                                        { return "op" }

// A read that stops before the end of the topic does not show that the state is complete:
// a start that relied on it could be one that a later record forbids.
func TestPartialReadDoesNotCompleteState(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	record := []durable.Record{{Key: "config", Value: []byte("x")}}
	store := &scriptedStore{cancel: cancel, batches: []durable.Batch{
		{Records: record, Next: 1, End: 3}, {Records: record, Next: 2, End: 3}, {Records: record, Next: 3, End: 3}, {Next: 3, End: 3},
	}}
	f := &Follower{Store: store, Format: unchangedFormat{}}
	advanced := []bool{}
	last := int64(0)
	store.observe = func() {
		at, _ := f.CompleteUntil()
		advanced = append(advanced, int64(at) > last)
		last = int64(at)
	}
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	want := []bool{true, false, false, true, true} // after the snapshot and after each read
	if len(advanced) != len(want) {
		t.Fatalf("observations: got %v, want %v", advanced, want)
	}
	for i := range want {
		if advanced[i] != want[i] {
			t.Errorf("before read %d: got completeUntil advanced %t, want %t", i, advanced[i], want[i])
		}
	}
}

// slowStore has no records and takes answer for each read, beside the wait.
type slowStore struct {
	durable.Store
	answer time.Duration
}

func (s *slowStore) ReadSnapshot(context.Context, durable.Topic) (durable.Snapshot, error) {
	return durable.Snapshot{}, nil
}

func (s *slowStore) Read(ctx context.Context, _ durable.Topic, _ bool, from units.Offset, wait time.Duration) (durable.Batch, error) {
	select {
	case <-ctx.Done():
		return durable.Batch{}, ctx.Err()
	case <-time.After(wait + s.answer):
		return durable.Batch{Next: from, End: from}, nil
	}
}

// Guards against starts that stop while the store is slow: they need a state that was complete
// at most 2.5 s ago.
func TestStateStaysRecentWhileStoreIsSlow(t *testing.T) {
	const limit = 2500 * time.Millisecond
	for _, answer := range []time.Duration{4 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
		t.Run(answer.String(), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			f := &Follower{Store: &slowStore{answer: answer}, Format: unchangedFormat{}}
			go func() { _ = f.Run(ctx) }() // ends with ctx
			time.Sleep(50 * time.Millisecond)
			for ctx.Err() == nil {
				at, ok := f.CompleteUntil()
				if age := bootclock.Now().Sub(at); !ok || age >= limit {
					t.Fatalf("got a state that was complete %v ago, want less than %v", age, limit)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}
