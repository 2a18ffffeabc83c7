package entry

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/configuration"
	"wasabihill.example/wasabihill/internal/wire"
	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// updateDocument is the step of the tick that puts a new document in force, so
// that it need not wait for a heartbeat.
func (c *control) updateDocument(time.Time) { c.refreshDocument() }

// refreshDocument puts the newest accepted document in force, unless it has a lower
// offset than the current one. A version that cannot be parsed is parsed once and
// then skipped.
func (e *Entry) refreshDocument() {
	e.documentMu.Lock()
	defer e.documentMu.Unlock()
	var newest configuration.Version
	var found bool
	e.config.View(func(s *configuration.State) {
		current, ok := s.Current(e.Settings.Environment)
		if !ok || current.Offset <= e.examinedOffset {
			return
		}
		e.examinedOffset = current.Offset
		newest, found = s.InForce(e.Settings.Environment, checkDocument)
	})
	if found {
		e.putInForce(documentVersion{offset: newest.Offset, author: newest.Author, raw: newest.Document})
	}
}

// putInForce makes v the current version if it is newer. The caller must hold
// documentMu.
func (e *Entry) putInForce(v documentVersion) {
	if current := e.currentVersion.Load(); current != nil && v.offset <= current.offset {
		return
	}
	document, err := environment.Parse("document", v.raw)
	if err != nil {
		e.rejectedOffset = v.offset
		klog.InfoS("document cannot be parsed; the current version stays in force", "environment", e.Settings.Environment, "version", v.offset, "err", err)
		return
	}
	v.document = document
	e.currentVersion.Store(&v)
	if e.requestServer != nil {
		e.requestServer.SetDocument(document)
	}
	klog.InfoS("document in force", "environment", e.Settings.Environment, "version", v.offset, "author", v.author)
	e.event("config", "inForce", string(e.Settings.Environment), fmt.Sprintf("version %d by %s", v.offset, v.author), "")
}

// acceptDocument puts the document of a heartbeat in force if it is newer than the
// current one, and reports whether the agent should send its document. The agent
// has the document from an entry process that read it from the log. Thus an
// accepted edit reaches an entry process that cannot reach the log and would
// otherwise show and apply the older version until the log is reachable again.
func (e *Entry) acceptDocument(m *wire.Heartbeat) (wanted bool) {
	e.refreshDocument()
	offset := units.Offset(m.GetConfigOffset())
	e.documentMu.Lock()
	defer e.documentMu.Unlock()
	if current := e.currentVersion.Load(); offset <= e.rejectedOffset || current != nil && offset <= current.offset {
		return false
	}
	if len(m.GetConfigDocument()) == 0 {
		return true
	}
	e.putInForce(documentVersion{offset: offset, author: m.GetConfigAuthor(), raw: m.GetConfigDocument()})
	return false
}

// fillConfig sets the current document in the reply and the staleness of the config
// stream, from which the agent derives how long the document counts as fresh. The
// staleness is read before the document, so that it never covers a read whose
// records are not in force in this process yet.
func (e *Entry) fillConfig(offset units.Offset, reply *wire.HeartbeatReply) {
	now := time.Now()
	reply.LogReachable = e.logReachable(now)
	reply.ConfigStalenessMilliseconds = e.config.Staleness(now).Milliseconds()
	e.refreshDocument()
	v := e.currentVersion.Load()
	if v == nil {
		return
	}
	reply.ConfigOffset = uint64(v.offset)
	if offset < v.offset {
		reply.ConfigDocument, reply.ConfigAuthor = v.raw, v.author
	}
}
