// Package durable is what the scheduler needs of the store that the platform
// runs: topics of records with offsets, conditional appends, appends that are
// fenced by a producer's epoch, and topics that keep the newest record of each
// key for good.
package durable

import (
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind tells the failures of a call apart.
type Kind string

// The kinds of Error.
const (
	Unavailable Kind = "unavailable" // nothing was done
	Unknown     Kind = "unknown"     // an append may have been done, or may still be
	Conflict    Kind = "conflict"    // the topic does not end at the expected offset; nothing was done
	Fenced      Kind = "fenced"      // a producer with a higher epoch has taken over; nothing was done
	OutOfOrder  Kind = "outOfOrder"  // another sequence number was expected; nothing was done
	Expired     Kind = "expired"     // the records were deleted
	Invalid     Kind = "invalid"     // the call or its answer is malformed
)

// Error is the error type of the store's clients.
type Error = fault.Error[Kind]

// Topic names a topic. Its first partition is the only one in use.
type Topic string

// Record is one record of a topic.
type Record struct {
	Key   string // empty in a topic without keys
	Value []byte // nil in a topic with keys: the key was deleted
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	Next    units.Offset // offset after the last of Records
	End     units.Offset // end of the topic at the time of the answer
}

// Item is the newest record of a key.
type Item struct {
	Key   string
	Value []byte
}

// Snapshot is the newest record of every key. Changes made during the read may
// be missing; reading the topic from From on shows them.
type Snapshot struct {
	Items []Item
	From  units.Offset
}

// Producer makes repeated appends idempotent and fences older producers.
type Producer struct {
	Name     string
	Epoch    uint64
	Sequence uint64 // of this append; rises by one with each
}

// Append is one call that appends records, all or none.
type AppendRequest struct {
	Topic       Topic
	Keyed       bool
	Records     []Record
	ExpectedEnd *units.Offset // nil, or the offset at which the topic must end
	Producer    *Producer     // nil, or the producer of the append
}

// Store is the platform's store. All calls may be made concurrently. Errors
// are of type *Error.
type Store interface {
	// Append returns the offset of the first record. Kinds: Unavailable,
	// Unknown, Conflict, Fenced, OutOfOrder, Invalid.
	Append(ctx context.Context, a AppendRequest) (units.Offset, error)
	// Read waits at most wait for a record at or after from. Kinds:
	// Unavailable, Expired, Invalid. With Expired, Next is the first retained
	// offset.
	Read(ctx context.Context, topic Topic, keyed bool, from units.Offset, wait time.Duration) (Batch, error)
	// Newest reads the newest record of each key. Kinds: Unavailable, Invalid.
	ReadSnapshot(ctx context.Context, topic Topic) (Snapshot, error)
	// Range returns the first retained offset of a topic and its end, which
	// are equal when no record is retained. Kinds: Unavailable, Invalid.
	Range(ctx context.Context, topic Topic) (first, end units.Offset, err error)
}
