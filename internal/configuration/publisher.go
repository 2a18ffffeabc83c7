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

// Kind tells the failures of Publish apart.
type Kind string

// The kinds of Error.
const (
	Conflict    Kind = "lost"        // certainly not in force: another version replaced the base
	Invalid     Kind = "invalid"     // certainly not in force: the document or a parameter is wrong
	Unavailable Kind = "unavailable" // this call certainly changed nothing: the log did not take it
	Unknown     Kind = "unknown"     // may be in force, now or later; repeat with the same key
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	publishAttempts = 5
	attemptTimeout  = 2 * time.Second
	publishPause    = 50 * time.Millisecond
	readTimeout     = 5 * time.Second
)

// Publisher appends documents to the config stream and reads back what became
// of them. Its fields are set before the first call.
type Publisher struct {
	Log      logservice.Service
	Follower *stream.Follower[*State] // running, with DecodePayload
	Check    func([]byte) error       // of a document, before it is appended; nil accepts all
}

// Publish proposes raw as the successor of version base. Without an error the
// returned version is accepted and never reverts. With an error of kind Lost the
// version is the winner. Publishing again under the same key has no second
// effect and returns the same version.
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
	// A base that does not exist yet could become current later, and a late copy
	// of the record would then win after the operator was told that it lost.
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

// await waits for a limited time until the record at offset has been read here.
func (p *Publisher) awaitApplied(ctx context.Context, offset units.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.Follower.Wait(ctx, offset)
}

// append repeats the record until the log confirms one copy. Copies do no harm:
// after the first that counts, the base of the others is no longer current.
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
			continue // a record at offset 0 never counts
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

// errUndecided means that the state does not say yet what becomes of a record.
var errNoOutcome = fault.New("publish", Unknown, "undecided")

// decide looks up the outcome of a record in the state, or returns
// errUndecided. The offset of the current version only grows, so a base that it
// has passed can never win.
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
