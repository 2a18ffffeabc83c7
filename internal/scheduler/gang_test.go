package scheduler

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
)

// A gang that does not fit completely must not start, because its members would wait for
// the others in vain and end without progress.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	f := newFixture(t)
	f.addWorker("a", 2)
	f.submit("quick", workflow.Step{Count: 3, Size: cores(1), Gang: true})
	if got := f.tick(); len(got) != 0 {
		t.Fatalf("got starts %v with capacity for two of three members, want none", got)
	}
	f.addWorker("b", 2)
	if got := f.tick(); len(got) != 3 {
		t.Errorf("got starts %v, want all three members", got)
	}
}

// If the start of one member is rejected, the others must be stopped at once, as they
// make no progress without it. The gang then starts again with one higher attempt number.
func TestRejectedMemberStopsGang(t *testing.T) {
	f := newFixture(t)
	a, b := f.addWorker("a", 2), f.addWorker("b", 2)
	id := f.submit("quick", workflow.Step{Count: 3, Size: cores(1), Gang: true})
	started := f.tick()
	rejected := string(id) + ".0.0.0"
	at := started[rejected]
	delete(f.agents[at].running, rejected)
	f.agents[at].sequence++
	f.scheduler.ApplyReport(at, &wire.WorkerReport{Sequence: f.agents[at].sequence, Runner: f.agents[at].runner,
		Rejected: []*wire.RejectedStart{{Task: rejected, Attempt: 1, Reason: "noRoom"}}, Running: runRows(f.agents[at])}, f.now)
	f.tick()
	if got := len(a.running) + len(b.running); got != 0 {
		t.Errorf("running members after the rejection: got %d, want 0", got)
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
		t.Errorf("attempts of the members: got %v, want attempt 2 for all three", attempts)
	}
}

func runRows(a *fakeAgent) []*wire.RunRow {
	var rows []*wire.RunRow
	for _, row := range a.running {
		rows = append(rows, row)
	}
	return rows
}

// The successful end of one member completes all members of a gang.
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
