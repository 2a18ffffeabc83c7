package runner

import (
	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/wire"
)

// Report returns the state of the runner for the scheduler, and the number of
// rejections in it. Pass that number to DropRejections once the report is
// acknowledged. The report is partial until the runner has listed all ended runs once.
func (c *Controller) Report() (*wire.WorkerReport, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportSequence++
	report := &wire.WorkerReport{Sequence: c.reportSequence, Partial: !c.complete}
	for _, r := range c.rejections {
		report.Rejected = append(report.Rejected, &wire.RejectedStart{Task: r.Task.String(), Attempt: int64(r.Attempt), Reason: string(r.Reason)})
	}
	if c.info == nil {
		return report, len(c.rejections)
	}
	report.Runner = c.runnerState()
	for task, r := range c.runs {
		report.Running = append(report.Running, &wire.RunRow{Task: task.String(), Attempt: int64(r.attempt), Starting: r.starting || r.undecided,
			Checkpoint: r.checkpoint, Percent: int32(r.percent), Load: r.load, Pace: int32(r.pace), Unknown: r.incomplete})
	}
	for _, e := range c.ended {
		report.Ended = append(report.Ended, &wire.EndRow{Number: e.Number, Task: e.Task.String(), Attempt: int64(e.Attempt),
			End: string(e.End), Checkpoint: e.Checkpoint, ListedAgoMs: bootclock.Now().Sub(e.listedAt).Milliseconds()})
	}
	return report, len(c.rejections)
}

// runnerState returns the part of a report that describes the runner itself. The
// caller holds c.mu.
func (c *Controller) runnerState() *wire.RunnerState {
	info := c.info
	now := bootclock.Now()
	silent := c.silent(now)
	return &wire.RunnerState{
		Id: info.ID, BornUnixMs: info.StartedUnixMs, Service: string(info.Service), Domain: string(info.Domain), Labels: info.Labels,
		Millicores: int64(info.Capacity.Processors), MemoryBytes: int64(info.Capacity.Memory), Accelerators: info.Capacity.Accelerators,
		Draining: info.Draining || c.awaitsPredecessor(), RemainingMs: info.Remaining.Milliseconds(),
		Silent: silent, Empty: silent && !c.isStarting() && c.endLeases(now), StrayLeaseMs: c.strayLease(now).Milliseconds(),
		FoundYoung: c.restartedAt == 0 && c.strayLease(now) > 0, PredecessorEnded: c.predecessorEnded,
	}
}

// DropRejections removes the first n rejections, which the scheduler has received.
func (c *Controller) DropRejections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejections = append(c.rejections[:0], c.rejections[n:]...)
}

// LastReportSequence returns the sequence number of the last report.
func (c *Controller) LastReportSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportSequence
}

// isStarting reports whether a start order is being carried out. The caller holds c.mu.
func (c *Controller) isStarting() bool {
	for _, r := range c.runs {
		if r.starting {
			return true
		}
	}
	return false
}
