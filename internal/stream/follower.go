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

// State is the state that a Follower derives from a stream. Its methods must depend
// only on their arguments and on earlier calls, so that all processes derive the
// same state.
type State interface {
	// Apply applies one entry. All entries of a record have the offset of the
	// record. An error means that the entry is malformed and had no effect.
	Apply(offset units.Offset, entry []byte) error
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one; nil is the empty state.
	// After an error the state is empty.
	Restore(encoded []byte) error
}

const (
	defaultReadWait    = 250 * time.Millisecond
	defaultReadTimeout = 2 * time.Second
	readPause          = 50 * time.Millisecond
	maxReadPause       = time.Second
)

// Follower applies the records of one stream to a state. Set the exported fields
// before calling Run. The methods are safe for concurrent use.
type Follower[S State] struct {
	Log         logservice.Service
	Stream      string
	State       S             // owned by the Follower; read it through View
	Decode      Decoder       // nil means DecodeEnvelope
	ReadWait    time.Duration // how long a read at the tail waits for new records
	ReadTimeout time.Duration // added to ReadWait; a read without a reply is canceled after both
	// OnMalformed is called, with the state locked, for each malformed record or
	// entry. It may be nil.
	OnMalformed func(offset units.Offset, err error)

	mu                sync.RWMutex
	next              units.Offset // all records below it have been applied
	lastRecords       writerTable
	loaded            bool
	incomplete        bool          // records expired before a snapshot covered them
	tailReadAt        time.Time     // start of the last read that reached the tail
	first             units.Offset  // first retained offset, as of the last read
	tail              units.Offset  // tail, as of the last load
	changed           chan struct{} // closed on the next change
	latestSnapshot    snapshotInfo
	unrestorable      []units.Offset // offsets of snapshots that Restore rejected; accessed only by Run
	snapshotWaitStart time.Time      // when a reload first found no snapshot; zero when not waiting
	stats             FollowerStats
}

// FollowerStats holds the counters of a Follower.
type FollowerStats struct {
	Records, Entries, Duplicates, Malformed int64
	Loads, Snapshots, ReadErrors            int64
	LoadSeconds                             float64 // of the last load
	SnapshotBytes                           int     // of the last snapshot loaded
}

// snapshotInfo describes the newest complete snapshot.
type snapshotInfo struct {
	offset     units.Offset        // the snapshot covers all records below it
	observedAt time.Time           // when this process read or loaded it; zero when there is none
	ageUnknown bool                // the snapshot was in the log before the last load
	entries    int64               // entries applied since
	parts      map[snapshotKey]int // number of parts read of each later snapshot
}

// Run loads the state and applies new records until ctx ends.
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
		klog.ErrorS(err, "read of the log stream failed; will try again", "stream", f.Stream)
	}
}

// readNext reads once and applies the records. When the record at the next offset
// has expired, the state is loaded again.
func (f *Follower[S]) readNext(ctx context.Context) error {
	sent := time.Now()
	batch, err := f.read(ctx, f.Applied(), orDefault(f.ReadWait, defaultReadWait))
	if fault.Is(err, logservice.Expired) {
		klog.InfoS("unread records of the log stream have expired; loading its state again", "stream", f.Stream, "applied", f.Applied(), "first", batch.First)
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

// applyBatch applies the records of a batch that was requested at the time sent.
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
		// The log has lost records that were applied, so its tail does not prove
		// that the state is current.
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

// skip counts a malformed record or entry. Only the first is logged.
func (f *Follower[S]) skip(offset units.Offset, err error) {
	if f.stats.Malformed++; f.stats.Malformed == 1 {
		klog.ErrorS(err, "skipped a malformed record of the log stream; later ones are not logged", "stream", f.Stream, "offset", offset)
	}
	if f.OnMalformed != nil {
		f.OnMalformed(offset, err)
	}
}

// notifyChanged closes the channel that Changed has returned.
func (f *Follower[S]) notifyChanged() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Changed returns a channel that is closed when records are applied after the call.
// To miss no change, call it before reading the state.
func (f *Follower[S]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Applied returns the offset below which all records have been applied. It is 0
// until the state has been loaded.
func (f *Follower[S]) Applied() units.Offset {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.next
}

// Wait waits until the record at offset has been applied.
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

// Staleness returns the time between now and the last read that reached the tail.
// It is counted from when the read was sent, because the state may lack any record
// that was appended later. Before the first such read it is the longest duration.
func (f *Follower[S]) Staleness(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.tailReadAt.IsZero() {
		return math.MaxInt64
	}
	return max(0, now.Sub(f.tailReadAt))
}

// View calls fn with the state locked against changes. fn must not keep or modify
// the state, and must not call a method of the Follower, which would deadlock.
func (f *Follower[S]) View(fn func(S)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.State)
}

// Incomplete reports whether records expired before a snapshot covered them, so
// that the state of a process that started earlier may be more complete. It is
// true until a snapshot has been loaded.
func (f *Follower[S]) Incomplete() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.incomplete
}

// Stats returns the current counters.
func (f *Follower[S]) Stats() FollowerStats {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.stats
}
