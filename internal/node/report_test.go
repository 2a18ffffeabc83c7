package node

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
)

// Guards against a report that the leader rejects each time because of its checkpoints, whose length
// no page limits: the leases of all runs of the worker would end.
func TestReportFitsAMessage(t *testing.T) {
	report := &wire.WorkerReport{Sequence: 1}
	for i := range 500 {
		report.Running = append(report.Running, &wire.RunRow{Task: fmt.Sprintf("j.0.0.%d", i), Attempt: 1, Checkpoint: strings.Repeat("c", 100*i)})
		report.Ended = append(report.Ended, &wire.EndRow{Number: uint64(i), Task: fmt.Sprintf("j.0.1.%d", i), Attempt: 1, Checkpoint: "short"})
	}
	limitReport(report)
	if got, want := proto.Size(report), link.MaxMessageBytes; got > want {
		t.Errorf("got %d bytes, want at most %d", got, want)
	}
	if got := len(report.GetRunning()) + len(report.GetEnded()); got != 1000 {
		t.Errorf("got %d rows, want 1000", got)
	}
	if report.GetRunning()[1].GetCheckpoint() == "" || report.GetEnded()[1].GetCheckpoint() == "" {
		t.Error("short checkpoints are left out, want the longest ones only")
	}
}
