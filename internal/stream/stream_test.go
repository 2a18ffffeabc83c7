package stream_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
	standin "wasabihill.example/wasabihill/internal/standin/logservice"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/units"
)

// runWithFakeTime runs a test with fake time and stops its goroutines at the end.
func runWithFakeTime(t *testing.T, run func(t *testing.T, ctx context.Context, running *sync.WaitGroup)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		run(t, ctx, &running)
	})
}

// TestWriterOutcomes guards against an error kind that claims a certain outcome when
// the outcome is unknown, and against a queue that blocks its callers while the log
// is unavailable.
func TestWriterOutcomes(t *testing.T) {
	cases := map[string]struct {
		faults  standin.Faults
		idle    bool // Run is not called
		stopped bool // the context of Run has ended
		calls   int  // calls that are pending before the tested one
		size    int
		want    stream.Kind
		records int
	}{
		"committed":               {records: 1},
		"outage":                  {faults: standin.Faults{Outage: true}, want: stream.Unavailable},
		"every reply lost":        {faults: standin.Faults{LoseReplies: 1}, records: 1},
		"every append late":       {faults: standin.Faults{Late: 1}, want: stream.Unknown},
		"log slower than timeout": {faults: standin.Faults{Delay: standin.Duration(time.Hour)}, want: stream.Unavailable},
		"caller stops waiting":    {idle: true, want: stream.Unavailable},
		"writer has stopped":      {stopped: true, want: stream.Unavailable},
		"queue full":              {idle: true, calls: 2, want: stream.Unavailable},
		"entry too large":         {size: 2 << 20, want: stream.Refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithFakeTime(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
				l := &standin.Log{}
				l.SetFaults(c.faults)
				w := &stream.Writer{Log: l, Stream: "s", ID: "w", QueueLength: 2}
				run, stop := context.WithCancel(ctx)
				defer stop()
				if !c.idle {
					running.Go(func() { _ = w.Run(run) })
				}
				if c.stopped {
					stop()
				}
				limited, cancel := context.WithTimeout(ctx, time.Minute)
				defer cancel()
				for range c.calls {
					running.Go(func() { _, _ = w.Append(limited, []byte("waits")) })
				}
				synctest.Wait()
				_, err := w.Append(limited, make([]byte, c.size+1))
				if c.want == "" && err != nil || c.want != "" && !fault.Is(err, c.want) {
					t.Errorf("got %v, want kind %q", err, c.want)
				}
				if got := int(l.Counts().Appends); got != c.records {
					t.Errorf("got %d records, want %d", got, c.records)
				}
			})
		})
	}
}

// TestWriterWindow guards against a window that stays short while the service
// rejects appends, or that stays long after the service accepts them again.
func TestWriterWindow(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		w := &stream.Writer{Log: l, Stream: "s", ID: "w", Attempts: 20}
		running.Go(func() { _ = w.Run(ctx) })
		load := func() {
			for range 200 {
				var calls sync.WaitGroup
				for range 5 {
					calls.Go(func() { _, _ = w.Append(ctx, []byte("x")) })
				}
				calls.Wait()
			}
		}
		l.SetFaults(standin.Faults{Unavailable: 0.5, Seed: 1})
		load()
		wide := w.Stats()
		l.SetFaults(standin.Faults{})
		load()
		narrow := w.Stats()
		if wide.Window <= 100*time.Millisecond || narrow.Window != 20*time.Millisecond {
			t.Errorf("window: got %s while appends are rejected and %s after, want more than 100ms and 20ms", wide.Window, narrow.Window)
		}
		if got := narrow.Entries / (l.Counts().Appends); narrow.Entries != 2000 || got < 4 {
			t.Errorf("got %d entries in %d records, want 2000 entries and at least 4 per record", narrow.Entries, l.Counts().Appends)
		}
	})
}

// TestStaleness guards against a state that is reported as fresh while the tail
// cannot be read, or because the reply to an old read arrived late.
func TestStaleness(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		f := follow(ctx, running, l)
		if got := f.Staleness(time.Now()); got < time.Hour {
			t.Errorf("staleness before the first read: got %s, want at least 1h", got)
		}
		for name, c := range map[string]struct {
			faults   standin.Faults
			low, top time.Duration
		}{
			"healthy":  {top: 500 * time.Millisecond},
			"outage":   {faults: standin.Faults{Outage: true}, low: 9 * time.Second, top: 11 * time.Second},
			"slow":     {faults: standin.Faults{Delay: standin.Duration(1500 * time.Millisecond)}, low: 1500 * time.Millisecond, top: 4 * time.Second},
			"no reply": {faults: standin.Faults{Delay: standin.Duration(time.Hour)}, low: 9 * time.Second, top: 11 * time.Second},
		} {
			l.SetFaults(standin.Faults{})
			time.Sleep(10 * time.Second)
			l.SetFaults(c.faults)
			time.Sleep(10 * time.Second)
			for range 50 {
				if got := f.Staleness(time.Now()); got < c.low || got > c.top {
					t.Errorf("%s: got %s, want %s to %s", name, got, c.low, c.top)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}

// appendEntry appends one entry in a record with the given writer and sequence.
func appendEntry(t *testing.T, ctx context.Context, l *standin.Log, writer string, sequence uint64) {
	t.Helper()
	payload, err := proto.Marshal(&wire.Envelope{Writer: writer, Sequence: sequence, Entries: [][]byte{[]byte(fmt.Sprint(writer, "/", sequence))}})
	if err == nil {
		_, err = l.Append(ctx, "s", payload)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// newSnapshotter returns a Snapshotter whose Writer it has started.
func newSnapshotter(ctx context.Context, running *sync.WaitGroup, l *standin.Log, f *stream.Follower[*counter]) *stream.Snapshotter[*counter] {
	w := &stream.Writer{Log: l, Stream: "s", ID: "snapshots"}
	running.Go(func() { _ = w.Run(ctx) })
	return &stream.Snapshotter[*counter]{Follower: f, Writer: w, PartBytes: 32 << 10}
}

// TestRepeatsAfterManyWriters guards against readers that evict different writers
// from their tables when there are too many: a reader that started from a snapshot
// must drop the same duplicates as one that read all records.
func TestRepeatsAfterManyWriters(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		early := follow(ctx, running, l)
		for i := range 4200 {
			appendEntry(t, ctx, l, fmt.Sprint("writer-", i), 5)
		}
		time.Sleep(time.Second)
		if err := newSnapshotter(ctx, running, l, early).Append(ctx); err != nil {
			t.Fatal(err)
		}
		late := follow(ctx, running, l)
		for _, i := range []int{4198, 4150, 200, 0} { // the last one has been evicted from the table
			appendEntry(t, ctx, l, fmt.Sprint("writer-", i), 4)
		}
		time.Sleep(time.Second)
		if err := compareStates(early, late); err != nil || early.Stats().Duplicates != 3 || late.Stats().Duplicates != 3 || late.Stats().SnapshotBytes == 0 {
			t.Errorf("got states error %v, early reader %+v, late reader %+v; want equal states, 3 duplicates each and a late reader that loaded a snapshot", err, early.Stats(), late.Stats())
		}
	})
}

// TestRetentionPassesReader guards against a reader whose state lacks records
// without being reported as incomplete, and against one that moves to a lower
// offset. Both can happen when records expire before the reader has read them or
// before a snapshot covers them.
func TestRetentionPassesReader(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		complete, behind := follow(ctx, running, l), &stream.Follower[*counter]{Log: l, Stream: "s", State: &counter{}}
		appendEntry(t, ctx, l, "w", 1)
		time.Sleep(time.Second)
		paused, pause := context.WithCancel(ctx)
		running.Go(func() { _ = behind.Run(paused) })
		time.Sleep(time.Second)
		pause()
		time.Sleep(time.Second)
		for n := range 20 {
			appendEntry(t, ctx, l, "w", uint64(n+2))
		}
		time.Sleep(time.Second)
		l.Expire("s", 11)
		incomplete := follow(ctx, running, l)
		running.Go(func() { _ = behind.Run(ctx) })
		time.Sleep(10 * time.Second)
		if got := behind.Applied(); got != 2 || !incomplete.Incomplete() || complete.Incomplete() {
			t.Errorf("before a snapshot: got offset %d of the paused reader, incomplete %t for the new one and %t for the first; want 2, true, false", got, incomplete.Incomplete(), complete.Incomplete())
		}
		// Append a record between the encoding of the snapshot and its append.
		l.SetFaults(standin.Faults{Script: []standin.Outcome{standin.OutcomeUnavailable}})
		s := newSnapshotter(ctx, running, l, complete)
		running.Go(func() { _ = s.Append(ctx) })
		time.Sleep(5 * time.Millisecond)
		appendEntry(t, ctx, l, "w", 22)
		time.Sleep(5 * time.Millisecond)
		l.SetFaults(standin.Faults{Delay: standin.Duration(3 * time.Millisecond)})
		lowest := incomplete.Applied()
		for range 10000 {
			lowest = min(lowest, incomplete.Applied())
			time.Sleep(time.Millisecond)
		}
		for name, f := range map[string]*stream.Follower[*counter]{"behind": behind, "incomplete": incomplete} {
			if err := compareStates(complete, f); err != nil || f.Incomplete() {
				t.Errorf("%s after a snapshot: %v, incomplete %t", name, err, f.Incomplete())
			}
		}
		if lowest < 23 {
			t.Errorf("the reader moved back to offset %d, want at least 23", lowest)
		}
		l.Expire("s", 23) // the snapshot covers only the records below 22
		late := follow(ctx, running, l)
		time.Sleep(time.Second)
		if got := late.Stats().SnapshotBytes; got != 0 || !late.Incomplete() {
			t.Errorf("loaded a snapshot of %d bytes although records after it have expired", got)
		}
	})
}

// TestSnapshotOutlivesRetention guards against the loss of the state of an idle
// stream when its records expire, also when processes are replaced more often than
// snapshots are due.
func TestSnapshotOutlivesRetention(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{RetainAge: time.Hour}
		appendEntry(t, ctx, l, "w", 1)
		for range 7 { // the first record expires during one of the pauses between runs
			runCtx, stop := context.WithTimeout(ctx, 25*time.Minute)
			f := follow(runCtx, running, l)
			s := newSnapshotter(runCtx, running, l, f)
			s.Retention = time.Hour
			_ = s.Run(runCtx)
			stop()
			time.Sleep(10 * time.Minute)
		}
		last := follow(ctx, running, l)
		time.Sleep(time.Second)
		incomplete := last.Incomplete()
		last.View(func(c *counter) {
			if c.Applied["w/1"] != 1 || incomplete {
				t.Errorf("after four hours: got entries %v, incomplete %t; want w/1 once, false", c.Applied, incomplete)
			}
		})
		if got := l.Counts().Appends; got > 100 {
			t.Errorf("got %d records in four idle hours, want at most 100", got)
		}
	})
}

// FuzzDecodeEnvelope guards against a payload that makes a reader panic or stop.
func FuzzDecodeEnvelope(f *testing.F) {
	for _, e := range []*wire.Envelope{
		{Writer: "w", Sequence: 1, Entries: [][]byte{[]byte("x")}},
		{Writer: "w", Sequence: 2, Snapshot: &wire.Snapshot{Offset: 1, State: []byte("{}"), Parts: 1}},
		{Writer: "w", Sequence: 2, Snapshot: &wire.Snapshot{Offset: 1, State: []byte{0x22, 5, 8, 1, 0x12, 1, 'x'}, Parts: 1}},
		{Writer: "w", Sequence: 2, Snapshot: &wire.Snapshot{Offset: 9, State: []byte{0x22, 2, 8, 9}, Parts: 1}},
		{Writer: "w", Sequence: 3, Snapshot: &wire.Snapshot{Part: 3, Parts: 2}},
	} {
		payload, _ := proto.Marshal(e)
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		l := &standin.Log{}
		if _, err := l.Append(t.Context(), "s", payload); err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var running sync.WaitGroup
		reader := &stream.Follower[*counter]{Log: l, Stream: "s", State: &counter{}}
		running.Go(func() { _ = reader.Run(ctx) })
		if err := reader.Wait(ctx, units.Offset(1)); err != nil {
			t.Error(err)
		}
		cancel()
		running.Wait()
	})
}
