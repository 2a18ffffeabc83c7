// Package logservice is an in-memory stand-in for the platform's log service,
// for tests and `make run`. It has the limits and faults of the real service that
// the product must handle: a limited append rate, a maximum record size, limited
// retention, outages, slow operations, and replies that are lost after the append
// took effect.
package logservice

import (
	"context"
	"regexp"
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// Limits of a Log. The defaults apply to fields that are zero.
const (
	DefaultMaxRecord = 1 << 20
	DefaultReadLimit = 1000
	// maxReadBytes limits one read so that its reply stays below the client's limit.
	maxReadBytes = 8 << 20
	maxStreams   = 1024
	// maxReadWait is the maximum time for which one read occupies a connection.
	maxReadWait = 30 * time.Second
)

var streamName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// Log is an in-memory log service. It implements logservice.Service, so tests use
// it directly. Set the exported fields before the first call. The zero value
// retains all records and limits only the sizes of records and reads.
type Log struct {
	Rate        float64       // appends per second over all streams; 0 means no limit
	MaxRecord   int           // maximum bytes of one payload
	RetainAge   time.Duration // 0 means forever
	RetainCount int           // records per stream; 0 means all
	ReadLimit   int           // maximum number of records returned by one read
	FromZero    bool          // streams start at offset 0 instead of 1

	mu       sync.Mutex
	streams  map[string]*stream
	bucket   bucket
	injector injector
	counts   Counts
}

var _ logservice.Service = (*Log)(nil)

// Counts are the operations of a Log since its creation. Limited counts the
// appends rejected because of the rate limit.
type Counts struct {
	Appends, Reads, Bytes, Limited int64
}

type entry struct {
	payload []byte
	at      time.Time
}

type stream struct {
	first    units.Offset
	entries  []entry
	late     [][]byte      // payloads to append after the next append
	appended chan struct{} // closed by the next append
}

func (s *stream) next() units.Offset { return s.first + units.Offset(len(s.entries)) }

// Append implements logservice.Service.
func (l *Log) Append(ctx context.Context, name string, payload []byte) (units.Offset, error) {
	const op = "append"
	if err := ctx.Err(); err != nil {
		return 0, fault.Wrap(op, logservice.Unavailable, err)
	}
	if !streamName.MatchString(name) {
		return 0, fault.New(op, logservice.Refused, "bad stream name %.40q", name)
	}
	if limit := orDefault(l.MaxRecord, DefaultMaxRecord); len(payload) > limit {
		return 0, fault.New(op, logservice.Refused, "record of %d bytes exceeds %d", len(payload), limit)
	}
	l.mu.Lock()
	outcome, delay := l.injector.nextAppend()
	l.mu.Unlock()
	if !pause.For(ctx, delay) {
		return 0, fault.Wrap(op, logservice.Unknown, ctx.Err())
	}
	offset, err := l.applyAppend(op, name, payload, outcome)
	if err == nil && !pause.For(ctx, delay) {
		return 0, fault.Wrap(op, logservice.Unknown, ctx.Err())
	}
	return offset, err
}

// applyAppend applies an append with the given outcome.
func (l *Log) applyAppend(op, name string, payload []byte, outcome Outcome) (units.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if outcome == OutcomeUnavailable {
		return 0, fault.New(op, logservice.Unavailable, "injected outage")
	}
	if !l.bucket.allow(l.Rate, now) {
		l.counts.Limited++
		return 0, fault.New(op, logservice.Unavailable, "append rate exceeds %g/s", l.Rate)
	}
	s, err := l.stream(op, name)
	if err != nil {
		return 0, err
	}
	payload = append([]byte(nil), payload...)
	if outcome == OutcomeLate {
		s.late = append(s.late, payload)
		return 0, fault.New(op, logservice.Unknown, "injected late append")
	}
	offset := l.add(s, payload, now)
	for _, p := range s.late {
		l.add(s, p, now)
	}
	s.late = nil
	l.prune(s, now)
	close(s.appended)
	s.appended = make(chan struct{})
	if outcome == OutcomeLost {
		return 0, fault.New(op, logservice.Unknown, "injected loss of the reply")
	}
	return offset, nil
}

func (l *Log) add(s *stream, payload []byte, now time.Time) units.Offset {
	offset := s.next()
	s.entries = append(s.entries, entry{payload, now})
	l.counts.Appends++
	l.counts.Bytes += int64(len(payload))
	return offset
}

// Read implements logservice.Service.
func (l *Log) Read(ctx context.Context, name string, from units.Offset, wait time.Duration) (logservice.Batch, error) {
	return l.read(ctx, name, from, wait, orDefault(l.ReadLimit, DefaultReadLimit))
}

func (l *Log) read(ctx context.Context, name string, from units.Offset, wait time.Duration, limit int) (logservice.Batch, error) {
	const op = "read"
	if !streamName.MatchString(name) {
		return logservice.Batch{}, fault.New(op, logservice.Refused, "bad stream name %.40q", name)
	}
	l.mu.Lock()
	l.counts.Reads++
	outage, delay := l.injector.nextRead()
	l.mu.Unlock()
	if !pause.For(ctx, delay) {
		return logservice.Batch{}, fault.Wrap(op, logservice.Unavailable, ctx.Err())
	}
	if outage {
		return logservice.Batch{}, fault.New(op, logservice.Unavailable, "injected outage")
	}
	timer := time.NewTimer(min(max(wait, 0), maxReadWait))
	defer timer.Stop()
	for {
		batch, grown, err := l.recordsFrom(name, from, limit)
		if err != nil || len(batch.Records) > 0 || from > batch.Next || wait <= 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return logservice.Batch{}, fault.Wrap(op, logservice.Unavailable, ctx.Err())
		}
	}
}

// recordsFrom returns the records from offset from on, without waiting, and the
// channel that the next append closes.
func (l *Log) recordsFrom(name string, from units.Offset, limit int) (logservice.Batch, <-chan struct{}, error) {
	const op = "read"
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.stream(op, name)
	if err != nil {
		return logservice.Batch{}, nil, err
	}
	l.prune(s, time.Now())
	batch := logservice.Batch{First: s.first, Next: s.next()}
	if from < s.first {
		return batch, nil, fault.New(op, logservice.Expired, "offset %d is below the first retained %d", from, s.first)
	}
	for bytes := 0; from < s.next() && len(batch.Records) < limit && bytes < maxReadBytes; from++ {
		payload := s.entries[from-s.first].payload
		batch.Records = append(batch.Records, logservice.Record{Offset: from, Payload: payload})
		bytes += len(payload)
	}
	return batch, s.appended, nil
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.injector.set(f)
}

// Counts returns the counts of operations so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Expire drops all records of a stream below an offset, as retention does.
func (l *Log) Expire(name string, below units.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, err := l.stream("expire", name); err == nil && below > s.first {
		s.drop(int(min(below, s.next()) - s.first))
	}
}

// stream returns the stream with the given name and creates it on first use.
func (l *Log) stream(op, name string) (*stream, error) {
	if s, ok := l.streams[name]; ok {
		return s, nil
	}
	if len(l.streams) >= maxStreams {
		return nil, fault.New(op, logservice.Refused, "more than %d streams", maxStreams)
	}
	if l.streams == nil {
		l.streams = make(map[string]*stream)
	}
	s := &stream{first: 1, appended: make(chan struct{})}
	if l.FromZero {
		s.first = 0
	}
	l.streams[name] = s
	return s, nil
}

// prune applies the retention limits.
func (l *Log) prune(s *stream, now time.Time) {
	excess := 0
	if l.RetainCount > 0 {
		excess = max(0, len(s.entries)-l.RetainCount)
	}
	for l.RetainAge > 0 && excess < len(s.entries) && now.Sub(s.entries[excess].at) > l.RetainAge {
		excess++
	}
	s.drop(excess)
}

func (s *stream) drop(n int) {
	clear(s.entries[:n])
	s.entries = s.entries[n:]
	s.first += units.Offset(n)
}

// bucket is a token bucket whose burst is the appends of a tenth of a second.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *bucket) allow(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	burst := max(1, rate/10)
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
