package entry

import (
	"context"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/pkg/administration"
)

// Guards against an entry process that starts while the log is down and answers
// that a document or job does not exist, instead of that it is unavailable. In an
// acceptance run a valid job was rejected because "the environment has no
// document".
func TestNotFoundOnlyAfterTheLogIsRead(t *testing.T) {
	e := &Entry{Log: &logservice.Log{}, Settings: &settings.Entry{ID: "entry-1", Environment: "production", Limits: settings.EntryLimits{TimelineEvents: 10}}}
	e.prepare()
	expectKind := func(want administration.Kind) {
		t.Helper()
		_, documentErr := backend{e}.Document(t.Context(), "production", 0)
		_, jobErr := backend{e}.Job(t.Context(), "job-1")
		for what, err := range map[string]error{"document": documentErr, "job": jobErr} {
			if got := administration.KindOf(err); got != want {
				t.Errorf("%s: got %q, want %q", what, got, want)
			}
		}
	}
	expectKind(administration.KindUnavailable)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { _ = e.config.Run(ctx); done <- struct{}{} }()
	go func() { _ = e.jobs.Run(ctx); done <- struct{}{} }()
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit) && max(e.config.Staleness(time.Now()), e.jobs.Staleness(time.Now())) > maxLogStaleness; {
		time.Sleep(10 * time.Millisecond)
	}
	expectKind(administration.KindNotFound)
	cancel()
	<-done
	<-done
}
