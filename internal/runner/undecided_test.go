package runner

import (
	"context"
	"testing"

	"wasabihill.example/wasabihill/internal/workflow"
)

// A start that was not answered is kept in the table until a listing shows what became of
// it. Reported as a run that has started, it makes its job count as begun.
func TestUndecidedStartIsNotReportedAsStarted(t *testing.T) {
	api := &fakeAPI{starts: []Kind{Unanswered, Unanswered, Unanswered, Unanswered}}
	c := newReadyController(api)
	task := workflow.TaskID{Job: "a"}
	c.runs[task] = &run{attempt: 1, starting: true}
	c.callStart(context.Background(), Incarnation{ID: "r"}, StartOrder{Task: task, Attempt: 1})
	report, _ := c.Report()
	if rows := report.GetRunning(); len(rows) != 1 || !rows[0].GetStarting() {
		t.Errorf("start without an answer: got rows %v, want one that is starting", rows)
	}
}
