package stream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// Defaults for the zero fields of a Writer, and its fixed limits.
const (
	defaultWindow         = 20 * time.Millisecond
	defaultMaxWindow      = 250 * time.Millisecond
	defaultMaxBatchBytes  = 64 << 10
	defaultMaxCallBytes   = 512 << 10
	defaultQueueLength    = 8192
	defaultAttempts       = 6
	defaultAttemptTimeout = 2 * time.Second
	retryPause            = 50 * time.Millisecond
	maxRetryPause         = time.Second
	maxQueueBytes         = 64 << 20
	// windowNarrowingDivisor determines how much a successful append narrows the
	// window: by the window divided by this value. With 16, 12 writers exceeded a limit
	// of 400 appends/s 36 times a second; with 32, 22 times a second.
	windowNarrowingDivisor = 32
	// maxReadBackReads bounds the reads that search for an append whose reply was
	// lost. Usually there are few records between readBackFrom and that append. If the
	// reads do not reach the tail, it is unknown whether the append was executed.
	maxReadBackReads = 64
)

// Writer appends entries to one stream. It batches the entries that arrive within a
// window into one record and has at most one append in flight. Set the exported
// fields before calling Run. Append is safe for concurrent use.
type Writer struct {
	Log    logservice.Service
	Stream string
	ID     string // process ID in the writer name; a random suffix makes the name unique to this run

	Window         time.Duration // minimum time between two appends
	MaxWindow      time.Duration // maximum to which the window widens while the service rejects appends
	MaxBatchBytes  int           // a batch that reaches this size is appended without waiting for the window
	MaxCallBytes   int           // maximum size of the entries of one call
	QueueLength    int           // maximum number of calls that wait
	Attempts       int           // attempts to append one record before its callers receive an error
	AttemptTimeout time.Duration // timeout of one attempt, including the reads that precede the append

	initOnce     sync.Once
	writerID     string // unique to this run, because readers drop a repeated sequence of the same writer
	queue        chan *request
	stopped      chan struct{}
	queuedBytes  atomic.Int64 // size of the requests in the queue
	sequence     uint64
	readBackFrom units.Offset // a record of this writer with the current or a later sequence has at least this offset
	tailLocated  bool         // readBackFrom is set
	window       time.Duration
	lastAppendAt time.Time // start of the last append
	deferred     *request  // claimed from the queue, but left out of the last batch
	stats        writerStats
}

// WriterStats holds the counters of a Writer and its current window.
type WriterStats struct {
	Appends, Entries, Bytes, Retries, ReadBacks, Failures int64
	Window                                                time.Duration // current
}

type writerStats struct {
	appends, entries, bytes, retries, readBacks, failures, window atomic.Int64
}

// request is one call of Append or appendSnapshot.
type request struct {
	entries  [][]byte
	snapshot *wire.Snapshot
	size     int
	state    atomic.Int32 // pending, claimed or abandoned
	done     chan struct{}
	offset   units.Offset
	err      error
}

const (
	pending int32 = iota
	claimed
	abandoned
)

// Append writes entries in one record and returns the offset of the record once it
// is committed. If NotWritten reports true for an error, the entries were not
// written; after any other error they may still take effect.
func (w *Writer) Append(ctx context.Context, entries ...[]byte) (units.Offset, error) {
	return w.submit(ctx, &request{entries: entries})
}

// appendSnapshot writes one part of a snapshot in a separate record.
func (w *Writer) appendSnapshot(ctx context.Context, part *wire.Snapshot) (units.Offset, error) {
	return w.submit(ctx, &request{snapshot: part})
}

func (w *Writer) submit(ctx context.Context, r *request) (units.Offset, error) {
	const op = "append"
	w.init()
	r.done = make(chan struct{})
	r.size = len(r.snapshot.GetState())
	for _, e := range r.entries {
		r.size += len(e) + 4 // protobuf tag and length
	}
	if limit := orDefault(w.MaxCallBytes, defaultMaxCallBytes); r.size > limit {
		return 0, newError(op, Refused, "entries of %d bytes exceed %d", r.size, limit)
	}
	if len(r.entries) == 0 && r.snapshot == nil {
		return 0, newError(op, Refused, "no entries")
	}
	if w.queuedBytes.Add(int64(r.size)) > maxQueueBytes {
		w.queuedBytes.Add(int64(-r.size))
		return 0, newError(op, Unavailable, "queue of stream %s is full: %d bytes wait for the log", w.Stream, w.queuedBytes.Load())
	}
	select {
	case <-w.stopped:
		return 0, newError(op, Unavailable, "writer of stream %s has stopped", w.Stream)
	default:
	}
	select {
	case w.queue <- r:
	default:
		w.queuedBytes.Add(int64(-r.size))
		return 0, newError(op, Unavailable, "queue of stream %s is full: %d calls wait for the log", w.Stream, cap(w.queue))
	}
	return w.awaitResult(ctx, op, r)
}

// awaitResult waits for the result of a queued request. A request that is still
// pending when the caller or the Writer stops is abandoned and not written.
func (w *Writer) awaitResult(ctx context.Context, op string, r *request) (units.Offset, error) {
	select {
	case <-r.done:
		return r.offset, r.err
	case <-ctx.Done():
		if r.state.CompareAndSwap(pending, abandoned) {
			return 0, fault.Wrap(op, Unavailable, ctx.Err())
		}
		return 0, fault.Wrap(op, Unknown, ctx.Err())
	case <-w.stopped:
		if r.state.CompareAndSwap(pending, abandoned) {
			return 0, newError(op, Unavailable, "writer of stream %s has stopped", w.Stream)
		}
		<-r.done
		return r.offset, r.err
	}
}

func (w *Writer) init() {
	w.initOnce.Do(func() {
		w.queue = make(chan *request, orDefault(w.QueueLength, defaultQueueLength))
		w.stopped = make(chan struct{})
		w.writerID = fmt.Sprintf("%s-%016x", w.ID, rand.Uint64())
		w.window = orDefault(w.Window, defaultWindow)
		w.stats.window.Store(int64(w.window))
	})
}

// Run appends queued entries until ctx ends. It completes an append that is in
// flight; requests that are still pending fail with an error that satisfies
// NotWritten.
func (w *Writer) Run(ctx context.Context) error {
	w.init()
	defer close(w.stopped)
	for {
		batch := w.nextBatch(ctx)
		if batch == nil {
			return nil
		}
		w.commit(ctx, batch)
	}
}

// Stats returns the current counters and window.
func (w *Writer) Stats() WriterStats {
	s := &w.stats
	return WriterStats{
		s.appends.Load(), s.entries.Load(), s.bytes.Load(), s.retries.Load(),
		s.readBacks.Load(), s.failures.Load(), time.Duration(s.window.Load()),
	}
}

// nextBatch returns the requests of the next record, or nil when ctx has ended. The
// window starts with the last append, so that an entry that arrives after an idle
// period is appended without delay.
func (w *Writer) nextBatch(ctx context.Context) []*request {
	first := w.nextRequest(ctx, nil)
	if first == nil {
		return nil
	}
	batch, size := []*request{first}, first.size
	limit := orDefault(w.MaxBatchBytes, defaultMaxBatchBytes)
	timer := time.NewTimer(w.window - time.Since(w.lastAppendAt))
	defer timer.Stop()
	for size < limit && first.snapshot == nil {
		r := w.nextRequest(ctx, timer.C)
		if r == nil {
			break
		}
		if r.snapshot != nil || size+r.size > limit {
			w.deferred = r
			break
		}
		batch, size = append(batch, r), size+r.size
	}
	// Also include the entries that are already queued when the window ends.
	return w.addQueued(batch, size, limit)
}

// nextRequest claims the next request whose caller is still waiting. It returns nil
// when ctx has ended or expired receives a value.
func (w *Writer) nextRequest(ctx context.Context, expired <-chan time.Time) *request {
	if r := w.deferred; r != nil {
		w.deferred = nil
		return r
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		default:
		}
		select {
		case r := <-w.queue:
			if w.claim(r) {
				return r
			}
		case <-expired:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// addQueued adds the requests that are already queued to batch, up to limit bytes,
// and returns the batch.
func (w *Writer) addQueued(batch []*request, size, limit int) []*request {
	for batch[0].snapshot == nil && w.deferred == nil && size < limit {
		select {
		case r := <-w.queue:
			switch {
			case !w.claim(r):
			case r.snapshot != nil || size+r.size > limit:
				w.deferred = r
			default:
				batch, size = append(batch, r), size+r.size
			}
		default:
			return batch
		}
	}
	return batch
}

func (w *Writer) claim(r *request) bool {
	w.queuedBytes.Add(int64(-r.size))
	return r.state.CompareAndSwap(pending, claimed)
}
