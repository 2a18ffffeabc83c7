package entry

import (
	"slices"
	"sync"

	"wasabihill.example/wasabihill/internal/roster"
	"wasabihill.example/wasabihill/pkg/units"
)

// owners answers whether this process is the owner of a key among a fixed set
// of live entry processes. Ownership divides the work; it grants nothing.
type ownership struct {
	self units.EntryID
	live []units.EntryID // sorted; holds self

	mu    sync.Mutex
	cache map[string]bool
}

// maxOwnersCache bounds the cache at about twice the jobs of a day.
const maxOwnershipCache = 32_768

func newOwnership(self units.EntryID, live []units.EntryID) *ownership {
	if !slices.Contains(live, self) {
		live = append(slices.Clone(live), self)
		slices.Sort(live)
	}
	return &ownership{self: self, live: live, cache: make(map[string]bool)}
}

func (o *ownership) owns(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owned, ok := o.cache[key]; ok {
		return owned
	}
	if len(o.cache) >= maxOwnershipCache {
		clear(o.cache)
	}
	owned := roster.Owner(key, o.live) == o.self
	o.cache[key] = owned
	return owned
}
