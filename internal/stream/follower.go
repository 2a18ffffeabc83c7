package stream

import (
	"context"
	"math"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// State is what a Follower folds a stream into. Its methods depend on nothing
// but their arguments and earlier calls, so that all processes agree.
type State interface {
	// Apply folds one entry; entries of one record share its offset. An error
	// means that the entry is malformed and had no effect.
	Apply(offset units.Offset, entry []byte) error
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a decoded one; nil means the empty state.
	// After an error the state is empty.
	Restore(encoded []byte) error
}

const (
	defaultReadWait    = 250 * time.Millisecond
	defaultReadTimeout = 2 * time.Second
	readPause          = 50 * time.Millisecond
	maxReadPause       = time.Second
)

// Follower folds the records of one stream into a state. Exported fields are
// set before Run; the methods may be called from any goroutine.
type Follower[S State] struct {
	Log         logservice.Service
	Stream      string
	State       S             // owned by the Follower; use View
	Decode      Decoder       // nil means DecodeEnvelope
	ReadWait    time.Duration // how long a read waits at the tail
	ReadTimeout time.Duration // in addition to ReadWait, until a silent read is given up
	// OnMalformed is told of each record or entry that is skipped; may be nil.
	// It is called with the state locked.
	OnMalformed func(offset units.Offset, err error)

	mu                sync.RWMutex
	next              units.Offset // every record below it is applied
	lastRecords       lastRecords
	loaded            bool
	incomplete        bool          // records were lost to retention before any snapshot
	tailReadAt        time.Time     // start of the last read that reached the tail
	first             units.Offset  // first retained offset at the last read
	tail              units.Offset  // at the last load
	changed           chan struct{} // closed on the next change
	latestSnapshot    snapshotInfo
	unrestorable      []units.Offset // snapshots that the state could not restore; used by Run alone
	snapshotWaitStart time.Time      // since when a reload has found no snapshot
	stats             FollowerStats
}

// FollowerStats counts what a Follower has done.
type FollowerStats struct {
	Records, Entries, Duplicates, Malformed int64
	Loads, Snapshots, ReadErrors            int64
	LoadSeconds                             float64 // of the last load
	SnapshotBytes                           int     // of the last snapshot loaded
}

// snapshotMark is what a Follower knows of the newest complete snapshot.
type snapshotInfo struct {
	offset     units.Offset // the state holds every record below it
	observedAt time.Time    // when this process saw or loaded it; zero when there is none
	ageUnknown bool         // in the log before the last load, so its age is unknown
	entries    int64        // applied since
	parts      map[snapshotKey]int
}

// Run follows the stream until ctx ends.
func (f *Follower[S]) Run(ctx context.Context) error {
	pause := backoff{first: readPause, limit: maxReadPause}
	for ctx.Err() == nil {
		var err error
		if f.isLoaded() {
			err = f.readNext(ctx)
		} else {
			err = f.load(ctx)
		}
		if err == nil {
			if pause.failures > 0 {
				klog.InfoS("log stream is readable again", "stream", f.Stream)
			}
			pause.reset()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.countReadError(pause.failures == 0, err)
		pause.wait(ctx)
	}
	return nil
}

func (f *Follower[S]) isLoaded() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.loaded
}

func (f *Follower[S]) countReadError(first bool, err error) {
	f.mu.Lock()
	f.stats.ReadErrors++
	f.mu.Unlock()
	if first {
		klog.ErrorS(err, "log stream is not readable", "stream", f.Stream)
	}
}

// step reads once and applies what it returns. When retention has passed the
// next offset, the state is loaded again.
func (f *Follower[S]) readNext(ctx context.Context) error {
	sent := time.Now()
	batch, err := f.read(ctx, f.Applied(), orDefault(f.ReadWait, defaultReadWait))
	if fault.Is(err, logservice.Expired) {
		klog.InfoS("retention has passed the reader", "stream", f.Stream, "applied", f.Applied(), "first", batch.First)
		f.mu.Lock()
		f.loaded = false
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	return f.applyBatch(batch, sent)
}

func (f *Follower[S]) read(ctx context.Context, from units.Offset, wait time.Duration) (logservice.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+orDefault(f.ReadTimeout, defaultReadTimeout))
	defer cancel()
	return f.Log.Read(ctx, f.Stream, from, wait)
}

// apply folds the records of a batch.
func (f *Follower[S]) applyBatch(batch logservice.Batch, sent time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range batch.Records {
		if r.Offset != f.next {
			return newError("read "+f.Stream, Unavailable, "record has offset %d, want %d", r.Offset, f.next)
		}
		f.applyRecord(r)
		f.next++
		if !f.loaded {
			break
		}
	}
	f.first = batch.First
	switch {
	case batch.Next < f.next:
		// The log has lost records that were applied; nothing at its tail is evidence.
		return newError("read "+f.Stream, Unavailable, "tail %d is below the applied offset %d", batch.Next, f.next)
	case batch.Next == f.next:
		f.tailReadAt = sent
	}
	if len(batch.Records) > 0 {
		f.notifyChanged()
	}
	return nil
}

func (f *Follower[S]) applyRecord(r logservice.Record) {
	f.stats.Records++
	record, err := f.decode(r.Payload)
	if err != nil {
		f.skip(r.Offset, err)
		return
	}
	if !f.lastRecords.accept(record.Writer, record.Sequence, r.Offset) {
		f.stats.Duplicates++
		return
	}
	if record.Snapshot != nil {
		f.recordSnapshotPart(record, r.Offset)
		return
	}
	for _, entry := range record.Entries {
		if err := f.State.Apply(r.Offset, entry); err != nil {
			f.skip(r.Offset, err)
			continue
		}
		f.stats.Entries++
		f.latestSnapshot.entries++
	}
}

func (f *Follower[S]) decode(payload []byte) (Record, error) {
	if f.Decode != nil {
		return f.Decode(payload)
	}
	return DecodeEnvelope(payload)
}

// skip counts a malformed record or entry; only the first is logged.
func (f *Follower[S]) skip(offset units.Offset, err error) {
	if f.stats.Malformed++; f.stats.Malformed == 1 {
		klog.ErrorS(err, "skipped a malformed record", "stream", f.Stream, "offset", offset)
	}
	if f.OnMalformed != nil {
		f.OnMalformed(offset, err)
	}
}

// notify wakes everyone who waits for a change.
func (f *Follower[S]) notifyChanged() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Changed returns a channel that is closed when records have been applied since
// the call. Take it before looking at the state.
func (f *Follower[S]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Applied returns the offset below which every record is in the state. It is 0
// until the state has been loaded.
func (f *Follower[S]) Applied() units.Offset {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.next
}

// Wait returns when the record at offset is in the state.
func (f *Follower[S]) Wait(ctx context.Context, offset units.Offset) error {
	for {
		changed := f.Changed()
		if f.Applied() > offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap("wait for offset", Unavailable, ctx.Err())
		}
	}
}

// Staleness returns how long ago the state was known to hold everything up to
// the tail: the age at now of the last read that reached it, counted from when
// that read was sent.
func (f *Follower[S]) Staleness(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.tailReadAt.IsZero() {
		return math.MaxInt64
	}
	return max(0, now.Sub(f.tailReadAt))
}

// View calls see with the state locked against changes. see must neither keep
// nor modify it, nor call a method of the Follower, which would deadlock.
func (f *Follower[S]) View(see func(S)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	see(f.State)
}

// Incomplete reports whether records were lost to retention before any snapshot
// held them, so that processes that started earlier may know more. It ends with
// the first snapshot.
func (f *Follower[S]) Incomplete() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.incomplete
}

// Stats returns the counts so far.
func (f *Follower[S]) Stats() FollowerStats {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.stats
}
