package environment

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tailscale/hujson"
	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/generated"
	"wasabihill.example/wasabihill/pkg/units"
)

// TestMain fixes the seed of the generated cases, so that runs are reproducible.
// The flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	generated.Configure(100)
	os.Exit(m.Run())
}

func drawSize(t *rapid.T, label string, most units.Resources) units.Resources {
	return units.Resources{
		Processors:   units.Millicores(rapid.Int64Range(1, int64(most.Processors)).Draw(t, label+" processors")),
		Memory:       units.Bytes(rapid.Int64Range(1, int64(most.Memory)).Draw(t, label+" memory")),
		Accelerators: rapid.Int32Range(0, most.Accelerators).Draw(t, label+" accelerators"),
	}
}

func drawDocument(t *rapid.T) *Document {
	d := &Document{Environment: "trial", LargestWorker: drawSize(t, "largest", units.Resources{Processors: 128000, Memory: units.GiB << 10, Accelerators: 8})}
	for i := range rapid.IntRange(1, 4).Draw(t, "domains") {
		state := rapid.SampledFrom([]DomainState{DomainIn, DomainOut}).Draw(t, "state")
		d.FailureDomains = append(d.FailureDomains, FailureDomain{units.DomainName(fmt.Sprint("domain-", i)), "pwani", state})
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "teams") {
		d.Teams = append(d.Teams, Team{units.TeamName(fmt.Sprint("team", i)), drawSize(t, "quota", d.LargestWorker), rapid.Bool().Draw(t, "borrow")})
	}
	priority := rapid.SampledFrom([]units.Priority{units.PriorityLow, units.PriorityNormal, units.PriorityHigh, units.PriorityUrgent})
	for i := range rapid.IntRange(0, 3).Draw(t, "services") {
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		d.Services = append(d.Services, Service{units.ServiceName(fmt.Sprint("service", i)), d.Teams[0].Name, priority.Draw(t, "priority"),
			time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "target")), drawSize(t, "endpoint", d.LargestWorker), slots, slots * 2})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "watchers") {
		d.Watchers = append(d.Watchers, Watcher{fmt.Sprint("watcher", i), d.Teams[0].Name, priority.Draw(t, "priority"), drawSize(t, "watcher", d.LargestWorker)})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "drained") {
		d.DrainedWorkers = append(d.DrainedWorkers, units.WorkerID(fmt.Sprint("worker-", i)))
	}
	if rapid.Bool().Draw(t, "guards") {
		d.Guards = Guards{rapid.Bool().Draw(t, "enabled"), rapid.Float64Range(1, 10).Draw(t, "ratio")}
	}
	return d
}

// Guards against a value that changes when it is encoded and parsed again, and
// against a difference that Compare misses or reports wrongly.
func TestEncodeAndCompareRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t), drawDocument(t)
		read, err := Parse("a", Encode(a))
		if err != nil {
			t.Fatalf("%v in\n%s", err, Encode(a))
		}
		if !reflect.DeepEqual(read, a) {
			t.Fatalf("got %+v, want %+v", read, a)
		}
		if changes := Compare(a, read); len(changes) != 0 {
			t.Fatalf("got %v between equal documents", changes)
		}
		if same := reflect.DeepEqual(a, b); same != (len(Compare(a, b)) == 0) {
			t.Fatalf("got %v between documents that are equal: %v", Compare(a, b), same)
		}
		forward, backward := Compare(a, b), Compare(b, a)
		if len(forward) != len(backward) {
			t.Fatalf("got %d changes one way and %d the other", len(forward), len(backward))
		}
		for _, c := range forward {
			if !slices.Contains(backward, Change{c.Field, c.After, c.Before}) {
				t.Fatalf("change %v has no opposite in %v", c, backward)
			}
		}
	})
}

// comment inserts distinct comments before and after random values and returns
// their number.
func comment(t *rapid.T, raw []byte) ([]byte, int) {
	root, err := hujson.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for v := range root.All() {
		add := func(extra hujson.Extra) hujson.Extra {
			if !rapid.Bool().Draw(t, "commented") {
				return extra
			}
			n++
			form := rapid.SampledFrom([]string{"// note %d.\n", "/* note %d. */"}).Draw(t, "form")
			return append(extra, fmt.Sprintf(form, n)...)
		}
		v.BeforeExtra, v.AfterExtra = add(v.BeforeExtra), add(v.AfterExtra)
	}
	return root.Pack(), n
}

// Guards against an edit that loses a comment, breaks the syntax, or changes
// another field.
func TestEditsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDocument(t)
		text, comments := comment(t, Encode(d))
		domain := rapid.SampledFrom(d.FailureDomains).Draw(t, "domain")
		worker := units.WorkerID(fmt.Sprint("worker-", rapid.IntRange(0, 5).Draw(t, "worker")))
		before := d.IsDrained(worker)
		for _, step := range []struct {
			edit func([]byte) ([]byte, error)
			want int // number of changes from the original document
		}{
			{func(b []byte) ([]byte, error) { return SetDomainState(b, domain.Name, opposite[domain.State]) }, 1},
			{func(b []byte) ([]byte, error) { return SetDrained(b, worker, !before) }, 2},
			{func(b []byte) ([]byte, error) { return SetEnvironment(b, "production") }, 3},
			{func(b []byte) ([]byte, error) { return SetDrained(b, worker, before) }, 2},
			{func(b []byte) ([]byte, error) { return SetDomainState(b, domain.Name, domain.State) }, 1},
			{func(b []byte) ([]byte, error) { return SetEnvironment(b, "trial") }, 0},
		} {
			edited, err := step.edit(text)
			if err != nil {
				t.Fatalf("%v in\n%s", err, text)
			}
			text = edited
			read, err := Parse("edited", text)
			if err != nil {
				t.Fatalf("%v in\n%s", err, text)
			}
			if got := len(Compare(d, read)); got != step.want {
				t.Fatalf("got %v, want %d changes in\n%s", Compare(d, read), step.want, text)
			}
			for i := range comments {
				if note := fmt.Sprintf("note %d.", i+1); !strings.Contains(string(text), note) {
					t.Fatalf("%q is lost in\n%s", note, text)
				}
			}
		}
	})
}

var opposite = map[DomainState]DomainState{DomainIn: DomainOut, DomainOut: DomainIn}

// Guards against a text that makes the parser panic, and against a valid document
// that changes or fails when it is encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(strings.Replace(sample, `"250m"`, `"NaN"`, 1)))
	f.Add([]byte(sample[:300]))
	f.Add([]byte(`{"environment": 1, "environment": [], "\u0000": {}, /* */ }`))
	f.Add([]byte(strings.Repeat("[", 100)))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse("fuzz", text)
		if err != nil {
			if len(Problems(err)) == 0 {
				t.Errorf("error without problems: %v", err)
			}
			return
		}
		read, err := Parse("encoded", Encode(d))
		if err != nil || len(Compare(d, read)) != 0 {
			t.Errorf("got %v and changes %v after encoding", err, Compare(d, read))
		}
		if _, err := SetDrained(text, "worker-99", true); err != nil {
			t.Errorf("edit of a valid document: %v", err)
		}
	})
}
