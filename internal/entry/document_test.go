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

// Guards against a reply that reports an old document as fresh because the follower
// has read a newer one that the control loop has not put in force yet. For as long
// as the loop is busy, an agent would start tasks in a failure domain that has been
// taken out of service.
func TestStalenessCoversOnlyWhatIsInForce(t *testing.T) {
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
		e.fillConfig(0, &reply)
		if got, want := units.Offset(reply.GetConfigOffset()), v.Offset; got != want {
			t.Errorf("version in the reply: got %d, want %d", got, want)
		}
		if reply.GetConfigStalenessMilliseconds() > time.Minute.Milliseconds() {
			t.Errorf("staleness: got %d ms, want at most one minute", reply.GetConfigStalenessMilliseconds())
		}
	}
}

// Guards against an entry process that shows and applies an older document because
// it lost the connection to the log just after another process accepted an edit.
// The agents, which reach both processes, have the newer document.
func TestDocumentReachesEntryThroughAgent(t *testing.T) {
	e := &Entry{Log: &logservice.Log{}, Settings: &settings.Entry{ID: "entry-1", Environment: "production", Limits: settings.EntryLimits{TimelineEvents: 10}}}
	e.prepare() // the log is not followed, as during its outage
	raw := fmt.Appendf(nil, testDocument, "")
	if !e.acceptDocument(&wire.Heartbeat{ConfigOffset: 7}) {
		t.Fatal("the newer document was not requested from the agent")
	}
	e.acceptDocument(&wire.Heartbeat{ConfigOffset: 7, ConfigDocument: raw, ConfigAuthor: "operator"})
	d, err := backend{e}.Document(t.Context(), "production", 0)
	if got, want := d.Version, units.Offset(7); err != nil || got != want || d.Author != "operator" {
		t.Errorf("document shown: got version %d by %q, error %v; want %d by operator", got, d.Author, err, want)
	}
	var reply wire.HeartbeatReply
	e.fillConfig(0, &reply)
	if got, want := reply.GetConfigOffset(), uint64(7); got != want {
		t.Errorf("sent to agents: got version %d, want %d", got, want)
	}
	e.acceptDocument(&wire.Heartbeat{ConfigOffset: 8, ConfigDocument: []byte("{")})
	e.acceptDocument(&wire.Heartbeat{ConfigOffset: 6, ConfigDocument: raw})
	if _, got := e.Document(); got != 7 {
		t.Errorf("after an unreadable and an older document: got version %d, want 7", got)
	}
}
