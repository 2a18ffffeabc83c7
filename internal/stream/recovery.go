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
	// scanWindow is how many records the search for a snapshot steps back at a time.
	scanStepRecords = 512
	// maxSnapshotBytes bounds what a reader collects of one snapshot.
	maxSnapshotBytes = 256 << 20
	// maxCandidates bounds the incomplete snapshots that are collected at a time.
	maxPartialSnapshots = 8
	// maxFetch bounds the records that a reload holds in memory.
	maxReplayRecords = 1 << 17
	// snapshotPatience is how long a Follower that retention has passed waits
	// for a snapshot before it goes on with what the log still holds.
	snapshotTimeout = time.Minute
)

// snapshotKey names one snapshot. Parts that a writer appended twice after a
// lost reply have the same key and part number.
type snapshotKey struct {
	writer string
	offset uint64
	parts  uint32
}

// candidate collects the parts of one snapshot.
type partialSnapshot struct {
	parts map[uint32][]byte
	size  int
}

// add keeps a part and returns the whole snapshot once every part is there.
func (c *partialSnapshot) add(s *wire.Snapshot) []byte {
	if _, known := c.parts[s.GetPart()]; known || c.size+len(s.GetState()) > maxSnapshotBytes {
		return nil
	}
	c.parts[s.GetPart()] = s.GetState()
	c.size += len(s.GetState())
	if len(c.parts) < int(s.GetParts()) {
		return nil
	}
	whole := make([]byte, 0, c.size)
	for n := range s.GetParts() {
		whole = append(whole, c.parts[n]...)
	}
	return whole
}

// checkpoint is a decoded snapshot, or the start of the retained records.
type checkpoint struct {
	state       []byte
	next        units.Offset
	lastRecords lastRecords
	size        int // encoded; 0 when there was no snapshot
}

// load replaces the state by the newest snapshot, or by the empty state at the
// first retained offset when there is no snapshot. A state that is already
// ahead of the snapshot is caught up before anyone sees it, so that no reader
// moves to a lower offset.
func (f *Follower[S]) load(ctx context.Context) error {
	started := time.Now()
	ends, err := f.read(ctx, 0, 0)
	if err != nil && !fault.Is(err, logservice.Expired) {
		return err
	}
	from, err := f.newestSnapshot(ctx, ends.First, ends.Next)
	if err != nil {
		return err
	}
	applied := f.Applied()
	if from.size == 0 && applied > 0 && f.shouldAwaitSnapshot(started) {
		return newError("reload "+f.Stream, Incomplete, "no snapshot between %d and the tail %d", ends.First, ends.Next)
	}
	again, err := f.readRange(ctx, from.next, applied)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.restore(from, ends.First); err != nil {
		return err
	}
	f.tail = ends.Next
	for _, r := range again {
		f.applyRecord(r)
		f.next++
	}
	f.loaded, f.first, f.snapshotWaitStart = true, ends.First, time.Time{}
	f.stats.Loads++
	f.stats.SnapshotBytes = from.size
	f.stats.LoadSeconds = time.Since(started).Seconds()
	f.notifyChanged()
	klog.InfoS("loaded log stream", "stream", f.Stream, "offset", f.next, "tail", ends.Next,
		"snapshotBytes", from.size, "seconds", f.stats.LoadSeconds, "incomplete", f.incomplete)
	return nil
}

// awaitSnapshot reports whether a Follower that retention has passed should
// still wait for a process that knows more to append a snapshot.
func (f *Follower[S]) shouldAwaitSnapshot(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshotWaitStart.IsZero() {
		f.snapshotWaitStart = now
	}
	return now.Sub(f.snapshotWaitStart) < snapshotTimeout
}

// fetch reads the records from low up to high.
func (f *Follower[S]) readRange(ctx context.Context, low, high units.Offset) ([]logservice.Record, error) {
	var records []logservice.Record
	if high > low+maxReplayRecords {
		return nil, newError("reload "+f.Stream, Incomplete, "snapshot at %d is too far behind %d", low, high)
	}
	for low < high {
		batch, err := f.read(ctx, low, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Records) == 0 {
			return nil, newError("reload "+f.Stream, Unavailable, "no record at %d", low)
		}
		kept := batch.Records[:min(len(batch.Records), int(high-low))]
		records = append(records, kept...)
		low += units.Offset(len(kept))
	}
	return records, nil
}

// restore sets state, position and memory of writers. A snapshot that the state
// cannot restore is passed over by the next attempt.
func (f *Follower[S]) restore(from checkpoint, first units.Offset) error {
	var previous []byte
	if f.next > 0 {
		var err error
		if previous, err = f.State.Snapshot(); err != nil {
			return fault.Wrap("reload "+f.Stream, Incomplete, err)
		}
	}
	if err := f.State.Restore(from.state); err != nil {
		f.unrestorable = append(f.unrestorable, from.next)
		_ = f.State.Restore(previous) // it encoded this itself
		return fault.Wrap("restore snapshot of "+f.Stream, Incomplete, err)
	}
	f.unrestorable = nil
	f.next, f.lastRecords = from.next, from.lastRecords
	f.latestSnapshot = snapshotInfo{offset: from.next}
	if from.size > 0 {
		f.latestSnapshot.observedAt, f.latestSnapshot.ageUnknown = time.Now(), true
	}
	// Streams start at offset 0 or 1, so a later first offset without a snapshot
	// means that records are gone.
	f.incomplete = from.size == 0 && first > 1
	return nil
}

// newestSnapshot looks from the tail backwards for the newest complete snapshot
// that the retained records continue, and otherwise returns the empty state at
// the first record. It reads each retained record at most once.
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
	return checkpoint{next: first, lastRecords: lastRecords{}}, nil
}

// scan reads the records from low up to high and adds snapshot parts to
// candidates. It returns the newest snapshot that became complete.
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
			return checkpoint{}, newError("scan "+f.Stream, Unavailable, "no record at %d below the tail %d", low, high)
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

// collect adds the record to its candidate if it is a snapshot part, and returns
// the checkpoint that this completes.
func (f *Follower[S]) collectPart(r logservice.Record, first units.Offset, candidates map[snapshotKey]*partialSnapshot) (checkpoint, bool) {
	record, err := f.decode(r.Payload)
	if err != nil || record.Snapshot == nil {
		return checkpoint{}, false
	}
	// A snapshot below the first retained offset misses the records in between,
	// and none can hold records that come after it.
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
	whole := c.add(record.Snapshot)
	if whole == nil {
		return checkpoint{}, false
	}
	found := checkpoint{size: len(whole)}
	found.state, found.next, found.lastRecords, err = decodeCheckpoint(whole)
	return found, err == nil && found.next == offset
}

func snapshotKeyOf(r Record) snapshotKey {
	return snapshotKey{r.Writer, r.Snapshot.GetOffset(), r.Snapshot.GetParts()}
}

// dropOldest forgets the candidate with the lowest offset.
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

// noteSnapshot counts the parts of a snapshot that passes by. A complete one
// restarts the interval until the next; a Follower that lost records loads it.
// The age of one that was in the log before the last load is unknown.
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
