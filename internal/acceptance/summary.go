package acceptance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/standin/worker"
	"wasabihill.example/wasabihill/internal/timeline"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// maxViolationsShown bounds the number of violations printed for one guarantee.
const maxViolationsShown = 3

// printSummary prints the result of every check, the measurements and the timeline,
// and returns the number of failed checks.
func (f *firmRun) printSummary() (broken int) {
	fmt.Fprintf(f.Progress, "\n%s\n", f.firm.Name)
	for i, c := range checks {
		found, observed := c.findViolations(f)
		verdict := "kept"
		if len(found) > 0 || observed == 0 {
			verdict = "BROKEN"
			broken++
		}
		fmt.Fprintf(f.Progress, "  %2d %-62s %-6s (%d observations)\n", i+1, c.guarantee, verdict, observed)
		sort.Strings(found)
		for _, text := range found[:min(len(found), maxViolationsShown)] {
			fmt.Fprintf(f.Progress, "       %s\n", text)
		}
		if len(found) > maxViolationsShown {
			fmt.Fprintf(f.Progress, "       and %d more\n", len(found)-maxViolationsShown)
		}
	}
	f.printMeasurements()
	f.printTimeline()
	return broken
}

// printMeasurements prints the four measurements that the users require: request
// latency, batch throughput, start of urgent jobs, and gaps of watchers.
func (f *firmRun) printMeasurements() {
	o := &f.observed
	q := o.quick.Done
	fmt.Fprintf(f.Progress, "  latency of %s: p50 %s, p99 %s, p99.9 %s; %d of %d answered\n", f.firm.QuickPath,
		q.Median.Round(time.Microsecond), q.P99.Round(time.Microsecond), q.P999.Round(time.Microsecond), q.Count, o.quick.Planned)
	fmt.Fprintf(f.Progress, "  outcomes: %s; non-idempotent: %s\n", formatCounts(o.quick.Outcomes), formatCounts(o.order.Outcomes))
	completed, evicted, during := 0, 0, 0
	for _, r := range o.runs {
		if r.State == workerapi.Completed {
			completed++
			if r.End.After(o.domainOut) && r.End.Before(o.domainIn) {
				during++
			}
		}
		if r.State == workerapi.Checkpointed {
			evicted++
		}
	}
	fmt.Fprintf(f.Progress, "  batch: %d tasks completed, %d evictions, %d tasks completed while a failure domain was out\n", completed, evicted, during)
	fmt.Fprintf(f.Progress, "  urgent job: %d of %d tasks started at their first attempt, the last %s after its acceptance (target 1.4s)\n",
		len(f.urgentStarts()), urgentTasks, longestDuration(f.urgentStarts()).Round(time.Millisecond))
	for i, name := range f.firm.Watchers {
		note := ""
		if i == 0 {
			note = " (its instance was lost while the log was cut)"
		}
		fmt.Fprintf(f.Progress, "  %s: unwatched for at most %s%s\n", name, longestGap(o.runs, "watcher/"+name+"/0").Round(time.Millisecond), note)
	}
}

// urgentStarts returns the time from the acceptance of the urgent job to the start
// of each of its tasks that started at its first attempt.
func (f *firmRun) urgentStarts() (after []time.Duration) {
	for _, r := range f.observed.runs {
		if r.Attempt == 1 && strings.HasPrefix(r.Task, string(f.observed.urgent)+"/") {
			after = append(after, r.Start.Sub(f.observed.urgentAt))
		}
	}
	return after
}

func longestDuration(list []time.Duration) (most time.Duration) {
	for _, v := range list {
		most = max(most, v)
	}
	return most
}

// longestGap returns the longest time between two runs of a task.
func longestGap(runs []worker.Run, task string) (gap time.Duration) {
	var of []worker.Run
	for _, r := range runs {
		if r.Task == task {
			of = append(of, r)
		}
	}
	sort.Slice(of, func(i, j int) bool { return of[i].Start.Before(of[j].Start) })
	for i := 1; i < len(of); i++ {
		gap = max(gap, of[i].Start.Sub(of[i-1].End))
	}
	return gap
}

func formatCounts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, m[name])
	}
	return strings.Join(names, ", ")
}

// shownEventKinds are the kinds of events that the summary prints; the timeline
// files contain all events.
var shownEventKinds = map[string]bool{
	"accepted": true, "draining": true, "leaseExpired": true, "logReachable": true, "logUnreachable": true,
	"members": true, "silent": true, "standbyActivated": true, "epochExpired": true,
}

// maxEventsShown bounds the number of events printed for a firm.
const maxEventsShown = 40

// saveTimeline writes the event timeline of the firm as text, HTML and JSON.
func (f *firmRun) saveTimeline(ctx context.Context) error {
	for _, format := range []string{"text", "html", "json"} {
		body, err := f.timeline(ctx, format)
		if err != nil {
			return err
		}
		name := map[string]string{"text": "timeline.txt", "html": "timeline.html", "json": "timeline.json"}[format]
		if err := os.WriteFile(filepath.Join(f.Dir, f.firm.Name, name), body, 0o644); err != nil {
			return err
		}
		if format == "json" {
			if err := json.Unmarshal(body, &f.observed.events); err != nil {
				return err
			}
		}
	}
	f.printProgress("%s: the event timeline is in %s", f.firm.Name, filepath.Join(f.Dir, f.firm.Name, "timeline.html"))
	return nil
}

// timeline reads the timeline from the first entry process that responds, since one
// may be down.
func (f *firmRun) timeline(ctx context.Context, format string) (body []byte, err error) {
	for _, e := range f.firm.Entries() {
		if body, err = f.timelineOf(ctx, e, format); err == nil {
			return body, nil
		}
	}
	return nil, err
}

func (f *firmRun) timelineOf(ctx context.Context, e Entry, format string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Admin+"/v1/timeline?limit=10000&format="+format, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := f.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("timeline of %s: status %s", e.ID, response.Status)
	}
	return io.ReadAll(response.Body)
}

// printTimeline prints the events of the shown kinds since the start of the run.
func (f *firmRun) printTimeline() {
	var shown []timeline.Event
	for _, e := range f.observed.events {
		if shownEventKinds[e.Kind] && e.Clock.Time().After(f.observed.start) {
			shown = append(shown, e)
		}
	}
	if len(shown) > maxEventsShown {
		shown = shown[:maxEventsShown]
	}
	fmt.Fprintf(f.Progress, "  event timeline (%d of %d events):\n", len(shown), len(f.observed.events))
	for _, e := range shown {
		fmt.Fprintf(f.Progress, "    %6.1fs  %-7s %-17s %-22s %s\n", e.Clock.Time().Sub(f.observed.start).Seconds(), e.Lane, e.Kind, e.Subject, e.Text)
	}
}
