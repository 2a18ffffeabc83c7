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
	e.refresh.Lock()
	defer e.refresh.Unlock()
	var newest configuration.Version
	var found bool
	e.config.View(func(s *configuration.State) {
		current, ok := s.Current(e.Settings.Environment)
		if !ok || current.Offset <= e.examined {
			return
		}
		e.examined = current.Offset
		newest, found = s.InForce(e.Settings.Environment, checkDocument)
	})
	if held := e.document.Load(); !found || (held != nil && newest.Offset <= held.offset) {
		return
	}
	document, err := environment.Parse("document", newest.Document)
	if err != nil {
		return // InForce has just checked it
	}
	e.document.Store(&version{offset: newest.Offset, raw: newest.Document, document: document})
	if e.requests != nil {
		e.requests.Update(document)
	}
	klog.InfoS("document in force", "environment", e.Settings.Environment, "version", newest.Offset, "author", newest.Author)
	e.event("config", "inForce", string(e.Settings.Environment), fmt.Sprintf("version %d by %s", newest.Offset, newest.Author), "")
}

// describeConfig says which document this process has and how certain it is
// that there is no newer one. The staleness is taken before the document: the
// evidence must never cover a read whose records are not in force here yet.
func (e *Entry) describeConfig(offset units.Offset, reply *wire.HeartbeatReply) {
	now := time.Now()
	reply.LogReachable = e.logReachable(now)
	reply.ConfigStalenessMilliseconds = e.config.Staleness(now).Milliseconds()
	e.refreshDocument()
	v := e.document.Load()
	if v == nil {
		return
	}
	reply.ConfigOffset = uint64(v.offset)
	if offset < v.offset {
		reply.ConfigDocument = v.raw
	}
}
