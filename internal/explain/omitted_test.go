package explain

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/logging"
)

// Guards against an explanation that doesn't show that lines of the job are missing because
// the process that wrote the log omitted them.
func TestOmittedLinesAreShown(t *testing.T) {
	var out bytes.Buffer
	w := &logging.Writer{Out: &out, KindLinesPerSecond: 2}
	for range 50 {
		fmt.Fprintf(w, "I%s       7 x.go:1] \"job accepted\" job=\"ab\"\n", time.Now().Format("0102 15:04:05.000000"))
	}
	w.Close(10 * time.Second)
	log := out.String()
	lines, err := Read(strings.NewReader(log), "edge-1.log")
	if err != nil {
		t.Fatal(err)
	}
	omitted := 0
	for _, line := range Select("ab", lines) {
		if line.Message == "log lines omitted" && strings.Contains(line.Values, `kind="job accepted"`) {
			omitted++
		}
	}
	if omitted == 0 {
		t.Errorf("lines that report omitted lines: got none, want at least one; log:\n%s", log)
	}
}

// Guards against a long gap in one log that is not shown because its first omitted line is
// far from the lines of the job in the other logs.
func TestGapThatSpansTheJobIsShown(t *testing.T) {
	const omitted = `I0102 10:00:00.000000       7 logging.go:1] "log lines omitted" kind="run ended" count=9 until="%s"` + "\n"
	const job = "I0102 10:00:30.000000       7 x.go:1] \"job accepted\" job=\"ab\"\n"
	for name, c := range map[string]struct {
		until string
		want  int
	}{
		"gap contains the job":      {"0102 10:01:00.000000", 2},
		"gap ends before the job":   {"0102 10:00:20.000000", 1},
		"gap overlaps the margin":   {"0102 10:00:29.500000", 2},
		"end of the gap unreadable": {"soon", 1},
	} {
		t.Run(name, func(t *testing.T) {
			lines, err := Read(strings.NewReader(fmt.Sprintf(omitted, c.until)+job), "edge-1.log")
			if err != nil {
				t.Fatal(err)
			}
			if got := len(Select("ab", lines)); got != c.want {
				t.Errorf("got %d selected lines, want %d", got, c.want)
			}
		})
	}
}
