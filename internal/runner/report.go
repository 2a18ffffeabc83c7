package runner

import (
	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/wire"
)

// Report returns everything that is known of the runner, and the number of
// rejections that it includes; Delivered forgets those.
func (c *Controller) Report() (*wire.WorkerReport, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportSequence++
	report := &wire.WorkerReport{Sequence: c.reportSequence}
	for _, r := range c.rejections {
		report.Rejected = append(report.Rejected, &wire.RejectedStart{Task: r.Task.String(), Attempt: int64(r.Attempt), Reason: string(r.Reason)})
	}
	if c.info == nil {
		return report, len(c.rejections)
	}
	report.Runner = c.runnerState()
	for task, r := range c.runs {
		report.Running = append(report.Running, &wire.RunRow{Task: task.String(), Attempt: int64(r.attempt), Starting: r.starting,
			Checkpoint: r.checkpoint, Percent: int32(r.percent), Load: r.load, Pace: int32(r.pace), Unknown: r.incomplete})
	}
	for _, e := range c.ended {
		report.Ended = append(report.Ended, &wire.EndRow{Number: e.Number, Task: e.Task.String(), Attempt: int64(e.Attempt),
			End: string(e.End), Checkpoint: e.Checkpoint})
	}
	return report, len(c.rejections)
}

func (c *Controller) runnerState() *wire.RunnerState {
	i := c.info
	return &wire.RunnerState{
		Id: i.ID, BornUnixMs: i.StartedUnixMs, Service: string(i.Service), Domain: string(i.Domain), Labels: i.Labels,
		Millicores: int64(i.Capacity.Processors), MemoryBytes: int64(i.Capacity.Memory), Accelerators: i.Capacity.Accelerators,
		Draining: i.Draining, RemainingMs: i.Remaining.Milliseconds(),
		Silent: c.unresponsive || !c.listed, Empty: (c.unresponsive || !c.listed) && c.allLeasesExpired(bootclock.Now()),
	}
}

// Delivered forgets the first n rejections.
func (c *Controller) DropRejections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejections = append(c.rejections[:0], c.rejections[n:]...)
}

// Sequence returns the sequence of the last report.
func (c *Controller) LastReportSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportSequence
}
