package node

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/link"
	"wasabihill.example/wasabihill/internal/runner"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/workflow"
)

// Guards against orders that exceed a message: the agent rejects them each time, so that no start
// and no stop of a cancelled job arrives there any more (review/2).
func TestLargeOrdersGoInSeveralMessages(t *testing.T) {
	const count = 2200
	orders := scheduler.Orders{Worker: "w", RunnerID: "r", RunnerStartUnixMs: 7, DurableEnds: 3}
	for i := range count {
		start := runner.StartOrder{Task: workflow.TaskID{Job: "j", Index: i}, Attempt: 1, Spec: strings.Repeat("x", 4000)}
		orders.Starts = append(orders.Starts, start)
		orders.Descriptions = append(orders.Descriptions, start)
		orders.Stops = append(orders.Stops, scheduler.Stop{Task: start.Task, Attempt: 2})
	}
	starts, descriptions, stops := 0, 0, 0
	for i, m := range splitOrders(orders) {
		if got, want := proto.Size(m.Orders), link.MaxMessageBytes/2; got > want {
			t.Errorf("message %d: got %d bytes, want at most %d", i, got, want)
		}
		if m.GetRunner() != "r" || m.GetRecordedBornUnixMs() != 7 || m.GetRecorded() != 3 {
			t.Errorf("message %d: got incarnation %s %d with ends up to %d, want r 7 with 3", i, m.GetRunner(), m.GetRecordedBornUnixMs(), m.GetRecorded())
		}
		if len(m.GetStops()) > 0 && descriptions > 0 {
			t.Errorf("message %d: got stops behind descriptions, want them first", i)
		}
		if len(m.starts) != len(m.GetStarts()) {
			t.Errorf("message %d: got %d starts to confirm, want %d", i, len(m.starts), len(m.GetStarts()))
		}
		starts, descriptions, stops = starts+len(m.GetStarts()), descriptions+len(m.GetDescriptions()), stops+len(m.GetStops())
	}
	if starts != count || descriptions != count || stops != count {
		t.Errorf("got %d starts, %d descriptions and %d stops, want %d each", starts, descriptions, stops, count)
	}
	if got := len(splitOrders(scheduler.Orders{DurableEnds: 1})); got != 1 {
		t.Errorf("orders without a task: got %d messages, want 1", got)
	}
}
