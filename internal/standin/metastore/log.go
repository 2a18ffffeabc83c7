// Package metastore is a stand-in for the platform's metadata store in tests. It
// implements topics of records, keyed topics, conditional and fenced appends, and
// faults of the store that affect all callers or one.
package metastore

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
)

// The reasons for which an operation is rejected.
var (
	errConflict   = errors.New("end of the topic differs from the expected one")
	errFenced     = errors.New("producer is fenced by a newer epoch")
	errOutOfOrder = errors.New("sequence number is not the next one of the producer")
	errExpired    = errors.New("requested records were deleted")
)

// record is one record of a topic.
type record struct {
	key   string
	value []byte // nil: tombstone of the key
}

// producer is the state of an idempotent producer of a topic.
type producer struct {
	epoch        uint64
	nextSequence uint64
	replies      map[uint64]appendReply // replies to the last appends, by sequence number
}

type appendReply struct{ offset, end uint64 }

// retainedReplies is the number of last appends of a producer that can be repeated
// with the same reply.
const retainedReplies = 5

type topic struct {
	first         uint64
	records       []record // retained records; the first one has offset first
	newestOffsets map[string]uint64
	newestValues  map[string][]byte
	producers     map[string]*producer
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// Limits are the largest records and calls that the store accepts. They must be set before the
// first call.
type Limits struct {
	RecordBytes int // of a record, with its key
	CallBytes   int // of all records of a call, with the bytes that frame them
	Status      int // HTTP status of a call that exceeds a limit
}

// defaultLimits are those of the platform's store. The status is not documented there.
var defaultLimits = Limits{RecordBytes: 256 << 10, CallBytes: 2 << 20, Status: http.StatusBadRequest}

// Log is the content of the store. It is safe for concurrent use.
type Log struct {
	Limits Limits

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced at each append
	empty   int           // number of appends without records
}

// EmptyAppends returns the number of appends without records.
func (l *Log) EmptyAppends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.empty
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{Limits: defaultLimits, topics: make(map[string]*topic), changed: make(chan struct{})}
}

// topic returns the topic of that name, which it creates if necessary. l.mu must
// be held.
func (l *Log) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{newestOffsets: make(map[string]uint64), newestValues: make(map[string][]byte), producers: make(map[string]*producer)}
		l.topics[name] = t
	}
	return t
}

// appendRequest contains the arguments of an append. expectedEnd is nil for an
// unconditional append; producer is empty for one that is not idempotent.
type appendRequest struct {
	topic       string
	records     []record
	expectedEnd *uint64
	producer    string
	epoch       uint64
	sequence    uint64
}

// append appends the records of a request. With errOutOfOrder it returns the
// sequence number that is expected.
func (l *Log) append(r appendRequest) (reply appendReply, expected uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(r.topic)
	if r.expectedEnd != nil && *r.expectedEnd != t.end() {
		return appendReply{end: t.end()}, 0, errConflict
	}
	if r.producer != "" {
		if earlier, expected, err := t.checkProducer(r); err != nil || earlier != nil {
			if earlier != nil {
				return *earlier, 0, nil
			}
			return appendReply{}, expected, err
		}
	}
	if len(r.records) == 0 {
		l.empty++
	}
	reply.offset = t.end()
	for _, rec := range r.records {
		t.add(rec)
	}
	reply.end = t.end()
	if r.producer != "" {
		t.producers[r.producer].retainReply(r.sequence, reply)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return reply, 0, nil
}

// checkProducer checks the epoch and the sequence number of an append. For a
// repeated append it returns the reply to the first one.
func (t *topic) checkProducer(r appendRequest) (earlier *appendReply, expected uint64, err error) {
	p := t.producers[r.producer]
	switch {
	case p == nil || r.epoch > p.epoch:
		t.producers[r.producer] = &producer{epoch: r.epoch, nextSequence: r.sequence, replies: make(map[uint64]appendReply)}
	case r.epoch < p.epoch:
		return nil, 0, errFenced
	default:
		if reply, ok := p.replies[r.sequence]; ok {
			return &reply, 0, nil
		}
		if r.sequence != p.nextSequence {
			return nil, p.nextSequence, errOutOfOrder
		}
	}
	return nil, 0, nil
}

func (p *producer) retainReply(sequence uint64, reply appendReply) {
	p.nextSequence = sequence + 1
	p.replies[sequence] = reply
	if sequence >= retainedReplies {
		delete(p.replies, sequence-retainedReplies)
	}
}

// add appends a record and updates the newest record of its key.
func (t *topic) add(r record) {
	if r.key != "" {
		if r.value == nil {
			delete(t.newestOffsets, r.key)
			delete(t.newestValues, r.key)
		} else {
			t.newestOffsets[r.key], t.newestValues[r.key] = t.end(), r.value
		}
	}
	t.records = append(t.records, r)
}

// read returns the records from offset from on. If there are none, it waits for
// one until ctx ends.
func (l *Log) read(ctx context.Context, name string, from uint64) (records []record, first, end uint64, err error) {
	for {
		l.mu.Lock()
		t := l.topic(name)
		first, end = t.first, t.end()
		if from < first {
			l.mu.Unlock()
			return nil, first, end, errExpired
		}
		if from < end {
			records = slices.Clone(t.records[from-first:])
		}
		changed := l.changed
		l.mu.Unlock()
		if len(records) > 0 {
			return records, first, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, first, end, nil
		}
	}
}

// item is the newest record of a key.
type item struct {
	key    string
	value  []byte
	offset uint64
}

// newestItems returns a page of the newest records of the keys greater than after,
// in the order of the keys, and whether there are more. A page has at most limit items, and
// ends with the item that makes it as large as maxBytes.
func (l *Log) newestItems(name, after string, limit, maxBytes int) (page []item, more bool, end uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	var keys []string
	for key := range t.newestOffsets {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, key := range keys[:min(limit, len(keys))] {
		if size >= maxBytes {
			break
		}
		page = append(page, item{key, t.newestValues[key], t.newestOffsets[key]})
		size += len(key) + len(t.newestValues[key])
	}
	return page, len(page) < len(keys), t.end()
}

// Put appends a record unconditionally, as the operator does.
func (l *Log) Put(topic, key string, value []byte) {
	_, _, _ = l.append(appendRequest{topic: topic, records: []record{{key, value}}}) // an unconditional append is never rejected
}

// DeleteHistory deletes the records of all topics, except the newest record of
// each key.
func (l *Log) DeleteHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.topics {
		t.first, t.records = t.end(), nil
	}
}

// LastValue returns the value of the last record of a topic, or nil if there is
// none.
func (l *Log) LastValue(topic string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topic)
	if len(t.records) == 0 {
		return nil
	}
	return t.records[len(t.records)-1].value
}
