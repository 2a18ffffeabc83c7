package jobstore_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/jobstore"
	"wasabihill.example/wasabihill/internal/relay"
	"wasabihill.example/wasabihill/internal/standin/metastore"
	"wasabihill.example/wasabihill/platform"
)

// term is the writer of a leader's term with its own connection to the store.
type term struct {
	*jobstore.Writer
	connection *metastore.Server
	failed     chan error
}

// newTerm fences the earlier terms and runs the writer until the test ends.
func newTerm(t *testing.T, log *metastore.Log, epoch uint64) *term {
	t.Helper()
	connection := log.NewServer()
	w := &term{jobstore.New(platform.NewStoreClient(connection.Address), epoch), connection, make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	if err := w.Fence(ctx); err != nil {
		t.Fatal(err)
	}
	go func() { w.failed <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		connection.Close()
	})
	return w
}

func (w *term) keys(t *testing.T) map[string]bool {
	t.Helper()
	items, err := w.LoadSnapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	keys := make(map[string]bool)
	for _, item := range items {
		keys[item.Key] = true
	}
	return keys
}

// checkAccepted checks that an append is accepted within 5 s, while the writer runs, and
// that the leader of term 2 reads its key.
func (w *term) checkAccepted(t *testing.T, accepted <-chan struct{}, log *metastore.Log, key string) {
	t.Helper()
	select {
	case <-accepted:
	case err := <-w.failed:
		t.Fatalf("writer ended with %v, want the append accepted", err)
	case <-time.After(5 * time.Second):
		t.Fatal("not accepted 5s after the store answers again")
	}
	if got := newTerm(t, log, 2).keys(t); !got[key] {
		t.Errorf("keys that the next leader reads: got %v, want %s among them", got, key)
	}
}

func record(key string) []durable.Record { return []durable.Record{{Key: key, Value: []byte("x")}} }

// A job whose append got no reply must be accepted only once it is certainly in the store.
// If it was accepted without, the next leader would answer 410 for it.
func TestJobIsDurableBeforeItIsAccepted(t *testing.T) {
	log := metastore.NewLog()
	w := newTerm(t, log, 1)
	w.connection.Set(metastore.Fault{NoReply: true, OnlyAppends: true})
	accepted := make(chan struct{})
	w.Write(record("job/1"), func() { close(accepted) })
	select {
	case <-accepted:
		t.Fatal("accepted while the store does not execute appends, want it pending")
	case <-time.After(300 * time.Millisecond):
	}
	w.connection.Set(metastore.Fault{})
	w.checkAccepted(t, accepted, log, "job/1")
}

// An append that the store executed without a reply must be known to the leader that
// repeats it and to the next one, and neither may take it for a conflict.
func TestAppendWithoutReplyIsAccepted(t *testing.T) {
	log := metastore.NewLog()
	w := newTerm(t, log, 1)
	w.connection.Set(metastore.Fault{DropReply: true, OnlyAppends: true})
	accepted := make(chan struct{})
	w.Write(record("job/1"), func() { close(accepted) })
	time.Sleep(300 * time.Millisecond) // executed, and its reply lost
	w.connection.Set(metastore.Fault{})
	w.checkAccepted(t, accepted, log, "job/1")
}

// An append of an earlier leader that the store executes late, after the next leader has
// read the records, must be rejected: that leader would not know its job. Its client has
// no acknowledgement.
func TestLateAppendOfEarlierTermIsRejected(t *testing.T) {
	log := metastore.NewLog()
	first := newTerm(t, log, 1)
	first.connection.Set(metastore.Fault{DropReply: true, OnlyAppends: true, ApplyDelay: 400 * time.Millisecond})
	accepted := make(chan struct{})
	first.Write(record("job/late"), func() { close(accepted) })
	time.Sleep(100 * time.Millisecond) // sent, and not executed yet
	second := newTerm(t, log, 2)
	before := second.keys(t)
	time.Sleep(600 * time.Millisecond)
	if got := second.keys(t); before["job/late"] != got["job/late"] || got["job/late"] {
		t.Errorf("record of the earlier term: got %t before and %t after its late execution, want false", before["job/late"], got["job/late"])
	}
	first.connection.Set(metastore.Fault{})
	select {
	case err := <-first.failed:
		if !fault.Is(err, durable.Fenced) {
			t.Errorf("writer of the earlier term: got %v, want kind %s", err, durable.Fenced)
		}
	case <-accepted:
		t.Error("job of the earlier term was accepted after it was fenced")
	case <-time.After(5 * time.Second):
		t.Error("writer of the earlier term has not ended 5s after it was fenced")
	}
}

// A leader must read all records, however many pages they take. A job on a page that was
// left out would be answered 410.
func TestSnapshotReadsAllPages(t *testing.T) {
	log := metastore.NewLog()
	w := newTerm(t, log, 1)
	const jobs = 1300
	accepted := make(chan struct{})
	for i := range jobs {
		done := func() {}
		if i == jobs-1 {
			done = func() { close(accepted) }
		}
		w.Write(record(fmt.Sprintf("job/%016x", i)), done)
	}
	select {
	case <-accepted:
	case <-time.After(10 * time.Second):
		t.Fatal("records are not durable after 10s")
	}
	if got := len(newTerm(t, log, 2).keys(t)); got != jobs {
		t.Errorf("records that the next leader reads: got %d, want %d", got, jobs)
	}
}

// Guards against a flush of many records that the store rejects as a whole, because together they
// exceed a call.
func TestRecordsBeyondOneCallAreAppended(t *testing.T) {
	log := metastore.NewLog()
	w := newTerm(t, log, 1)
	var records []durable.Record
	for i := range 40 {
		records = append(records, durable.Record{Key: fmt.Sprintf("progress/%d", i), Value: make([]byte, 200<<10)})
	}
	accepted := make(chan struct{})
	w.Write(records, func() { close(accepted) })
	w.checkAccepted(t, accepted, log, "progress/0")
	if got := len(newTerm(t, log, 3).keys(t)); got != len(records) {
		t.Errorf("got %d records, want %d", got, len(records))
	}
}

// Guards against a record that the store does not accept and that rejects those of all other jobs
// with it, by ending the term (status 400) or by being repeated for ever (413).
func TestRejectedRecordHoldsBackNoOther(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			log := metastore.NewLog()
			log.Limits.RecordBytes, log.Limits.Status = 100<<10, status // below what the writer knows
			w := newTerm(t, log, 1)
			rejected := make(chan string, 4)
			w.OnRejected = func(key string) { rejected <- key }
			accepted := make(chan struct{})
			large := durable.Record{Key: "job/large", Value: make([]byte, 150<<10)}
			allowed := durable.Record{Key: "job/allowed", Value: make([]byte, 90<<10)}
			w.Write(append(record("job/1"), large, allowed), nil)
			w.Write(record("job/2"), func() { close(accepted) })
			w.checkAccepted(t, accepted, log, "job/2")
			if got := newTerm(t, log, 3).keys(t); !got["job/1"] || !got["job/allowed"] || got["job/large"] {
				t.Errorf("got keys %v, want job/1, job/allowed and job/2", got)
			}
			if got := len(rejected); got != 1 || <-rejected != "job/large" {
				t.Errorf("got %d rejected records, want job/large alone", got)
			}
		})
	}
}

// Guards against a store that rejects everything and is taken for one that rejects a record: small
// records are never left out.
func TestRejectedSmallRecordsEndTheTerm(t *testing.T) {
	log := metastore.NewLog()
	w := newTerm(t, log, 1)
	w.OnRejected = func(key string) { t.Errorf("record %s was left out, want none", key) }
	w.connection.Set(metastore.Fault{Status: http.StatusBadRequest, OnlyAppends: true})
	w.Write(append(record("job/1"), record("job/2")...), func() { t.Error("accepted, want a rejection") })
	select {
	case err := <-w.failed:
		if !fault.Is(err, durable.Rejected) {
			t.Errorf("got %v, want kind %s", err, durable.Rejected)
		}
	case <-time.After(5 * time.Second):
		t.Error("writer has not ended 5s after the store has rejected all")
	}
}

// Guards against records that wait for the timeout of an append after all open connections to the
// store have fallen silent: the append is repeated early, and then on a new connection.
func TestSilentConnectionsDelayRecordsByOneRepetition(t *testing.T) {
	const beforeRepetition, dialAndAnswer = 200 * time.Millisecond, 300 * time.Millisecond
	log := metastore.NewLog()
	server := log.NewServer()
	defer server.Close()
	r, err := relay.New(server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	w := jobstore.New(platform.NewStoreClient(r.Address()), 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if err := w.Fence(ctx); err != nil {
		t.Fatal(err)
	}
	go func() { _ = w.Run(ctx) }() // ends with ctx
	for i := range 3 {
		var wait sync.WaitGroup
		for range 8 { // as many idle connections
			wait.Go(func() {
				if _, err := w.LoadSnapshot(ctx); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		if r.SilenceConnections() == 0 {
			t.Fatal("got no open connection, want some")
		}
		start := time.Now()
		accepted := make(chan struct{})
		w.Write(record("job/"+strconv.Itoa(i)), func() { close(accepted) })
		<-accepted
		if got, want := time.Since(start), beforeRepetition+dialAndAnswer; got > want {
			t.Errorf("record %d: durable after %v, want at most %v", i, got, want)
		}
	}
}

// Guards against an append whose only record the store does not accept: without a record its
// sequence number might not be used up, and all later appends would be rejected.
func TestRejectedOnlyRecordLeavesAPlaceholder(t *testing.T) {
	log := metastore.NewLog()
	log.Limits.RecordBytes = 100 << 10
	w := newTerm(t, log, 1)
	rejected := make(chan string, 4)
	w.OnRejected = func(key string) { rejected <- key }
	for i := range 2 {
		accepted := make(chan struct{})
		w.Write([]durable.Record{{Key: fmt.Sprintf("job/large%d", i), Value: make([]byte, 150<<10)}}, func() { close(accepted) })
		select {
		case <-accepted:
		case <-time.After(5 * time.Second):
			t.Fatal("the write has not ended after 5s")
		}
	}
	accepted := make(chan struct{})
	w.Write(record("job/1"), func() { close(accepted) })
	w.checkAccepted(t, accepted, log, "job/1")
	if got := len(rejected); got != 2 {
		t.Errorf("got %d rejected records, want 2", got)
	}
	if got := log.EmptyAppends(); got > 3 { // one for each of the two terms, and one more if it is repeated
		t.Errorf("got %d appends without records, want those that fence a term alone", got)
	}
}
