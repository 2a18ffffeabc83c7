package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// A gang that does not fit as a whole must not start: its members would wait
// for the others and end alone.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 2)
	f.submit("quick", workflow.Step{Count: 3, Size: cores(1), Gang: true})
	if got := f.tick(); len(got) != 0 {
		t.Fatalf("got starts %v with room for two of three, want none", got)
	}
	f.addWorker("b", 2)
	if got := f.tick(); len(got) != 3 {
		t.Errorf("got starts %v, want all three", got)
	}
}

// When one member is refused, the others must be stopped at once, and the gang
// starts again under one higher attempt number.
func TestRejectedMemberStopsGang(t *testing.T) {
	f := newFixture(t)
	a, b := f.addWorker("a", 2), f.addWorker("b", 2)
	id := f.submit("quick", workflow.Step{Count: 3, Size: cores(1), Gang: true})
	started := f.tick()
	refused := string(id) + ".0.0.0"
	at := started[refused]
	delete(f.agents[at].running, refused)
	f.agents[at].sequence++
	f.scheduler.ApplyReport(at, &wire.WorkerReport{Sequence: f.agents[at].sequence, Runner: f.agents[at].runner,
		Rejected: []*wire.RejectedStart{{Task: refused, Attempt: 1, Reason: "noRoom"}}, Running: runRows(f.agents[at])}, f.now)
	f.tick()
	if got := len(a.running) + len(b.running); got != 0 {
		t.Errorf("members that go on: got %d, want 0", got)
	}
	f.advance(time.Second)
	f.report("a")
	f.report("b")
	f.tick()
	attempts := make(map[int64]int)
	for _, w := range []*fakeAgent{a, b} {
		for _, row := range w.running {
			attempts[row.GetAttempt()]++
		}
	}
	if attempts[2] != 3 {
		t.Errorf("attempts of the members: got %v, want all three under 2", attempts)
	}
}

func runRows(a *fakeAgent) []*wire.RunRow {
	var rows []*wire.RunRow
	for _, row := range a.running {
		rows = append(rows, row)
	}
	return rows
}

// One end of a gang's member stands for all.
func TestGangIsDoneTogether(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", 4)
	id := f.submit("quick", workflow.Step{Count: 3, Size: cores(1), Gang: true})
	f.tick()
	for task := range a.running {
		a.end(task, workflow.Done)
	}
	f.report("a")
	f.tick()
	f.wantState(id, workflow.Completed)
}
