// Package jobstore writes the scheduler's records to the platform's store. It sends one
// append at a time, which contains all records queued meanwhile and is fenced by the
// leader's term. An append without a reply is retried with the same sequence number.
// So its records are in the topic exactly once, and its outcome is certain before
// anything is acknowledged.
package jobstore

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/bootclock"
	"wasabihill.example/wasabihill/internal/durable"
	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
)

const (
	// Topic is the topic of the jobs and their progress.
	Topic durable.Topic = "jobs"
	// producerName is the same for all leaders, so that a leader fences earlier ones by
	// its term.
	producerName = "scheduler"
	// batchDelay is how long an append waits for more records, so that a burst of
	// submissions needs few calls.
	batchDelay = 2 * time.Millisecond
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 60 * time.Millisecond
	// stallTimeout is how long an append may take before new submissions are rejected
	// at once instead of waiting for the store.
	stallTimeout = 700 * time.Millisecond
	// maxBatchBytes limits the records of an append to half of what the store accepts
	// in a call.
	maxBatchBytes = 1 << 20
)

// Writer appends records. The exported fields must be set before Fence is called.
type Writer struct {
	Store durable.Store
	Epoch uint64 // the leader's term

	mu          sync.Mutex
	pending     []write
	wakeup      chan struct{}
	sequence    uint64
	appendStart bootclock.Instant // when the current append was first sent; 0 if there is none
}

// write is one call of Write.
type write struct {
	records   []durable.Record
	onDurable func()
}

// New returns a writer for the term epoch.
func New(store durable.Store, epoch uint64) *Writer {
	return &Writer{Store: store, Epoch: epoch, wakeup: make(chan struct{}, 1)}
}

// Fence prevents any further appends by earlier terms, so that a later read of the topic
// returns all of their records. It appends no records: the epoch of the call suffices.
// Error kinds: Fenced, OutOfOrder and Invalid, or the error of ctx.
func (w *Writer) Fence(ctx context.Context) error {
	return w.append(ctx, nil)
}

// LoadSnapshot reads the newest record of each key. It must be called after Fence and
// before Run. It retries until ctx ends, except after an error of kind Invalid.
func (w *Writer) LoadSnapshot(ctx context.Context) ([]durable.Item, error) {
	for {
		snapshot, err := w.Store.ReadSnapshot(ctx, Topic)
		if err == nil || ctx.Err() != nil || fault.Is(err, durable.Invalid) {
			return snapshot.Items, err
		}
		klog.InfoS("job records can't be read; retrying", "err", err)
		pause.For(ctx, retryDelay)
	}
}

// Write queues records for the next append. Once they are durable, Run calls onDurable
// from its goroutine, in the order of the calls of Write.
func (w *Writer) Write(records []durable.Record, onDurable func()) {
	w.mu.Lock()
	w.pending = append(w.pending, write{records, onDurable})
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Stalled reports whether the current append has taken longer than stallTimeout.
func (w *Writer) Stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appendStart != 0 && bootclock.Now().Sub(w.appendStart) > stallTimeout
}

// Run appends the queued records until ctx ends or an append fails for good. It returns an
// error of kind Fenced if a later term has fenced this one. Other errors are of kind
// OutOfOrder or Invalid, or the error of ctx.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wakeup:
		}
		pause.For(ctx, batchDelay)
		for batch := w.takeBatch(); len(batch) > 0; batch = w.takeBatch() {
			if err := w.appendBatch(ctx, batch); err != nil {
				return err
			}
		}
	}
}

// appendBatch appends the records of the writes in one call, and then calls their
// onDurable functions. Writes without records need no call.
func (w *Writer) appendBatch(ctx context.Context, batch []write) error {
	var records []durable.Record
	for _, e := range batch {
		records = append(records, e.records...)
	}
	if len(records) > 0 {
		if err := w.append(ctx, records); err != nil {
			return err
		}
	}
	for _, e := range batch {
		if e.onDurable != nil {
			e.onDurable()
		}
	}
	return nil
}

// takeBatch removes and returns the oldest writes, about maxBatchBytes of records but at
// least one write.
func (w *Writer) takeBatch() []write {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, n := 0, 0
	for n < len(w.pending) && (n == 0 || size < maxBatchBytes) {
		for _, r := range w.pending[n].records {
			size += len(r.Key) + len(r.Value)
		}
		n++
	}
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	return batch
}

// append sends an append and retries it until the store has executed it or rejected it.
func (w *Writer) append(ctx context.Context, records []durable.Record) error {
	w.setAppendStart(bootclock.Now())
	defer w.setAppendStart(0)
	w.sequence++
	call := durable.AppendRequest{Topic: Topic, Keyed: true, Records: records,
		Producer: &durable.Producer{Name: producerName, Epoch: w.Epoch, Sequence: w.sequence}}
	for {
		_, err := w.Store.Append(ctx, call)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if fault.Is(err, durable.Fenced) || fault.Is(err, durable.OutOfOrder) || fault.Is(err, durable.Invalid) {
			return err
		}
		klog.InfoS("append to the jobs' topic is repeated", "sequence", w.sequence, "records", len(records), "err", err)
		pause.For(ctx, retryDelay)
	}
}

func (w *Writer) setAppendStart(at bootclock.Instant) {
	w.mu.Lock()
	w.appendStart = at
	w.mu.Unlock()
}
