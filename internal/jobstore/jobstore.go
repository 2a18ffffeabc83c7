// Package jobstore writes the scheduler's records to the platform's store: one
// append at a time that carries everything which has gathered meanwhile, fenced
// by the leader's term. An append without an answer is repeated under the same
// sequence number, so its records are in the topic once and their fate is known
// before anybody is told.
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
	// Topic holds the jobs and their progress.
	Topic durable.Topic = "jobs"
	// producerName is shared by all leaders; their terms fence each other.
	producerName = "scheduler"
	// gather is how long an append waits for more records, so that a burst of
	// submissions costs few calls.
	batchDelay = 2 * time.Millisecond
	// retryPause follows an append that was not carried out.
	retryDelay = 60 * time.Millisecond
	// stalledAfter is the time without a successful append after which new
	// submissions are refused at once instead of waiting for the store.
	stallTimeout = 700 * time.Millisecond
	// maxBatch bounds the records of one append in bytes, half of what the
	// store takes in a call.
	maxBatchBytes = 1 << 20
)

// Writer appends records. Set the exported fields before Fence.
type Writer struct {
	Store durable.Store
	Epoch uint64 // the leader's term

	mu          sync.Mutex
	pending     []write
	wakeup      chan struct{}
	sequence    uint64
	appendStart bootclock.Instant // when the append under way was first tried; 0 without one
}

type write struct {
	records   []durable.Record
	onDurable func()
}

// New returns a writer of a term.
func New(store durable.Store, epoch uint64) *Writer {
	return &Writer{Store: store, Epoch: epoch, wakeup: make(chan struct{}, 1)}
}

// Fence ends the appends of all earlier terms. After it, a read of the topic
// misses none of their records. Kinds: Fenced, or the context's end.
func (w *Writer) Fence(ctx context.Context) error {
	return w.append(ctx, nil)
}

// Load reads the newest records. It is called between Fence and Run.
func (w *Writer) LoadSnapshot(ctx context.Context) ([]durable.Item, error) {
	for {
		snapshot, err := w.Store.ReadSnapshot(ctx, Topic)
		if err == nil || ctx.Err() != nil || fault.Is(err, durable.Invalid) {
			return snapshot.Items, err
		}
		klog.InfoS("records of jobs can't be read", "err", err)
		pause.For(ctx, retryDelay)
	}
}

// Write queues records; done is called from the goroutine of Run once they are
// durable, in the order of the calls.
func (w *Writer) Write(records []durable.Record, done func()) {
	w.mu.Lock()
	w.pending = append(w.pending, write{records, done})
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Stalled reports whether the store has not taken an append for a while.
func (w *Writer) Stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appendStart != 0 && bootclock.Now().Sub(w.appendStart) > stallTimeout
}

// Run appends until ctx ends, or returns an error of kind Fenced when a later
// term has taken over.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wakeup:
		}
		pause.For(ctx, batchDelay)
		for {
			batch := w.takeBatch()
			if len(batch) == 0 {
				break
			}
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
		}
	}
}

// take removes entries up to maxBatch from the queue.
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

// append repeats one append until the store has answered it.
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
