package routing

import (
	"sync/atomic"
	"time"
)

const (
	// TickInterval is the interval at which Table.Tick must be called.
	TickInterval = 100 * time.Millisecond
	// minStall is the smallest gap between two ticks that counts as a stall of
	// this process. Shorter gaps occur in ordinary scheduling.
	minStall = 4 * TickInterval
)

// stallDetector measures how long this process did not run. After a pause or
// without processor time, the process finds every heartbeat old although its
// peers sent theirs. The age of a heartbeat therefore counts only while this
// process could have read it. Times are nanoseconds since the table's origin.
type stallDetector struct {
	lastTick   atomic.Int64 // 0 before the first tick
	lastStall  atomic.Int64 // length of the last stall
	graceUntil atomic.Int64 // end of the allowance; the waiting heartbeats have been read by then
}

// tick records that the process runs at now. After a stall it grants the
// allowance for the grace period, in which the waiting heartbeats are read.
func (s *stallDetector) tick(now, grace int64) {
	if gap := s.ongoing(now); gap > 0 {
		s.lastStall.Store(gap)
		s.graceUntil.Store(now + grace)
	}
	s.lastTick.Store(now)
}

// ongoing returns the length of a stall that lasts at now or has just ended
// without a tick since, or 0.
func (s *stallDetector) ongoing(now int64) int64 {
	last := s.lastTick.Load()
	if gap := now - last; last != 0 && gap > int64(minStall) {
		return gap
	}
	return 0
}

// heartbeatAllowance returns the part of a heartbeat's age at now that a stall
// of this process caused.
func (s *stallDetector) heartbeatAllowance(now int64) int64 {
	if gap := s.ongoing(now); gap > 0 {
		return gap
	}
	if now < s.graceUntil.Load() {
		return s.lastStall.Load()
	}
	return 0
}
