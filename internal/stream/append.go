package stream

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// commit appends one record and sets the result of each of its requests.
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

// appendWithRetries appends payload under the current sequence until an attempt
// confirms that it is in the log, the log rejects it for good, ctx ends or no attempts are left.
func (w *Writer) appendWithRetries(ctx context.Context, payload []byte) (units.Offset, error) {
	pause := backoff{first: retryPause, limit: maxRetryPause}
	attempts := orDefault(w.Attempts, defaultAttempts)
	uncertain, lastErr := false, error(nil)
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
		lastErr = err
		if kindOf(err) == Refused {
			break
		}
	}
	if lastErr == nil {
		lastErr = context.Cause(ctx)
	}
	kind := Unavailable
	switch {
	case uncertain:
		kind = Unknown
	case kindOf(lastErr) == Refused:
		kind = Refused
	}
	return 0, fault.Wrap("append to "+w.Stream, kind, lastErr)
}

// tryAppend makes one attempt. If the outcome of an earlier attempt is uncertain, it
// first searches the log for the record, and appends only if the record is absent.
// It does not stop when ctx ends, because a planned stop would then leave the
// outcome of the append in flight unknown.
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

// adjustWindow widens the window by half when the service rejects an append, and
// narrows it by a small fraction after each success, so that the writers of a stream
// converge just below the rate that the service accepts. A lost reply does not
// change the window, because it does not depend on the rate.
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

// locateTail sets readBackFrom to the tail before the first append.
func (w *Writer) locateTail(ctx context.Context) error {
	batch, err := w.Log.Read(ctx, w.Stream, 0, 0)
	if err != nil && !fault.Is(err, logservice.Expired) {
		// Nothing has been appended yet, so even a read with an unknown outcome is
		// reported as Unavailable.
		return fault.Wrap("locate tail", logservice.Unavailable, err)
	}
	w.readBackFrom, w.tailLocated = batch.Next, true
	return nil
}

// readBack searches for the current sequence between readBackFrom and the tail. A
// record that has expired is reported as absent: appending it again has no second
// effect, because readers drop the duplicate.
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
			// An append that is still in flight gets an offset at or above the tail.
			w.readBackFrom = from
			return 0, false, nil
		}
	}
	return 0, false, fmt.Errorf("read back: the record is not in the first %d reads, and the tail is not reached", maxReadBackReads)
}
