package entry

import (
	"testing"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// ledgerWith returns a ledger to which the entries have been applied in order.
func ledgerWith(t *testing.T, entries ...[]byte) *ledger.Ledger {
	t.Helper()
	l := ledger.New()
	for i, e := range entries {
		if err := l.Apply(units.Offset(i+1), e); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

// Guards against an entry process that acknowledges a report before it has read the
// records about the task. The agent would drop an outcome that is not recorded, and
// the task would stay open forever.
func TestReportRecordedNeedsTheLedger(t *testing.T) {
	task := units.Task{Job: "job-1"}
	holder := ledger.WorkerEpoch{Worker: "worker-1", Epoch: 7}
	submitted := ledger.EncodeSubmitted(&wire.JobSubmitted{Job: "job-1", Key: "k", Team: "team", Name: "plan", Tasks: 1,
		Spec: &wire.TaskSpec{Kind: wire.TaskKind_TASK_KIND_BATCH, Priority: wire.Priority_PRIORITY_NORMAL, Team: "team", JobKind: "plan",
			Size: wire.FromResources(units.Resources{Processors: 1000, Memory: units.GiB}), RunMilliseconds: 1000}})
	assigned := ledger.EncodeAssigned(task, 1, holder, units.Resources{Processors: 1000, Memory: units.GiB}, false)
	started := ledger.EncodeStarted(task, 1)
	ended := ledger.EncodeEnded(task, 1, wire.Outcome_OUTCOME_COMPLETED, 0, units.Resources{})
	for _, c := range []struct {
		name    string
		entries [][]byte
		worker  units.WorkerID
		outcome wire.Outcome
		want    bool
	}{
		{"empty ledger", nil, "worker-1", wire.Outcome_OUTCOME_COMPLETED, false},
		{"assignment not read yet", [][]byte{submitted}, "worker-1", wire.Outcome_OUTCOME_COMPLETED, false},
		{"running", [][]byte{submitted, assigned, started}, "worker-1", wire.Outcome_OUTCOME_COMPLETED, false},
		{"start recorded", [][]byte{submitted, assigned, started}, "worker-1", wire.Outcome_OUTCOME_STARTED, true},
		{"end recorded", [][]byte{submitted, assigned, started, ended}, "worker-1", wire.Outcome_OUTCOME_COMPLETED, true},
		{"assigned elsewhere", [][]byte{submitted, assigned}, "worker-2", wire.Outcome_OUTCOME_COMPLETED, true},
	} {
		report := &wire.TaskReport{Task: wire.NewTaskRef(task, 1), Outcome: c.outcome}
		if got := isRecorded(ledgerWith(t, c.entries...), c.worker, report); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against an expiry that is acknowledged without being recorded. The tasks of
// a lost worker would stay assigned to it.
func TestExpirySettledNeedsTheRoster(t *testing.T) {
	x := &wire.LeaseExpiry{Worker: "worker-1", Epoch: 7, Term: 1}
	register := func(epoch units.Epoch) []byte {
		return roster.EncodeRegistered(roster.Worker{ID: "worker-1", Epoch: epoch, Domain: "a", Rack: "a", Region: "r", LinkAddress: "127.0.0.1:1",
			Capacity: units.Resources{Processors: 1000, Memory: units.GiB}})
	}
	for _, c := range []struct {
		name    string
		entries [][]byte
		want    bool
	}{
		{"empty roster", nil, false},
		{"registration not read yet", [][]byte{register(6)}, false},
		{"in force", [][]byte{register(7)}, false},
		{"replaced", [][]byte{register(7), register(8)}, true},
	} {
		r := roster.New()
		for i, e := range c.entries {
			if err := r.Apply(units.Offset(i+1), e); err != nil {
				t.Fatal(err)
			}
		}
		if got := expirySettled(r, x); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
