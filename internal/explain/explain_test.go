package explain

import (
	"os"
	"strings"
	"testing"
)

// Guards against a selection that omits the cause of a failure. The log was recorded on a
// day with faults; for each of three failed requests the lines that show the cause must
// be selected by its id.
func TestCauseOfRecordedFailures(t *testing.T) {
	cases := map[string]struct {
		id    string
		cause []string // in this order
	}{
		"refused":              {"7dd456e3d4b6129e", []string{"leadership is not supported", "request answered"}},
		"late":                 {"82691fb6d1798c46", []string{"job accepted", "leadership won", "job ended"}},
		"lost with its runner": {"b821afddd692071b", []string{"job accepted", "runner does not answer", "runner replaced", "run is lost"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			file, err := os.Open("testdata/day.log")
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			lines, err := Read(file, "day.log")
			if err != nil {
				t.Fatal(err)
			}
			var messages []string
			for _, line := range Select(test.id, lines) {
				messages = append(messages, line.Message)
			}
			at := 0
			for _, message := range messages {
				if at < len(test.cause) && message == test.cause[at] {
					at++
				}
			}
			if at < len(test.cause) {
				t.Errorf("got %q, want %q in this order", messages, test.cause)
			}
		})
	}
}

// Guards against lines of several files that are not merged by time, and against output
// that includes unstructured lines.
func TestReadAndWrite(t *testing.T) {
	const log = "noise\nI0102 10:00:01.000000  7 x.go:1] \"job accepted\" job=\"ab\"\n"
	lines, err := Read(strings.NewReader(log), "dir/edge-1.log")
	if err != nil {
		t.Fatal(err)
	}
	other, err := Read(strings.NewReader("I0102 10:00:00.500000  7 x.go:1] \"leadership won\" term=3\n"), "edge-2.log")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Write(&out, "ab", Select("ab", append(lines, other...))); err != nil {
		t.Fatal(err)
	}
	want := "TIME          PROCESS     WHAT            WITH\n" +
		"10:00:00.500  edge-2      leadership won  term=3\n" +
		"10:00:01.000  edge-1   *  job accepted    job=\"ab\"\n"
	if got := out.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
