package configuration_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/configuration"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/generated"
	standin "wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

func TestMain(m *testing.M) {
	generated.Configure(100)
	klog.SetLogger(logr.Discard())
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

type follower = stream.Follower[*configuration.State]

// startPublisher starts a Follower, as a separate process would, and returns a
// Publisher on it.
func startPublisher(ctx context.Context, running *sync.WaitGroup, l *standin.Log) *configuration.Publisher {
	f := &follower{Log: l, Stream: configuration.Stream, State: &configuration.State{}, Decode: configuration.DecodePayload}
	running.Go(func() { _ = f.Run(ctx) })
	return &configuration.Publisher{Log: l, Follower: f, Check: func(b []byte) error {
		if bytes.Contains(b, []byte("bad")) {
			return errors.New("bad document")
		}
		return nil
	}}
}

// runWithFakeTime runs a test with fake time and stops its goroutines at the end.
func runWithFakeTime(t *testing.T, run func(ctx context.Context, running *sync.WaitGroup)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		run(ctx, &running)
	})
}

// TestPublish guards against a wrong result for an operator: after lost replies,
// repeated calls, conflicts and outages, in a stream that starts at offset 1 and in
// one that starts at 0, the offset that means "no version".
func TestPublish(t *testing.T) {
	lost, none := standin.Faults{Script: []standin.Outcome{standin.OutcomeLost}}, standin.Faults{}
	steps := []struct {
		name   string
		faults standin.Faults
		base   string // key of the base version
		key    string
		raw    string
		want   configuration.Kind
		winner string // key of the returned version
	}{
		{"first", none, "", "k1", "{} // one", "", "k1"},
		{"lost reply", lost, "k1", "k2", "{}", "", "k2"},
		{"repeated", none, "k1", "k2", "{}", "", "k2"},
		{"old base", none, "k1", "k3", "{}", configuration.Conflict, "k2"},
		{"failed check", none, "k2", "k4", "bad", configuration.Invalid, ""},
		{"no document", none, "k2", "k4", "", configuration.Invalid, ""},
		{"not UTF-8", none, "k2", "k4", "\xff", configuration.Invalid, ""},
		{"no key", none, "k2", "", "{}", configuration.Invalid, ""},
		{"key of another", none, "k1", "k2", "{ }", configuration.Invalid, "k2"},
		{"base of the future", none, "future", "k4", "{}", configuration.Unavailable, ""},
		{"outage", standin.Faults{Outage: true}, "k2", "k5", "{}", configuration.Unavailable, ""},
		{"lost replies", standin.Faults{LoseReplies: 1}, "k2", "k6", "{}", configuration.Unknown, ""},
		{"repeated after the loss", none, "k2", "k6", "{}", "", "k6"},
	}
	for _, fromZero := range []bool{false, true} {
		runWithFakeTime(t, func(ctx context.Context, running *sync.WaitGroup) {
			l := &standin.Log{FromZero: fromZero}
			offsets := map[string]units.Offset{"future": 1000}
			for i, p := range []*configuration.Publisher{startPublisher(ctx, running, l), startPublisher(ctx, running, l)} {
				for _, s := range steps {
					if i == 1 && s.want != "" {
						continue // the second process only repeats the accepted calls
					}
					l.SetFaults(s.faults)
					v, err := p.Publish(ctx, "trial", offsets[s.base], "amina", s.key, []byte(s.raw))
					if s.want == "" && err != nil || s.want != "" && !fault.Is(err, s.want) || v.Key != s.winner {
						t.Errorf("%s: got %+v, %v, want kind %q and version of %q", s.name, v, err, s.want, s.winner)
					}
					if old := offsets[v.Key]; old != 0 && old != v.Offset {
						t.Errorf("%s: got version %d, want %d", s.name, v.Offset, old)
					}
					offsets[v.Key] = v.Offset
				}
			}
		})
	}
}

// TestBadDocumentOnLog guards against an invalid document that an operator appended
// to the log directly, without a check: it must not come into force or prevent the
// next change.
func TestBadDocumentOnLog(t *testing.T) {
	runWithFakeTime(t, func(ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		a := startPublisher(ctx, running, l)
		if _, err := a.Publish(ctx, "trial", 0, "amina", "k1", []byte("{}")); err != nil {
			t.Fatal(err)
		}
		for _, payload := range []string{"{", "bad", `{"environment":"trial","baseOffset":0,"document":{}}`, `{"environment":"a b","document":{}}`,
			"// by hand\n" + `{"environment":"trial","baseOffset":1,"author":"badru","document":{"bad":1,},}`} {
			offset, err := l.Append(ctx, configuration.Stream, []byte(payload))
			if err != nil {
				t.Fatal(err)
			}
			if err := a.Follower.Wait(ctx, offset); err != nil {
				t.Fatal(err)
			}
		}
		a.Follower.View(func(s *configuration.State) {
			if v, ok := s.Current("trial"); !ok || v.Offset != 6 || v.Author != "badru" {
				t.Errorf("current version: got %+v, want offset 6 by badru", v)
			}
			if v, ok := s.InForce("trial", a.Check); !ok || v.Offset != 1 {
				t.Errorf("version in force: got %+v, want offset 1", v)
			}
		})
		if got := a.Follower.Stats().Malformed; got != 3 {
			t.Errorf("malformed records: got %d, want 3", got)
		}
		if v, err := a.Publish(ctx, "trial", 6, "amina", "k2", []byte("{}")); err != nil || v.Offset != 7 {
			t.Errorf("publication after the invalid document: got %+v, error %v, want offset 7", v, err)
		}
	})
}

// race is a generated sequence of calls of Publish, some of them concurrent, through
// different processes while the log fails.
type race struct {
	Processes int
	Retain    int
	Steps     []raceStep
}

type raceStep struct {
	Process    int
	BaseAge    int // number of versions by which the base is older than the current one
	Outcome    standin.Outcome
	Concurrent bool // starts before the previous step has ended
}

func genRace(t *rapid.T) race {
	outcomes := []standin.Outcome{standin.OutcomeDone, standin.OutcomeLost, standin.OutcomeLate, standin.OutcomeUnavailable}
	r := race{Processes: rapid.IntRange(1, 3).Draw(t, "processes"), Retain: rapid.SampledFrom([]int{0, 12}).Draw(t, "retain")}
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		r.Steps = append(r.Steps, raceStep{
			rapid.IntRange(0, r.Processes-1).Draw(t, "process"), rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "back"),
			rapid.SampledFrom(outcomes).Draw(t, "outcome"), rapid.Bool().Draw(t, "together"),
		})
	}
	return r
}

// publishResult is the result of one call of Publish.
type publishResult struct {
	key     string
	version configuration.Version
	err     error
}

// run executes the race and compares the versions that read returns with the results
// of Publish. It returns the first violation, or nil.
func (r race) run(t *testing.T, read func(context.Context, *standin.Log, *configuration.State) []configuration.Version) (violation error) {
	runWithFakeTime(t, func(ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{RetainCount: r.Retain, ReadLimit: 5}
		publishers := make([]*configuration.Publisher, r.Processes)
		for i := range publishers {
			publishers[i] = startPublisher(ctx, running, l)
		}
		w := &stream.Writer{Log: l, Stream: configuration.Stream, ID: "snapshots"}
		snapshotter := &stream.Snapshotter[*configuration.State]{Follower: publishers[0].Follower, Writer: w, EntryInterval: 4, PartBytes: 200, CheckInterval: 20 * time.Millisecond}
		running.Go(func() { _ = w.Run(ctx) })
		running.Go(func() { _ = snapshotter.Run(ctx) })
		results := r.publish(ctx, l, publishers)
		l.SetFaults(standin.Faults{})
		if _, violation = l.Append(ctx, configuration.Stream, []byte("releases the delayed appends")); violation != nil {
			return
		}
		late := startPublisher(ctx, running, l)
		time.Sleep(5 * time.Second)
		var a, b []byte
		var versions []configuration.Version
		late.Follower.View(func(s *configuration.State) { a, _ = s.Snapshot(); versions = read(ctx, l, s) })
		publishers[0].Follower.View(func(s *configuration.State) { b, _ = s.Snapshot() })
		if !bytes.Equal(a, b) {
			violation = fmt.Errorf("processes have different states:\n%s\n%s", a, b)
			return
		}
		violation = checkVersions(versions, results)
	})
	return violation
}

func (r race) publish(ctx context.Context, l *standin.Log, publishers []*configuration.Publisher) []publishResult {
	results := make([]publishResult, len(r.Steps))
	var operators sync.WaitGroup
	defer operators.Wait()
	for i, s := range r.Steps {
		if !s.Concurrent {
			operators.Wait()
		}
		p := publishers[s.Process]
		var base units.Offset
		p.Follower.View(func(state *configuration.State) {
			if h := state.History("trial"); len(h) > s.BaseAge {
				base = h[len(h)-1-s.BaseAge].Offset
			}
		})
		l.SetFaults(standin.Faults{Script: []standin.Outcome{s.Outcome}})
		operators.Go(func() {
			key := fmt.Sprint("key-", i)
			v, err := p.Publish(ctx, "trial", base, "operator", key, fmt.Appendf(nil, `{"n":%d}`, i))
			results[i] = publishResult{key, v, err}
		})
	}
	return results
}

// checkVersions checks that each version has the previous one as its base, that
// versions contains each version that Publish reported as accepted, and that it
// contains none that Publish reported as not in force.
func checkVersions(versions []configuration.Version, results []publishResult) error {
	at := make(map[string]units.Offset)
	previous := units.Offset(0)
	for _, v := range versions {
		if v.Base != previous {
			return fmt.Errorf("version %d with key %s replaced version %d, but its base is %d", v.Offset, v.Key, previous, v.Base)
		}
		previous = v.Offset
		at[v.Key] = v.Offset
	}
	for _, a := range results {
		switch {
		case a.err == nil && at[a.key] != a.version.Offset:
			return fmt.Errorf("%s was accepted at offset %d, but is at offset %d", a.key, a.version.Offset, at[a.key])
		case a.err != nil && !fault.Is(a.err, configuration.Unknown) && at[a.key] != 0:
			return fmt.Errorf("%s failed with %v, but was accepted at offset %d", a.key, a.err, at[a.key])
		}
	}
	return nil
}

// TestRaces guards against an accepted version that is lost, a version that is
// accepted after Publish reported a conflict, and processes with different states.
// Concurrent calls with lost replies and delayed appends can cause these.
func TestRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		err := genRace(rt).run(t, func(_ context.Context, _ *standin.Log, s *configuration.State) []configuration.Version {
			return s.History("trial")
		})
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestRacesRejectLastWriteWins guards against a check that cannot fail: the same
// races must detect a violation when every record is accepted, so that the last
// write wins.
func TestRacesRejectLastWriteWins(t *testing.T) {
	readLastWriteWins := func(ctx context.Context, l *standin.Log, _ *configuration.State) (versions []configuration.Version) {
		batch, err := logservice.Batch{}, error(nil)
		for from := units.Offset(1); from == 1 || err == nil && from < batch.Next; from += units.Offset(len(batch.Records)) {
			batch, err = l.Read(ctx, configuration.Stream, from, 0)
			for _, record := range batch.Records {
				if r, err := configuration.DecodeRecord(record.Payload); err == nil {
					versions = append(versions, configuration.Version{Offset: record.Offset, Base: r.Base, Key: r.Key})
				}
			}
		}
		return versions
	}
	for seed := range 50 {
		r := rapid.Custom(genRace).Example(seed)
		r.Retain = 0
		if err := r.run(t, readLastWriteWins); err != nil {
			t.Logf("race %d, %d steps: %v", seed, len(r.Steps), err)
			return
		}
	}
	t.Error("no race detected a violation by accepting the last write")
}

// FuzzDecodePayload guards against a payload that makes a reader panic, that is
// decoded but cannot be applied, or that yields a state which a snapshot does not
// preserve.
func FuzzDecodePayload(f *testing.F) {
	payload, _ := configuration.EncodeRecord(configuration.Record{Key: "k", Environment: "trial", Document: []byte("{} // x")})
	f.Add(payload)
	f.Add([]byte("// c\n{\"environment\":\"trial\",\"document\":{\"a\":1,},}"))
	f.Add([]byte(`{"environment":"trial","document":"\ud800"}`))
	f.Add([]byte{0x0a, 1, 'w', 0x10, 1, 0x22, 4, 8, 1, 0x20, 1})
	f.Fuzz(func(t *testing.T, payload []byte) {
		record, err := configuration.DecodePayload(payload)
		if err != nil {
			return
		}
		for _, entry := range record.Entries {
			s := &configuration.State{}
			if err := s.Apply(1, entry); err != nil {
				t.Fatalf("decoded but not applied: %v", err)
			}
			encoded, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored := &configuration.State{}
			if err := restored.Restore(encoded); err != nil {
				t.Fatal(err)
			}
			if again, _ := restored.Snapshot(); !bytes.Equal(again, encoded) {
				t.Errorf("restored state differs:\n%s\n%s", encoded, again)
			}
		}
	})
}
