package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// Limits of a Writer whose fields are zero.
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
	// narrowing is the share of the window that a success takes off. With a
	// sixteenth, 12 writers ran into a limit of 400 appends/s 36 times a second,
	// with this 22 times.
	windowNarrowingDivisor = 32
	// maxReadBack bounds the reads that look for a lost append; the records
	// between the last known tail and the lost one are few.
	maxReadBackReads = 64
)

// Writer appends entries to one stream. It gathers what arrives within a window
// into one record and has one append in flight at a time. Exported fields are
// set before Run; Append may be called from any goroutine.
type Writer struct {
	Log    logservice.Service
	Stream string
	ID     string // of the process; a random part makes it unique to this run

	Window         time.Duration // shortest time between two appends
	MaxWindow      time.Duration // longest, reached while the service rejects appends
	MaxBatchBytes  int           // a record that reaches this size is appended at once
	MaxCallBytes   int           // largest size of one call's entries
	QueueLength    int           // calls that may wait
	Attempts       int           // appends of one record before its callers get an error
	AttemptTimeout time.Duration // of one append or read

	initOnce     sync.Once
	writerID     string // readers drop a repeated sequence of it, so no two runs may share one
	queue        chan *request
	stopped      chan struct{}
	queuedBytes  atomic.Int64 // bytes waiting
	sequence     uint64
	readBackFrom units.Offset // every record of this writer at or above sequence is at or above known
	tailLocated  bool         // known has been read
	window       time.Duration
	lastAppendAt time.Time // start of the last append
	deferred     *request  // taken from the queue but not fitting into the last record
	stats        writerStats
}

// WriterStats counts what a Writer has done.
type WriterStats struct {
	Appends, Entries, Bytes, Retries, ReadBacks, Failures int64
	Window                                                time.Duration // current
}

type writerStats struct {
	appends, entries, bytes, retries, readBacks, failures, window atomic.Int64
}

// request is one call of Append.
type request struct {
	entries  [][]byte
	snapshot *wire.Snapshot
	size     int
	state    atomic.Int32 // waiting, taken or abandoned
	done     chan struct{}
	offset   units.Offset
	err      error
}

const (
	pending int32 = iota
	claimed
	abandoned
)

// Append writes entries together and returns the offset of their record once it
// is committed. An error for which NotWritten holds proves that they were not
// written; after any other error they may still take effect.
func (w *Writer) Append(ctx context.Context, entries ...[]byte) (units.Offset, error) {
	return w.submit(ctx, &request{entries: entries})
}

// appendSnapshot writes one part of a snapshot in a record of its own.
func (w *Writer) appendSnapshot(ctx context.Context, part *wire.Snapshot) (units.Offset, error) {
	return w.submit(ctx, &request{snapshot: part})
}

func (w *Writer) submit(ctx context.Context, r *request) (units.Offset, error) {
	const op = "append"
	w.init()
	r.done = make(chan struct{})
	r.size = len(r.snapshot.GetState())
	for _, e := range r.entries {
		r.size += len(e) + 4 // tag and length
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

// await waits for the outcome of a queued request.
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

// Run appends until ctx ends. An append in flight at that moment is finished;
// requests that still wait get an error that they were not written.
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

// Stats returns the counts so far.
func (w *Writer) Stats() WriterStats {
	s := &w.stats
	return WriterStats{
		s.appends.Load(), s.entries.Load(), s.bytes.Load(), s.retries.Load(),
		s.readBacks.Load(), s.failures.Load(), time.Duration(s.window.Load()),
	}
}

// gather returns the requests of the next record, or nil when ctx has ended.
// It waits until a window has passed since the last append, so that an entry
// that comes after a pause leaves at once.
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
	// Entries that already wait belong into this record even when the window is over.
	return w.addQueued(batch, size, limit)
}

// next takes one request from the queue that its caller still waits for. It
// returns nil when ctx has ended or when expired fires.
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

// drain adds requests that are in the queue already, up to limit.
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

// commit appends one record and tells its callers the outcome.
func (w *Writer) commit(ctx context.Context, batch []*request) {
	w.sequence++
	envelope := &wire.Envelope{Writer: w.writerID, Sequence: w.sequence, Snapshot: batch[0].snapshot}
	for _, r := range batch {
		envelope.Entries = append(envelope.Entries, r.entries...)
	}
	payload, err := proto.Marshal(envelope)
	var offset units.Offset
	if err != nil {
		err = fault.Wrap("append", Refused, err)
	} else if offset, err = w.appendWithRetries(ctx, payload); err == nil {
		w.stats.entries.Add(int64(len(envelope.Entries)))
		w.stats.bytes.Add(int64(len(payload)))
	} else {
		w.stats.failures.Add(1)
	}
	for _, r := range batch {
		r.offset, r.err = offset, err
		close(r.done)
	}
}

// persist appends payload under the current sequence until it is known to be in
// the log, or until its attempts are used up.
func (w *Writer) appendWithRetries(ctx context.Context, payload []byte) (units.Offset, error) {
	pause := backoff{first: retryPause, limit: maxRetryPause}
	attempts := orDefault(w.Attempts, defaultAttempts)
	uncertain, last := false, error(nil)
	for n := range attempts {
		if n > 0 {
			w.stats.retries.Add(1)
			if !pause.wait(ctx) {
				break
			}
		}
		offset, err := w.tryAppend(ctx, payload, &uncertain)
		if err == nil {
			return offset, nil
		}
		last = err
		if kindOf(err) == Refused {
			break
		}
	}
	if last == nil {
		last = context.Cause(ctx)
	}
	kind := Unavailable
	switch {
	case uncertain:
		kind = Unknown
	case kindOf(last) == Refused:
		kind = Refused
	}
	return 0, fault.Wrap("append to "+w.Stream, kind, last)
}

// attempt reads back what an earlier uncertain attempt left and appends if that
// is nothing. The context of the process does not cut it short, because that
// would make a certain outcome unknown during a planned stop.
func (w *Writer) tryAppend(ctx context.Context, payload []byte, uncertain *bool) (units.Offset, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orDefault(w.AttemptTimeout, defaultAttemptTimeout))
	defer cancel()
	if !w.tailLocated {
		if err := w.locateTail(ctx); err != nil {
			return 0, err
		}
	}
	if *uncertain {
		if offset, found, err := w.readBack(ctx); err != nil || found {
			return offset, err
		}
	}
	w.lastAppendAt = time.Now()
	w.stats.appends.Add(1)
	offset, err := w.Log.Append(ctx, w.Stream, payload)
	w.adjustWindow(err)
	if err != nil {
		*uncertain = *uncertain || kindOf(err) == Unknown
		return 0, err
	}
	w.readBackFrom = offset + 1
	return offset, nil
}

// adapt widens the window by half while the service rejects appends and narrows
// it by a fraction with each success, so that the writers of a stream settle just
// below the rate that the service accepts. A lost reply says nothing of the rate.
func (w *Writer) adjustWindow(err error) {
	shortest := orDefault(w.Window, defaultWindow)
	switch {
	case err == nil:
		w.window = max(w.window-w.window/windowNarrowingDivisor, shortest)
	case kindOf(err) == Unavailable:
		w.window = min(w.window+w.window/2, max(shortest, orDefault(w.MaxWindow, defaultMaxWindow)))
	}
	w.stats.window.Store(int64(w.window))
}

// locate reads the tail before the first append, from where a read-back starts.
func (w *Writer) locateTail(ctx context.Context) error {
	batch, err := w.Log.Read(ctx, w.Stream, 0, 0)
	if err != nil && !fault.Is(err, logservice.Expired) {
		// Nothing has been sent yet, whatever the kind of the failed read.
		return fault.Wrap("locate tail", logservice.Unavailable, err)
	}
	w.readBackFrom, w.tailLocated = batch.Next, true
	return nil
}

// readBack looks for the current sequence between the last known offset and the
// tail. A record that retention has passed counts as absent: appending it again
// has no second effect, because readers drop the repeat.
func (w *Writer) readBack(ctx context.Context) (units.Offset, bool, error) {
	w.stats.readBacks.Add(1)
	from := w.readBackFrom
	for range maxReadBackReads {
		batch, err := w.Log.Read(ctx, w.Stream, from, 0)
		if fault.Is(err, logservice.Expired) && batch.First > from {
			from = batch.First
			continue
		}
		if err != nil {
			return 0, false, err
		}
		for _, r := range batch.Records {
			record, err := DecodeEnvelope(r.Payload)
			if err == nil && record.Writer == w.writerID && record.Sequence == w.sequence {
				w.readBackFrom = r.Offset + 1
				return r.Offset, true, nil
			}
		}
		from += units.Offset(len(batch.Records))
		if from >= batch.Next {
			// A late append can only land at the tail or above.
			w.readBackFrom = from
			return 0, false, nil
		}
	}
	return 0, false, errors.New("read back: the lost record is too far behind the tail")
}
