package configuration

import (
	"encoding/json"
	"fmt"

	"wasabihill.example/wasabihill/pkg/units"
)

// Limits of a State. They affect which records it accepts and what it stores, so a
// change of one makes old and new processes disagree.
const (
	maxEnvironments = 64
	maxHistory      = 64 // versions per environment
	// maxDocuments is the number of versions per environment that keep their
	// document. A process whose check rejects the newest version falls back to an
	// older one of these.
	maxDocuments = 8
)

// Version is one accepted document.
type Version struct {
	Offset      units.Offset          `json:"offset"` // of its record; identifies the version
	Base        units.Offset          `json:"base"`   // offset of the version that it replaced; 0 for none
	Environment units.EnvironmentName `json:"environment"`
	Author      string                `json:"author"`
	Key         string                `json:"key"`
	Document    []byte                `json:"document,omitempty"` // nil in old versions
}

// State contains the accepted versions of the config stream. It implements
// stream.State; the zero value is the empty state.
type State struct {
	environments map[units.EnvironmentName][]Version // ascending offsets, never empty
}

// Apply implements stream.State. A record whose base is not the current version
// is well formed but has no effect.
func (s *State) Apply(offset units.Offset, entry []byte) error {
	r, err := DecodeRecord(entry)
	if err != nil {
		return err
	}
	history := s.environments[r.Environment]
	current := units.Offset(0)
	if len(history) > 0 {
		current = history[len(history)-1].Offset
	}
	// Offset 0 means "no version", so a record at offset 0 cannot be a version.
	if r.Base != current || offset == 0 {
		return nil
	}
	if len(history) == 0 && len(s.environments) >= maxEnvironments {
		return fmt.Errorf("more than %d environments", maxEnvironments)
	}
	if s.environments == nil {
		s.environments = make(map[units.EnvironmentName][]Version)
	}
	history = append(history, Version{offset, r.Base, r.Environment, r.Author, r.Key, r.Document})
	if len(history) > maxHistory {
		history = append([]Version(nil), history[len(history)-maxHistory:]...)
	}
	if n := len(history) - maxDocuments; n > 0 {
		history[n-1].Document = nil
	}
	s.environments[r.Environment] = history
	return nil
}

// Snapshot implements stream.State.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s.environments) }

// Restore implements stream.State.
func (s *State) Restore(encoded []byte) error {
	s.environments = nil
	if encoded == nil {
		return nil
	}
	err := json.Unmarshal(encoded, &s.environments)
	for name, history := range s.environments {
		if len(history) == 0 {
			delete(s.environments, name)
		}
	}
	if err != nil {
		s.environments = nil
	}
	return err
}

// Environments returns the names of all environments in unspecified order.
func (s *State) Environments() []units.EnvironmentName {
	names := make([]units.EnvironmentName, 0, len(s.environments))
	for name := range s.environments {
		names = append(names, name)
	}
	return names
}

// Current returns the newest accepted version of an environment.
func (s *State) Current(environment units.EnvironmentName) (Version, bool) {
	history := s.environments[environment]
	if len(history) == 0 {
		return Version{}, false
	}
	return history[len(history)-1], true
}

// InForce returns the newest version that passes check. It is the current version
// unless an operator appended an invalid document to the log directly.
func (s *State) InForce(environment units.EnvironmentName, check func([]byte) error) (Version, bool) {
	history := s.environments[environment]
	for i := len(history) - 1; i >= 0 && history[i].Document != nil; i-- {
		if check == nil || check(history[i].Document) == nil {
			return history[i], true
		}
	}
	return Version{}, false
}

// History returns the newest versions of an environment in ascending order of their
// offsets.
func (s *State) History(environment units.EnvironmentName) []Version {
	return append([]Version(nil), s.environments[environment]...)
}

// versionByKey returns the version that was accepted with key.
func (s *State) versionByKey(environment units.EnvironmentName, key string) (Version, bool) {
	for _, v := range s.environments[environment] {
		if v.Key == key {
			return v, true
		}
	}
	return Version{}, false
}

// successor returns the version that replaced base.
func (s *State) successor(environment units.EnvironmentName, base units.Offset) (Version, bool) {
	for _, v := range s.environments[environment] {
		if v.Base == base {
			return v, true
		}
	}
	return Version{}, false
}

// successorTruncated reports whether the version that replaced base may have been
// removed from the history.
func (s *State) successorTruncated(environment units.EnvironmentName, base units.Offset) bool {
	history := s.environments[environment]
	return len(history) == maxHistory && base < history[0].Base
}
