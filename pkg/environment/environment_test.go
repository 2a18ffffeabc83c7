package environment

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"wasabihill.example/wasabihill/pkg/units"
)

const sample = `{
  "environment": "production", // live
  "failureDomains": [
    {"name": "pwani-a", "region": "pwani", "state": "in"}, // nearest to the market
    {"name": "pwani-b", "region": "pwani", "state": "out"},
  ],
  "teams": [{"name": "moulds", "quota": {"processors": "64", "memory": "256GiB", "accelerators": 0}, "mayBorrow": true}],
  "services": [{"name": "mouldDesk", "team": "moulds", "priority": "urgent", "latencyTarget": "50ms",
                "perEndpoint": {"processors": "8", "memory": "16GiB"}, "slots": 8, "connections": 64}],
  "watchers": [{"name": "freezeMonitor1", "team": "moulds", "priority": "high", "size": {"processors": "250m", "memory": "256MiB"}}],
  "guards": {"enabled": true, "latencyRatio": 1.2},
  "drainedWorkers": ["worker-7", // fan is loud
    "worker-8"],
  "largestWorker": {"processors": "32", "memory": "125GB", "accelerators": 0}
}
`

// Guards against a list of problems that ends at the first one, or that gives a wrong
// position or field.
func TestParseListsEveryProblem(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", `"guards"`, `"gards"`, "doc:11:3: gards: unknown key"},
		{"wrong type", `"slots": 8`, `"slots": "8"`, "doc:9:81: services[0].slots: got a string; want a whole number"},
		{"duplicate key", `"environment": "production",`, `"environment": "production", "environment": "x",`, "doc:2:32: environment: duplicate key"},
		{"duplicate name", `"pwani-b"`, `"pwani-a"`, `doc:5:14: failureDomains[1].name: duplicate name "pwani-a", first at failureDomains[0].name`},
		{"unknown team", `"team": "moulds", "priority": "high"`, `"team": "ghosts", "priority": "high"`, `watchers[0].team: unknown team "ghosts"; want one of: moulds`},
		{"negative size", `"250m"`, `"-250m"`, `watchers[0].size.processors: processors "-250m"`},
		{"not a number", `"250m"`, `"NaN"`, `watchers[0].size.processors: processors "NaN"`},
		{"zero size", `"250m"`, `"0"`, "watchers[0].size.processors: got 0; want more than 0"},
		{"watcher too large", `"250m"`, `"33"`, "watchers[0].size.processors: got 33; want at most the 32 of largestWorker"},
		{"endpoint too large", `"16GiB"`, `"126GB"`, "services[0].perEndpoint.memory: got 126GB; want at most the 125GB of largestWorker"},
		{"few connections", `"connections": 64`, `"connections": 7`, "services[0].connections: got 7; want at least the 8 slots"},
		{"latency target", `"50ms"`, `"-50ms"`, `services[0].latencyTarget: duration "-50ms"`},
		{"latency ratio", `1.2`, `0.9`, "guards.latencyRatio: got 0.9; want a number of at least 1"},
		{"latency ratio without guards", `true, "latencyRatio": 1.2`, `false, "latencyRatio": 0`, "guards.latencyRatio: got 0; want a number of at least 1"},
		{"priority", `"urgent"`, `"asap"`, `services[0].priority: priority "asap": want low, normal, high or urgent`},
		{"state", `"state": "out"`, `"state": "down"`, `doc:5:53: failureDomains[1].state: state "down": want in or out`},
		{"missing", `"environment": "production",`, ``, "doc:1:1: environment: missing"},
		{"truncated", `"largestWorker": {"processors"`, `"largestWorker" "`, "doc:14:19: "},
		{"null", `"drainedWorkers": [`, `"drainedWorkers": null, "x": [`, "drainedWorkers: got null; want an array"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("doc", []byte(strings.Replace(sample, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want an error with %q", err, c.want)
			}
		})
	}
	_, err := Parse("doc", []byte(strings.Replace(sample, `"largestWorker"`, `"largest"`, 1)))
	if got := len(Problems(err)); got != 2 {
		t.Errorf("got %d problems after one misspelt key, want it and the missing key only: %v", got, err)
	}
	text := strings.NewReplacer(`"250m"`, `"0"`, `1.2`, `0.5`, `"in"`, `"IN"`).Replace(sample)
	_, err = Parse("doc", []byte(text))
	if got := len(Problems(err)); got != 3 {
		t.Errorf("got %d problems, want 3: %v", got, err)
	}
}

// Guards against an edit that changes another field or loses a comment, and against
// an encoding that changes a value.
func TestEditsChangeOneField(t *testing.T) {
	before := parse(t, []byte(sample))
	if got := parse(t, Encode(before)); !reflect.DeepEqual(got, before) {
		t.Errorf("encode: got %+v, want %+v", got, before)
	}
	for _, c := range []struct {
		name string
		edit func([]byte) ([]byte, error)
		want []Change
	}{
		{"domain out", func(b []byte) ([]byte, error) { return SetDomainState(b, "pwani-a", DomainOut) }, []Change{{"failureDomains[pwani-a].state", "in", "out"}}},
		{"drain", func(b []byte) ([]byte, error) { return SetDrained(b, "worker-9", true) }, []Change{{"drainedWorkers[worker-9]", "", "listed"}}},
		{"drain again", func(b []byte) ([]byte, error) { return SetDrained(b, "worker-7", true) }, nil},
		{"undrain first", func(b []byte) ([]byte, error) { return SetDrained(b, "worker-7", false) }, []Change{{"drainedWorkers[worker-7]", "listed", ""}}},
		{"undrain last", func(b []byte) ([]byte, error) { return SetDrained(b, "worker-8", false) }, []Change{{"drainedWorkers[worker-8]", "listed", ""}}},
		{"environment", func(b []byte) ([]byte, error) { return SetEnvironment(b, "trial") }, []Change{{"environment", "production", "trial"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			edited, err := c.edit([]byte(sample))
			if err != nil {
				t.Fatal(err)
			}
			if got := Compare(before, parse(t, edited)); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %v, want %v in\n%s", got, c.want, edited)
			}
			for _, comment := range []string{"// live", "// nearest to the market", "// fan is loud"} {
				if !strings.Contains(string(edited), comment) {
					t.Errorf("comment %q is lost in\n%s", comment, edited)
				}
			}
		})
	}
	if _, err := SetDomainState([]byte(sample), "pwani-z", DomainOut); err == nil {
		t.Error("got no error for an unknown failure domain")
	}
}

// Guards against a quota that is lowered below the running work of its team, and
// against a team that borrows and thereby blocks every other edit.
func TestCheckAgainst(t *testing.T) {
	current := parse(t, []byte(sample))
	lowered := parse(t, []byte(strings.Replace(sample, `"64"`, `"10"`, 1)))
	running := func(cores units.Millicores) Running { return Running{"moulds": {Processors: cores * 1000}} }
	if err := lowered.CheckAgainst(current, running(20)); err == nil {
		t.Error("quota below what runs: got no error")
	}
	if err := lowered.CheckAgainst(current, running(10)); err != nil {
		t.Errorf("quota equal to what runs: got %v", err)
	}
	if err := current.CheckAgainst(current, running(100)); err != nil {
		t.Errorf("unchanged quota of a borrowing team: got %v", err)
	}
	_, err := ParseAgainst("doc", []byte(strings.Replace(sample, `"64"`, `"10"`, 1)), current, running(20))
	if ps := Problems(err); len(ps) != 1 || ps[0].Line != 7 {
		t.Errorf("got %v, want one problem on line 7", err)
	}
}

func parse(t testing.TB, text []byte) *Document {
	t.Helper()
	d, err := Parse("doc", text)
	if err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
	return d
}

// BenchmarkParse parses a document of the target size: 150 teams and 1,000 drained
// workers.
func BenchmarkParse(b *testing.B) {
	d := &Document{Environment: "production", LargestWorker: units.Resources{Processors: 64000, Memory: units.GiB << 8},
		FailureDomains: []FailureDomain{{"a", "r", DomainIn}}}
	for i := range 150 {
		d.Teams = append(d.Teams, Team{units.TeamName(fmt.Sprint("team", i)), d.LargestWorker, true})
	}
	for i := range 1000 {
		d.DrainedWorkers = append(d.DrainedWorkers, units.WorkerID(fmt.Sprint("worker-", i)))
	}
	text := Encode(d)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Parse("doc", text); err != nil {
			b.Fatal(err)
		}
	}
}
