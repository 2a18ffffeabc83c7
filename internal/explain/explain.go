// Package explain finds in the logs of several processes what happened to one
// job: the lines that name it, and in between the lines that changed what the
// processes believed, such as another leader or a worker that was given up.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time    time.Time // of the process that wrote it, without a year
	Process string
	Message string // the quoted text
	Values  string // the pairs after it
}

// structured matches a line of a process, with or without words before it, of
// which the last is the process's name.
var structured = regexp.MustCompile(`^(.*?)[IWE](\d{4} \d\d:\d\d:\d\d\.\d{6})\s+\d+ [^\]]*\] "([^"]*)"\s?(.*)$`)

// parse returns false for a line that is not structured.
func parse(text, process string) (Line, bool) {
	m := structured.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	at, err := time.Parse("0102 15:04:05.000000", m[2])
	if err != nil {
		return Line{}, false
	}
	if before := strings.Fields(m[1]); len(before) > 0 {
		process = before[len(before)-1]
	}
	return Line{Time: at, Process: process, Message: m[3], Values: m[4]}, true
}

// Read returns the structured lines of a log. name is the file's, which names
// the process where the lines do not.
func Read(r io.Reader, name string) ([]Line, error) {
	process := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text(), process); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// maxLine is far longer than any line that a process writes.
const maxLine = 1 << 20

// beliefs are the messages that change what a process believes. They explain
// what happens to every job at that time.
var beliefs = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "settings reloaded": true,
	"leadership won": true, "leadership lost": true, "leadership is not renewed": true, "leadership is not supported": true,
	"leader is ready": true, "connection to the leader is lost": true,
	"worker is given up": true, "runner replaced": true, "runner does not answer": true, "runner answers again": true,
	"session to agent ended": true, "operators' state is in force": true, "append to the jobs' topic is repeated": true,
	"log lines omitted": true,
}

// margin is how long before and after the job's own lines beliefs are shown.
const margin = time.Second

// Select returns the lines that explain a job, in the order of their times.
func Select(id string, lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var first, last time.Time
	for _, line := range lines {
		if strings.Contains(line.Values, id) {
			if first.IsZero() {
				first = line.Time
			}
			last = line.Time
		}
	}
	var path []Line
	for _, line := range lines {
		own := strings.Contains(line.Values, id)
		near := !first.IsZero() && !line.Time.Before(first.Add(-margin)) && !line.Time.After(last.Add(margin))
		if own || near && beliefs[line.Message] {
			path = append(path, line)
		}
	}
	return path
}

// Write prints a path, one line each; lines of the job itself are marked.
func Write(w io.Writer, id string, path []Line) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tPROCESS\t\tWHAT\tWITH")
	for _, line := range path {
		mark := ""
		if strings.Contains(line.Values, id) {
			mark = "*"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", line.Time.Format("15:04:05.000"), line.Process, mark, line.Message, line.Values)
	}
	return table.Flush()
}
