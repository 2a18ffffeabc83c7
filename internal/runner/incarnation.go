package runner

import (
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The incarnations of the runner. An announcement may be late, or be made by another program,
// so it proves nothing about the runner that is there: a runner that announces itself under
// another id is only a candidate. Its answer to a poll proves that it holds the address, because
// a runner answers only calls that name it. The state of the runner before is kept until then,
// and until its runs have ended; see succession.go.

// HandleAnnouncement updates the state of the runner from an announcement of the
// runner. It reports false when the announcement comes from an incarnation that
// has already been replaced.
func (c *Controller) HandleAnnouncement(info Info, clock ClockTime) bool {
	c.mu.Lock()
	if c.info == nil || c.info.ID != info.ID {
		defer c.mu.Unlock()
		return c.nominate(info)
	}
	if info.StartedUnixMs < c.info.StartedUnixMs {
		defer c.mu.Unlock()
		c.logIgnored(info)
		return false
	}
	if info.Incarnation == c.info.Incarnation {
		c.noteSignOfLife(clock)
	}
	changed := c.update(info)
	if clock > c.runnerClock {
		c.setClock(clock)
	}
	c.mu.Unlock()
	if changed {
		klog.InfoS("runner announced a new state", "runner", info.ID, "born", info.StartedUnixMs, "draining", info.Draining, "capacity", info.Capacity.String())
		c.notifyChange()
	}
	return true
}

// update applies an announcement of the current runner or of its next incarnation under the
// same id, and reports whether the scheduler must receive the change promptly. The caller
// holds c.mu.
func (c *Controller) update(info Info) (changed bool) {
	switch {
	case c.info.StartedUnixMs < info.StartedUnixMs:
		c.replaceIncarnation(info)
		return true
	case info.Sequence < c.info.Sequence:
		return false // it was delayed, and a later one has been applied
	}
	changed = info.Draining != c.info.Draining
	info.Draining = info.Draining || c.info.Draining // a draining runner never stops draining
	c.info = &info
	return changed
}

// nominate makes a runner with another id than the current one the candidate. It reports
// false if the announcement is older than the current runner or than the candidate. The start
// times don't tell that after a step of the time of day, so they count only while the current
// runner answers. The caller holds c.mu.
func (c *Controller) nominate(info Info) bool {
	if c.info != nil && !c.unresponsive && info.StartedUnixMs < c.info.StartedUnixMs {
		c.logIgnored(info)
		return false
	}
	if old := c.candidate; old != nil && old.ID == info.ID && (info.StartedUnixMs < old.StartedUnixMs || info.Sequence < old.Sequence) {
		return false
	}
	if old := c.candidate; old != nil && old.Incarnation == info.Incarnation {
		info.Draining = info.Draining || old.Draining // as in update
	} else {
		c.otherSuccessor = c.otherSuccessor || old != nil
		c.candidateAnswered = false
		klog.InfoS("another runner announces itself", "runner", info.ID, "address", info.Address, "born", info.StartedUnixMs, "sequence", info.Sequence, "draining", info.Draining)
	}
	c.candidate, c.announcedAt = &info, bootclock.Now()
	if c.candidateAppeared != nil {
		close(c.candidateAppeared)
	}
	c.candidateAppeared = make(chan struct{})
	return true
}

// Expected returns the incarnation that an answer is expected from: the candidate, or else the
// current one. ok is false if no runner has announced itself. It lets callers of
// HandleAnnouncement see what became of an announcement.
func (c *Controller) Expected() (incarnation Incarnation, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.candidate != nil:
		return c.candidate.Incarnation, true
	case c.info != nil:
		return c.info.Incarnation, true
	}
	return Incarnation{}, false
}

// logIgnored logs an announcement of an incarnation that has been replaced. The caller holds
// c.mu.
func (c *Controller) logIgnored(info Info) {
	klog.InfoS("announcement of an earlier incarnation is ignored", "runner", info.ID, "address", info.Address, "born", info.StartedUnixMs,
		"current", c.info.ID, "currentBorn", c.info.StartedUnixMs)
}

// confirmCandidate makes the candidate the current runner after it has answered with l. The
// caller holds c.mu.
func (c *Controller) confirmCandidate(l Listing) {
	info := *c.candidate
	c.candidate, c.candidateAnswered = nil, false
	if l.StartedUnixMs != 0 && l.StartedUnixMs != info.StartedUnixMs {
		info = info.nextIncarnation(l.StartedUnixMs)
	}
	klog.InfoS("runner has answered for the first time", "runner", info.ID, "born", info.StartedUnixMs, "running", len(l.Running), "ended", len(l.Ended))
	c.replaceIncarnation(info)
	if !info.Unknown {
		c.heardAt = c.announcedAt
	}
}

// nextIncarnation returns what is known of an incarnation under the same id that has not
// announced itself yet. Its kind and its capacity may differ from those of the one before.
func (i Info) nextIncarnation(startedUnixMs int64) Info {
	i.StartedUnixMs = startedUnixMs
	i.Sequence, i.Draining, i.Remaining, i.Unknown = 0, false, 0, true
	return i
}

// replaceIncarnation drops the state of the previous incarnation, which no longer
// runs anything. If the new incarnation has the same id, it may have accepted
// starts that were sent to the previous one, including starts that it confirmed
// before the agent detected the restart. The table of runs is therefore kept, and
// the first listing requested from now on shows which runs are lost: that request
// carries a higher token, which fences all earlier calls. The caller holds c.mu.
func (c *Controller) replaceIncarnation(info Info) {
	sameID := c.info != nil && c.info.ID == info.ID
	if c.info != nil && !sameID {
		c.predecessorEnded = c.info.ID
	}
	c.info = &info
	c.ordinal++
	c.incarnations++
	c.incarnationSeenAt = bootclock.Now()
	c.listed, c.unresponsive = false, false
	c.truncated, c.complete = false, false
	c.restartedAt, c.lateCallsUntil = 0, 0
	c.endSeenAt, c.heardAt, c.deregistered, c.otherSuccessor = 0, 0, false, false
	if sameID {
		c.restartedAt = bootclock.Now()
		for _, r := range c.runs {
			r.stopping = false // the stop was sent to the previous incarnation
		}
	} else {
		c.runs = make(map[workflow.TaskID]*run)
	}
	c.ended, c.recordedEnd, c.runnerClock, c.leaseUntil, c.leaseSent = nil, 0, 0, 0, false
}

// HandleDeregistration marks the runner as draining after it has deregistered, as it does before it
// ends. A start of 0 is of any incarnation under the id.
func (c *Controller) HandleDeregistration(incarnation Incarnation) {
	c.mu.Lock()
	for _, info := range []*Info{c.info, c.candidate} {
		if info != nil && info.mayBe(incarnation) {
			info.Draining = true
		}
	}
	c.noteDeregistration(incarnation)
	c.mu.Unlock()
	c.notifyChange()
}

// mayBe reports whether the runner is of the given incarnation, as far as both starts are known.
func (i *Info) mayBe(other Incarnation) bool {
	return i.ID == other.ID && (i.StartedUnixMs == other.StartedUnixMs || i.StartedUnixMs == 0 || other.StartedUnixMs == 0)
}
