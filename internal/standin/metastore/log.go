// Package metastore stands in for the platform's metadata store in tests:
// topics of records, topics with keys, conditional and fenced appends, and the
// faults that the store may have for all callers or for one.
package metastore

import (
	"context"
	"errors"
	"slices"
	"sync"
)

// Failures of an operation, as the handler answers them.
var (
	errConflict = errors.New("topic ends elsewhere")
	errFenced   = errors.New("producer is fenced")
	errSequence = errors.New("another sequence number is expected")
	errExpired  = errors.New("records were deleted")
)

// record is one record of a topic.
type record struct {
	key   string
	value []byte // nil deletes the key
}

// producer is what a topic remembers of an idempotent producer.
type producer struct {
	epoch    uint64
	next     uint64
	answered map[uint64]answer // the last appends
}

type answer struct{ offset, end uint64 }

// remembered is how many appends of a producer are answered again.
const remembered = 5

type topic struct {
	first     uint64
	records   []record // from offset first on
	newest    map[string]uint64
	values    map[string][]byte
	producers map[string]*producer
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// Log holds the topics. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced with each append
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (l *Log) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]uint64), values: make(map[string][]byte), producers: make(map[string]*producer)}
		l.topics[name] = t
	}
	return t
}

// request is an append.
type request struct {
	topic    string
	records  []record
	at       *uint64
	producer string
	epoch    uint64
	sequence uint64
}

// expected is the sequence number of an errSequence.
func (l *Log) append(r request) (a answer, expected uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(r.topic)
	if r.at != nil && *r.at != t.end() {
		return answer{end: t.end()}, 0, errConflict
	}
	if r.producer != "" {
		if again, expected, err := t.admit(r); err != nil || again != nil {
			if again != nil {
				return *again, 0, nil
			}
			return answer{}, expected, err
		}
	}
	a.offset = t.end()
	for _, rec := range r.records {
		t.add(rec)
	}
	a.end = t.end()
	if r.producer != "" {
		t.producers[r.producer].remember(r.sequence, a)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return a, 0, nil
}

// admit checks the producer of an append; a repeated one gets its first answer.
func (t *topic) admit(r request) (again *answer, expected uint64, err error) {
	p := t.producers[r.producer]
	switch {
	case p == nil || r.epoch > p.epoch:
		t.producers[r.producer] = &producer{epoch: r.epoch, next: r.sequence, answered: make(map[uint64]answer)}
	case r.epoch < p.epoch:
		return nil, 0, errFenced
	default:
		if a, ok := p.answered[r.sequence]; ok {
			return &a, 0, nil
		}
		if r.sequence != p.next {
			return nil, p.next, errSequence
		}
	}
	return nil, 0, nil
}

func (p *producer) remember(sequence uint64, a answer) {
	p.next = sequence + 1
	p.answered[sequence] = a
	if sequence >= remembered {
		delete(p.answered, sequence-remembered)
	}
}

func (t *topic) add(r record) {
	if r.key != "" {
		if r.value == nil {
			delete(t.newest, r.key)
			delete(t.values, r.key)
		} else {
			t.newest[r.key], t.values[r.key] = t.end(), r.value
		}
	}
	t.records = append(t.records, r)
}

// read waits for a record at or after from until ctx ends.
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

// items returns the newest records after a key, in the order of the keys.
func (l *Log) items(name, after string, most int) (page []item, more bool, end uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more = len(keys) > most
	for _, key := range keys[:min(most, len(keys))] {
		page = append(page, item{key, t.values[key], t.newest[key]})
	}
	return page, more, t.end()
}

// Put writes a record of the operator or of a test.
func (l *Log) Put(topic, key string, value []byte) {
	_, _, _ = l.append(request{topic: topic, records: []record{{key, value}}}) // unconditional: never refused
}

// Forget deletes the history of every topic; the newest record of each key stays.
func (l *Log) DeleteHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.topics {
		t.first, t.records = t.end(), nil
	}
}

// Last returns the newest record of a topic, or nil.
func (l *Log) LastValue(topic string) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(topic)
	if len(t.records) == 0 {
		return nil
	}
	return t.records[len(t.records)-1].value
}
