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

// bubble runs a test with fake time and stops its goroutines at the end.
func bubble(t *testing.T, run func(t *testing.T, ctx context.Context, running *sync.WaitGroup)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		run(t, ctx, &running)
	})
}

// TestWriterOutcomes guards against an error that promises more than is known,
// and against a queue that blocks its callers while the log is down.
func TestWriterOutcomes(t *testing.T) {
	cases := map[string]struct {
		faults  standin.Faults
		idle    bool // Run is not called
		stopped bool // Run has returned
		calls   int  // further calls that wait
		size    int
		want    stream.Kind
		records int
	}{
		"committed":              {records: 1},
		"outage":                 {faults: standin.Faults{Outage: true}, want: stream.Unavailable},
		"every reply lost":       {faults: standin.Faults{LoseReplies: 1}, records: 1},
		"every append late":      {faults: standin.Faults{Late: 1}, want: stream.Unknown},
		"log slower than waited": {faults: standin.Faults{Delay: standin.Duration(time.Hour)}, want: stream.Unavailable},
		"caller stops waiting":   {idle: true, want: stream.Unavailable},
		"writer has stopped":     {stopped: true, want: stream.Unavailable},
		"queue full":             {idle: true, calls: 2, want: stream.Unavailable},
		"entry too large":        {size: 2 << 20, want: stream.Refused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
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
// rejects appends, or long after it accepts them again.
func TestWriterWindow(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
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
			t.Errorf("got windows %s and %s", wide.Window, narrow.Window)
		}
		if got := narrow.Entries / (l.Counts().Appends); narrow.Entries != 2000 || got < 4 {
			t.Errorf("got %d entries in %d records", narrow.Entries, l.Counts().Appends)
		}
	})
}

// TestStaleness guards against a process that counts as fresh while it cannot
// read the tail, or because an old read was answered late.
func TestStaleness(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		f := follow(ctx, running, l)
		if got := f.Staleness(time.Now()); got < time.Hour {
			t.Errorf("before the first read: got %s", got)
		}
		for name, c := range map[string]struct {
			faults   standin.Faults
			low, top time.Duration
		}{
			"healthy":     {top: 500 * time.Millisecond},
			"outage":      {faults: standin.Faults{Outage: true}, low: 9 * time.Second, top: 11 * time.Second},
			"slow":        {faults: standin.Faults{Delay: standin.Duration(1500 * time.Millisecond)}, low: 1500 * time.Millisecond, top: 4 * time.Second},
			"never ready": {faults: standin.Faults{Delay: standin.Duration(time.Hour)}, low: 9 * time.Second, top: 11 * time.Second},
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

// envelope appends one entry under an identity of its own.
func envelope(t *testing.T, ctx context.Context, l *standin.Log, writer string, sequence uint64) {
	t.Helper()
	payload, err := proto.Marshal(&wire.Envelope{Writer: writer, Sequence: sequence, Entries: [][]byte{[]byte(fmt.Sprint(writer, "/", sequence))}})
	if err == nil {
		_, err = l.Append(ctx, "s", payload)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// snapshotter returns one that appends through a writer of its own.
func snapshotter(ctx context.Context, running *sync.WaitGroup, l *standin.Log, f *stream.Follower[*counter]) *stream.Snapshotter[*counter] {
	w := &stream.Writer{Log: l, Stream: "s", ID: "snapshots"}
	running.Go(func() { _ = w.Run(ctx) })
	return &stream.Snapshotter[*counter]{Follower: f, Writer: w, PartBytes: 32 << 10}
}

// TestRepeatsAfterManyWriters guards against readers that forget different
// writers: one that started from a snapshot must drop the same repeats.
func TestRepeatsAfterManyWriters(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		early := follow(ctx, running, l)
		for i := range 4200 {
			envelope(t, ctx, l, fmt.Sprint("writer-", i), 5)
		}
		time.Sleep(time.Second)
		if err := snapshotter(ctx, running, l, early).Append(ctx); err != nil {
			t.Fatal(err)
		}
		late := follow(ctx, running, l)
		for _, i := range []int{4198, 4150, 200, 0} { // the last one is forgotten
			envelope(t, ctx, l, fmt.Sprint("writer-", i), 4)
		}
		time.Sleep(time.Second)
		if err := compare(early, late); err != nil || early.Stats().Duplicates != 3 || late.Stats().Duplicates != 3 || late.Stats().SnapshotBytes == 0 {
			t.Errorf("got %v, %+v, %+v", err, early.Stats(), late.Stats())
		}
	})
}

// TestRetentionPassesReader guards against a reader that goes on with a hole in
// its state, or moves to a lower offset, when records expire before it read
// them or before any snapshot held them.
func TestRetentionPassesReader(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{}
		informed, behind := follow(ctx, running, l), &stream.Follower[*counter]{Log: l, Stream: "s", State: &counter{}}
		envelope(t, ctx, l, "w", 1)
		time.Sleep(time.Second)
		paused, pause := context.WithCancel(ctx)
		running.Go(func() { _ = behind.Run(paused) })
		time.Sleep(time.Second)
		pause()
		time.Sleep(time.Second)
		for n := range 20 {
			envelope(t, ctx, l, "w", uint64(n+2))
		}
		time.Sleep(time.Second)
		l.Expire("s", 11)
		ignorant := follow(ctx, running, l)
		running.Go(func() { _ = behind.Run(ctx) })
		time.Sleep(10 * time.Second)
		if got := behind.Applied(); got != 2 || !ignorant.Incomplete() || informed.Incomplete() {
			t.Errorf("before a snapshot: got offset %d, incomplete %t and %t", got, ignorant.Incomplete(), informed.Incomplete())
		}
		// A record comes between the encoding of the snapshot and its append.
		l.SetFaults(standin.Faults{Script: []standin.Outcome{standin.OutcomeUnavailable}})
		s := snapshotter(ctx, running, l, informed)
		running.Go(func() { _ = s.Append(ctx) })
		time.Sleep(5 * time.Millisecond)
		envelope(t, ctx, l, "w", 22)
		time.Sleep(5 * time.Millisecond)
		l.SetFaults(standin.Faults{Delay: standin.Duration(3 * time.Millisecond)})
		lowest := ignorant.Applied()
		for range 10000 {
			lowest = min(lowest, ignorant.Applied())
			time.Sleep(time.Millisecond)
		}
		for name, f := range map[string]*stream.Follower[*counter]{"behind": behind, "ignorant": ignorant} {
			if err := compare(informed, f); err != nil || f.Incomplete() {
				t.Errorf("%s after a snapshot: %v, incomplete %t", name, err, f.Incomplete())
			}
		}
		if lowest < 23 {
			t.Errorf("a reader moved back to offset %d", lowest)
		}
		l.Expire("s", 23) // the snapshot holds only what is below 22
		unlucky := follow(ctx, running, l)
		time.Sleep(time.Second)
		if got := unlucky.Stats().SnapshotBytes; got != 0 || !unlucky.Incomplete() {
			t.Errorf("loaded a snapshot with a hole behind it: %d bytes", got)
		}
	})
}

// TestSnapshotOutlivesRetention guards against an idle stream whose state
// expires, also when processes are replaced more often than snapshots are due.
func TestSnapshotOutlivesRetention(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, running *sync.WaitGroup) {
		l := &standin.Log{RetainAge: time.Hour}
		envelope(t, ctx, l, "w", 1)
		for range 7 { // one of the pauses is when the first record expires
			life, end := context.WithTimeout(ctx, 25*time.Minute)
			f := follow(life, running, l)
			s := snapshotter(life, running, l, f)
			s.Retention = time.Hour
			_ = s.Run(life)
			end()
			time.Sleep(10 * time.Minute)
		}
		last := follow(ctx, running, l)
		time.Sleep(time.Second)
		incomplete := last.Incomplete()
		last.View(func(c *counter) {
			if c.Applied["w/1"] != 1 || incomplete {
				t.Errorf("after four hours: got %v, incomplete %t", c.Applied, incomplete)
			}
		})
		if got := l.Counts().Appends; got > 100 {
			t.Errorf("got %d records in four idle hours", got)
		}
	})
}

// FuzzDecodeEnvelope guards against a record that breaks a reader.
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
