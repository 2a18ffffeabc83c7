package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarises a histogram of times since the planned send time. Durations in
// its JSON form are nanoseconds.
type Latency struct {
	Count  int64         `json:"count"`
	Mean   time.Duration `json:"mean"`
	Median time.Duration `json:"median"`
	P90    time.Duration `json:"p90"`
	P99    time.Duration `json:"p99"`
	P999   time.Duration `json:"p999"`
	Max    time.Duration `json:"max"`
}

// Report is the result of a run. Durations in its JSON form are nanoseconds.
type Report struct {
	Rate     float64        `json:"rate"`     // planned requests per second
	Planned  int            `json:"planned"`  // number of requests
	Goodput  float64        `json:"goodput"`  // requests per second with the outcome done
	Took     time.Duration  `json:"took"`     // until the last response
	Outcomes map[string]int `json:"outcomes"` // by outcome: done, notRun, unknown, broken (no complete response)
	Statuses map[int]int    `json:"statuses"`
	Faults   map[string]int `json:"faults"` // violations by kind; empty when every response was correct
	Done     Latency        `json:"done"`
	NotRun   Latency        `json:"notRun"`
	Late     Latency        `json:"late"` // from the planned time to the send time
}

func newReport(o Options, planned int, took time.Duration, results []*workerResult) *Report {
	all := newWorkerResult()
	for _, r := range results {
		addCounts(all.outcomes, r.outcomes)
		addCounts(all.statuses, r.statuses)
		addCounts(all.faults, r.faults)
		all.done.Merge(r.done)
		all.notRun.Merge(r.notRun)
		all.late.Merge(r.late)
	}
	return &Report{
		Rate: o.Rate, Planned: planned, Took: took, Goodput: float64(all.outcomes["done"]) / took.Seconds(),
		Outcomes: all.outcomes, Statuses: all.statuses, Faults: all.faults,
		Done: summarise(all.done), NotRun: summarise(all.notRun), Late: summarise(all.late),
	}
}

func addCounts[K comparable](into, from map[K]int) {
	for k, n := range from {
		into[k] += n
	}
}

func summarise(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{
		Count: h.TotalCount(), Mean: time.Duration(h.Mean() * float64(time.Microsecond)),
		Median: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: time.Duration(h.Max()) * time.Microsecond,
	}
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	out := fmt.Sprintf("planned   %d requests at %.0f/s, took %v, goodput %.1f/s\n", r.Planned, r.Rate, r.Took.Round(time.Millisecond), r.Goodput)
	out += "outcomes " + formatCounts(r.Outcomes) + "\nstatuses " + formatCounts(r.Statuses) + "\nfaults   " + formatCounts(r.Faults) + "\n"
	for _, l := range []struct {
		name string
		Latency
	}{{"done", r.Done}, {"notRun", r.NotRun}, {"late", r.Late}} {
		if l.Count > 0 {
			out += fmt.Sprintf("%-9s n=%d mean=%v p50=%v p90=%v p99=%v p99.9=%v max=%v\n", l.name, l.Count, l.Mean.Round(time.Microsecond), l.Median, l.P90, l.P99, l.P999, l.Max)
		}
	}
	_, err := io.WriteString(w, out)
	return err
}

func formatCounts[K interface{ ~string | ~int }](m map[K]int) string {
	if len(m) == 0 {
		return " none"
	}
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	out := ""
	for _, k := range keys {
		out += fmt.Sprintf(" %v=%d", k, m[k])
	}
	return out
}
