package operations

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// maxReadWait limits the wait of a long poll. Each reply confirms that State was complete
	// when the poll was sent, so State is at most as old as two waits and two answer times.
	// That is well below the age at which starts stop.
	maxReadWait = 600 * time.Millisecond
	// minReadWait limits the reads while the store answers slowly.
	minReadWait = 50 * time.Millisecond
	// retryDelay is the maximum delay after a failed read.
	retryDelay = 150 * time.Millisecond
)

// Follower reads the operators' records and provides the state that results from them.
// Set the exported fields before calling Run.
type Follower struct {
	Store  durable.Store
	Format RecordFormat

	state         atomic.Pointer[State]
	onChange      atomic.Pointer[func(State)]
	completeUntil atomic.Int64 // bootclock.Instant up to which state is complete; 0 before the first read
}

// State returns the newest state.
func (f *Follower) State() State {
	if s := f.state.Load(); s != nil {
		return *s
	}
	return State{}
}

// SetOnChange sets the function that is called with the state after each change, in
// the goroutine of Run. It replaces the previous one.
func (f *Follower) SetOnChange(fn func(State)) { f.onChange.Store(&fn) }

// CompleteUntil returns the instant up to which State reflects all records, and false
// before the first read.
func (f *Follower) CompleteUntil() (bootclock.Instant, bool) {
	at := bootclock.Instant(f.completeUntil.Load())
	return at, at != 0
}

// Run loads the state and applies new records until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		from, err := f.load(ctx)
		if err == nil {
			err = f.follow(ctx, from)
		}
		if ctx.Err() != nil {
			break
		}
		klog.InfoS("read of the operators' records failed; loading them again", "err", err)
		pause.Jittered(ctx, retryDelay)
	}
	return nil
}

// load replaces the state with the result of the newest record of each key. It
// returns the offset at which follow starts.
func (f *Follower) load(ctx context.Context) (units.Offset, error) {
	sent := bootclock.Now()
	snapshot, err := f.Store.ReadSnapshot(ctx, durable.Topic(f.Format.Topic()))
	if err != nil {
		return 0, err
	}
	state := State{}
	for _, item := range snapshot.Items {
		state = f.apply(state, item.Key, item.Value)
	}
	f.publish(state)
	f.completeUntil.Store(int64(sent))
	return snapshot.From, nil
}

// follow applies new records until ctx ends or a read fails for good.
func (f *Follower) follow(ctx context.Context, from units.Offset) error {
	answerTime := time.Duration(0) // of the last read, without its wait
	for ctx.Err() == nil {
		sent := bootclock.Now()
		wait := max(maxReadWait-answerTime, minReadWait)
		batch, err := f.Store.Read(ctx, durable.Topic(f.Format.Topic()), true, from, wait)
		if err == nil && len(batch.Records) == 0 {
			answerTime = max(bootclock.Now().Sub(sent)-wait, 0)
		}
		if fault.Is(err, durable.Unavailable) {
			klog.V(2).InfoS("read of the operators' records failed; will try again", "err", err)
			pause.Jittered(ctx, retryDelay)
			continue
		}
		if err != nil {
			return err
		}
		state := f.State()
		for _, r := range batch.Records {
			state = f.apply(state, r.Key, r.Value)
		}
		if len(batch.Records) > 0 {
			f.publish(state)
		}
		if batch.Next >= batch.End {
			f.completeUntil.Store(int64(sent))
		}
		from = batch.Next
	}
	return ctx.Err()
}

// apply returns the state after one record. It skips invalid records and older
// configurations.
func (f *Follower) apply(state State, key string, value []byte) State {
	next, err := f.Format.Apply(state, key, value)
	if err != nil {
		klog.ErrorS(err, "skipped an invalid record of the operators", "key", key)
		return state
	}
	if c := next.Configuration; c != nil && state.Configuration != nil && c.Version < state.Configuration.Version {
		klog.InfoS("skipped a configuration that is older than the one in force", "version", c.Version, "inForce", state.Configuration.Version)
		return state
	}
	return next
}

// publish makes state the current one and calls the function that SetOnChange has set.
func (f *Follower) publish(state State) {
	before := f.State()
	if c, old := state.Configuration, before.Configuration; c != nil && old != nil && c.Version < old.Version {
		state.Configuration = old // the version in force is never replaced by an older one
	}
	f.state.Store(&state)
	if state.Configuration != nil {
		klog.InfoS("operators' state is in force", "version", state.Configuration.Version,
			"routes", len(state.Configuration.Routes), "domainsOut", len(state.OutOfService))
	}
	if notify := f.onChange.Load(); notify != nil {
		(*notify)(state)
	}
}
