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
)

// maxShown bounds the violations printed for one guarantee.
const maxViolationsShown = 3

// summarise prints the verdict of every guarantee and the four measures.
func (d *firmRun) printSummary() (broken int) {
	fmt.Fprintf(d.Progress, "\n%s\n", d.firm.Name)
	for i, c := range checks {
		found, observed := c.findViolations(d)
		verdict := "kept"
		if len(found) > 0 || observed == 0 {
			verdict = "BROKEN"
			broken++
		}
		fmt.Fprintf(d.Progress, "  %2d %-62s %-6s (%d observations)\n", i+1, c.guarantee, verdict, observed)
		sort.Strings(found)
		for _, text := range found[:min(len(found), maxViolationsShown)] {
			fmt.Fprintf(d.Progress, "       %s\n", text)
		}
		if len(found) > maxViolationsShown {
			fmt.Fprintf(d.Progress, "       and %d more\n", len(found)-maxViolationsShown)
		}
	}
	d.printMeasurements()
	d.printTimeline()
	return broken
}

// measures prints the four things that the users measure.
func (d *firmRun) printMeasurements() {
	e := &d.observed
	q := e.quick.Done
	fmt.Fprintf(d.Progress, "  latency of %s: p50 %s, p99 %s, p99.9 %s; %d of %d answered\n", d.firm.QuickPath,
		q.Median.Round(time.Microsecond), q.P99.Round(time.Microsecond), q.P999.Round(time.Microsecond), q.Count, e.quick.Planned)
	fmt.Fprintf(d.Progress, "  outcomes: %s; non-idempotent: %s\n", formatCounts(e.quick.Outcomes), formatCounts(e.order.Outcomes))
	completed, evicted, during := 0, 0, 0
	for _, r := range e.runs {
		if r.State == "completed" {
			completed++
			if r.End.After(e.domainOut) && r.End.Before(e.domainIn) {
				during++
			}
		}
		if r.State == "checkpointed" {
			evicted++
		}
	}
	fmt.Fprintf(d.Progress, "  batch: %d tasks completed, %d evictions, %d tasks completed while a failure domain was out\n", completed, evicted, during)
	fmt.Fprintf(d.Progress, "  urgent job: %d of %d tasks started, the last %s after its acceptance (target 1.4s)\n",
		len(d.urgentStarts()), urgentTasks, longestDuration(d.urgentStarts()).Round(time.Millisecond))
	for i, name := range d.firm.Watchers {
		note := ""
		if i == 0 {
			note = " (its instance was lost while the log was cut)"
		}
		fmt.Fprintf(d.Progress, "  %s: unwatched for at most %s%s\n", name, longestGap(e.runs, "watcher/"+name+"/0").Round(time.Millisecond), note)
	}
}

// urgentStarts returns how long after the acceptance of the urgent job each of
// its tasks started.
func (d *firmRun) urgentStarts() (after []time.Duration) {
	for _, r := range d.observed.runs {
		if r.Attempt == 1 && strings.HasPrefix(r.Task, string(d.observed.urgent)+"/") {
			after = append(after, r.Start.Sub(d.observed.urgentAt))
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

// longestGap is the longest time between two runs of a task.
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

// shownKinds are the events printed with the summary; the rest is in the files.
var shownEventKinds = map[string]bool{
	"accepted": true, "draining": true, "leaseExpired": true, "logReachable": true, "logUnreachable": true,
	"members": true, "silent": true, "standbyActivated": true, "epochExpired": true,
}

// maxTimeline bounds the printed events of a firm.
const maxEventsShown = 40

// saveTimeline writes the time line of the firm as text and as a page.
func (d *firmRun) saveTimeline(ctx context.Context) error {
	for _, format := range []string{"text", "html", "json"} {
		body, err := d.timeline(ctx, format)
		if err != nil {
			return err
		}
		name := map[string]string{"text": "timeline.txt", "html": "timeline.html", "json": "timeline.json"}[format]
		if err := os.WriteFile(filepath.Join(d.Dir, d.firm.Name, name), body, 0o644); err != nil {
			return err
		}
		if format == "json" {
			if err := json.Unmarshal(body, &d.observed.events); err != nil {
				return err
			}
		}
	}
	d.printProgress("%s: the event timeline is in %s", d.firm.Name, filepath.Join(d.Dir, d.firm.Name, "timeline.html"))
	return nil
}

// timeline asks the entry processes in turn: one of them may be gone.
func (d *firmRun) timeline(ctx context.Context, format string) (body []byte, err error) {
	for _, e := range d.firm.Entries() {
		if body, err = d.timelineOf(ctx, e, format); err == nil {
			return body, nil
		}
	}
	return nil, err
}

func (d *firmRun) timelineOf(ctx context.Context, e Entry, format string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Admin+"/v1/timeline?limit=10000&format="+format, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := d.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("timeline of %s: status %s", e.ID, response.Status)
	}
	return io.ReadAll(response.Body)
}

// printTimeline prints the events that explain the run.
func (d *firmRun) printTimeline() {
	var shown []timeline.Event
	for _, e := range d.observed.events {
		if shownEventKinds[e.Kind] && e.Clock.Time().After(d.observed.start) {
			shown = append(shown, e)
		}
	}
	if len(shown) > maxEventsShown {
		shown = shown[:maxEventsShown]
	}
	fmt.Fprintf(d.Progress, "  event timeline (%d of %d events):\n", len(shown), len(d.observed.events))
	for _, e := range shown {
		fmt.Fprintf(d.Progress, "    %6.1fs  %-7s %-17s %-22s %s\n", e.Clock.Time().Sub(d.observed.start).Seconds(), e.Lane, e.Kind, e.Subject, e.Text)
	}
}
