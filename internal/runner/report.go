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
	c.sequence++
	report := &wire.WorkerReport{Sequence: c.sequence}
	for _, r := range c.rejected {
		report.Rejected = append(report.Rejected, &wire.RejectedStart{Task: r.Task.String(), Attempt: int64(r.Attempt), Reason: string(r.Reason)})
	}
	if c.info == nil {
		return report, len(c.rejected)
	}
	report.Runner = c.runnerState()
	for task, r := range c.runs {
		report.Running = append(report.Running, &wire.RunRow{Task: task.String(), Attempt: int64(r.attempt), Starting: r.starting,
			Checkpoint: r.checkpoint, Percent: int32(r.percent), Load: r.load, Pace: int32(r.pace), Unknown: r.unknown})
	}
	for _, e := range c.ended {
		report.Ended = append(report.Ended, &wire.EndRow{Number: e.Number, Task: e.Task.String(), Attempt: int64(e.Attempt),
			End: string(e.End), Checkpoint: e.Checkpoint})
	}
	return report, len(c.rejected)
}

func (c *Controller) runnerState() *wire.RunnerState {
	i := c.info
	return &wire.RunnerState{
		Id: i.ID, BornUnixMs: i.StartedUnixMs, Service: string(i.Service), Domain: string(i.Domain), Labels: i.Labels,
		Millicores: int64(i.Capacity.Processors), MemoryBytes: int64(i.Capacity.Memory), Accelerators: i.Capacity.Accelerators,
		Draining: i.Draining, RemainingMs: i.Remaining.Milliseconds(),
		Silent: c.silent || !c.known, Empty: (c.silent || !c.known) && c.lapsed(bootclock.Now()),
	}
}

// Delivered forgets the first n rejections.
func (c *Controller) DropRejections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected = append(c.rejected[:0], c.rejected[n:]...)
}

// Sequence returns the sequence of the last report.
func (c *Controller) LastReportSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence
}
