package agent

import (
	"sync"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// configState is the newest document and until when it counts as fresh.
type configState struct {
	document   *environment.Document
	offset     units.Offset // of document; never falls
	raw        []byte       // document as received, to send to an entry process that lacks it
	author     string
	freshUntil time.Time    // tasks may start before this instant
	rejected   units.Offset // offset of a document that could not be parsed
}

// parsedDocument caches the result of the last parse, which takes milliseconds.
// The replies of several entry processes carry the same document at the same
// time, for example twelve of them when an agent starts.
type parsedDocument struct {
	mu       sync.Mutex
	offset   uint64 // 0 for none
	document *environment.Document
	err      error
}

// parse returns the parsed document. The offset identifies its contents.
func (a *Agent) parse(offset uint64, data []byte) (*environment.Document, error) {
	a.lastParsed.mu.Lock()
	defer a.lastParsed.mu.Unlock()
	if offset != 0 && offset == a.lastParsed.offset {
		return a.lastParsed.document, a.lastParsed.err
	}
	parse := a.ParseDocument
	if parse == nil {
		parse = func(text []byte) (*environment.Document, error) { return environment.Parse("configuration", text) }
	}
	document, err := parse(data)
	a.lastParsed.offset, a.lastParsed.document, a.lastParsed.err = offset, document, err
	return document, err
}

// applyConfiguration applies a newer document and extends freshUntil. The entry
// process read the tail of the config stream at most the reported staleness
// before it handled the heartbeat, and thus at most that long before the
// heartbeat was sent.
func (a *Agent) applyConfiguration(reply *wire.HeartbeatReply, document *environment.Document, err error, sent time.Time) {
	offset := units.Offset(reply.ConfigOffset)
	if offset > a.config.offset && err != nil && a.config.rejected != offset {
		a.config.rejected = offset
		a.event("configurationUnreadable", string(a.WorkerID), err.Error())
	}
	if offset > a.config.offset && document != nil {
		a.config.document, a.config.offset = document, offset
		a.config.raw, a.config.author = reply.ConfigDocument, reply.ConfigAuthor
		a.event("configurationApplied", string(document.Environment), "")
		if a.OnDocument != nil {
			a.OnDocument(document)
		}
		a.evacuate(time.Now())
	}
	if offset > a.config.offset || a.config.document == nil || reply.ConfigStalenessMilliseconds < 0 {
		return
	}
	staleness := time.Duration(min(reply.ConfigStalenessMilliseconds, 1<<30)) * time.Millisecond
	if until := sent.Add(maxConfigAge - staleness); until.After(a.config.freshUntil) {
		a.config.freshUntil = until
	}
}
