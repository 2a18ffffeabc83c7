package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/leadership"
	"wasabihill.example/wasabihill/internal/scheduler"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/internal/workflow"
	"wasabihill.example/wasabihill/pkg/units"
)

// recordingStore keeps the records that are appended, and has none to read.
type recordingStore struct {
	slowStore
	mu      sync.Mutex
	records []durable.Record
}

func (s *recordingStore) Append(_ context.Context, a durable.AppendRequest) (units.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, a.Records...)
	return 1, nil
}

func (s *recordingStore) Range(context.Context, durable.Topic) (first, end units.Offset, err error) {
	return 0, 0, nil
}

func (s *recordingStore) Read(ctx context.Context, topic durable.Topic, keyed bool, from units.Offset, wait time.Duration) (durable.Batch, error) {
	if wait == 0 {
		return durable.Batch{Next: from, End: from}, nil
	}
	return s.slowStore.Read(ctx, topic, keyed, from, wait)
}

var (
	longestName = strings.Repeat("n", MaxNameBytes)
	longestID   = workflow.JobID(strings.Repeat("j", 200))
)

// recordKinds are all kinds of record that the processes append, each filled to its limits. What
// bounds a kind stands beside it.
var recordKinds = map[string]func(t *testing.T) []durable.Record{
	// A job: the size is checked when it is submitted, and the answer is TooLarge.
	"job": func(t *testing.T) []durable.Record {
		store := &recordingStore{}
		l := startTerm(t, store)
		for _, bytes := range []int{200 << 10, 261_500, 262_144, 1 << 20} {
			job := &workflow.Job{ID: longestID, Queue: "q", Steps: []workflow.Step{{Count: 1, RequiredLabel: strings.Repeat("l", bytes)}}}
			replies := make(chan Reply, 1)
			l.submissions = make(map[workflow.JobID]*submission)
			l.submit(Request{Verb: Submit, ID: job.ID, Job: job}, replies)
			if tooLarge := len(replies) == 1 && (<-replies).Outcome == TooLarge; tooLarge != (bytes >= 262_144) {
				t.Errorf("job of %d bytes: got rejected %t", bytes, tooLarge)
			}
		}
		return writtenRecords(t, l, store)
	},
	// Progress: spread over parts; see TestLargeProgressSurvivesATakeover for all ways to a large one.
	"progress": func(t *testing.T) []durable.Record {
		s := scheduler.New(time.Second, time.Minute)
		steps := []workflow.Step{{Count: 100_000}}
		s.Accept(&workflow.Job{ID: longestID, Queue: "q", Steps: steps, Submitted: time.Now()}, workflow.Policy{MaxAttempts: 2}, now())
		s.AddWorker("a", now())
		s.Attach("a", now())
		report := &wire.WorkerReport{Sequence: 1, Runner: &wire.RunnerState{Id: "r", BornUnixMs: 1}}
		for i := range steps[0].Count {
			report.Ended = append(report.Ended, &wire.EndRow{Number: uint64(i + 1), Task: fmt.Sprintf("%s.0.0.%d", longestID, i), Attempt: 1, End: string(workflow.Errored)})
		}
		s.ApplyReport("a", report, now())
		records, _, err := s.Flush(now())
		if err != nil {
			t.Fatal(err)
		}
		return records
	},
	// An absence: a number and two of at most 20 digits; its key has the name of a machine.
	"absence": func(t *testing.T) []durable.Record {
		store := &recordingStore{}
		l := startTerm(t, store)
		l.scheduler.RecoverWorker(units.WorkerID(longestName), time.Second, now())
		at := now()
		at.Boot = at.Boot.Add(settleTime)
		l.recordAbsences(at)
		return writtenRecords(t, l, store)
	},
	// A stray lease: one number; its key has the name of a machine.
	"stray lease": func(t *testing.T) []durable.Record {
		s := scheduler.New(time.Second, time.Minute)
		s.MaxStrayLeaseDuration = time.Hour
		id := units.WorkerID(longestName)
		s.AddWorker(id, now())
		s.Attach(id, now())
		s.ApplyReport(id, &wire.WorkerReport{Sequence: 1, Runner: &wire.RunnerState{Id: "r", BornUnixMs: 1, StrayLeaseMs: time.Hour.Milliseconds()}}, now())
		records, _, err := s.Flush(now())
		if err != nil {
			t.Fatal(err)
		}
		return records
	},
	// A member: its name twice, its address and its role.
	"member": func(t *testing.T) []durable.Record {
		store := &recordingStore{}
		if _, err := register(context.Background(), store, RoleAgent, longestName, "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"); err != nil {
			t.Fatal(err)
		}
		return store.records
	},
	// A claim or renewal of the leadership: a name, an address and numbers.
	"leadership": func(t *testing.T) []durable.Record {
		store := &recordingStore{}
		e := &leadership.Elector{Store: store, Name: longestName, Address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535", FirstStart: true,
			RunLeader: func(ctx context.Context, _ leadership.Term) { <-ctx.Done() }, Membership: &membership{store: store, name: longestName}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = e.Run(ctx) // ends with ctx
		return store.records
	},
}

// writtenRecords returns the records that the leader's writer has appended.
func writtenRecords(t *testing.T, l *leader, store *recordingStore) []durable.Record {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	l.writer.Write(nil, func() { close(written) })
	ended := make(chan error, 1)
	go func() { ended <- l.writer.Run(ctx) }()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Error("records are not written after 5s")
	}
	cancel()
	<-ended
	return store.records
}

// Guards against a kind of record that outgrows what the store accepts: it would end the term of
// each leader in turn, or be repeated for ever.
func TestEveryKindOfRecordFitsTheStore(t *testing.T) {
	for kind, fill := range recordKinds {
		t.Run(kind, func(t *testing.T) {
			records := fill(t)
			if len(records) == 0 {
				t.Fatal("got no records, want some")
			}
			for _, r := range records {
				if got, want := r.KeyedSize(), durable.DefaultLimits.RecordBytes; got > want || len(r.Key) > durable.MaxKeyBytes {
					t.Errorf("record %.30q: got %d bytes and a key of %d, want at most %d and %d", r.Key, got, len(r.Key), want, durable.MaxKeyBytes)
				}
			}
		})
	}
}

// Guards against a name that makes an invalid key of one of its machine's records.
func TestOverlongNameIsNoMember(t *testing.T) {
	if _, err := decodeMember(memberKey(RoleAgent, longestName+"n"), nil); err == nil {
		t.Error("got no error, want one")
	}
}
