package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// The report shows the log lines from logLinesBefore before a violation to
	// logLinesAfter after it, at most maxLinesPerProcess of each process.
	logLinesBefore     = 1500 * time.Millisecond
	logLinesAfter      = 300 * time.Millisecond
	maxLinesPerProcess = 12
)

// excerpt returns the lines of a process's log around a violation. When there are
// more than maxLinesPerProcess, lines that contain the job ID are preferred.
func (r *Result) excerpt(process string, b Broken) []string {
	file, err := os.Open(filepath.Join(r.Dir, process+".log"))
	if err != nil {
		return []string{err.Error()}
	}
	defer file.Close()
	var withJob, others []string
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		at, ok := lineTime(lines.Text(), b.At)
		if !ok || at.Before(b.At.Add(-logLinesBefore)) || at.After(b.At.Add(logLinesAfter)) {
			continue
		}
		if b.Job != "" && strings.Contains(lines.Text(), b.Job) {
			withJob = append(withJob, lines.Text())
		} else {
			others = append(others, lines.Text())
		}
	}
	others = others[max(0, len(others)-max(0, maxLinesPerProcess-len(withJob))):]
	kept := append(withJob[:min(len(withJob), maxLinesPerProcess)], others...)
	slices.SortStableFunc(kept, func(a, b string) int { return strings.Compare(a[1:min(len(a), 21)], b[1:min(len(b), 21)]) })
	return kept
}

// lineTime reads the time of a klog line, such as "I1204 09:04:25.960145".
func lineTime(line string, near time.Time) (time.Time, bool) {
	if len(line) < 21 {
		return time.Time{}, false
	}
	at, err := time.ParseInLocation("0102 15:04:05.000000", line[1:21], near.Location())
	if err != nil {
		return time.Time{}, false
	}
	return at.AddDate(near.Year(), 0, 0), true
}

// Write prints the result of a run. If promises were broken, it also prints the
// command that repeats the run, and the faults, task runs and log lines around the
// first violation.
func (r *Result) Write(w io.Writer, command string) error {
	verdict := "kept"
	if len(r.Broken) > 0 {
		verdict = fmt.Sprintf("BROKEN %d", len(r.Broken))
	}
	_, err := fmt.Fprintf(w, "seed %-20d %-10s %4d jobs accepted, %d refused; %5d answers, %5d starts, %2d faults; %.1f s\n",
		r.Seed, verdict, r.Accepted, r.Rejected, r.Responses, r.Starts, len(r.Faults), r.Took.Seconds())
	if err != nil || len(r.Broken) == 0 {
		return err
	}
	counts := make(map[string]int)
	for _, b := range r.Broken {
		counts[b.Promise]++
	}
	for _, promise := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "  %3d times: %s\n", counts[promise], promise)
	}
	first := r.Broken[0]
	fmt.Fprintf(w, "  first, %.3f s after the start: %s: job %s: %s\n  again: %s\n  faults around it:\n", first.At.Sub(r.Began).Seconds(), first.Promise, first.Job, first.Text, command)
	for _, f := range r.Faults {
		if f.Began.Before(first.At) && f.Ended.After(first.At.Add(-2*minFaultFreeTime)) {
			fmt.Fprintf(w, "    %6.2f to %6.2f s %s %s\n", f.Began.Sub(r.Began).Seconds(), f.Ended.Sub(r.Began).Seconds(), f.Kind, f.Host)
		}
	}
	for _, x := range r.Runs {
		if first.Job != "" && jobID(x.Task) == first.Job {
			ended := "still running"
			if !x.EndTime.IsZero() {
				ended = fmt.Sprintf("%s at %.3f s, recorded %t", x.End, x.EndTime.Sub(r.Began).Seconds(), x.Acknowledged)
			}
			fmt.Fprintf(w, "    %s attempt %d on %s from %.3f s: %s\n", x.Task, x.Attempt, x.Runner, x.StartTime.Sub(r.Began).Seconds(), ended)
		}
	}
	for _, process := range r.Processes {
		for _, line := range r.excerpt(process, first) {
			fmt.Fprintf(w, "    %-9s %s\n", process, line)
		}
	}
	return nil
}

// WriteJSON writes one JSON object for each result.
func WriteJSON(w io.Writer, results []*Result) error {
	encoder := json.NewEncoder(w)
	for _, r := range results {
		err := encoder.Encode(struct {
			Seed     uint64
			Broken   []Broken
			Accepted int
			Starts   int
			Faults   []injectedFault
		}{r.Seed, r.Broken, r.Accepted, r.Starts, r.Faults})
		if err != nil {
			return err
		}
	}
	return nil
}

// bar is a period on a lane of the timeline. Left and Width are percentages of the
// lane's width.
type bar struct {
	Left, Width float64
	Class, Text string
}

type lane struct {
	Name string
	Bars []bar
}

type chart struct {
	*Result
	Lanes []lane
}

// lanes returns one lane with the faults and task runs of each process, after a
// lane with the violations and the faults of all processes.
func (r *Result) lanes() []lane {
	end := r.Began
	for _, x := range r.Runs {
		end = later(later(end, x.StartTime), x.EndTime)
	}
	for _, f := range r.Faults {
		end = later(end, f.Ended)
	}
	total := end.Sub(r.Began).Seconds()
	if total <= 0 {
		return nil
	}
	place := func(from, to time.Time, class, text string) bar {
		if to.IsZero() {
			to = end
		}
		left := 100 * from.Sub(r.Began).Seconds() / total
		return bar{left, max(0.15, 100*to.Sub(from).Seconds()/total), class, fmt.Sprintf("%s, %.2f to %.2f s", text, from.Sub(r.Began).Seconds(), to.Sub(r.Began).Seconds())}
	}
	var all []lane
	for _, name := range append([]string{""}, r.Processes...) {
		l := lane{Name: name}
		if name == "" {
			l.Name = "all"
		}
		for _, x := range r.Runs {
			if hostName(x.Runner) == name {
				l.Bars = append(l.Bars, place(x.StartTime, x.EndTime, "run", fmt.Sprintf("%s attempt %d %s", x.Task, x.Attempt, x.End)))
			}
		}
		for _, f := range r.Faults {
			if f.Host == name {
				l.Bars = append(l.Bars, place(f.Began, f.Ended, map[bool]string{true: "planned", false: "fault"}[f.Planned], f.Kind))
			}
		}
		for _, b := range r.Broken {
			if name == "" {
				l.Bars = append(l.Bars, place(b.At, b.At, "broken", b.Promise+": "+b.Text))
			}
		}
		all = append(all, l)
	}
	return all
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

var page = template.Must(template.New("report").Parse(`<!doctype html><meta charset="utf-8"><title>Fault soak</title>
<style>body{font:13px sans-serif}.lane{position:relative;height:26px;border-bottom:1px solid #ddd;margin-left:90px}
.lane b{position:absolute;left:-88px;font-weight:normal;top:5px}.bar{position:absolute;min-width:2px}
.run{top:14px;height:9px;background:#4a90d9;opacity:.25}.fault{top:2px;height:10px;background:#d98a2b;opacity:.7}
.planned{top:2px;height:10px;background:#6aa84f;opacity:.8}.broken{top:0;height:26px;background:#c00}</style>
<h1>Fault soak</h1><p>Orange: faults. Green: planned work. Blue: runs of tasks. Red: broken promises. Point at a bar for its text.</p>
{{range .}}<h2>Seed {{.Seed}}: {{if .Broken}}{{len .Broken}} broken{{else}}kept{{end}}, {{.Accepted}} jobs, {{.Starts}} starts</h2>
{{range .Lanes}}<div class="lane"><b>{{.Name}}</b>{{range .Bars}}<div class="bar {{.Class}}" style="left:{{printf "%.2f" .Left}}%;width:{{printf "%.2f" .Width}}%" title="{{.Text}}"></div>{{end}}</div>
{{end}}{{end}}`))

// WriteHTML writes a timeline of faults and task runs for every seed.
func WriteHTML(w io.Writer, results []*Result) error {
	charts := make([]chart, len(results))
	for i, r := range results {
		charts[i] = chart{r, r.lanes()}
	}
	return page.Execute(w, charts)
}
