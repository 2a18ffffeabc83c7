package node

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// A machine may take over the name of one that is cut off: its agent registers under that name
// at another address, and reports a runner of its own. Guards against a leader that takes this
// for the end of the runner before, which nobody has asked at its address: its agent holds the
// lease that it was granted, and all tasks of the worker would run twice.
func TestRunsMayGoOnWhereTheWorkerWasBefore(t *testing.T) {
	for name, sameRunner := range map[string]bool{"another runner": false, "the same runner": true} {
		t.Run(name, func(t *testing.T) {
			l := startTerm(t, &slowStore{})
			report := func(worker string, r *wire.RunnerState, sequence uint64, at scheduler.Timestamp, runs ...*wire.RunRow) {
				in := &wire.WorkerReport{Sequence: sequence, Runner: r, Running: runs}
				l.scheduler.ApplyReport(units.WorkerID(worker), in, at)
				l.scheduler.ExtendLease(units.WorkerID(worker), in, at)
			}
			begin := now()
			at := func(d time.Duration) scheduler.Timestamp {
				return scheduler.Timestamp{Boot: begin.Boot.Add(d), Wall: begin.Wall.Add(d)}
			}
			first := &agentConn{worker: "w", address: "127.0.0.1:1", stop: func() {}}
			l.agents["w"] = first
			l.agentAttached(first, nil)
			report("w", deskReport().Runner, 1, begin)
			l.scheduler.Accept(&workflow.Job{ID: "j", Queue: "q", Steps: []workflow.Step{{Count: 1}}, Submitted: time.Now()}, workflow.Policy{Service: "desk"}, begin)
			if got := l.orderedStarts(begin.Boot); got != 1 {
				t.Fatalf("starts on the worker: got %d, want 1", got)
			}
			row := &wire.RunRow{Task: "j.0.0.0", Attempt: 1, Pace: 100}
			l.scheduler.ConfirmStarts("w", []runner.StartOrder{{Task: workflow.TaskID{Job: "j"}, Attempt: 1}}, 1, begin)
			report("w", deskReport().Runner, 2, begin, row)

			l.handleMember(member{role: RoleAgent, name: "w", address: "127.0.0.1:2"})
			l.agentAttached(l.agents["w"], nil)
			next := deskReport().Runner
			if !sameRunner {
				next.Id = "next"
			}
			report("w", next, 1, at(time.Second)) // it lists no run
			if got, want := l.orderedStarts(at(time.Second).Boot) == 1, sameRunner; got != want {
				t.Errorf("task starts within the lease of its run: got %t, want %t", got, want)
			}
			if sameRunner {
				return
			}
			after := at(grantDuration + grantMargin + time.Millisecond)
			report("w", next, 2, after)
			if got := l.orderedStarts(after.Boot); got != 1 {
				t.Errorf("starts after the lease: got %d, want 1", got)
			}
		})
	}
}
