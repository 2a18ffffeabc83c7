// Package bootclock reads the time since boot from a clock that never steps and
// that includes the time during which the machine was suspended. Leases need such
// a clock: Go's monotonic clock stops while a machine is suspended, so after the
// machine resumes, a process would treat an expired lease as valid.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time on this machine, as the time since boot.
type Instant time.Duration

// source reads the clock.
var source = boottime

// Now returns the current instant.
func Now() Instant { return source() }

// Replace makes Now return the instants of another clock. It is for tests in simulated time
// and must be called before anything else that reads the clock.
func Replace(clock func() Instant) { source = clock }

func boottime() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("bootclock: " + err.Error()) // Linux has had this clock since 2.6.39
	}
	return Instant(t.Nano())
}

// Add returns the instant that is d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// After reports whether i is later than o.
func (i Instant) After(o Instant) bool { return i > o }
