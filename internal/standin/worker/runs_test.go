package worker

import (
	"testing"

	"wasabihill.example/wasabihill/pkg/units"
	"wasabihill.example/wasabihill/pkg/workerapi"
)

// TestCommittedCountsRunsAndStandbys guards against checks of a worker's capacity that
// pass because tasks are left out, or fail because ended ones are counted.
func TestCommittedCountsRunsAndStandbys(t *testing.T) {
	for state, want := range map[workerapi.TaskState]units.Millicores{
		workerapi.Running: 5000, workerapi.Standby: 5000,
		workerapi.Completed: 2000, workerapi.Checkpointed: 2000, workerapi.Stopped: 2000, workerapi.Expired: 2000, workerapi.Failed: 2000,
	} {
		table := workerapi.Table{Tasks: []workerapi.Task{
			{State: workerapi.Running, Size: units.Resources{Processors: 2000}},
			{State: state, Size: units.Resources{Processors: 3000}},
		}}
		if got := Committed(table).Processors; got != want {
			t.Errorf("2 cores run, 3 cores %s: got %v committed, want %v", state, got, want)
		}
	}
}
