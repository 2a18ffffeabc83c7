package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/settings"
	"wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against fresh evidence for an old document: the follower has read a
// newer one, but the control loop has not put it in force yet. An agent would
// go on starting tasks in a failure domain that was taken out for as long as
// that loop is busy.
func TestEvidenceCoversOnlyWhatIsInForce(t *testing.T) {
	e := &Entry{Log: &logservice.Log{}, Settings: &settings.Entry{ID: "entry-1", Environment: "production", Limits: settings.EntryLimits{TimelineEvents: 10}}}
	e.prepare() // the control loop never runs
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.config.Run(ctx) }()
	defer func() { cancel(); <-done }()
	var base units.Offset
	for n := range 3 {
		v, err := e.publisher.Publish(ctx, "production", base, "test", fmt.Sprint(n), fmt.Appendf(nil, testDocument, ""))
		if err != nil {
			t.Fatal(err)
		}
		base = v.Offset
		var reply wire.HeartbeatReply
		e.describeConfig(0, &reply)
		if got, want := units.Offset(reply.GetConfigOffset()), v.Offset; got != want {
			t.Errorf("version in the evidence: got %d, want %d", got, want)
		}
		if reply.GetConfigStalenessMilliseconds() > time.Minute.Milliseconds() {
			t.Errorf("staleness: got %d ms", reply.GetConfigStalenessMilliseconds())
		}
	}
}
