// Package explain extracts the history of one job from the logs of several processes: the
// lines that contain the id of the job, and the lines from the same time that report
// changes of a process's state, such as a change of leader or a failed worker, or lines
// that the process omitted.
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

	"wasabihill.example/wasabihill/internal/logging"
)

// Line is one line of a log.
type Line struct {
	Time    time.Time // by the clock of the process that wrote the line; log lines have no year
	End     time.Time // of the period that the line reports; Time if it reports no period
	Process string
	Message string // quoted text
	Values  string // key=value pairs after the message
}

// structuredLine matches a structured log line. Words may precede the line; the last of
// them is the name of the process.
var structuredLine = regexp.MustCompile(`^(.*?)[IWE](\d{4} \d\d:\d\d:\d\d\.\d{6})\s+\d+ [^\]]*\] "([^"]*)"\s?(.*)$`)

// parseLine returns false for a line that is not structured. process is the name of the
// process unless the line contains one.
func parseLine(text, process string) (Line, bool) {
	m := structuredLine.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	at, err := time.Parse(logging.HeaderTimeLayout, m[2])
	if err != nil {
		return Line{}, false
	}
	if prefix := strings.Fields(m[1]); len(prefix) > 0 {
		process = prefix[len(prefix)-1]
	}
	return Line{Time: at, End: periodEnd(at, m[4]), Process: process, Message: m[3], Values: m[4]}, true
}

// untilValue matches the end of the period in the line that reports omitted lines.
var untilValue = regexp.MustCompile(`\buntil="(\d{4} \d\d:\d\d:\d\d\.\d{6})"$`)

// periodEnd returns the end of the period that the values of a line report, or at, the time
// of the line, if they report none.
func periodEnd(at time.Time, values string) time.Time {
	if m := untilValue.FindStringSubmatch(values); m != nil {
		if end, err := time.Parse(logging.HeaderTimeLayout, m[1]); err == nil {
			return end
		}
	}
	return at
}

// Read returns the structured lines of a log. name is the name of the file; without its
// extension it is the process of the lines that contain none. The error is
// that of r, or bufio.ErrTooLong for a line longer than maxLine.
func Read(r io.Reader, name string) ([]Line, error) {
	process := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Text(), process); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// maxLine is the maximum length of a line, in bytes. It is far above the length of any line
// that a process writes; a longer line is an error.
const maxLine = 1 << 20

// stateChanges holds the messages that report a change of a process's state, which may
// affect every job at that time.
var stateChanges = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "settings reloaded": true,
	"leadership won": true, "leadership lost": true, "leadership is not renewed": true, "leadership is not supported": true,
	"leader is ready": true, "connection to the leader is lost": true,
	"worker is given up": true, "runner replaced": true, "runner does not answer": true, "runner answers again": true,
	"session to agent ended": true, "operators' state is in force": true, "append to the jobs' topic is repeated": true,
	logging.OmittedMessage: true,
}

// margin is how long before the first and after the last line of the job state changes
// are still included.
const margin = time.Second

// Select returns the lines of a job and the state changes during it, sorted by time. It
// sorts lines in place.
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
	var selected []Line
	for _, line := range lines {
		own := strings.Contains(line.Values, id)
		near := !first.IsZero() && !line.End.Before(first.Add(-margin)) && !line.Time.After(last.Add(margin))
		if own || near && stateChanges[line.Message] {
			selected = append(selected, line)
		}
	}
	return selected
}

// Write prints the selected lines as a table. The lines of the job itself are marked with
// an asterisk.
func Write(w io.Writer, id string, selected []Line) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tPROCESS\t\tWHAT\tWITH")
	for _, line := range selected {
		mark := ""
		if strings.Contains(line.Values, id) {
			mark = "*"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", line.Time.Format("15:04:05.000"), line.Process, mark, line.Message, line.Values)
	}
	return table.Flush()
}
