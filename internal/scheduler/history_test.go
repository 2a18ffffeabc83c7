package scheduler

import (
	"strings"
	"testing"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// Without a record of what was ordered, accepted and given up, the cause of a second run
// can't be found afterwards, because log lines are omitted under load.
func TestSecondRunIsCountedWithItsHistory(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	run := anyRun(a)
	delete(a.running, run)
	f.report("a") // the run is lost
	f.tick()
	if got := f.scheduler.TakeSecondRuns(); got != 0 {
		t.Errorf("second runs before one is reported: got %d, want 0", got)
	}
	f.addWorker("b", 8).running[run] = &wire.RunRow{Task: run, Attempt: 1}
	f.report("b")
	if got := f.scheduler.TakeSecondRuns(); got != 1 {
		t.Errorf("second runs: got %d, want 1", got)
	}
	id, err := workflow.ParseTaskID(run)
	if err != nil {
		t.Fatal(err)
	}
	history := strings.Join(f.scheduler.history.of(id, f.now.Boot), "\n")
	for _, want := range []eventKind{startOrdered, startAccepted, runLost} {
		if !strings.Contains(history, string(want)) {
			t.Errorf("history: got %s, want it to contain %s", history, want)
		}
	}
}

// An end is reported until it is durable. One that was applied before is no second run, and
// logging it would hide the real ones.
func TestRepeatedEndIsNoSecondRun(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 8)
	f.submit("quick", workflow.Step{Count: 1, Size: cores(1)})
	f.tick()
	a.end(anyRun(a), workflow.Stopped)
	ends := a.ended
	f.report("a")
	f.tick()
	a.ended = ends
	f.report("a")
	if got := f.scheduler.TakeSecondRuns(); got != 0 {
		t.Errorf("second runs after an end that was reported twice: got %d, want 0", got)
	}
}

// A history that grows without bound would exhaust the leader's memory.
func TestHistoryKeepsOnlyTheLastEvents(t *testing.T) {
	h := history{}
	for i := range historySize + 10 {
		h.add(event{attempt: workflow.Attempt(i)})
	}
	events := h.of(workflow.TaskID{}, 0)
	if got := len(events); got != historySize {
		t.Errorf("events: got %d, want %d", got, historySize)
	}
	if got, want := events[0], "attempt=10 "; !strings.Contains(got, want) {
		t.Errorf("oldest event: got %q, want it to contain %q", got, want)
	}
}
