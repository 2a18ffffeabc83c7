package runner

import (
	"context"
	"errors"
	"io"
	"math"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/pause"
)

// The succession of a runner by one with another id. The answer of the next runner proves that
// it holds the address. Its predecessor may work on without the address until its last lease
// ends, so it is replaced only once that can't be.

const (
	// goneAfter is the time without an announcement after which a runner whose connections have
	// ended, or that has deregistered, counts as gone. It exceeds the interval of announcements twice.
	goneAfter = 2500 * time.Millisecond
	// watchInterval separates the moments at which this process makes sure that it runs.
	watchInterval = 400 * time.Millisecond
	// maxWatchGap is the time between two such moments above which it has not run for a while.
	// It is below the time for which a runner waits for the answer to an announcement, before it
	// calls another agent.
	maxWatchGap = 900 * time.Millisecond
	// clockTolerance is how much later, by the runner's clock, an announcement must have been
	// made than the estimated end of a connection to show that the runner has outlived it.
	clockTolerance = ClockTime(100)
)

// succession is what a Controller knows of the end of the current runner.
type succession struct {
	candidateAnswered bool              // the candidate has answered, and waits until the current runner has no runs left
	endSeenAt         bootclock.Instant // when a connection to the current runner ended, or it deregistered, without a later sign of life; 0 if neither
	endSeenClock      ClockTime         // a lower estimate of the runner's clock at endSeenAt
	watchedAt         bootclock.Instant // when this process last made sure that it runs; 0 before Run
	stalledAt         bootclock.Instant // when it last noticed that it had not run for a while
	heardAt           bootclock.Instant // when the current runner last announced itself here
	candidateStart    bootclock.Instant // the candidate that has answered has not started before
	otherSuccessor    bool              // a runner before the candidate may have taken the address over from the current one
	deregistered      bool              // the current runner has said that it ends
	predecessorEnded  string            // id of the runner before the current one; empty if this process has known none
}

// noteConnectionEnd records that the connection of a call to the current runner has ended. The
// process of the runner may have ended, too. The caller holds c.mu.
func (c *Controller) noteConnectionEnd(id string, err error) {
	if c.info != nil && c.info.ID == id && c.endSeenAt == 0 && connectionEnded(err) {
		c.noteEnd()
	}
}

// noteEnd records a sign that the current runner has ended. The caller holds c.mu.
func (c *Controller) noteEnd() {
	c.endSeenAt = bootclock.Now()
	c.endSeenClock = c.estimateClock(c.endSeenAt)
}

// estimateClock returns a lower estimate of the runner's clock, unless that runs slow. The caller
// holds c.mu.
func (c *Controller) estimateClock(now bootclock.Instant) ClockTime {
	return c.runnerClock + ClockTime(now.Sub(c.clockReadAt).Milliseconds())
}

// connectionEnded reports whether a call has failed since the runner has closed the connection
// or does not listen.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
}

// noteDeregistration records that the current runner has said that it ends. The caller holds c.mu.
func (c *Controller) noteDeregistration(incarnation Incarnation) {
	if c.info != nil && c.info.mayBe(incarnation) {
		c.deregistered = true
		c.noteEnd()
	}
}

// noteSignOfLife records that the current runner has announced itself, when by its own clock, and
// takes back the sign of an end if that was after it. The caller holds c.mu.
func (c *Controller) noteSignOfLife(clock ClockTime) {
	now := bootclock.Now()
	age := ClockTime(0)
	if c.runnerClock != 0 { // else it is the first reading of this incarnation's clock
		age = max(0, c.estimateClock(now)-clock) // it may have been held up
	}
	c.heardAt = max(c.heardAt, now.Add(-time.Duration(min(age, math.MaxInt32))*time.Millisecond))
	if c.endSeenAt != 0 && clock > c.endSeenClock+clockTolerance {
		c.endSeenAt = 0
	}
}

// watch makes sure that this process runs, until ctx is done.
func (c *Controller) watch(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		c.noteWatch(bootclock.Now())
		c.mu.Unlock()
		pause.For(ctx, watchInterval)
	}
}

// noteWatch records that this process runs, and whether it has not for a while: announcements may
// be unread, and the runner may have called another agent since. The caller holds c.mu.
func (c *Controller) noteWatch(now bootclock.Instant) {
	if c.watchedAt != 0 && now.Sub(c.watchedAt) > maxWatchGap {
		c.stalledAt = now
	}
	c.watchedAt = now
}

// earliestStart returns an instant before which the runner that has answered with l to a poll, sent
// at the given instant, has not started: its clock starts with it. The time of day does not tell
// that, as it may be set.
func earliestStart(l Listing, sent bootclock.Instant) bootclock.Instant {
	if l.Clock <= 0 {
		return 0
	}
	age := min(time.Duration(min(l.Clock, math.MaxInt32))*time.Millisecond, time.Hour) // no lease lasts for an hour
	return sent.Add(-time.Duration(float64(age) * (1 + 2*maxClockDrift)))
}

// mayHoldRuns reports whether runs of the current runner may go on when another one answers at
// its address. A runner that does not drain does not go on after its connections have ended, and
// one that drains does not go on after it has deregistered. Whoever takes the address over from a
// runner that works has started before that one's connections end; of several successors only the
// first can have done so. Of a runner that has announced
// itself elsewhere this process knows neither whether it drains nor whether it goes on. The caller
// holds c.mu.
func (c *Controller) mayHoldRuns(now bootclock.Instant) bool {
	knownEmpty := c.listed && len(c.runs) == 0 // lists of runs are never cut, only those of ends
	startedLater := c.candidate != nil && !c.otherSuccessor && c.candidateStart.After(c.endSeenAt)
	announcesHere := c.heardAt.Sub(c.stalledAt) > maxWatchGap && c.endSeenAt.Sub(c.heardAt) <= goneAfter
	ended := c.endSeenAt != 0 && announcesHere
	silent := now.Sub(c.endSeenAt) > goneAfter
	crashed := ended && !c.info.Draining && (startedLater || silent)
	left := ended && c.deregistered && silent
	return !knownEmpty && !crashed && !left && (c.isStarting() || !c.endLeases(now))
}

// awaitsPredecessor reports whether the candidate has answered and takes the place of the
// current runner as soon as that has no runs left. The caller holds c.mu.
func (c *Controller) awaitsPredecessor() bool { return c.candidate != nil && c.candidateAnswered }

// deferCandidate notes that the candidate has answered with l to a poll sent at the given instant,
// and reports whether it has to wait for the runs of the current runner. The caller holds c.mu.
func (c *Controller) deferCandidate(l Listing, sent bootclock.Instant) bool {
	now := bootclock.Now()
	c.candidateStart = earliestStart(l, sent)
	c.noteWatch(now)
	if now.Sub(sent) > maxWatchGap { // the poll would have been given up
		c.stalledAt = now
	}
	if c.info == nil || !c.mayHoldRuns(now) {
		return false
	}
	if !c.candidateAnswered {
		klog.InfoS("another runner has answered beside runs of the one before", "runner", c.candidate.ID, "born", c.candidate.StartedUnixMs,
			"current", c.info.ID, "draining", c.info.Draining, "deregistered", c.deregistered, "runs", len(c.runs), "endSeen", c.endSeenAt != 0)
	}
	c.candidateAnswered, c.pollCurrent = true, true
	return true
}
