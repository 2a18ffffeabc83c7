package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// marginWindow is how long after a fault the end of a run may still follow from it: that of
// the longest lease.
const marginWindow = 10 * time.Second

// marginKey groups the margins of runs that a fault of a duration has affected.
type marginKey struct {
	kind     string
	duration time.Duration // rounded down to longDurationStep
	end      string        // of the earlier run
}

// marginSummary is the smallest margin of a group. A negative one means two runs at a time.
type marginSummary struct {
	count    int
	smallest time.Duration
	seed     uint64
	task     string
}

// margins adds the times from the end of each run to the start of the next one of its task. A
// run counts for every fault of its host that was in force or recent when the next one started, or
// for the kind "none". A run that ended as the work did leaves no doubt and is left out.
func (r *Result) margins(groups map[marginKey]marginSummary) {
	last := make(map[string]taskrunner.Run)
	for _, x := range r.Runs {
		before, ok := last[x.Task]
		last[x.Task] = x
		if !ok || (before.End == "done" || before.End == "failed") && before.EndTime.Before(x.StartTime) {
			continue
		}
		margin := x.StartTime.Sub(before.EndTime)
		if before.EndTime.IsZero() {
			margin = before.StartTime.Sub(x.StartTime)
		}
		for _, f := range r.faultsBehind(before, x.StartTime) {
			k := marginKey{f.Kind, f.Ended.Sub(f.Began).Truncate(longDurationStep), before.End}
			g := groups[k]
			if g.count++; g.count == 1 || margin < g.smallest {
				g.smallest, g.seed, g.task = margin, r.Seed, x.Task
			}
			groups[k] = g
		}
	}
}

func (r *Result) faultsBehind(x taskrunner.Run, next time.Time) []injectedFault {
	var all []injectedFault
	for _, f := range r.Faults {
		if f.Host == hostName(x.Runner) && f.Began.Before(next) && f.Ended.Add(marginWindow).After(next) {
			all = append(all, f)
		}
	}
	if len(all) == 0 {
		all = append(all, injectedFault{Kind: "none"})
	}
	return all
}

// writeRuns writes the runs of tasks beside the logs, one JSON object a line.
func (r *Result) writeRuns() error {
	file, err := os.Create(filepath.Join(r.Dir, "runs.json"))
	if err != nil {
		return fault.Wrap("report", NotStarted, err)
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for _, x := range r.Runs {
		if err := encoder.Encode(x); err != nil {
			return fault.Wrap("report", NotStarted, err)
		}
	}
	return nil
}

// writeMargins prints how close the runs of a task came to each other.
func writeMargins(w io.Writer, results []*Result) {
	groups := make(map[marginKey]marginSummary)
	for _, r := range results {
		r.margins(groups)
	}
	order := func(a, b marginKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.end, b.end), cmp.Compare(a.duration, b.duration))
	}
	fmt.Fprintln(w, "margins from the end of a run to the next one of its task, by fault of its host, its duration and the end:")
	for _, k := range slices.SortedFunc(maps.Keys(groups), order) {
		g := groups[k]
		fmt.Fprintf(w, "  %-18s %5.1f s %-8s %4d times, smallest %7.3f s, seed %d, %s\n", k.kind, k.duration.Seconds(), k.end, g.count, g.smallest.Seconds(), g.seed, g.task)
	}
}
