package entry

import (
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/ledger"
	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against a task that stays open forever because its outcome was lost, and
// against the release of one that its worker runs or is about to report.
func TestReconcileReleasesOnlyLostAttempts(t *testing.T) {
	task := units.Task{Job: "job-1"}
	holder := ledger.WorkerEpoch{Worker: "worker-1", Epoch: 7}
	size := units.Resources{Processors: 1000, Memory: units.GiB}
	entries := [][]byte{
		ledger.EncodeSubmitted(&wire.JobSubmitted{Job: "job-1", Key: "k", Team: "team", Name: "plan", Tasks: 1, Spec: &wire.TaskSpec{
			Kind: wire.TaskKind_TASK_KIND_BATCH, Priority: wire.Priority_PRIORITY_NORMAL, Team: "team", JobKind: "plan", Size: wire.FromResources(size), RunMilliseconds: 1000}}),
		ledger.EncodeAssigned(task, 1, holder, size, false),
		ledger.EncodeStarted(task, 1),
	}
	report := []*wire.TaskReport{{Task: wire.NewTaskRef(task, 1), Outcome: wire.Outcome_OUTCOME_COMPLETED}}
	for _, c := range []struct {
		name       string
		started    bool
		running    units.Attempt // in the full lists
		reports    []*wire.TaskReport
		epoch      units.Epoch // of the agent
		secondList bool        // a second list arrives
		want       int         // entries proposed
	}{
		{"running", true, 1, nil, 7, true, 0},
		{"reported", true, 0, report, 7, true, 0},
		{"not started", false, 0, nil, 7, true, 0},
		{"another epoch", true, 0, nil, 8, true, 0},
		{"missing from one list only", true, 0, nil, 7, false, 0},
		{"missing from two lists", true, 0, nil, 7, true, 1},
	} {
		e := &Entry{Log: &logservice.Log{}, Settings: &settings.Entry{ID: "entry-1", Environment: "production", Limits: settings.EntryLimits{TimelineEvents: 10}}}
		e.prepare()
		n := len(entries)
		if !c.started {
			n--
		}
		for i, entry := range entries[:n] {
			if err := e.jobs.State.Apply(units.Offset(i+1), entry); err != nil {
				t.Fatal(err)
			}
		}
		control := newControl(e)
		start := time.Now()
		for second := range 20 {
			now := start.Add(time.Duration(second) * time.Second)
			w := &workerState{id: "worker-1", session: &link.Session{}, lastHeartbeatAt: now, runningEpoch: c.epoch, runningListedAt: start,
				heartbeat: &wire.Heartbeat{Epoch: uint64(c.epoch), Reports: c.reports}, runningAttempts: map[units.Task]units.Attempt{task: c.running}}
			if c.secondList && second > 5 {
				w.runningListedAt = start.Add(5 * time.Second)
			}
			control.workers["worker-1"] = w
			control.compareRunningLists(now)
		}
		if got := min(len(control.jobsOutbox.entries), 1); got != c.want {
			t.Errorf("%s: proposed entries: got %d, want %d", c.name, got, c.want)
		}
	}
}
