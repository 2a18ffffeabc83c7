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
		e.fillConfig(0, &reply)
		if got, want := units.Offset(reply.GetConfigOffset()), v.Offset; got != want {
			t.Errorf("version in the evidence: got %d, want %d", got, want)
		}
		if reply.GetConfigStalenessMilliseconds() > time.Minute.Milliseconds() {
			t.Errorf("staleness: got %d ms", reply.GetConfigStalenessMilliseconds())
		}
	}
}

// Guards against an entry process that shows and applies an older document
// because it lost the log just after another one accepted an edit: agents have
// the newer document and reach both.
func TestDocumentReachesEntryThroughAgent(t *testing.T) {
	e := &Entry{Log: &logservice.Log{}, Settings: &settings.Entry{ID: "entry-1", Environment: "production", Limits: settings.EntryLimits{TimelineEvents: 10}}}
	e.prepare() // nothing follows the log, as during its outage
	raw := fmt.Appendf(nil, testDocument, "")
	if !e.acceptDocument(&wire.Heartbeat{ConfigOffset: 7}) {
		t.Fatal("the newer document is not asked for")
	}
	e.acceptDocument(&wire.Heartbeat{ConfigOffset: 7, ConfigDocument: raw, ConfigAuthor: "operator"})
	d, err := backend{e}.Document(t.Context(), "production", 0)
	if got, want := d.Version, units.Offset(7); err != nil || got != want || d.Author != "operator" {
		t.Errorf("shown: got version %d by %q, error %v; want %d by operator", got, d.Author, err, want)
	}
	var reply wire.HeartbeatReply
	e.fillConfig(0, &reply)
	if got, want := reply.GetConfigOffset(), uint64(7); got != want {
		t.Errorf("told to agents: got version %d, want %d", got, want)
	}
	e.acceptDocument(&wire.Heartbeat{ConfigOffset: 8, ConfigDocument: []byte("{")})
	e.acceptDocument(&wire.Heartbeat{ConfigOffset: 6, ConfigDocument: raw})
	if _, got := e.Document(); got != 7 {
		t.Errorf("after an unreadable and an older one: got version %d, want 7", got)
	}
}
