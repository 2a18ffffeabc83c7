package node

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/wire"
)

// limitReport leaves the longest checkpoints out of a report that is too large for a message. The
// leader would reject the report each time, and the leases of all runs would end; a task without its
// newest checkpoint only repeats some work.
func limitReport(report *wire.WorkerReport) {
	excess := proto.Size(report) - link.MaxMessageBytes
	if excess <= 0 {
		return
	}
	var checkpoints []*string
	for _, row := range report.GetRunning() {
		checkpoints = append(checkpoints, &row.Checkpoint)
	}
	for _, row := range report.GetEnded() {
		checkpoints = append(checkpoints, &row.Checkpoint)
	}
	slices.SortStableFunc(checkpoints, func(a, b *string) int { return cmp.Compare(len(*b), len(*a)) })
	left := 0
	for _, c := range checkpoints {
		if excess <= 0 || *c == "" {
			break
		}
		excess -= len(*c)
		*c = ""
		left++
	}
	klog.InfoS("report is too large; its longest checkpoints are left out", "runs", len(report.GetRunning()), "ends", len(report.GetEnded()), "checkpoints", left)
}
