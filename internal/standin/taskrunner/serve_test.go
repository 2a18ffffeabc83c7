package taskrunner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestLateCallMeetsTheRunnerAsItIs guards against a late call that is executed by a
// runner that has crashed or is not the one that the caller expects. Such a run
// would look like one that the scheduler started twice. A restarted runner does
// execute it, because calls do not name the incarnation.
func TestLateCallMeetsTheRunnerAsItIs(t *testing.T) {
	const delay = 50 * time.Millisecond
	for _, c := range []struct {
		name     string
		expected string // instance that the caller expects
		inFlight func(*Runner)
		want     int // starts
	}{
		{"working", "runner-1", func(*Runner) {}, 1},
		{"crashed", "runner-1", (*Runner).Crash, 0},
		{"restarted", "runner-1", (*Runner).Restart, 1},
		{"another runner expected", "runner-2", func(*Runner) {}, 0},
	} {
		r := New(Settings{ID: "runner-1", Cores: 1, MaxLease: time.Minute, Recorder: NewRecorder(),
			Work: func(string, string) Work { return Work{} }})
		r.Set(Fault{ApplyDelay: delay})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/api/run-start",
			strings.NewReader(`{"task": "job.0", "attempt": 1, "untilMs": 60000, "fencingToken": 1}`))
		request.Header.Set("X-Expected-Instance", c.expected)
		r.withFault(r.serveStart)(httptest.NewRecorder(), request)
		cancel()
		c.inFlight(r)
		time.Sleep(4 * delay)
		if got := r.StartCount(); got != c.want {
			t.Errorf("%s: starts: got %d, want %d", c.name, got, c.want)
		}
		if got := r.LateCalls(); got != c.want {
			t.Errorf("%s: late calls: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestListOfEndsIsCut guards against lists that are longer than those of real runners, which
// hide what a reader makes of the ends that are missing.
func TestListOfEndsIsCut(t *testing.T) {
	const ends = maxEndsPerReply + 20
	r := newTestRunner("runner-1")
	for i := range ends {
		r.endedRuns = append(r.endedRuns, endedRun{number: uint64(i + 1), task: "job.0.0.0", attempt: 1, end: "done"})
	}
	for _, c := range []struct {
		lastSeen, first uint64
		rows            int
	}{{0, 1, maxEndsPerReply}, {maxEndsPerReply, maxEndsPerReply + 1, 20}, {ends, 0, 0}} {
		reply := httptest.NewRecorder()
		r.serveHold(reply, httptest.NewRequest(http.MethodPost, "/api/hold", nil), callBody{LastSeen: c.lastSeen})
		var got struct{ Ended [][]any }
		if err := json.Unmarshal(reply.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		if len(got.Ended) != c.rows || c.rows > 0 && got.Ended[0][0] != float64(c.first) {
			t.Errorf("last seen %d: got %d rows, want %d from %d on", c.lastSeen, len(got.Ended), c.rows, c.first)
		}
	}
}

// TestLatePaceIsFenced guards against a late call that a real runner rejects.
func TestLatePaceIsFenced(t *testing.T) {
	r := newTestRunner("runner-1")
	r.start("job.0.0.0", "", 1, 60_000, 7)
	if got := r.setPace("job.0.0.0", 1, 50, 6); got != "fence" {
		t.Errorf("pace with a lower token: got %q, want a rejection", got)
	}
}
