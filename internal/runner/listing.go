package runner

import (
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/interference"
	"wasabihill.example/wasabihill/internal/workflow"
)

// The update of the table of runs from the runner's listings.

// mergeListing updates the table from a listing that was requested at sent, and
// reports whether the scheduler must receive the change promptly.
func (c *Controller) mergeListing(id string, l Listing, sent bootclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	restarted, decides := c.identify(id, l, sent)
	if !decides {
		return restarted
	}
	if !c.listed {
		c.noteFirstListing(l)
	}
	prompt := c.silent(bootclock.Now())
	if c.unresponsive {
		klog.InfoS("runner answers again", "runner", id, "leaseLeftMs", c.leaseUntil-l.Clock, "running", len(l.Running), "ended", len(l.Ended))
	}
	c.listed, c.listedAt, c.unresponsive = true, sent, false
	prompt = c.noteCompleteness(l) || prompt
	c.setClock(l.Clock)
	listed := make(map[workflow.TaskID]bool, len(l.Running))
	for _, row := range l.Running {
		listed[row.Task] = true
		c.mergeStatus(row)
	}
	for task, r := range c.runs {
		// The end of a run that is not listed may be among those that the listing lacks.
		if !listed[task] && !l.Truncated && !r.starting && r.confirmedAt.Before(sent) {
			delete(c.runs, task)
			prompt = true
		}
	}
	for _, e := range l.Ended {
		prompt = c.mergeEndedRun(e) || prompt
	}
	return prompt
}

// identify updates the current runner from the answer to a poll of id that was sent at the given
// time. It reports whether the answer has shown that the runner restarted under its id, or had
// done so since the poll, and whether the listing decides which runs are left: it is of the
// current incarnation and was requested with its token. The caller holds c.mu.
func (c *Controller) identify(id string, l Listing, sent bootclock.Instant) (restarted, decides bool) {
	if c.candidate != nil && c.candidate.ID == id {
		if c.deferCandidate(l, sent) {
			return false, false
		}
		c.confirmCandidate(l)
	}
	if c.info == nil || c.info.ID != id {
		return false, false
	}
	c.endSeenAt = 0
	if c.candidate != nil && !c.candidateAnswered && sent.After(c.announcedAt) {
		klog.InfoS("runner that has announced itself is not there, as the current one answers", "runner", c.candidate.ID, "born", c.candidate.StartedUnixMs, "current", id)
		c.candidate = nil
	}
	if l.StartedUnixMs != 0 && l.StartedUnixMs != c.info.StartedUnixMs {
		if l.StartedUnixMs < c.info.StartedUnixMs && !sent.After(c.incarnationSeenAt) {
			return false, false // the reply of an incarnation that has been replaced
		}
		c.replaceIncarnation(c.info.nextIncarnation(l.StartedUnixMs))
		c.setClock(l.Clock)
	}
	// Starts with the token of the previous incarnation with this id may still arrive, so only
	// the next listing shows which runs are lost.
	restarted = !sent.After(c.restartedAt)
	return restarted, !restarted
}

// noteFirstListing records until when a call for an earlier incarnation with this id could give
// the runner a lease: until its first answer. A runner that this process finds may have restarted
// after a call of an earlier process, which may have arrived until maxCallDelay after the restart,
// and one that has an id of before may have done so while another runner was there. The caller
// holds c.mu.
func (c *Controller) noteFirstListing(l Listing) {
	now := bootclock.Now()
	switch {
	case c.restartedAt != 0 || c.knownIDs[c.info.ID]:
		c.lateCallsUntil = now
	case c.incarnations == 1 && l.Clock < ClockTime((maxCallDelay+c.longestLease()).Milliseconds()):
		age := time.Duration(l.Clock) * time.Millisecond
		c.lateCallsUntil = now.Add(-max(0, age-maxCallDelay))
	}
	if c.knownIDs == nil {
		c.knownIDs = make(map[string]bool)
	}
	c.knownIDs[c.info.ID] = true
}

// noteCompleteness records whether the listing lacks ended runs, and reports whether it is
// the first one of this incarnation that lacks none. The caller holds c.mu.
func (c *Controller) noteCompleteness(l Listing) bool {
	if c.truncated != l.Truncated {
		klog.InfoS("completeness of the runner's list of ends changed", "runner", c.info.ID, "truncated", l.Truncated, "ends", len(l.Ended), "tableComplete", c.complete)
	}
	c.truncated = l.Truncated
	if c.complete || l.Truncated {
		return false
	}
	c.complete = true
	return true
}

// mergeStatus updates the table from a run in a listing. The caller holds c.mu.
func (c *Controller) mergeStatus(row RunStatus) {
	if row.Attempt == 0 {
		return
	}
	r := c.runs[row.Task]
	if r == nil || r.attempt < row.Attempt {
		r = &run{attempt: row.Attempt, pace: fullPace, incomplete: true}
		c.runs[row.Task] = r
	}
	if r.attempt != row.Attempt {
		return
	}
	if r.starting || r.confirmedAt == 0 {
		r.starting, r.confirmedAt = false, bootclock.Now()
	}
	r.undecided = false
	r.checkpoint, r.percent, r.load = row.Checkpoint, row.Percent, row.Load
	switch {
	case r.latencyTarget == 0 || time.Duration(r.load)*time.Millisecond <= r.latencyTarget:
		r.overTargetSince = 0
	case r.overTargetSince == 0:
		r.overTargetSince = bootclock.Now()
	}
}

// unrecordedEnd is an ended run that was listed but is not recorded yet.
type unrecordedEnd struct {
	EndedRun
	listedAt bootclock.Instant // when a listing first showed it
}

// mergeEndedRun updates the table from an ended run in a listing, and reports
// whether the end is new. The caller holds c.mu.
func (c *Controller) mergeEndedRun(e EndedRun) bool {
	if e.Number <= c.recordedEnd {
		return false
	}
	if r := c.runs[e.Task]; r != nil && r.attempt <= e.Attempt {
		if r.bestEffort {
			c.endedReadings = append(c.endedReadings, interference.UsageReading{Image: r.image, Cores: float64(r.load) / 1000, Ended: true})
		}
		delete(c.runs, e.Task)
	}
	if n := len(c.ended); n > 0 && c.ended[n-1].Number >= e.Number {
		return false
	}
	c.ended = append(c.ended, unrecordedEnd{e, bootclock.Now()})
	return true
}
