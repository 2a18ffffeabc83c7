package agent

import (
	"fmt"
	"testing"
	"time"
)

type stubSession struct{ Session }

// Guards against a report that reaches no entry process because the one that
// launched the task does not answer, and against reports that go to every one of
// many entry processes.
func TestReportsGoToTheLauncherFirst(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name                         string
		entries                      int
		launcherAnswered, reportedAt time.Duration // ago
		wantLauncher, wantOthers     bool
	}{
		{"few entry processes", maxBroadcastEntries, 0, 0, true, true},
		{"many entry processes", 12, 0, 0, true, false},
		{"unacknowledged for longer than launcherOnlyPeriod", 12, 0, launcherOnlyPeriod + time.Millisecond, true, true},
		{"launcher unresponsive", 12, maxReplyAge, 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &Agent{}
			a.entries = make(map[string]*entry)
			for i := range c.entries {
				name := fmt.Sprint("entry-", i)
				a.entries[name] = &entry{name: name, session: stubSession{}, answeredAt: now}
			}
			launcher := a.entries["entry-0"]
			launcher.answeredAt = now.Add(-c.launcherAnswered)
			row := &task{launchedBy: "entry-0", reportPendingSince: now.Add(-c.reportedAt)}
			if got := a.shouldReport(launcher, row, now); got != c.wantLauncher {
				t.Errorf("report to the launcher: got %t, want %t", got, c.wantLauncher)
			}
			if got := a.shouldReport(a.entries["entry-1"], row, now); got != c.wantOthers {
				t.Errorf("report to another entry process: got %t, want %t", got, c.wantOthers)
			}
		})
	}
}
