// Package jobstore writes the scheduler's records to the platform's store. An append contains
// all records that were queued meanwhile and is fenced by the leader's term. Further appends
// are sent while the store takes long to answer. An append without a reply is repeated with
// the same sequence number. So its records are in the topic exactly once, and its outcome is
// certain before anything is acknowledged.
//
// A record that the store does not accept is left out of its append, so that it holds back no
// other record.
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
	// stallTimeout is how long an append may take before new submissions are rejected at once
	// instead of waiting for the store, if the store does not answer other calls either.
	stallTimeout = 700 * time.Millisecond
	// maxStall is the same if it does: then the append may only be slow, but a submission that
	// waits for longer can't be answered within its caller's deadline.
	maxStall = 1700 * time.Millisecond
	// minSuspectBytes is the size of a record from which on it may be the reason for which the
	// store has not accepted an append.
	minSuspectBytes = 16 << 10
)

// Writer appends records. The exported fields must be set before Fence is called.
type Writer struct {
	Store  durable.Store
	Epoch  uint64         // the leader's term
	Limits durable.Limits // of the store
	// OnRejected is called from the goroutine of Run with the key of a record that the store does
	// not accept, before the function of the write that contains it is called. The record may
	// nevertheless be stored if the store accepts what it has rejected before.
	OnRejected func(key string)

	mu           sync.Mutex
	pending      []write
	wakeup       chan struct{}
	pendingSince bootclock.Instant // when the oldest pending append was first sent; 0 if there is none

	// The fields below are used by one goroutine: that of Fence, and then that of Run.
	window   appendWindow
	answers  chan appendAnswer
	calls    sync.WaitGroup // goroutines of the calls in flight
	sequence uint64
}

// appendAnswer is the result of a call that sends an append.
type appendAnswer struct {
	call appendCall
	err  error
}

// write is one call of Write, or a part of it that fits an append.
type write struct {
	records   []durable.Record
	bytes     int    // that the records take of an append
	onDurable func() // may be nil
}

// New returns a writer for the term epoch.
func New(store durable.Store, epoch uint64) *Writer {
	return &Writer{Store: store, Epoch: epoch, Limits: durable.DefaultLimits, wakeup: make(chan struct{}, 1), answers: make(chan appendAnswer)}
}

// Fence prevents any further appends by earlier terms, so that a later read of the topic
// returns all of their records. It appends no records: the epoch of the call suffices.
// Error kinds: Fenced, OutOfOrder and Invalid, or the error of ctx.
func (w *Writer) Fence(ctx context.Context) error {
	w.add(nil, nil)
	return w.runUntil(ctx, nil, func() bool { return len(w.window.appends) == 0 })
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

// Write queues records for the next append, or for several if one can't take them all. Once they
// are durable, Run calls onDurable from its goroutine, in the order of the calls of Write.
func (w *Writer) Write(records []durable.Record, onDurable func()) {
	parts := w.split(records)
	parts[len(parts)-1].onDurable = onDurable
	w.mu.Lock()
	w.pending = append(w.pending, parts...)
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// split returns the records, in their order, in writes that each fit an append. There is at
// least one.
func (w *Writer) split(records []durable.Record) []write {
	var parts []write
	part := write{}
	for _, r := range records {
		size := durable.FrameBytes + r.KeyedSize()
		if part.bytes > 0 && part.bytes+size > w.maxBatchBytes() {
			parts = append(parts, part)
			part = write{}
		}
		part.records = append(part.records, r)
		part.bytes += size
	}
	return append(parts, part)
}

// maxBatchBytes limits the records of an append to half of what the store accepts in a call.
func (w *Writer) maxBatchBytes() int { return w.Limits.CallBytes / 2 }

// Stalled reports whether a new submission would wait too long for the store, which has
// recently answered another call if reachable is true.
func (w *Writer) Stalled(reachable bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := time.Duration(stallTimeout)
	if reachable {
		limit = maxStall
	}
	return w.pendingSince != 0 && bootclock.Now().Sub(w.pendingSince) > limit
}

// Run appends the queued records until ctx ends or an append fails for good. It returns an
// error of kind Fenced if a later term has fenced this one. Other errors are of kind
// OutOfOrder or Invalid, or the error of ctx.
func (w *Writer) Run(ctx context.Context) error {
	return w.runUntil(ctx, w.wakeup, func() bool { return ctx.Err() != nil })
}

// runUntil makes steps until done returns true, ctx ends or an append fails for good. The calls
// that are then in flight are cancelled.
func (w *Writer) runUntil(ctx context.Context, wakeup <-chan struct{}, done func() bool) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer w.calls.Wait()
	defer cancel()
	for !done() {
		if err := w.step(callCtx, wakeup); err != nil {
			return err
		}
		if ctx.Err() != nil && !done() {
			return ctx.Err()
		}
	}
	return nil
}

// step makes the calls that are due and waits for one answer, for the next call that is due or
// for a wake-up.
func (w *Writer) step(ctx context.Context, wakeup <-chan struct{}) error {
	now := bootclock.Now()
	wait := w.sendDue(ctx, now)
	var timer <-chan time.Time
	if wait >= 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
	case a := <-w.answers:
		return w.handle(ctx, a)
	case <-timer:
	case <-wakeup:
		if len(w.window.appends) == 0 {
			pause.For(ctx, batchDelay)
		}
	}
	return nil
}

// sendDue sends the appends that are due. It returns the time until the next ones are, or a
// negative one if that depends on answers or on new records.
func (w *Writer) sendDue(ctx context.Context, now bootclock.Instant) time.Duration {
	next := time.Duration(-1)
	earliest := func(at bootclock.Instant) {
		if wait := max(at.Sub(now), time.Millisecond); next < 0 || wait < next {
			next = wait
		}
	}
	if ok, at := w.window.mayAdd(now); ok {
		w.addBatch()
	} else if at != 0 && w.hasPending() {
		earliest(at)
	}
	for a, call := w.window.takeDue(now); a != nil; a, call = w.window.takeDue(now) {
		w.send(ctx, a, call)
	}
	if at, ok := w.window.nextDue(); ok {
		earliest(at)
	}
	w.publishOldest()
	return next
}

// addBatch adds an append with the oldest queued writes. Writes without records need no append
// of their own: they are durable with the writes before them.
func (w *Writer) addBatch() {
	batch := w.takeBatch()
	var records []durable.Record
	for _, q := range batch {
		records = append(records, q.records...)
	}
	switch n := len(w.window.appends); {
	case len(records) > 0:
		w.add(records, batch)
	case n > 0:
		w.window.appends[n-1].writes = append(w.window.appends[n-1].writes, batch...)
	default:
		finish(batch)
	}
}

func (w *Writer) add(records []durable.Record, writes []write) {
	w.sequence++
	w.window.add(&pendingAppend{sequence: w.sequence, records: records, writes: writes})
}

func (w *Writer) send(ctx context.Context, a *pendingAppend, call appendCall) {
	request := durable.AppendRequest{Topic: Topic, Keyed: true, Records: a.records, Repeated: call.repeated,
		Producer: &durable.Producer{Name: producerName, Epoch: w.Epoch, Sequence: a.sequence}}
	w.calls.Go(func() {
		_, err := w.Store.Append(ctx, request)
		select {
		case w.answers <- appendAnswer{call, err}:
		case <-ctx.Done():
		}
	})
}

// handle processes the answer to a call. It returns an error if the append can never succeed.
func (w *Writer) handle(ctx context.Context, a appendAnswer) error {
	now := bootclock.Now()
	if ctx.Err() == nil && fault.Is(a.err, durable.Rejected) {
		return w.handleRejection(a, now)
	}
	switch {
	case a.err == nil:
		finish(w.window.succeeded(a.call, now))
		w.publishOldest()
		return nil
	case ctx.Err() != nil:
		return nil
	case fault.Is(a.err, durable.Fenced) || fault.Is(a.err, durable.Invalid) || fault.Is(a.err, durable.OutOfOrder) && a.call.first:
		return a.err
	}
	klog.InfoS("append to the jobs' topic is repeated", "sequence", a.call.sequence, "first", a.call.first, "err", a.err)
	w.window.failed(a.call, fault.Is(a.err, durable.OutOfOrder), now)
	return nil
}

// handleRejection repeats an append that the store has rejected without its largest record. It
// returns the error if that one is not the reason, because it is small.
func (w *Writer) handleRejection(a appendAnswer, now bootclock.Instant) error {
	key, ok := w.window.dropLargest(a.call, minSuspectBytes, now)
	if !ok {
		return a.err
	}
	if key != "" {
		klog.ErrorS(a.err, "the store does not accept a record; it is left out", "key", key, "sequence", a.call.sequence)
		if w.OnRejected != nil {
			w.OnRejected(key)
		}
	}
	return nil
}

// finish calls the functions of the writes, which are durable.
func finish(writes []write) {
	for _, q := range writes {
		if q.onDurable != nil {
			q.onDurable()
		}
	}
}

func (w *Writer) hasPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > 0
}

// publishOldest lets Stalled know since when the oldest append has been pending.
func (w *Writer) publishOldest() {
	since, _ := w.window.oldest()
	w.mu.Lock()
	w.pendingSince = since
	w.mu.Unlock()
}

// takeBatch removes and returns the oldest writes that fit an append together, at least one if
// there is one.
func (w *Writer) takeBatch() []write {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, n := 0, 0
	for n < len(w.pending) && (n == 0 || size+w.pending[n].bytes <= w.maxBatchBytes()) {
		size += w.pending[n].bytes
		n++
	}
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	return batch
}
