package configuration_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/configuration"
	"wasabihill.example/wasabihill/internal/fault"
	standin "wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/pkg/units"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	_ = errors.Join(flags.Set("logtostderr", "false"), flags.Set("stderrthreshold", "FATAL"))
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

type follower = stream.Follower[*configuration.State]

// process starts one process that follows and publishes.
func process(ctx context.Context, running *sync.WaitGroup, l *standin.Log) *configuration.Publisher {
	f := &follower{Log: l, Stream: configuration.Stream, State: &configuration.State{}, Decode: configuration.DecodePayload}
	running.Go(func() { _ = f.Run(ctx) })
	return &configuration.Publisher{Log: l, Follower: f, Check: func(b []byte) error {
		if bytes.Contains(b, []byte("bad")) {
			return errors.New("bad document")
		}
		return nil
	}}
}

// bubble runs a test with fake time and stops its processes at the end.
func bubble(t *testing.T, run func(ctx context.Context, running *sync.WaitGroup)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		run(ctx, &running)
	})
}

// TestPublish guards against a wrong answer to an operator.
func TestPublish(t *testing.T) {
	for _, fromZero := range []bool{false, true} {
		bubble(t, func(ctx context.Context, running *sync.WaitGroup) {
			l := &standin.Log{FromZero: fromZero}
			a, b := process(ctx, running, l), process(ctx, running, l)
			first, err := a.Publish(ctx, "trial", 0, "amina", "k1", []byte("{} // one"))
			if err != nil || first.Offset == 0 || string(first.Document) != "{} // one" {
				t.Fatalf("first: got %+v, %v", first, err)
			}
			l.SetFaults(standin.Faults{Script: []standin.Outcome{standin.OutcomeLost}})
			second, err := b.Publish(ctx, "trial", first.Offset, "badru", "k2", []byte("{}"))
			if err != nil || second.Base != first.Offset {
				t.Fatalf("second, with a lost reply: got %+v, %v", second, err)
			}
			if again, err := a.Publish(ctx, "trial", first.Offset, "badru", "k2", []byte("{}")); err != nil || again.Offset != second.Offset {
				t.Errorf("repeated: got %+v, %v", again, err)
			}
			if winner, err := a.Publish(ctx, "trial", first.Offset, "amina", "k3", []byte("{}")); !fault.Is(err, configuration.Lost) || winner.Key != "k2" {
				t.Errorf("old base: got %+v, %v", winner, err)
			}
			for name, c := range map[string]struct {
				base units.Offset
				key  string
				raw  string
				want configuration.Kind
			}{
				"failed check":       {second.Offset, "k4", "bad", configuration.Invalid},
				"no document":        {second.Offset, "k4", "", configuration.Invalid},
				"not UTF-8":          {second.Offset, "k4", "\xff", configuration.Invalid},
				"no key":             {second.Offset, "", "{}", configuration.Invalid},
				"key of another":     {second.Offset, "k2", "{ }", configuration.Invalid},
				"base of the future": {1000, "k4", "{}", configuration.Unavailable},
			} {
				if v, err := a.Publish(ctx, "trial", c.base, "amina", c.key, []byte(c.raw)); !fault.Is(err, c.want) {
					t.Errorf("%s: got %+v, %v, want kind %s", name, v, err, c.want)
				}
			}
			l.SetFaults(standin.Faults{Outage: true})
			if _, err := a.Publish(ctx, "trial", second.Offset, "amina", "k5", []byte("{}")); !fault.Is(err, configuration.Unavailable) {
				t.Errorf("outage: got %v", err)
			}
			l.SetFaults(standin.Faults{LoseReplies: 1})
			if _, err := a.Publish(ctx, "trial", second.Offset, "amina", "k6", []byte("{}")); !fault.Is(err, configuration.Unknown) {
				t.Errorf("lost replies: got %v", err)
			}
		})
	}
}

// TestBadDocumentOnLog guards against a document that an operator appended
// without a check: it must not come into force, and the next change must be
// possible.
func TestBadDocumentOnLog(t *testing.T) {
	bubble(t, func(ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		a := process(ctx, running, l)
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
				t.Errorf("current: got %+v", v)
			}
			if v, ok := s.InForce("trial", a.Check); !ok || v.Offset != 1 {
				t.Errorf("in force: got %+v", v)
			}
		})
		if got := a.Follower.Stats().Malformed; got != 3 {
			t.Errorf("malformed: got %d, want 3", got)
		}
		if v, err := a.Publish(ctx, "trial", 6, "amina", "k2", []byte("{}")); err != nil || v.Offset != 7 {
			t.Errorf("after the bad one: got %+v, %v", v, err)
		}
	})
}

// race is a generated contest: operators publish through different processes
// while the log fails.
type race struct {
	Processes int
	Retain    int
	Steps     []raceStep
}

type raceStep struct {
	Process  int
	Back     int // how many versions the base is behind
	Outcome  standin.Outcome
	Together bool // does not wait for the one before
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

// answer is what an operator was told.
type answer struct {
	key     string
	version configuration.Version
	err     error
}

// run executes the race and returns the answers and the log.
func (r race) run(t *testing.T, check func(*standin.Log, []answer, *configuration.Publisher, *configuration.Publisher) error) (violation error) {
	bubble(t, func(ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{RetainCount: r.Retain, ReadLimit: 5}
		publishers := make([]*configuration.Publisher, r.Processes)
		for i := range publishers {
			publishers[i] = process(ctx, running, l)
		}
		w := &stream.Writer{Log: l, Stream: configuration.Stream, ID: "snapshots"}
		snapshotter := &stream.Snapshotter[*configuration.State]{Follower: publishers[0].Follower, Writer: w, Every: 4, PartSize: 200, Tick: 20 * time.Millisecond}
		running.Go(func() { _ = w.Run(ctx) })
		running.Go(func() { _ = snapshotter.Run(ctx) })
		answers := r.publish(ctx, l, publishers)
		l.SetFaults(standin.Faults{})
		offset, err := l.Append(ctx, configuration.Stream, []byte("end"))
		if err != nil {
			violation = err
			return
		}
		late := process(ctx, running, l)
		for _, p := range []*configuration.Publisher{publishers[0], late} {
			// Late records come after the append that releases them.
			violation = errors.Join(violation, p.Follower.Wait(ctx, offset))
		}
		synctest.Wait()
		violation = errors.Join(violation, check(l, answers, publishers[0], late))
	})
	return violation
}

func (r race) publish(ctx context.Context, l *standin.Log, publishers []*configuration.Publisher) []answer {
	answers := make([]answer, len(r.Steps))
	var operators sync.WaitGroup
	for i, s := range r.Steps {
		if !s.Together {
			operators.Wait()
		}
		p := publishers[s.Process]
		var base units.Offset
		p.Follower.View(func(state *configuration.State) {
			if h := state.History("trial"); len(h) > s.Back {
				base = h[len(h)-1-s.Back].Offset
			}
		})
		l.SetFaults(standin.Faults{Script: []standin.Outcome{s.Outcome}})
		operators.Go(func() {
			key := fmt.Sprint("key-", i)
			v, err := p.Publish(ctx, "trial", base, "operator", key, fmt.Appendf(nil, `{"n":%d}`, i))
			answers[i] = answer{key, v, err}
		})
	}
	operators.Wait()
	return answers
}

// checkFold checks the guarantee on the real fold: an accepted version stays in
// the line of versions for good, and a lost one is never in it.
func checkFold(_ *standin.Log, answers []answer, early, late *configuration.Publisher) error {
	var line []configuration.Version
	var a, b []byte
	early.Follower.View(func(s *configuration.State) { line = s.History("trial"); a, _ = s.Snapshot() })
	late.Follower.View(func(s *configuration.State) { b, _ = s.Snapshot() })
	if !bytes.Equal(a, b) {
		return fmt.Errorf("processes disagree:\n%s\n%s", a, b)
	}
	return checkLine(line, answers)
}

func checkLine(line []configuration.Version, answers []answer) error {
	at := make(map[string]units.Offset)
	previous := units.Offset(0)
	for _, v := range line {
		if v.Base != previous {
			return fmt.Errorf("version %d by %s replaced %d, but the operator saw %d", v.Offset, v.Key, previous, v.Base)
		}
		previous = v.Offset
		at[v.Key] = v.Offset
	}
	for _, a := range answers {
		switch {
		case a.err == nil && at[a.key] != a.version.Offset:
			return fmt.Errorf("%s was accepted at %d and is at %d", a.key, a.version.Offset, at[a.key])
		case a.err != nil && !fault.Is(a.err, configuration.Unknown) && at[a.key] != 0:
			return fmt.Errorf("%s was answered %v and is in force since %d", a.key, a.err, at[a.key])
		}
	}
	return nil
}

// TestRaces guards against an accepted configuration that reverts, a loser that
// comes into force, and processes that disagree.
func TestRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := genRace(rt).run(t, checkFold); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestRacesRejectLastWriteWins guards against a check that cannot fail: a fold
// in which the last record wins must be convicted by the same histories.
func TestRacesRejectLastWriteWins(t *testing.T) {
	naive := func(l *standin.Log, answers []answer, _, _ *configuration.Publisher) error {
		batch, _ := l.Read(context.Background(), configuration.Stream, 0, 0)
		var line []configuration.Version
		for from := batch.First; from < batch.Next; {
			batch, err := l.Read(context.Background(), configuration.Stream, from, 0)
			if err != nil {
				return nil
			}
			for _, record := range batch.Records {
				if r, err := configuration.DecodeRecord(record.Payload); err == nil {
					line = append(line, configuration.Version{Offset: record.Offset, Base: r.Base, Key: r.Key})
				}
			}
			from += units.Offset(len(batch.Records))
		}
		return checkLine(line, answers)
	}
	generator := rapid.Custom(genRace)
	for seed := range 50 {
		r := generator.Example(seed)
		r.Retain = 0
		if err := r.run(t, naive); err != nil {
			t.Logf("race %d, %d steps: %v", seed, len(r.Steps), err)
			return
		}
	}
	t.Error("no race convicted the last write")
}

// FuzzDecodePayload guards against a record that breaks a reader, or that one
// reader accepts and the fold of another cannot apply.
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
