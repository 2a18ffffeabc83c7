package entry

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"wasabihill.example/wasabihill/internal/configuration"
	"wasabihill.example/wasabihill/pkg/environment"
)

// updateDocument puts the newest accepted document in force. It never goes back
// to a lower offset.
func (c *control) updateDocument(time.Time) {
	current := c.Entry.document.Load()
	var newest configuration.Version
	var found bool
	c.config.View(func(s *configuration.State) {
		if v, ok := s.Current(c.Settings.Environment); !ok || (current != nil && v.Offset <= current.offset) {
			return
		}
		newest, found = s.InForce(c.Settings.Environment, checkDocument)
	})
	if !found || (current != nil && newest.Offset <= current.offset) {
		return
	}
	document, err := environment.Parse("document", newest.Document)
	if err != nil {
		return // InForce has just checked it
	}
	c.Entry.document.Store(&version{offset: newest.Offset, raw: newest.Document, document: document})
	if c.requests != nil {
		c.requests.Update(document)
	}
	klog.InfoS("document in force", "environment", c.Settings.Environment, "version", newest.Offset, "author", newest.Author)
	c.recorder.Record("config", "inForce", string(c.Settings.Environment), fmt.Sprintf("version %d by %s", newest.Offset, newest.Author), "")
}
