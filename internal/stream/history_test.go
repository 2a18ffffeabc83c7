package stream_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/generated"
	standin "wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

func TestMain(m *testing.M) {
	generated.Configure(100)
	klog.SetLogger(logr.Discard())
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("k8s.io/klog/v2.(*flushDaemon).run.func1"))
}

// counter is a State that counts how often each entry was applied and stores the
// order of the entries.
type counter struct {
	Applied map[string]int
	Order   []string
}

func (c *counter) Apply(_ units.Offset, entry []byte) error {
	if string(entry) == "malformed" {
		return errors.New("malformed")
	}
	if c.Applied == nil {
		c.Applied = make(map[string]int)
	}
	c.Applied[string(entry)]++
	c.Order = append(c.Order, string(entry))
	return nil
}

func (c *counter) Snapshot() ([]byte, error) { return json.Marshal(c) }

func (c *counter) Restore(encoded []byte) error {
	*c = counter{}
	if encoded == nil {
		return nil
	}
	return json.Unmarshal(encoded, c)
}

// appender is implemented by Writer and naiveWriter.
type appender interface {
	Append(ctx context.Context, entries ...[]byte) (units.Offset, error)
	Run(ctx context.Context) error
}

// naiveWriter retries an append after any error, each time under a new sequence.
type naiveWriter struct {
	log      logservice.Service
	id       string
	sequence uint64
}

func (n *naiveWriter) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (n *naiveWriter) Append(ctx context.Context, entries ...[]byte) (offset units.Offset, err error) {
	for range 5 {
		n.sequence++
		payload, _ := proto.Marshal(&wire.Envelope{Writer: n.id, Sequence: n.sequence, Entries: entries})
		if offset, err = n.log.Append(ctx, "s", payload); err == nil {
			return offset, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, fault.Wrap("append", stream.Unavailable, err)
}

// step is one event of a history.
type step struct {
	Writer  int
	Kind    string // append, outage, replay, malformed, pause
	Outcome standin.Outcome
	Pause   time.Duration
}

// history is a generated sequence of steps with the settings of the run.
type history struct {
	Writers, Retain, EntryInterval int
	Steps                          []step
}

func genHistory(t *rapid.T) history {
	outcomes := []standin.Outcome{standin.OutcomeDone, standin.OutcomeDone, standin.OutcomeLost, standin.OutcomeLate, standin.OutcomeUnavailable}
	kinds := []string{"append", "append", "append", "append", "append", "outage", "replay", "malformed", "pause"}
	h := history{
		Writers:       rapid.IntRange(1, 4).Draw(t, "writers"),
		Retain:        rapid.SampledFrom([]int{0, 60}).Draw(t, "retain"),
		EntryInterval: rapid.IntRange(5, 20).Draw(t, "every"),
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		h.Steps = append(h.Steps, step{
			Writer:  rapid.IntRange(0, h.Writers-1).Draw(t, "writer"),
			Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
			Pause:   time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond,
		})
	}
	return h
}

// appendResults contains the result that Append returned for each entry.
type appendResults struct {
	sync.Mutex
	errors map[string]error
}

// run executes h and returns the guarantees that were violated, or nil.
func (h history) run(t *testing.T, newWriter func(l logservice.Service, id string) appender) (violation error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		l := &standin.Log{RetainCount: h.Retain, ReadLimit: 7}
		early := follow(ctx, &running, l)
		snapshots := &stream.Writer{Log: l, Stream: "s", ID: "snapshots"}
		snapshotter := &stream.Snapshotter[*counter]{Follower: early, Writer: snapshots, EntryInterval: h.EntryInterval, PartBytes: 700, CheckInterval: 50 * time.Millisecond}
		running.Go(func() { _ = snapshots.Run(ctx) })
		running.Go(func() { _ = snapshotter.Run(ctx) })
		results := h.runSteps(ctx, &running, l, newWriter)
		l.SetFaults(standin.Faults{})
		// Appending a record makes the log apply the delayed appends.
		if _, err := snapshots.Append(ctx, []byte("end")); err != nil {
			violation = err
			return
		}
		late := follow(ctx, &running, l)
		violation = errors.Join(waitForTail(ctx, l, early), waitForTail(ctx, l, late), compareStates(early, late), results.check(late))
	})
	return violation
}

func follow(ctx context.Context, running *sync.WaitGroup, l logservice.Service) *stream.Follower[*counter] {
	f := &stream.Follower[*counter]{Log: l, Stream: "s", State: &counter{}}
	running.Go(func() { _ = f.Run(ctx) })
	return f
}

// runSteps executes the steps. Each writer appends its entries one after the other.
func (h history) runSteps(ctx context.Context, running *sync.WaitGroup, l *standin.Log, newWriter func(logservice.Service, string) appender) *appendResults {
	results := &appendResults{errors: make(map[string]error)}
	queues := make([]chan string, h.Writers)
	var callers sync.WaitGroup
	for i := range queues {
		queues[i] = make(chan string, len(h.Steps))
		w := newWriter(l, fmt.Sprint("writer-", i))
		running.Go(func() { _ = w.Run(ctx) })
		callers.Go(func() {
			for entry := range queues[i] {
				_, err := w.Append(ctx, []byte(entry))
				results.Lock()
				results.errors[entry] = err
				results.Unlock()
			}
		})
	}
	for i, s := range h.Steps {
		switch s.Kind {
		case "append":
			l.SetFaults(standin.Faults{Script: []standin.Outcome{s.Outcome}})
			queues[s.Writer] <- fmt.Sprint("entry-", i)
		case "outage":
			l.SetFaults(standin.Faults{Outage: true})
			time.Sleep(s.Pause * 30)
			l.SetFaults(standin.Faults{})
		case "replay":
			replay(ctx, l)
		case "malformed":
			_, _ = l.Append(ctx, "s", []byte("not an envelope"))
		}
		time.Sleep(s.Pause)
	}
	for _, q := range queues {
		close(q)
	}
	callers.Wait()
	return results
}

// replay appends a copy of the newest record, like a network that duplicates requests.
func replay(ctx context.Context, l *standin.Log) {
	batch, _ := l.Read(ctx, "s", 0, 0)
	if batch.Next == 0 || batch.Next == batch.First {
		return
	}
	if batch, err := l.Read(ctx, "s", batch.Next-1, 0); err == nil && len(batch.Records) == 1 {
		_, _ = l.Append(ctx, "s", batch.Records[0].Payload)
	}
}

// waitForTail waits until f has applied all records of the log.
func waitForTail(ctx context.Context, l *standin.Log, f *stream.Follower[*counter]) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	batch, _ := l.Read(ctx, "s", 0, 0)
	return f.Wait(ctx, batch.Next-1)
}

func compareStates(a, b *stream.Follower[*counter]) error {
	var x, y []byte
	a.View(func(c *counter) { x, _ = c.Snapshot() })
	b.View(func(c *counter) { y, _ = c.Snapshot() })
	if string(x) != string(y) {
		return fmt.Errorf("followers have different states:\n%s\n%s", x, y)
	}
	return nil
}

func (r *appendResults) check(f *stream.Follower[*counter]) (violation error) {
	f.View(func(c *counter) {
		for entry, err := range r.errors {
			n := c.Applied[entry]
			switch {
			case n > 1:
				violation = fmt.Errorf("%s was applied %d times", entry, n)
			case err == nil && n != 1:
				violation = fmt.Errorf("%s was acknowledged and applied %d times", entry, n)
			case stream.NotWritten(err) && n != 0:
				violation = fmt.Errorf("%s was reported as not written (%v) and applied %d times", entry, err, n)
			}
		}
	})
	return violation
}

func newWriter(l logservice.Service, id string) appender {
	return &stream.Writer{Log: l, Stream: "s", ID: id}
}

// TestHistories guards against entries that are applied twice, lost after they were
// acknowledged, or applied although they were reported as not written, and against
// followers with different states. Lost replies, delayed and rejected appends,
// outages, duplicates, retention and snapshots can each cause these.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := genHistory(rt)
		if err := h.run(t, newWriter); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestHistoriesRejectNaiveWriter guards against a check that cannot fail: the same
// histories must detect a violation by a writer that retries under a new sequence,
// so that readers cannot recognize the duplicates.
func TestHistoriesRejectNaiveWriter(t *testing.T) {
	generator := rapid.Custom(genHistory)
	for seed := range 50 {
		h := generator.Example(seed)
		err := h.run(t, func(l logservice.Service, id string) appender { return &naiveWriter{log: l, id: id} })
		if err != nil {
			t.Logf("history %d, %d steps: %v", seed, len(h.Steps), err)
			return
		}
	}
	t.Error("no history detected a violation by the naive writer")
}
