package worker

import (
	"fmt"
	"sort"
	"time"

	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// Run is one interval in which an attempt actually ran. Start and End are the
// host's wall clock at the start of the worker plus the worker's monotonic clock,
// so that runs of several workers on one host can be compared.
type Run struct {
	Worker  units.WorkerID      `json:"worker"`
	Task    string              `json:"task"`
	Attempt units.Attempt       `json:"attempt"`
	Epoch   units.Epoch         `json:"epoch"`
	Start   time.Time           `json:"start"`
	End     time.Time           `json:"end"`  // the current time while Open
	Open    bool                `json:"open"` // still running
	State   workerapi.TaskState `json:"state"`
}

// maxRuns is the maximum length of the run log, many times the number of tasks
// that one worker runs in a day at the target load.
const maxRuns = 200_000

func (c *Core) wallClock(at workerapi.Clock) time.Time {
	if c.Clock != nil {
		return time.Unix(0, int64(at)).UTC()
	}
	return c.origin.Round(0).Add(time.Duration(at)).UTC()
}

func (c *Core) recordRunStart(r *row) {
	if len(c.runs) >= maxRuns {
		return
	}
	r.run = len(c.runs)
	now := c.wallClock(c.lastAdvance)
	c.runs = append(c.runs, Run{
		Worker: c.Name, Task: r.Task.Task.String(), Attempt: r.Attempt, Epoch: c.epoch,
		Start: now, End: now, Open: true, State: workerapi.Running,
	})
}

// Runs returns the run log, oldest run first.
func (c *Core) Runs() []Run {
	c.lockAndAdvance()
	defer c.mu.Unlock()
	runs := append([]Run{}, c.runs...)
	for i := range runs {
		if runs[i].Open {
			runs[i].End = c.wallClock(c.lastAdvance)
		}
	}
	return runs
}

// Committed returns the sum of the sizes of the tasks in a table that run or are standbys.
// The reservation for an endpoint is not in the table.
func Committed(table workerapi.Table) units.Resources {
	var sum units.Resources
	for _, t := range table.Tasks {
		if t.State == workerapi.Running || t.State == workerapi.Standby {
			sum = sum.Add(t.Size)
		}
	}
	return sum
}

// Overlaps returns a description of each pair of runs of one task that overlap in
// time, and of each attempt that ran twice, on one worker or on two.
func Overlaps(runs []Run) []string {
	ordered := append([]Run(nil), runs...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Start.Before(ordered[j].Start) })
	type attempt struct {
		task   string
		number units.Attempt
	}
	var found []string
	latest := make(map[string]Run)
	seen := make(map[attempt]Run)
	for _, r := range ordered {
		if p, ok := latest[r.Task]; ok && r.Start.Before(p.End) {
			found = append(found, fmt.Sprintf("task %s: attempt %d on %s ran until %s, attempt %d on %s from %s",
				r.Task, p.Attempt, p.Worker, formatTime(p.End), r.Attempt, r.Worker, formatTime(r.Start)))
		}
		if p, ok := seen[attempt{r.Task, r.Attempt}]; ok {
			found = append(found, fmt.Sprintf("task %s: attempt %d ran on %s and again on %s", r.Task, r.Attempt, p.Worker, r.Worker))
		}
		seen[attempt{r.Task, r.Attempt}] = r
		if p, ok := latest[r.Task]; !ok || p.End.Before(r.End) {
			latest[r.Task] = r
		}
	}
	return found
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }
