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
	// maxTailAge keeps a process that has lost the log from appending a
	// snapshot that is old when it arrives.
	maxSnapshotStaleness = 5 * time.Second
)

// Snapshotter appends snapshots of a Follower's state while Owner says that
// this process is responsible for the stream. Two owners at once do no harm.
type Snapshotter[S State] struct {
	Follower      *Follower[S]
	Writer        *Writer
	IsOwner       func() bool // nil means always
	EntryInterval int         // entries between snapshots
	// Retention is that of the log; a snapshot is repeated after half of it. With
	// 0 nothing is repeated by time, and an idle stream loses its state.
	Retention     time.Duration
	PartBytes     int           // bytes of one part; below the service's largest record
	CheckInterval time.Duration // between checks
}

// Run appends snapshots when they are due until ctx ends.
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
				klog.ErrorS(err, "snapshot failed", "stream", s.Follower.Stream)
			}
			failing = err != nil
		}
	}
}

// Append writes a snapshot of the current state now.
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

// due says whether the newest snapshot is too far back by entries, age or
// position. A Follower that lost records waits half the retention for a process
// that knows more.
func (s *Snapshotter[S]) due(now, started time.Time) bool {
	p := s.Follower.snapshotStatus()
	if !p.loaded || p.next <= p.start || now.Sub(p.tailReadAt) > maxSnapshotStaleness {
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
	// In the older half of what is retained: retention by count is catching up,
	// or an idle stream has expired down to its snapshot.
	return p.first > 1 && p.offset <= p.first+(p.next-p.first)/2
}

// progress is what due decides on.
type snapshotStatus struct {
	snapshotInfo
	next, first, start units.Offset
	tailReadAt         time.Time
	loaded, incomplete bool
}

func (f *Follower[S]) snapshotStatus() snapshotStatus {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p := snapshotStatus{snapshotInfo: f.latestSnapshot, next: f.next, first: f.first, tailReadAt: f.tailReadAt, loaded: f.loaded, incomplete: f.incomplete}
	p.parts = nil
	if p.observedAt.IsZero() {
		p.start = p.offset // nothing to save before the first record
	}
	return p
}

// since returns from when on the age of the newest snapshot counts.
func (p snapshotStatus) ageStart(started time.Time) time.Time {
	if p.observedAt.IsZero() {
		return started
	}
	return p.observedAt
}

// patience returns how old the newest snapshot may be as seen here. Half as
// much is allowed when there is none or its real age is unknown, so that
// processes that are replaced often still append one in time.
func (p snapshotStatus) maxAge(half time.Duration) time.Duration {
	if p.ageUnknown || p.observedAt.IsZero() {
		return half / 2
	}
	return half
}

// checkpoint encodes state and memory and returns the offset they hold.
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

// split cuts an encoded checkpoint into records.
func splitCheckpoint(encoded []byte, offset units.Offset, size int) []*wire.Snapshot {
	count := max(1, (len(encoded)+size-1)/size)
	parts := make([]*wire.Snapshot, count)
	for n := range parts {
		low, high := n*size, min((n+1)*size, len(encoded))
		parts[n] = &wire.Snapshot{Offset: uint64(offset), State: encoded[low:high], Part: uint32(n), Parts: uint32(count)}
	}
	return parts
}
