package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/stream"
)

// outbox collects the entries that one tick proposes for a stream. It stores for a
// while what was proposed, so that the next ticks do not propose again what is
// about to be applied. A repeated proposal has no effect but costs an entry.
type outbox struct {
	writer      *stream.Writer
	entries     [][]byte
	retryableAt map[string]time.Time // time from which a key may be proposed again
	inFlight    chan struct{}
	failedKeys  chan []string
	keys        []string
	seenKeys    map[string]struct{} // keys that have been queued before
}

const (
	// maxPendingAppends bounds the appends that wait for a slow log. Further
	// proposals are not queued and are made again by later ticks.
	maxPendingAppends = 8
	// maxEntriesPerAppend keeps one append well below the record size of the log.
	maxEntriesPerAppend = 1000
	// maxSeenKeys bounds seenKeys. Beyond it, a proposal that is repeated in a long
	// outage may be reported as new a second time.
	maxSeenKeys = 16_384
	// pruneThreshold is the number of keys in retryableAt above which those that
	// expired more than expiredRetention ago are dropped. The retention covers the
	// reports that are proposed once their wait for the owner has elapsed.
	pruneThreshold   = 4096
	expiredRetention = 10 * time.Second
)

func newOutbox(w *stream.Writer) outbox {
	return outbox{
		writer: w, retryableAt: make(map[string]time.Time), seenKeys: make(map[string]struct{}),
		inFlight: make(chan struct{}, maxPendingAppends), failedKeys: make(chan []string, maxPendingAppends),
	}
}

// add queues entries that belong together under a key, unless the key was proposed
// recently or too many appends are pending. It reports whether they are queued for
// the first time, for events and counters: while the log is down, a proposal is
// repeated every proposalRetryDelay.
func (o *outbox) add(key string, now time.Time, entries ...[]byte) bool {
	if until, ok := o.retryableAt[key]; ok && now.Before(until) {
		return false
	}
	if len(o.entries) >= maxEntriesPerAppend || len(o.inFlight) == cap(o.inFlight) {
		return false
	}
	if len(o.retryableAt) > pruneThreshold {
		for k, until := range o.retryableAt {
			if now.Sub(until) > expiredRetention {
				delete(o.retryableAt, k)
			}
		}
	}
	o.retryableAt[key] = now.Add(proposalRetryDelay)
	o.keys = append(o.keys, key)
	o.entries = append(o.entries, entries...)
	_, seen := o.seenKeys[key]
	if len(o.seenKeys) >= maxSeenKeys {
		clear(o.seenKeys)
	}
	o.seenKeys[key] = struct{}{}
	return !seen
}

// flush appends the queued entries without waiting for the log.
func (o *outbox) flush(ctx context.Context) {
	for {
		select {
		case keys := <-o.failedKeys:
			for _, k := range keys {
				delete(o.retryableAt, k)
			}
			continue
		default:
		}
		break
	}
	if len(o.entries) == 0 {
		return
	}
	select {
	case o.inFlight <- struct{}{}:
	default:
		return // keep the entries for the next tick
	}
	entries, keys := o.entries, o.keys
	o.entries, o.keys = nil, nil
	go func() {
		defer func() { <-o.inFlight }()
		_, err := o.writer.Append(ctx, entries...)
		if err == nil || ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("append of proposed entries failed", "stream", o.writer.Stream, "entries", len(entries), "err", err)
		if !stream.NotWritten(err) {
			return // it may still take effect, so it is repeated after proposalRetryDelay
		}
		select {
		case o.failedKeys <- keys:
		default:
		}
	}()
}
