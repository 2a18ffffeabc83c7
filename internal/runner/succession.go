package runner

import (
	"errors"
	"io"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
)

// The succession of a runner by one with another id. The answer of the next runner proves that
// it holds the address. Its predecessor may work on without the address until its last lease
// ends, so it is replaced only once that can't be.

const (
	// goneAfter is the time without an announcement after which a runner whose connections have
	// ended counts as gone. It exceeds the interval of announcements twice.
	goneAfter = 2500 * time.Millisecond
	// clockTolerance is how much later, by the runner's clock, an announcement must have been
	// made than the estimated end of a connection to show that the runner has outlived it.
	clockTolerance = ClockTime(100)
)

// succession is what a Controller knows of the end of the current runner.
type succession struct {
	candidateAnswered bool              // the candidate has answered, and waits until the current runner has no runs left
	connectionEndedAt bootclock.Instant // when a connection to the current runner ended without a later sign of life; 0 if none has
	deregistered      bool              // the current runner has said that it ends
	predecessorEnded  string            // id of the runner before the current one; empty if this process has known none
}

// noteConnectionEnd records that the connection of a call to the current runner has ended. The
// process of the runner may have ended, too. The caller holds c.mu.
func (c *Controller) noteConnectionEnd(id string, err error) {
	if c.info != nil && c.info.ID == id && c.connectionEndedAt == 0 && connectionEnded(err) {
		c.connectionEndedAt = bootclock.Now()
	}
}

// connectionEnded reports whether a call has failed since the runner has closed the connection
// or does not listen.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
}

// noteSignOfLife takes back the end of a connection if the current runner has announced itself
// after it, by its own clock. The caller holds c.mu.
func (c *Controller) noteSignOfLife(clock ClockTime) {
	if c.connectionEndedAt == 0 {
		return
	}
	atEnd := c.runnerClock + ClockTime(c.connectionEndedAt.Sub(c.clockReadAt).Milliseconds())
	if clock > atEnd+clockTolerance {
		c.connectionEndedAt = 0
	}
}

// mayHoldRuns reports whether runs of the current runner may go on when another one answers at
// its address. A runner that does not drain, or has deregistered, does not go on after its
// connections have ended. The caller holds c.mu.
func (c *Controller) mayHoldRuns(now bootclock.Instant) bool {
	knownEmpty := c.listed && len(c.runs) == 0 // lists of runs are never cut, only those of ends
	leaves := !c.info.Draining || c.deregistered
	gone := leaves && c.connectionEndedAt != 0 && now.Sub(c.connectionEndedAt) > goneAfter
	return !knownEmpty && !gone && (c.isStarting() || !c.endLeases(now))
}

// awaitsPredecessor reports whether the candidate has answered and takes the place of the
// current runner as soon as that has no runs left. The caller holds c.mu.
func (c *Controller) awaitsPredecessor() bool { return c.candidate != nil && c.candidateAnswered }

// deferCandidate notes that the candidate has answered, and reports whether it has to wait for
// the runs of the current runner. The caller holds c.mu.
func (c *Controller) deferCandidate() bool {
	if c.info == nil || !c.mayHoldRuns(bootclock.Now()) {
		return false
	}
	if !c.candidateAnswered {
		klog.InfoS("another runner has answered beside runs of the one before", "runner", c.candidate.ID, "born", c.candidate.StartedUnixMs,
			"current", c.info.ID, "draining", c.info.Draining, "deregistered", c.deregistered, "runs", len(c.runs), "connectionEnded", c.connectionEndedAt != 0)
	}
	c.candidateAnswered, c.pollCurrent = true, true
	return true
}
