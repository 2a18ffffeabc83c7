package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/relay"
	"wasabihill.example/wasabihill/internal/standin/callers"
	"wasabihill.example/wasabihill/internal/standin/taskrunner"
)

// TestMain builds the program that the tests start as processes.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak-test-")
	if err == nil {
		binary = filepath.Join(dir, "wasabihill-node")
		err = build(binary)
	}
	code := 1
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

var binary string

func build(path string, arguments ...string) error {
	command := exec.Command("go", append(append([]string{"build", "-o", path}, arguments...), "wasabihill.example/wasabihill/cmd/wasabihill-node")...)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w\n%s", err, output)
	}
	return nil
}

// runSeed runs a seed against a build of the program.
func runSeed(t *testing.T, seed uint64, program, only string) *Result {
	t.Helper()
	r := &Run{Seed: seed, Faults: 12 * time.Second, Entries: 3, Agents: 4, Binary: program, Dir: t.TempDir(), Only: only}
	result, err := r.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestShortSoak guards against a promise that breaks under the faults of short
// schedules. The seeds after the first two are regressions; the cause of each is
// given beside it.
func TestShortSoak(t *testing.T) {
	for _, c := range []struct {
		seed  uint64
		cause string
	}{
		{1, ""},
		{2, ""},
		{663123972, "a start request in flight reached a new incarnation of the runner under the same ID and was treated as lost (runner.replaceIncarnation, scheduler.setRunner)"},
	} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			result := runSeed(t, c.seed, binary, "")
			if result.Accepted == 0 || result.Starts == 0 {
				t.Fatalf("no load was processed: %d jobs accepted, %d starts", result.Accepted, result.Starts)
			}
			if len(result.Broken) > 0 {
				text := &bytes.Buffer{}
				if err := result.Write(text, "wasabihill-soak"); err != nil {
					t.Fatal(err)
				}
				t.Errorf("%s\nknown cause of this seed: %s", text, c.cause)
			}
		})
	}
}

// TestSilentConnectionsKeepLeases guards against processes that stay out of touch for long after
// their open connections have fallen silent, without a reset, so that leases end (review/8).
func TestSilentConnectionsKeepLeases(t *testing.T) {
	r := &Run{Seed: 4, Faults: 16 * time.Second, Entries: 3, Agents: 4, Binary: binary, Dir: t.TempDir(), Catalog: SilenceFaults,
		Only: "silentRunners,silentStore,silentEverything", Rate: 0.13}
	result, err := r.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Faults) == 0 || result.Starts == 0 {
		t.Fatalf("got %d faults and %d starts, want some of both", len(result.Faults), result.Starts)
	}
	if len(result.Broken) > 0 {
		t.Errorf("broken promises: got %v, want none", result.Broken)
	}
}

// TestPlannedStopsLoseNoRequest guards against a planned stop that drops a request
// which the process has read. Callers notice only the cuts that come late; the log of
// the process names all of them. No other faults excuse a cut here.
func TestPlannedStopsLoseNoRequest(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result := runSeed(t, seed, binary, terminateKind)
			if len(result.Broken) > 0 {
				t.Errorf("broken promises: got %v, want none", result.Broken)
			}
			logs, err := filepath.Glob(filepath.Join(result.Dir, "entry-*.log"))
			if err != nil || len(logs) == 0 {
				t.Fatalf("logs of entry processes: got %v, error %v; want some", logs, err)
			}
			for _, path := range logs {
				data, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				for line := range strings.Lines(string(data)) {
					if strings.Contains(line, "request that has no response") {
						t.Errorf("%s: %s", filepath.Base(path), line)
					}
				}
			}
		})
	}
}

// TestRefusalBehindARelayIsKnown guards against a connection that a stopped process has
// refused and that counts as a request cut off: the relay before the process has accepted it,
// so that the caller sees a reset, and late if the machine is busy.
func TestRefusalBehindARelayIsKnown(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, err := relay.New(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		if conn, err := target.Accept(); err == nil {
			conn.Close()
		}
	}()
	client := &callers.Client{Address: r.Address(), Timeout: 5 * time.Second}
	cut := client.Cancel(t.Context(), "/q/1")
	<-accepted
	target.Close()
	refused := client.Cancel(t.Context(), "/q/1")
	if cut.Err == nil || refused.Err == nil {
		t.Fatalf("errors of a closed and a refused connection: got %v and %v, want both", cut.Err, refused.Err)
	}
	if got := []bool{r.Refused(cut.From), r.Refused(refused.From)}; got[0] || !got[1] {
		t.Errorf("refused: got %t for a connection that the target has closed and %t for one that it has refused, want false and true", got[0], got[1])
	}
}

// TestScheduleIsSameForSeed guards against a failure that its seed does not
// reproduce because the schedule of a seed varies.
func TestScheduleIsSameForSeed(t *testing.T) {
	text := func(seed uint64) string {
		out := ""
		for _, p := range schedule(&Run{Seed: seed, Faults: 20 * time.Second, Entries: 3, Agents: 6}) {
			out += fmt.Sprintln(p.kind.name, p.host, p.at, p.duration)
		}
		return out
	}
	first, second := text(7), text(7)
	if first != second {
		t.Error("two schedules of one seed differ")
	}
	if first == text(8) {
		t.Error("the schedules of two seeds are equal")
	}
}

// sourceEdit is an edit that introduces a fault into the product.
type sourceEdit struct{ file, from, to string }

// TestBrokenBuildsAreCaught guards against checks that pass although the product
// breaks a promise. It applies faulty edits with go build -overlay, so that the
// sources are not changed.
func TestBrokenBuildsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  sourceEdit
		only    string // kind of fault that exposes the edit
		promise string
	}{
		{
			"an end is acknowledged before it is durable, and forgotten",
			sourceEdit{"internal/scheduler/ends.go", "	s.markDirty(t.job)\n	if t.step.tasksLeft == 0 {", "	if t.step.tasksLeft == 0 {"},
			"killAll", "a task runs once at a time and not after its end",
		},
		{
			"steps do not wait for each other",
			sourceEdit{"internal/scheduler/occurrences.go", "		if o.steps[dependency].tasksLeft > 0 {\n			return false\n		}\n", "		_ = dependency\n"},
			"configuration", "steps run in their order",
		},
		{
			"a worker's capacity is ignored",
			sourceEdit{"internal/scheduler/place.go", "st.reservation().Fits(w.capacity.Sub(w.used)) && ", ""},
			"configuration", "no runner holds more than its room",
		},
		{
			"evacuated domains get tasks",
			sourceEdit{"internal/scheduler/place.go", " && !s.operatorState.OutOfService[w.runner.Domain]", ""},
			"evacuation", "nothing starts in a domain that is out",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			program := filepath.Join(t.TempDir(), "wasabihill-node")
			if err := build(program, "-overlay", overlay(t, c.change)); err != nil {
				t.Fatal(err)
			}
			result := runSeed(t, 3, program, c.only)
			for _, b := range result.Broken {
				if b.Promise == c.promise {
					return
				}
			}
			t.Errorf("no violation of %q was found; found: %v", c.promise, result.Broken)
		})
	}
}

// overlay writes an edited copy of a source file and returns the path of the
// overlay file.
func overlay(t *testing.T, c sourceEdit) string {
	t.Helper()
	source, err := filepath.Abs(filepath.Join("..", "..", c.file))
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(source)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(data), c.from) != 1 {
		t.Fatalf("%s does not contain %q exactly once; update the edit to match the source", c.file, c.from)
	}
	dir := t.TempDir()
	changed, index := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(data), c.from, c.to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(index, fmt.Appendf(nil, `{"Replace":{%q:%q}}`, source, changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return index
}

// TestChecksFindViolations guards against checks that miss a violation. It covers
// the checks that TestBrokenBuildsAreCaught does not, with constructed observations.
func TestChecksFindViolations(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	quick, hopeless := &jobTemplates[0], &jobTemplates[2]
	for _, c := range []struct {
		name, promise string
		o             observations
	}{
		{"attempts", "failed attempts are counted", observations{jobs: map[string]*job{"j": {id: "j", template: hopeless}}, runs: []taskrunner.Run{
			{Task: "j.0.0.0", Runner: "runner-a", StartTime: at(0), EndTime: at(1), End: "failed", Acknowledged: true},
			{Task: "j.0.0.0", Runner: "runner-a", StartTime: at(1), EndTime: at(2), End: "failed", Acknowledged: true},
			{Task: "j.0.0.0", Runner: "runner-a", StartTime: at(3)},
		}}},
		{"cancel", "a cancelled job starts nothing", observations{jobs: map[string]*job{"j": {id: "j", template: quick, cancelled: at(0)}},
			runs: []taskrunner.Run{{Task: "j.0.0.0", Runner: "runner-a", StartTime: at(5)}}}},
		{"drain", "nothing starts on a draining runner", observations{jobs: map[string]*job{"j": {id: "j", template: quick}},
			draining: []noStartPeriod{{runner: "runner-a", host: "a", from: at(0), until: at(9)}},
			runs:     []taskrunner.Run{{Task: "j.0.0.0", Runner: "runner-a", StartTime: at(4)}}}},
		{"refusal", "a refused job never runs", observations{jobs: map[string]*job{"j": {id: "j", template: quick, rejected: true}},
			runs: []taskrunner.Run{{Task: "j.0.0.0", Runner: "runner-a", StartTime: at(5)}}}},
		{"completed", "a completed job has done its work", observations{jobs: map[string]*job{"j": {id: "j", template: quick, states: []observedState{{at(1), completed}}}}}},
		{"end", "a job ends as its tasks do", observations{jobs: map[string]*job{"j": {id: "j", template: quick, states: []observedState{{at(1), failed}}}}}},
		{"planned stop", "a planned stop cuts no request off", observations{abortedRequests: []abortedRequest{{host: "entry-0", sent: at(0.5), abortedAt: at(1)}},
			faults: []injectedFault{{Kind: terminateKind, Host: "entry-0", Planned: true, Began: at(0), Ended: at(3)}}}},
		{"silence", "silent connections end no lease", observations{jobs: map[string]*job{"j": {id: "j", template: quick}},
			faults: []injectedFault{{Kind: "silentRunners", Began: at(1), Ended: at(1)}},
			runs:   []taskrunner.Run{{Task: "j.0.0.0", Runner: "runner-a", StartTime: at(0), EndTime: at(7), End: "lapsed"}}}},
		{"unknown job", "steps run in their order", observations{runs: []taskrunner.Run{{Task: "x.0.0.0", StartTime: at(0)}}}},
	} {
		found := false
		for _, b := range c.o.findViolations() {
			found = found || b.Promise == c.promise
		}
		if !found {
			t.Errorf("%s: no violation of %q was found", c.name, c.promise)
		}
	}
}

// TestFaultExcusesOnlyItsMachine guards against a fault that excuses a late start on
// another machine, and against one that excuses starts after the bound.
func TestFaultExcusesOnlyItsMachine(t *testing.T) {
	start := time.Now()
	e := &observations{faults: []injectedFault{{Kind: "kill", Host: "agent-0", Began: start, Ended: start.Add(time.Second)}}}
	for host, want := range map[string]bool{"agent-0": false, "agent-1": true} {
		if got := e.faultFree(host, start.Add(3*time.Second), minFaultFreeTime); got != want {
			t.Errorf("fault-free at %s: got %t, want %t", host, got, want)
		}
	}
	if !e.faultFree("agent-0", start.Add(6*time.Second), minFaultFreeTime) {
		t.Error("the machine is not fault-free after the bound")
	}
}
