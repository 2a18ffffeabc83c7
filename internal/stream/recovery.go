package stream

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	// scanStepRecords is the number of records by which the search for a snapshot
	// moves back at a time.
	scanStepRecords = 512
	// maxSnapshotBytes bounds the size of a snapshot that a reader collects.
	maxSnapshotBytes = 256 << 20
	// maxPartialSnapshots bounds the snapshots of which parts are collected at a time.
	maxPartialSnapshots = 8
	// maxReplayRecords bounds the records that a reload keeps in memory.
	maxReplayRecords = 1 << 17
	// snapshotTimeout is how long a Follower whose next record has expired waits
	// for a snapshot before it continues with the records that the log still retains.
	snapshotTimeout = time.Minute
)

// snapshotKey identifies a snapshot. When a writer appends a part again after a
// lost reply, both copies have the same key and part number.
type snapshotKey struct {
	writer string
	offset uint64
	parts  uint32
}

// partialSnapshot collects the parts of one snapshot.
type partialSnapshot struct {
	parts map[uint32][]byte
	size  int
}

// add stores a part. It returns the encoded snapshot when all parts are present, and
// nil before.
func (c *partialSnapshot) add(s *wire.Snapshot) []byte {
	if _, exists := c.parts[s.GetPart()]; exists || c.size+len(s.GetState()) > maxSnapshotBytes {
		return nil
	}
	c.parts[s.GetPart()] = s.GetState()
	c.size += len(s.GetState())
	if len(c.parts) < int(s.GetParts()) {
		return nil
	}
	encoded := make([]byte, 0, c.size)
	for n := range s.GetParts() {
		encoded = append(encoded, c.parts[n]...)
	}
	return encoded
}

// checkpoint is the position and state from which records are applied: a decoded
// snapshot, or the empty state at the first retained record.
type checkpoint struct {
	state       []byte
	next        units.Offset
	lastRecords writerTable
	size        int // of the encoded snapshot; 0 when there is none
}

// load replaces the state with the newest snapshot, or with the empty state at the
// first retained offset when there is no snapshot. If the current state is ahead of
// the snapshot, the records between the two are applied before the new state becomes
// visible, so that Applied never decreases.
func (f *Follower[S]) load(ctx context.Context) error {
	started := time.Now()
	bounds, err := f.read(ctx, 0, 0)
	if err != nil && !fault.Is(err, logservice.Expired) {
		return err
	}
	base, err := f.newestSnapshot(ctx, bounds.First, bounds.Next)
	if err != nil {
		return err
	}
	applied := f.Applied()
	if base.size == 0 && applied > 0 && f.shouldAwaitSnapshot(started) {
		return newError("reload "+f.Stream, Incomplete, "no snapshot between offset %d and the tail %d", bounds.First, bounds.Next)
	}
	replayed, err := f.readRange(ctx, base.next, applied)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.restore(base, bounds.First); err != nil {
		return err
	}
	f.tail = bounds.Next
	for _, r := range replayed {
		f.applyRecord(r)
		f.next++
	}
	f.loaded, f.first, f.snapshotWaitStart = true, bounds.First, time.Time{}
	f.stats.Loads++
	f.stats.SnapshotBytes = base.size
	f.stats.LoadSeconds = time.Since(started).Seconds()
	f.notifyChanged()
	klog.InfoS("loaded log stream", "stream", f.Stream, "offset", f.next, "tail", bounds.Next,
		"snapshotBytes", base.size, "seconds", f.stats.LoadSeconds, "incomplete", f.incomplete)
	return nil
}

// shouldAwaitSnapshot reports whether a Follower whose next record has expired should
// keep waiting for a process with a more complete state to append a snapshot.
func (f *Follower[S]) shouldAwaitSnapshot(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshotWaitStart.IsZero() {
		f.snapshotWaitStart = now
	}
	return now.Sub(f.snapshotWaitStart) < snapshotTimeout
}

// readRange reads the records from low up to, but not including, high.
func (f *Follower[S]) readRange(ctx context.Context, low, high units.Offset) ([]logservice.Record, error) {
	var records []logservice.Record
	if high > low+maxReplayRecords {
		return nil, newError("reload "+f.Stream, Incomplete, "snapshot at offset %d is too far below the applied offset %d", low, high)
	}
	for low < high {
		batch, err := f.read(ctx, low, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Records) == 0 {
			return nil, newError("reload "+f.Stream, Unavailable, "no record at offset %d", low)
		}
		kept := batch.Records[:min(len(batch.Records), int(high-low))]
		records = append(records, kept...)
		low += units.Offset(len(kept))
	}
	return records, nil
}

// restore replaces the state, the next offset and the last record of each writer.
// The next load ignores a snapshot that the state cannot restore.
func (f *Follower[S]) restore(base checkpoint, first units.Offset) error {
	var previous []byte
	if f.next > 0 {
		var err error
		if previous, err = f.State.Snapshot(); err != nil {
			return fault.Wrap("reload "+f.Stream, Incomplete, err)
		}
	}
	if err := f.State.Restore(base.state); err != nil {
		f.unrestorable = append(f.unrestorable, base.next)
		_ = f.State.Restore(previous) // cannot fail: the state encoded it itself
		return fault.Wrap("restore snapshot of "+f.Stream, Incomplete, err)
	}
	f.unrestorable = nil
	f.next, f.lastRecords = base.next, base.lastRecords
	f.latestSnapshot = snapshotInfo{offset: base.next}
	if base.size > 0 {
		f.latestSnapshot.observedAt, f.latestSnapshot.ageUnknown = time.Now(), true
	}
	// Streams start at offset 0 or 1, so a higher first offset without a snapshot
	// means that records have expired.
	f.incomplete = base.size == 0 && first > 1
	return nil
}

// newestSnapshot searches backwards from the tail for the newest complete snapshot
// that is followed by retained records without a gap. If there is none, it returns
// the empty state at the first record. It reads each retained record at most once.
func (f *Follower[S]) newestSnapshot(ctx context.Context, first, tail units.Offset) (checkpoint, error) {
	candidates := make(map[snapshotKey]*partialSnapshot)
	for high := tail; high > first; {
		low := first
		if high-first > scanStepRecords {
			low = high - scanStepRecords
		}
		found, err := f.scan(ctx, low, high, first, candidates)
		if err != nil || found.size > 0 {
			return found, err
		}
		high = low
	}
	return checkpoint{next: first, lastRecords: writerTable{}}, nil
}

// scan reads the records from low up to, but not including, high and adds their
// snapshot parts to candidates. It returns the newest snapshot that this completes.
func (f *Follower[S]) scan(ctx context.Context, low, high, first units.Offset, candidates map[snapshotKey]*partialSnapshot) (newest checkpoint, err error) {
	for low < high {
		batch, err := f.read(ctx, low, 0)
		if fault.Is(err, logservice.Expired) && batch.First > low {
			low = batch.First
			continue
		}
		if err != nil {
			return checkpoint{}, err
		}
		if len(batch.Records) == 0 {
			return checkpoint{}, newError("scan "+f.Stream, Unavailable, "no record at offset %d, although the scan ends at %d", low, high)
		}
		for _, r := range batch.Records {
			if r.Offset >= high {
				break
			}
			if found, ok := f.collectPart(r, first, candidates); ok && found.next >= newest.next {
				newest = found
			}
		}
		low += units.Offset(len(batch.Records))
	}
	return newest, nil
}

// collectPart adds a record that is a snapshot part to its snapshot in candidates,
// and returns the checkpoint if the snapshot is complete.
func (f *Follower[S]) collectPart(r logservice.Record, first units.Offset, candidates map[snapshotKey]*partialSnapshot) (checkpoint, bool) {
	record, err := f.decode(r.Payload)
	if err != nil || record.Snapshot == nil {
		return checkpoint{}, false
	}
	// After a snapshot below the first retained offset, the records in between are
	// missing. A snapshot cannot cover records that were appended after it.
	offset := units.Offset(record.Snapshot.GetOffset())
	if offset < first || offset > r.Offset || slices.Contains(f.unrestorable, offset) {
		return checkpoint{}, false
	}
	key := snapshotKeyOf(record)
	c := candidates[key]
	if c == nil {
		if len(candidates) >= maxPartialSnapshots {
			removeOldestPartial(candidates)
		}
		c = &partialSnapshot{parts: make(map[uint32][]byte)}
		candidates[key] = c
	}
	encoded := c.add(record.Snapshot)
	if encoded == nil {
		return checkpoint{}, false
	}
	found := checkpoint{size: len(encoded)}
	found.state, found.next, found.lastRecords, err = decodeCheckpoint(encoded)
	return found, err == nil && found.next == offset
}

func snapshotKeyOf(r Record) snapshotKey {
	return snapshotKey{r.Writer, r.Snapshot.GetOffset(), r.Snapshot.GetParts()}
}

// removeOldestPartial removes the snapshot with the lowest offset.
func removeOldestPartial(candidates map[snapshotKey]*partialSnapshot) {
	var oldest snapshotKey
	found := false
	for key := range candidates {
		if !found || key.offset < oldest.offset {
			oldest, found = key, true
		}
	}
	delete(candidates, oldest)
}

// recordSnapshotPart counts the parts of a snapshot as they are read. A complete
// snapshot restarts the interval until the next one, and a Follower with an
// incomplete state loads it. If the snapshot was in the log before the last load, its
// age is unknown.
func (f *Follower[S]) recordSnapshotPart(r Record, at units.Offset) {
	key := snapshotKeyOf(r)
	if f.latestSnapshot.parts == nil || len(f.latestSnapshot.parts) >= maxPartialSnapshots {
		f.latestSnapshot.parts = make(map[snapshotKey]int)
	}
	f.latestSnapshot.parts[key]++
	if f.latestSnapshot.parts[key] < int(key.parts) {
		return
	}
	f.stats.Snapshots++
	f.latestSnapshot = snapshotInfo{offset: units.Offset(key.offset), observedAt: time.Now(), ageUnknown: at < f.tail}
	if f.incomplete && f.latestSnapshot.offset >= f.first {
		f.loaded = false
	}
}
