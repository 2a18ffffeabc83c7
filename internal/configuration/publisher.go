package configuration

import (
	"bytes"
	"context"
	"time"

	"wasabihill.example/wasabihill/internal/fault"
	"wasabihill.example/wasabihill/internal/pause"
	"wasabihill.example/wasabihill/internal/stream"
	"wasabihill.example/wasabihill/pkg/logservice"
	"wasabihill.example/wasabihill/pkg/units"
)

// Kind classifies the errors of Publish.
type Kind string

// The kinds of Error.
const (
	Conflict    Kind = "lost"        // not in force: another version has replaced the base
	Invalid     Kind = "invalid"     // not in force: the document or a parameter is invalid
	Unavailable Kind = "unavailable" // not changed by this call: the log did not accept the record
	Unknown     Kind = "unknown"     // may be in force or come into force later; retry with the same key
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	publishAttempts = 5
	attemptTimeout  = 2 * time.Second
	publishPause    = 50 * time.Millisecond
	readTimeout     = 5 * time.Second
)

// Publisher appends documents to the config stream and reads back whether they were
// accepted. Set its fields before the first call.
type Publisher struct {
	Log      logservice.Service
	Follower *stream.Follower[*State] // must be running, with DecodePayload as its Decode
	Check    func([]byte) error       // validates a document before it is appended; nil accepts all
}

// Publish proposes raw as the successor of version base. If there is no error, the
// returned version has been accepted, which is never revoked. With an error of kind
// Conflict, the returned version is the one that was accepted instead. Publishing
// again with the same key has no second effect and returns the same version.
func (p *Publisher) Publish(ctx context.Context, environment units.EnvironmentName, base units.Offset, author, key string, raw []byte) (Version, error) {
	const op = "publish"
	record := Record{Key: key, Environment: environment, Base: base, Author: author, Document: raw}
	if err := record.validate(); err != nil {
		return Version{}, fault.Wrap(op, Invalid, err)
	}
	if key == "" {
		return Version{}, fault.New(op, Invalid, "no key")
	}
	if p.Check != nil {
		if err := p.Check(raw); err != nil {
			return Version{}, fault.Wrap(op, Invalid, err)
		}
	}
	if v, err := p.outcome(op, record, false); err != errNoOutcome {
		return v, err
	}
	// A base that does not exist yet could become current later. A delayed copy of
	// the record would then be accepted after Publish has reported a conflict.
	if base > 0 {
		if err := p.awaitApplied(ctx, base); err != nil {
			return Version{}, fault.Wrap(op, Unavailable, err)
		}
	}
	payload, err := EncodeRecord(record)
	if err != nil {
		return Version{}, fault.Wrap(op, Invalid, err)
	}
	offset, err := p.append(ctx, op, payload)
	if err != nil {
		return Version{}, err
	}
	if err := p.awaitApplied(ctx, offset); err != nil {
		return Version{}, fault.Wrap(op, Unknown, err)
	}
	return p.outcome(op, record, true)
}

// awaitApplied waits, for at most readTimeout, until Follower has applied the record
// at offset.
func (p *Publisher) awaitApplied(ctx context.Context, offset units.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.Follower.Wait(ctx, offset)
}

// append retries until the log confirms one copy of the record. Duplicates have
// no effect: once one copy is accepted, the base of the others is no longer current.
func (p *Publisher) append(ctx context.Context, op string, payload []byte) (units.Offset, error) {
	kind, lastErr := Unavailable, error(nil)
	for n := range publishAttempts {
		if n > 0 && !pause.Jittered(ctx, publishPause<<n) {
			break
		}
		offset, err := p.appendOnce(ctx, payload)
		if err == nil && offset > 0 {
			return offset, nil
		}
		if err == nil {
			continue // a record at offset 0 is never accepted
		}
		lastErr = err
		switch {
		case fault.Is(err, logservice.Refused) && kind == Unavailable:
			return 0, fault.Wrap(op, Invalid, err)
		case !fault.Is(err, logservice.Unavailable):
			kind = Unknown
		}
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return 0, fault.Wrap(op, kind, lastErr)
}

func (p *Publisher) appendOnce(ctx context.Context, payload []byte) (units.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return p.Log.Append(ctx, Stream, payload)
}

// errNoOutcome means that the state does not yet determine the outcome of a record.
// Publish never returns it.
var errNoOutcome = fault.New("publish", Unknown, "record has no outcome yet")

// outcome returns the outcome of a record in the state, or errNoOutcome. The offset
// of the current version only grows, so a record whose base is below it can no longer
// be accepted.
func (p *Publisher) outcome(op string, r Record, appended bool) (v Version, err error) {
	err = errNoOutcome
	p.Follower.View(func(s *State) {
		current, _ := s.Current(r.Environment)
		if accepted, ok := s.versionByKey(r.Environment, r.Key); ok {
			v, err = accepted, nil
			if accepted.Base != r.Base || accepted.Document != nil && !bytes.Equal(accepted.Document, r.Document) {
				err = fault.New(op, Invalid, "key %s was used for another document, accepted at offset %d", r.Key, accepted.Offset)
			}
			return
		}
		winner, replaced := s.successor(r.Environment, r.Base)
		switch {
		case replaced:
			v, err = winner, fault.New(op, Conflict, "base %d was replaced at offset %d by %s", r.Base, winner.Offset, winner.Author)
		case s.successorTruncated(r.Environment, r.Base):
			v, err = current, fault.New(op, Unknown, "what replaced version %d is older than the history", r.Base)
		case current.Offset > r.Base || appended:
			v, err = current, fault.New(op, Conflict, "current version is %d, not %d", current.Offset, r.Base)
		}
	})
	return v, err
}
