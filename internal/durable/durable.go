// Package durable defines the interface to the platform's store. The store has topics
// of records with offsets, conditional appends, appends that are fenced by the epoch of
// their producer, and keyed topics that retain the newest record of each key.
package durable

import (
	"cmp"
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind classifies the errors of a call.
type Kind string

// The kinds of Error.
const (
	Unavailable Kind = "unavailable" // the call was not executed
	Unknown     Kind = "unknown"     // an append may have been executed, or may still be
	Conflict    Kind = "conflict"    // the topic does not end at the expected offset; nothing was appended
	Fenced      Kind = "fenced"      // a producer with a higher epoch exists; nothing was appended
	OutOfOrder  Kind = "outOfOrder"  // a different sequence number was expected; nothing was appended
	Expired     Kind = "expired"     // the records are no longer retained
	Rejected    Kind = "rejected"    // the store does not accept the records; nothing was appended
	Invalid     Kind = "invalid"     // the request or the response is malformed
)

// Error is the error type of store clients.
type Error = fault.Error[Kind]

// Topic is the name of a topic. Only its first partition is used.
type Topic string

// Record is one record of a topic.
type Record struct {
	Key   string // empty in a topic without keys; at most MaxKeyBytes
	Value []byte // nil in a topic with keys if the key was deleted
}

// KeyedSize returns the size of the record in a topic with keys, as the store counts it.
func (r Record) KeyedSize() int { return 1 + len(r.Key) + len(r.Value) }

// Limits are what the store accepts. A limit of 0 stands for that of DefaultLimits.
type Limits struct {
	RecordBytes int // of a record, with its key
	CallBytes   int // of the records of an append and what frames them
}

// DefaultLimits are those of a store that states none.
var DefaultLimits = Limits{RecordBytes: 256 << 10, CallBytes: 2 << 20}

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 255

// FrameBytes is what the store's format adds to a record.
const FrameBytes = 4

// WithDefaults returns the limits with those of DefaultLimits in place of 0. A record that fits
// them fits an append, too.
func (l Limits) WithDefaults() Limits {
	l.CallBytes = cmp.Or(l.CallBytes, DefaultLimits.CallBytes)
	l.RecordBytes = min(cmp.Or(l.RecordBytes, DefaultLimits.RecordBytes), l.CallBytes-FrameBytes)
	return l
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	Next    units.Offset // offset that follows the last of Records
	End     units.Offset // end of the topic at the time of the response
}

// Item is the newest record of a key.
type Item struct {
	Key    string
	Value  []byte
	Offset units.Offset // of the record
}

// Snapshot holds the newest record of each key. Changes made during the read may be
// missing; they are found by reading the topic from offset From.
type Snapshot struct {
	Items []Item
	From  units.Offset
}

// Producer makes repeated appends idempotent and fences producers of the same name with
// lower epochs.
type Producer struct {
	Name     string
	Epoch    uint64
	Sequence uint64 // of this append; increases by one with each append
}

// AppendRequest appends records atomically.
type AppendRequest struct {
	Topic       Topic
	Keyed       bool
	Records     []Record
	ExpectedEnd *units.Offset // offset at which the topic must end, or nil for any
	Producer    *Producer     // producer of the append, or nil
	Repeated    bool          // a call with the same append has no answer yet; its connection may be silent
}

// Store is a client of the platform's store. It is safe for concurrent use. Errors are
// of type *Error.
type Store interface {
	// Append appends records and returns the offset of the first one. Error kinds:
	// Unavailable, Unknown, Conflict, Fenced, OutOfOrder, Rejected, Invalid.
	Append(ctx context.Context, a AppendRequest) (units.Offset, error)
	// Read returns records from offset from on. If there are none, it waits for at most
	// wait. Error kinds: Unavailable, Expired, Invalid. With Expired, Batch.Next is the
	// first retained offset.
	Read(ctx context.Context, topic Topic, keyed bool, from units.Offset, wait time.Duration) (Batch, error)
	// ReadSnapshot returns the newest record of each key. Error kinds: Unavailable,
	// Invalid.
	ReadSnapshot(ctx context.Context, topic Topic) (Snapshot, error)
	// Range returns the first retained offset of a topic and its end. They are equal if no
	// record is retained. Error kinds: Unavailable, Invalid.
	Range(ctx context.Context, topic Topic) (first, end units.Offset, err error)
}
