package routing

import (
	"sync/atomic"
	"time"
)

const (
	// TickInterval is how often Table.Tick is expected.
	TickInterval = 100 * time.Millisecond
	// stalledAfter is the gap between two ticks that shows that this process did
	// not run; shorter ones come from ordinary scheduling.
	minStall = 4 * TickInterval
)

// stall tells how long this process did not run. A process that was paused or
// got no processor time finds every heartbeat old although its peers sent theirs:
// the age of a heartbeat counts only while this process could have read it.
// Times are nanoseconds since the table's origin.
type stallDetector struct {
	lastTick   atomic.Int64 // newest tick; 0 before the first
	lastStall  atomic.Int64 // length of the newest stall
	graceUntil atomic.Int64 // when grace ends: the waiting heartbeats have been read
}

func (s *stallDetector) recordTick(now, fresh int64) {
	if gap := s.ongoing(now); gap > 0 {
		s.lastStall.Store(gap)
		s.graceUntil.Store(now + fresh)
	}
	s.lastTick.Store(now)
}

// current is the length of the stall that lasts at now, or that has just ended
// and has not met a tick yet.
func (s *stallDetector) ongoing(now int64) int64 {
	last := s.lastTick.Load()
	if gap := now - last; last != 0 && gap > int64(minStall) {
		return gap
	}
	return 0
}

// allowance is the part of a heartbeat's age at now that is this process's own.
func (s *stallDetector) heartbeatAllowance(now int64) int64 {
	if gap := s.ongoing(now); gap > 0 {
		return gap
	}
	if now < s.graceUntil.Load() {
		return s.lastStall.Load()
	}
	return 0
}
