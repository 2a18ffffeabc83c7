package operator

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/administration"
	"wasabihill.example/wasabihill/internal/administration/administrationtest"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/timeline"
	api "wasabihill.example/wasabihill/pkg/administration"
	"wasabihill.example/wasabihill/pkg/units"
)

var update = flag.Bool("update", false, "write the want files of the test cases")

const (
	operatorToken = "operator-token-0123456789"
	teamToken     = "moulds-token-0123456789"
)

// productionDocument returns the document in force in the test cases, version 1 of
// the environment production.
func productionDocument(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "production.json"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func newBackend(t *testing.T) *administrationtest.Backend {
	b := administrationtest.New()
	if _, err := b.Publish(t.Context(), api.Publication{Environment: "production", Key: "p", Author: "amina", Text: productionDocument(t)}); err != nil {
		t.Fatal(err)
	}
	b.RunningResources = map[units.TeamName]units.Resources{"moulds": {Processors: 20_000, Memory: units.GiB}}
	capacity := api.Size{Processors: 32_000, Memory: 125e9}
	b.WorkerList = []api.Worker{
		{ID: "worker-1", Epoch: 3, FailureDomain: "pwani-a", Rack: "r1", Region: "pwani", State: "ready", Capacity: capacity,
			Committed: api.Size{Processors: 8_000, Memory: 16 * units.GiB}, Running: 2,
			Endpoints: []api.Endpoint{{Service: "mouldDesk", State: "ready", Slots: 8, Busy: 3}}},
		{ID: "worker-7", Epoch: 1, FailureDomain: "pwani-b", Rack: "r2", Region: "pwani", State: "drained", Capacity: capacity},
	}
	b.EntryList = []api.Entry{{ID: "entry-1", FailureDomain: "pwani-a", Region: "pwani", LinkAddress: "10.0.1.7:7003", Live: true, Answering: true},
		{ID: "entry-2", FailureDomain: "pwani-b", Region: "pwani", LinkAddress: "10.0.2.7:7003"}}
	b.TeamList = []api.Team{{Name: "moulds", Quota: api.Size{Processors: 64_000, Memory: 256 * units.GiB}, Used: api.Size{Processors: 20_000, Memory: units.GiB}, MayBorrow: true, Pending: 4},
		{Name: "coldRooms", Quota: api.Size{Processors: 4_000, Memory: 8 * units.GiB}}}
	if _, err := b.Submit(t.Context(), api.Submission{Key: "k", Team: "moulds", Name: "festival", Kind: "mould", Priority: units.PriorityHigh,
		Tasks: 2, Size: units.Resources{Processors: 2000, Memory: units.GiB}, RunTime: time.Minute}); err != nil {
		t.Fatal(err)
	}
	clock := timeline.Clock(1_700_000_000_000 << 16)
	b.EventList = []timeline.Event{
		{Process: "agent-1", Sequence: 1, Clock: clock, Lane: "worker", Kind: "started", Subject: "job-1/0", Text: "attempt 1 on worker-1", Cause: "entry-1/2"},
		{Process: "entry-1", Sequence: 1, Clock: clock + 1<<16, Lane: "job", Kind: "submitted", Subject: "job-1", Text: "2 tasks of <moulds>"},
		{Process: "entry-1", Sequence: 2, Clock: clock + 2<<16, Lane: "entry", Kind: "launch", Subject: "job-1/0", Text: "to worker-1", Cause: "entry-1/1"},
	}
	return b
}

// injectFault holds the faults that the file "fault" of a test case can name.
var injectFault = map[string]func(*administrationtest.Backend){
	"log down": func(b *administrationtest.Backend) { b.Fail = api.Unavailable(api.OutcomeNotRun, errors.New("down")) },
	"reply lost": func(b *administrationtest.Backend) {
		b.FailAfter = api.Unavailable(api.OutcomeUnknown, errors.New("lost"))
	},
}

// Guards against unintended changes of the output, the errors and the exit code
// of every verb. Each folder of testdata/cases is a test case: arguments has one
// argument per line, want the expected result, and the other files are input.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob(filepath.Join("testdata", "cases", "*"))
	if err != nil || len(folders) == 0 {
		t.Fatalf("got no cases: %v", err)
	}
	t.Setenv("WASABIHILL_TOKEN", operatorToken)
	for _, name := range []string{"WASABIHILL_SERVER", "WASABIHILL_TOKEN_FILE", "WASABIHILL_ENVIRONMENT"} {
		t.Setenv(name, "")
		_ = os.Unsetenv(name)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			backend := newBackend(t)
			server := httptest.NewServer(administration.NewServer(administration.Config{Backend: backend, Environment: "production",
				OperatorToken: settings.NewSecret(operatorToken), TeamTokens: map[units.TeamName]settings.Secret{"moulds": settings.NewSecret(teamToken)}}))
			defer server.Close()
			t.Chdir(folder)
			if fault, err := os.ReadFile("fault"); err == nil {
				injectFault[strings.TrimSpace(string(fault))](backend)
			}
			text, err := os.ReadFile("arguments")
			if err != nil {
				t.Fatal(err)
			}
			text = bytes.ReplaceAll(bytes.TrimSpace(text), []byte("SERVER"), []byte(server.Listener.Addr().String()))
			var args []string
			if len(text) > 0 {
				args = strings.Split(string(text), "\n")
			}
			got := runCase(args)
			got = strings.ReplaceAll(got, server.Listener.Addr().String(), "SERVER")
			compareFile(t, "want", got)
		})
	}
}

func runCase(args []string) string {
	var out, errOut bytes.Buffer
	root := Root()
	root.Writer, root.ErrWriter = &out, &errOut
	root.Reader = strings.NewReader(`{"name": "piped", "team": "moulds", "size": {"processors": "1", "memory": "1GiB"}, "runTime": "5m"}`)
	code := execute(context.Background(), root, append([]string{"wasabihill"}, args...))
	return fmt.Sprintf("exit code %d\n--- output\n%s--- errors\n%s", code, out.String(), errOut.String())
}

func compareFile(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s\n(after an intended change, run this test with -update)", got, want)
	}
}

// Guards against a verb that fails because one server is down although another one
// responds, and against a job that is submitted twice because the client tried
// two servers.
func TestNextServerIsTried(t *testing.T) {
	backend := newBackend(t)
	handler := administration.NewServer(administration.Config{Backend: backend, Environment: "production", OperatorToken: settings.NewSecret(operatorToken)})
	available, closed := httptest.NewServer(handler), httptest.NewServer(handler)
	defer available.Close()
	closed.Close()
	t.Setenv("WASABIHILL_TOKEN", operatorToken)
	servers := closed.URL + "," + available.URL
	if got := runCase([]string{"--server", servers, "submit", "--key", "again", "-"}); !strings.Contains(got, "job-2 is pending") {
		t.Errorf("got %s, want job-2 from the second server", got)
	}
	if got := runCase([]string{"--server", available.URL, "submit", "--key", "again", "-"}); !strings.Contains(got, "job-2 is pending") {
		t.Errorf("got %s, want the same job for the same key", got)
	}
	if got := runCase([]string{"--server", closed.URL, "submit", "-"}); !strings.Contains(got, "outcome: notRun") || !strings.HasPrefix(got, "exit code 1") {
		t.Errorf("got %s, want exit code 1 and outcome notRun when the server refuses the connection", got)
	}
}

// Guards against a completion script that is missing for a shell, and against
// completions that omit the subcommands of a verb.
func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		if got := runCase([]string{"completion", shell}); !strings.HasPrefix(got, "exit code 0") || !strings.Contains(got, "wasabihill") {
			t.Errorf("got %s, want a script for %s", got, shell)
		}
	}
	if got := runCase([]string{"domain", "--generate-shell-completion"}); !strings.Contains(got, "\nout") || !strings.Contains(got, "\nin") {
		t.Errorf("got %s, want out and in", got)
	}
}
