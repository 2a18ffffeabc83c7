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

// updateDocument is the system that puts a new document in force without
// waiting for a heartbeat.
func (c *control) updateDocument(time.Time) { c.refreshDocument() }

// refreshDocument puts the newest accepted document in force. It never goes back
// to a lower offset. A version that does not pass the check of this program is
// parsed once and then passed over.
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

// putInForce puts a version in force that is newer than the present one. The
// caller holds refresh.
func (e *Entry) putInForce(v documentVersion) {
	if current := e.currentVersion.Load(); current != nil && v.offset <= current.offset {
		return
	}
	document, err := environment.Parse("document", v.raw)
	if err != nil {
		e.rejectedOffset = v.offset
		klog.InfoS("document not put in force", "environment", e.Settings.Environment, "version", v.offset, "err", err)
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

// adoptDocument takes over a document that another entry process had read from
// the log and gave to the agent, and reports whether the agent should send it.
// So an accepted edit reaches an entry process that has lost the log, which
// would otherwise show and apply the older version until the log is back.
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

// describeConfig says which document this process has and how certain it is
// that there is no newer one. The staleness is taken before the document: the
// evidence must never cover a read whose records are not in force here yet.
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
