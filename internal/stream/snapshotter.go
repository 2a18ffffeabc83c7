package stream

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

const (
	defaultEntryInterval = 20000
	defaultPartBytes     = 256 << 10
	defaultCheckInterval = time.Second
	// maxSnapshotStaleness prevents a process that cannot read the log from
	// appending a snapshot of a stale state.
	maxSnapshotStaleness = 5 * time.Second
)

// Snapshotter appends snapshots of a Follower's state while IsOwner reports that
// this process is responsible for the stream. Two owners at the same time
// only append more snapshots than necessary.
type Snapshotter[S State] struct {
	Follower      *Follower[S]
	Writer        *Writer
	IsOwner       func() bool // nil means always
	EntryInterval int         // entries between snapshots
	// Retention is the retention time of the log. A new snapshot is due when the
	// newest one is half as old. With 0, age never makes a snapshot due, and a
	// stream without new entries loses its state.
	Retention     time.Duration
	PartBytes     int           // size of one part; below the record size limit of the log service
	CheckInterval time.Duration // time between checks whether a snapshot is due
}

// Run appends a snapshot whenever one is due, until ctx ends.
func (s *Snapshotter[S]) Run(ctx context.Context) error {
	ticker := time.NewTicker(orDefault(s.CheckInterval, defaultCheckInterval))
	defer ticker.Stop()
	started, failing := time.Now(), false
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if s.IsOwner != nil && !s.IsOwner() || !s.due(now, started) {
				continue
			}
			err := s.Append(ctx)
			if err != nil && !failing {
				klog.ErrorS(err, "snapshot was not appended; will try again", "stream", s.Follower.Stream)
			}
			failing = err != nil
		}
	}
}

// Append appends a snapshot of the current state, whether or not one is due.
func (s *Snapshotter[S]) Append(ctx context.Context) error {
	encoded, offset, err := s.Follower.checkpoint()
	if err != nil {
		return fault.Wrap("encode snapshot of "+s.Follower.Stream, Refused, err)
	}
	for _, part := range splitCheckpoint(encoded, offset, orDefault(s.PartBytes, defaultPartBytes)) {
		if _, err := s.Writer.appendSnapshot(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

// due reports whether a new snapshot is needed, by the entries since the newest
// one, its age or its position. A Follower with an incomplete state waits for half
// the retention time, so that a process with a complete state can append one first.
func (s *Snapshotter[S]) due(now, started time.Time) bool {
	p := s.Follower.snapshotStatus()
	if !p.loaded || p.next <= p.loadedFrom || now.Sub(p.tailReadAt) > maxSnapshotStaleness {
		return false
	}
	half := s.Retention / 2
	if p.incomplete && now.Sub(started) < half {
		return false
	}
	if p.entries >= int64(orDefault(s.EntryInterval, defaultEntryInterval)) {
		return true
	}
	if half > 0 && now.Sub(p.ageStart(started)) >= p.maxAge(half) {
		return true
	}
	// The newest snapshot lies in the older half of the retained records: either
	// retention by count is about to delete it, or no entries arrived and all
	// records before it have expired.
	return p.first > 1 && p.offset <= p.first+(p.next-p.first)/2
}

// snapshotStatus holds the values that due depends on.
type snapshotStatus struct {
	snapshotInfo
	next, first, loadedFrom units.Offset
	tailReadAt              time.Time
	loaded, incomplete      bool
}

func (f *Follower[S]) snapshotStatus() snapshotStatus {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p := snapshotStatus{snapshotInfo: f.latestSnapshot, next: f.next, first: f.first, tailReadAt: f.tailReadAt, loaded: f.loaded, incomplete: f.incomplete}
	p.parts = nil
	if p.observedAt.IsZero() {
		p.loadedFrom = p.offset // without a snapshot, one is due only after a new record; with one it stays 0
	}
	return p
}

// ageStart returns the time from which the age of the newest snapshot is counted:
// when it was observed, or started when there is none.
func (p snapshotStatus) ageStart(started time.Time) time.Time {
	if p.observedAt.IsZero() {
		return started
	}
	return p.observedAt
}

// maxAge returns the age since ageStart at which a new snapshot is due. It is
// halved when there is no snapshot or its real age is unknown, so that processes
// that are replaced often still append one in time.
func (p snapshotStatus) maxAge(half time.Duration) time.Duration {
	if p.ageUnknown || p.observedAt.IsZero() {
		return half / 2
	}
	return half
}

// checkpoint returns the encoded state with the last record of each writer, and
// the offset up to which they cover the stream.
func (f *Follower[S]) checkpoint() ([]byte, units.Offset, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.loaded {
		return nil, 0, newError("checkpoint", Incomplete, "stream %s is not loaded", f.Stream)
	}
	state, err := f.State.Snapshot()
	if err != nil {
		return nil, 0, err
	}
	encoded, err := encodeCheckpoint(state, f.next, f.lastRecords)
	return encoded, f.next, err
}

// splitCheckpoint divides an encoded checkpoint into snapshot parts of at most size
// bytes.
func splitCheckpoint(encoded []byte, offset units.Offset, size int) []*wire.Snapshot {
	count := max(1, (len(encoded)+size-1)/size)
	parts := make([]*wire.Snapshot, count)
	for n := range parts {
		low, high := n*size, min((n+1)*size, len(encoded))
		parts[n] = &wire.Snapshot{Offset: uint64(offset), State: encoded[low:high], Part: uint32(n), Parts: uint32(count)}
	}
	return parts
}
